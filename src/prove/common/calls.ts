/**
 * The calls of a campaign: what is asked, and what a whole answer must be.
 */

import type { IRandom } from '../../base/common/random';
import type { CallAnswer } from '../../demo/common/caller';
import { isSameBody, parseJson } from '../../demo/common/caller';
import { createInferenceBody, isCompleteStream } from '../../demo/common/engineAnswers';
import { organisations, services } from '../../demo/common/exampleNames';
import { RequestClass } from '../../core/requests/common/requestClass';
import { z } from 'zod';
import type { CampaignCall } from './callSender';
import { CallKind } from './sendRecord';

/** The name of a region of the deployment. */
export type RegionKey = keyof typeof organisations;

/** The regions, each the home of one organisation. */
export const regionKeys = Object.keys(organisations) as RegionKey[];

const shortDeadlineMs = 4_000;
const draftDeadlineMs = 15_000;
const echoBytes = 40_000;
const byteValues = 256;

const runAnswerSchema = z.object({ callId: z.string(), runs: z.number() });

function isRunAnswer(answer: CallAnswer, callId: string): boolean {
	const parsed = runAnswerSchema.safeParse(parseJson(answer));
	return answer.status === 200 && parsed.success && parsed.data.callId === callId;
}

/** A payment of an organisation of the region. */
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

/** A call that may be repeated and whose runs are counted. */
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

/** A body of random bytes that must come back as it went. */
export function createEcho(callId: string, home: RegionKey, random: IRandom): CampaignCall {
	const body = Uint8Array.from({ length: echoBytes }, () => random.pickBelow(byteValues));
	return {
		callId,
		kind: CallKind.Echo,
		home,
		deadlineMs: shortDeadlineMs,
		call: { service: services.bookings, path: '/echo', organisation: organisations[home], body },
		isExpected: answer => answer.status === 200 && isSameBody(answer.body, body),
	};
}

/** A streamed draft, which any region may answer. */
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

/** The text in a body that kills the stand-in of a target. */
const crashMark = 'CRASH-MARK';

/** A draft that kills each engine that runs it. */
export function createCrash(callId: string, home: RegionKey): CampaignCall {
	const draft = createDraft(callId, home, 1);
	const body = createInferenceBody(`${callId} ${crashMark}`, 1, true);
	return { ...draft, kind: CallKind.Crash, deadlineMs: shortDeadlineMs, call: { ...draft.call, body } };
}
