/**
 * Scenarios with a caller that disconnects during an answer, and with more calls than a region can serve
 * before their deadline.
 */

import { headers } from '../../../core/headers/common/headers';
import { RequestClass } from '../../../core/requests/common/requestClass';
import type { CallAnswer } from '../caller';
import { getErrorKind, getOutcome } from '../caller';
import { listTargetsInRegion } from '../deploymentAddresses';
import { createInferenceBody, isCompleteAnswer } from '../engineAnswers';
import { organisations, regions, services } from '../exampleNames';
import { waitUntil } from '../poll';
import type { IScenario, Observation, DeploymentContext } from '../scenario';
import { createServiceCall, getEntry } from '../scenario';

const longDraftTokens = 2_000;
const bytesBeforeDisconnect = 200;
const cancelTimeoutMs = 5_000;

async function sumCounter(context: DeploymentContext, region: string, counter: string): Promise<number> {
	const targets = listTargetsInRegion(context.addresses, services.assistant, region);
	const counts = await Promise.all(
		targets.map(({ admin, id }) => context.admin.readCounter(admin, id, counter)),
	);
	return counts.reduce((sum, count) => sum + count, 0);
}

class CallerDisconnectScenario implements IScenario {
	readonly caller = 'planner, montego';
	readonly request = 'a long streamed draft, disconnecting during the answer';
	readonly expects = 'the engine stops generating';

	async run(context: DeploymentContext): Promise<Observation> {
		const before = await sumCounter(context, regions.montego, 'cancelled');
		const read = await context.caller.cancelAfter(
			createServiceCall(getEntry(context, regions.montego, 1).callers, {
				service: services.assistant,
				path: '/drafts',
				organisation: organisations.montego,
				requestClass: RequestClass.Draft,
				body: createInferenceBody('Plan ten seasons.', longDraftTokens, true),
			}),
			bytesBeforeDisconnect,
		);
		const startMs = context.timers.getNow();
		const isCancelled = await waitUntil(
			context.timers,
			cancelTimeoutMs,
			async () => (await sumCounter(context, regions.montego, 'cancelled')) > before,
		);
		const tookMs = Math.round(context.timers.getNow() - startMs);
		return {
			isRight: isCancelled,
			received: `${read} bytes read, ${isCancelled ? `cancelled after ${tookMs} ms` : 'never cancelled'}`,
		};
	}
}

const overloadCalls = 300;
const overloadTokens = 40;
const overloadDeadlineMs = 1_500;

class OverloadScenario implements IScenario {
	readonly caller = `${overloadCalls} crews at once, ocho`;
	readonly request = `one question per crew with a deadline of ${overloadDeadlineMs} ms`;
	readonly expects = 'a complete answer, or an error with its outcome; retry-after on each refusal';

	async run(context: DeploymentContext): Promise<Observation> {
		const { callers } = getEntry(context, regions.ocho);
		const request = createServiceCall(callers, {
			service: services.assistant,
			path: '/questions',
			organisation: organisations.ocho,
			requestClass: RequestClass.Urgent,
			headers: { [headers.deadlineMs]: String(overloadDeadlineMs) },
			body: createInferenceBody('Which gate is open?', overloadTokens, false),
		});
		const answers = await Promise.all(
			Array.from({ length: overloadCalls }, () => context.caller.send(request)),
		);
		const answered = answers.filter(isAnswered);
		const refused = answers.filter(answer => getOutcome(answer) === 'not-run');
		const unknown = answers.filter(answer => getOutcome(answer) === 'unknown');
		const hasEachOutcome = answered.length + refused.length + unknown.length === overloadCalls;
		const hasEachRetryAfter = refused.every(answer => answer.headers['retry-after'] !== undefined);
		return {
			isRight: answered.length > 0 && refused.length > 0 && hasEachOutcome && hasEachRetryAfter,
			received: `${answered.length} answered, ${refused.length} not-run (${formatErrorKinds(refused)}), ${
				unknown.length
			} unknown (${formatErrorKinds(unknown)})`,
		};
	}
}

function isAnswered(answer: CallAnswer): boolean {
	return getOutcome(answer) === 'answered' && isCompleteAnswer(answer, overloadTokens);
}

function formatErrorKinds(answers: readonly CallAnswer[]): string {
	const kinds = [...new Set(answers.map(getErrorKind))];
	return kinds.length === 0 ? 'none' : kinds.join(', ');
}

/** Creates the scenarios in their order. */
export function createOverloadScenarios(): IScenario[] {
	return [new CallerDisconnectScenario(), new OverloadScenario()];
}
