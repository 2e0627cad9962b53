/**
 * Creates the calls of a campaign: the request of each and the check of a complete answer to it.
 */

import type { IRandom } from '../../base/common/random';
import type { CallAnswer } from '../../demo/common/caller';
import { isSameBody, parseJson } from '../../demo/common/caller';
import { createInferenceBody, isCompleteStream } from '../../demo/common/engineAnswers';
import { organisations, services } from '../../demo/common/exampleNames';
import { RequestClass } from '../../core/requests/common/requestClass';
import { z } from 'zod';
import { formatAuthorization, guest, overloading } from './campaignKeys';
import type { CampaignCall } from './callSender';
import { CallKind } from './sendRecord';

/** The name of a region of the deployment. */
export type RegionKey = keyof typeof organisations;

/** The regions of the deployment. Each is the home region of one organisation. */
export const regionKeys = Object.keys(organisations) as RegionKey[];

const shortDeadlineMs = 4_000;
const draftDeadlineMs = 15_000;
const echoBytes = 40_000;
const byteValueCount = 256;

const runAnswerSchema = z.object({ callId: z.string(), runs: z.number() });

function isRunAnswer(answer: CallAnswer, callId: string): boolean {
	const parsed = runAnswerSchema.safeParse(parseJson(answer));
	return answer.status === 200 && parsed.success && parsed.data.callId === callId;
}

/**
 * Creates a payment for the organisation whose home region is `home`. It has a ticket and runs at most once.
 */
export function createPayment(callId: string, home: RegionKey, ticket: string): CampaignCall {
	return {
		callId,
		kind: CallKind.Payment,
		home,
		deadlineMs: shortDeadlineMs,
		call: {
			service: services.bookings,
			path: '/run/payments/window-cleaning',
			organisation: organisations[home],
			ticket,
			body: JSON.stringify({ callId }),
		},
		isExpected: answer => isRunAnswer(answer, callId),
	};
}

/** Creates a call that may be run repeatedly. The service counts its runs. */
export function createCheck(callId: string, home: RegionKey, kind = CallKind.Check): CampaignCall {
	return {
		callId,
		kind,
		home,
		deadlineMs: shortDeadlineMs,
		call: {
			service: services.bookings,
			path: '/run/checks/next-visit',
			organisation: organisations[home],
			requestClass: RequestClass.Urgent,
			body: JSON.stringify({ callId }),
		},
		isExpected: answer => isRunAnswer(answer, callId),
	};
}

/** Creates a check with the withdrawn key. */
export function createWithdrawnCheck(callId: string): CampaignCall {
	const check = createCheck(callId, 'kingston', CallKind.Withdrawn);
	const headers = formatAuthorization(guest.withdrawnKey);
	return { ...check, call: { ...check.call, organisation: guest.organisation, headers } };
}

/** Creates a check of the organisation that sends more than its limit. */
export function createOverloadingCheck(callId: string): CampaignCall {
	const check = createCheck(callId, 'kingston', CallKind.Overloading);
	return { ...check, call: { ...check.call, organisation: overloading.organisation } };
}

/** Creates a call with a body of random bytes, which the service must return unchanged. */
export function createEcho(callId: string, home: RegionKey, random: IRandom): CampaignCall {
	const body = Uint8Array.from({ length: echoBytes }, () => random.pickBelow(byteValueCount));
	return {
		callId,
		kind: CallKind.Echo,
		home,
		deadlineMs: shortDeadlineMs,
		call: { service: services.bookings, path: '/echo', organisation: organisations[home], body },
		isExpected: answer => answer.status === 200 && isSameBody(answer.body, body),
	};
}

/** Creates a call for a streamed draft, which any region may answer. */
export function createDraft(callId: string, home: RegionKey, tokens: number): CampaignCall {
	return {
		callId,
		kind: CallKind.Draft,
		home: undefined,
		deadlineMs: draftDeadlineMs,
		call: {
			service: services.assistant,
			path: '/drafts',
			organisation: organisations[home],
			requestClass: RequestClass.Draft,
			body: createInferenceBody(callId, tokens, true),
		},
		isExpected: answer => answer.status === 200 && isCompleteStream(answer, tokens),
	};
}

/** A request body that contains this text crashes the simulated target that runs it. */
const crashMark = 'CRASH-MARK';

/** Creates a draft that crashes each inference engine that runs it. */
export function createCrash(callId: string, home: RegionKey): CampaignCall {
	const draft = createDraft(callId, home, 1);
	const body = createInferenceBody(`${callId} ${crashMark}`, 1, true);
	return { ...draft, kind: CallKind.Crash, deadlineMs: shortDeadlineMs, call: { ...draft.call, body } };
}
