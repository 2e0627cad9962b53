/**
 * Scenarios with successful calls: a lookup, a question, a streamed draft, a read and a large body.
 */

import { RequestClass } from '../../../core/requests/common/requestClass';
import { describeAnswer, getOutcome, isSameBody } from '../caller';
import { listTargetsInRegion } from '../deploymentAddresses';
import { countTokens, createInferenceBody, isCompleteAnswer, isCompleteStream } from '../engineAnswers';
import { fetchLookup } from '../lookup';
import { organisations, regions, services } from '../exampleNames';
import type { IScenario, Observation, DeploymentContext } from '../scenario';
import { createServiceCall, getEntry } from '../scenario';

const answerTokens = 8;
const draftTokens = 120;
const readBytes = 200_000;
export const largeBodyBytes = 1_048_576;
const byteValueCount = 256;

/** Creates a body from the seeded random source, so that each body of a run differs. */
export function createRandomBytes(context: DeploymentContext, length: number): Uint8Array {
	return Uint8Array.from({ length }, () => context.random.pickBelow(byteValueCount));
}

class LookupScenario implements IScenario {
	readonly caller = 'crew app, kingston';
	readonly request = 'a lookup of the entries for round-assistant';
	readonly expects = 'an entry of its own region first';

	async run(context: DeploymentContext): Promise<Observation> {
		const lookup = await fetchLookup(
			context,
			getEntry(context, regions.kingston).callers,
			services.assistant,
		);
		const first = lookup?.entries[0];
		return {
			isRight: first?.region === regions.kingston,
			received: `${lookup?.entries.length ?? 0} entries, first ${first?.instance ?? 'none'}`,
		};
	}
}

class QuestionScenario implements IScenario {
	readonly caller = 'crew in the van, montego';
	readonly request = 'a short urgent question';
	readonly expects = 'the complete answer';

	async run(context: DeploymentContext): Promise<Observation> {
		const answer = await context.caller.send(
			createServiceCall(getEntry(context, regions.montego).callers, {
				service: services.assistant,
				path: '/questions',
				organisation: organisations.montego,
				requestClass: RequestClass.Urgent,
				body: createInferenceBody('Which gate is open at the bay offices?', answerTokens, false),
			}),
		);
		return {
			isRight: getOutcome(answer) === 'answered' && isCompleteAnswer(answer, answerTokens),
			received: `${describeAnswer(answer)}, ${answer.body.length} bytes`,
		};
	}
}

class DraftScenario implements IScenario {
	readonly caller = 'planner, kingston';
	readonly request = `a season plan, streamed, ${draftTokens} tokens`;
	readonly expects = 'every token once and in order';

	async run(context: DeploymentContext): Promise<Observation> {
		const answer = await context.caller.send(
			createServiceCall(getEntry(context, regions.kingston, 1).callers, {
				service: services.assistant,
				path: '/drafts',
				organisation: organisations.kingston,
				requestClass: RequestClass.Draft,
				body: createInferenceBody('Plan the season for the harbour hotel.', draftTokens, true),
			}),
		);
		return {
			isRight: getOutcome(answer) === 'answered' && isCompleteStream(answer, draftTokens),
			received: `${describeAnswer(answer)}, ${countTokens(answer)} tokens`,
		};
	}
}

class ReadScenario implements IScenario {
	readonly caller = 'customer, ocho';
	readonly request = `a read of ${readBytes} bytes from bookings`;
	readonly expects = 'the same bytes as directly from the service';

	async run(context: DeploymentContext): Promise<Observation> {
		const path = `/bytes?n=${readBytes}`;
		const target = listTargetsInRegion(context.addresses, services.bookings, regions.ocho)[0];
		const direct = await context.caller.send({ method: 'GET', url: `${target?.url ?? ''}${path}` });
		const answer = await context.caller.send(
			createServiceCall(getEntry(context, regions.ocho).callers, {
				service: services.bookings,
				path,
				organisation: organisations.ocho,
			}),
		);
		return {
			isRight: direct.body.length === readBytes && isSameBody(direct.body, answer.body),
			received: `${describeAnswer(answer)}, ${answer.body.length} bytes`,
		};
	}
}

class LargeBodyScenario implements IScenario {
	readonly caller = 'office, kingston';
	readonly request = 'an echo of 1 MiB, answered in its own region';
	readonly expects = 'the same bytes';

	async run(context: DeploymentContext): Promise<Observation> {
		const body = createRandomBytes(context, largeBodyBytes);
		const answer = await context.caller.send(
			createServiceCall(getEntry(context, regions.kingston, 2).callers, {
				service: services.bookings,
				path: '/echo',
				organisation: organisations.kingston,
				body,
			}),
		);
		return {
			isRight: getOutcome(answer) === 'answered' && isSameBody(body, answer.body),
			received: `${describeAnswer(answer)}, ${answer.body.length} bytes`,
		};
	}
}

/** Creates the scenarios in their order. */
export function createSuccessScenarios(): IScenario[] {
	return [
		new LookupScenario(),
		new QuestionScenario(),
		new DraftScenario(),
		new ReadScenario(),
		new LargeBodyScenario(),
	];
}
