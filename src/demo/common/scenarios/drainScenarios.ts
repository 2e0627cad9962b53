/**
 * Scenarios in which all engines of a region are drained. Other regions serve the callers of that region over
 * the link: answers are complete, with a higher latency.
 */

import { TargetIntent } from '../../../core/manifest/common/manifest';
import { RequestClass } from '../../../core/requests/common/requestClass';
import { describeAnswer, getOutcome, isSameBody } from '../caller';
import { listTargetsInRegion } from '../deploymentAddresses';
import { countTokens, createInferenceBody, isCompleteStream } from '../engineAnswers';
import { organisations, regions, services } from '../exampleNames';
import { waitUntil } from '../poll';
import type { IScenario, Observation, DeploymentContext } from '../scenario';
import { createServiceCall, getEntry } from '../scenario';
import { createRandomBytes, largeBodyBytes } from './successScenarios';

const drainTimeoutMs = 9_000;
const streamTokens = 60;
const caller = 'planner, ocho';

async function countEngineRequests(context: DeploymentContext): Promise<number> {
	const counts = await Promise.all(
		listTargetsInRegion(context.addresses, services.assistant, regions.ocho).map(({ admin, id }) =>
			context.admin.readCounter(admin, id, 'requests'),
		),
	);
	return counts.reduce((sum, count) => sum + count, 0);
}

/** Runs a call and checks that no request reached the drained engines meanwhile. */
async function checkAvoidsDrainedEngines(
	context: DeploymentContext,
	runCall: () => Promise<Observation>,
): Promise<Observation> {
	const before = await countEngineRequests(context);
	const observation = await runCall();
	const reached = (await countEngineRequests(context)) - before;
	return {
		isRight: observation.isRight && reached === 0,
		received: `${observation.received}, ${reached} requests at the drained engines`,
	};
}

class DrainScenario implements IScenario {
	readonly caller = 'build pipeline';
	readonly request = 'a new manifest that drains the engines of ocho';
	readonly expects = 'no new requests at these engines within seconds';

	async run(context: DeploymentContext): Promise<Observation> {
		const targets = context.manifest.targets.map(target =>
			target.region === regions.ocho && target.service === services.assistant
				? { ...target, intent: TargetIntent.Leaving }
				: target,
		);
		const startMs = context.timers.getNow();
		await context.putManifest({ ...context.manifest, targets });
		const isDrained = await waitUntil(context.timers, drainTimeoutMs, () => this.isServedElsewhere(context));
		const tookMs = Math.round(context.timers.getNow() - startMs);
		return { isRight: isDrained, received: isDrained ? `applied after ${tookMs} ms` : 'not applied' };
	}

	private async isServedElsewhere(context: DeploymentContext): Promise<boolean> {
		const before = await countEngineRequests(context);
		const outcomes = await Promise.all(
			[0, 1].map(async index => {
				const { callers } = getEntry(context, regions.ocho, index);
				const answer = await context.caller.send(
					createServiceCall(callers, {
						service: services.assistant,
						path: '/echo',
						organisation: organisations.ocho,
						body: 'a short text',
					}),
				);
				return getOutcome(answer);
			}),
		);
		const reached = (await countEngineRequests(context)) - before;
		return reached === 0 && outcomes.every(outcome => outcome === 'answered');
	}
}

class RemoteBodyScenario implements IScenario {
	readonly caller = caller;
	readonly request = 'an echo of 1 MiB, answered in another region';
	readonly expects = 'the same bytes';

	async run(context: DeploymentContext): Promise<Observation> {
		const body = createRandomBytes(context, largeBodyBytes);
		return checkAvoidsDrainedEngines(context, async () => {
			const answer = await context.caller.send(
				createServiceCall(getEntry(context, regions.ocho).callers, {
					service: services.assistant,
					path: '/echo',
					organisation: organisations.ocho,
					requestClass: RequestClass.Draft,
					body,
				}),
			);
			return {
				isRight: getOutcome(answer) === 'answered' && isSameBody(body, answer.body),
				received: `${describeAnswer(answer)}, ${answer.body.length} bytes in ${Math.round(answer.tookMs)} ms`,
			};
		});
	}
}

class RemoteStreamScenario implements IScenario {
	readonly caller = caller;
	readonly request = `a streamed draft of ${streamTokens} tokens, answered in another region`;
	readonly expects = 'every token once and in order';

	async run(context: DeploymentContext): Promise<Observation> {
		return checkAvoidsDrainedEngines(context, async () => {
			const answer = await context.caller.send(
				createServiceCall(getEntry(context, regions.ocho, 1).callers, {
					service: services.assistant,
					path: '/drafts',
					organisation: organisations.ocho,
					requestClass: RequestClass.Draft,
					body: createInferenceBody('Plan the season for the cliff homes.', streamTokens, true),
				}),
			);
			return {
				isRight: getOutcome(answer) === 'answered' && isCompleteStream(answer, streamTokens),
				received: `${describeAnswer(answer)}, ${countTokens(answer)} tokens in ${Math.round(answer.tookMs)} ms`,
			};
		});
	}
}

/** Creates the scenarios in their order. They leave the region drained. */
export function createDrainScenarios(): IScenario[] {
	return [new DrainScenario(), new RemoteBodyScenario(), new RemoteStreamScenario()];
}
