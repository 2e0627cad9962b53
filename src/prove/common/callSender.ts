/**
 * Sends the calls of a campaign and records each. A caller gives up in the end, as people do: an entry that
 * never answers must not hold up the campaign.
 */

import type { CallAnswer, CallRequest } from '../../demo/common/caller';
import type { EntryAddresses } from '../../demo/common/deploymentAddresses';
import { callIdHeader } from '../../demo/common/exampleNames';
import { waitFor } from '../../demo/common/poll';
import type { ServiceCall, DeploymentContext } from '../../demo/common/scenario';
import { createServiceCall } from '../../demo/common/scenario';
import { headers } from '../../core/headers/common/headers';
import type { CampaignLog } from './campaignLog';
import type { CallKind, Phase, SendRecord } from './sendRecord';
import { createSendRecord, gaveUp } from './sendRecord';

/** A call, apart from the entry that it is sent to. */
export interface CampaignCall {
	readonly callId: string;
	readonly kind: CallKind;
	readonly home: string | undefined;
	readonly deadlineMs: number;
	readonly call: ServiceCall;
	/** Whether a whole answer is the right one. */
	isExpected(answer: CallAnswer): boolean;
}

/** A recorded send with the answer itself. */
export interface AnsweredSend {
	readonly answer: CallAnswer;
	readonly record: SendRecord;
}

/** How much longer than its deadline a caller waits, in milliseconds. */
const patienceMs = 10_000;

const noAnswer = { status: 0, headers: {}, body: new Uint8Array(), fault: gaveUp };

/** Sends for one phase. */
export class CallSender {
	constructor(
		private readonly stage: DeploymentContext,
		private readonly log: CampaignLog,
		readonly phase: Phase,
	) {}

	/** Sends a call to an entry; gives what came back, and its record. */
	async send(call: CampaignCall, entry: EntryAddresses): Promise<AnsweredSend> {
		const startMs = this.stage.timers.getNow();
		const answer = await this.askPatiently(createQuestion(call, entry), call.deadlineMs + patienceMs);
		const { callId, kind, home } = call;
		const planned = {
			callId,
			kind,
			home,
			entry: entry.instance,
			region: entry.region,
			isTicketed: call.call.ticket !== undefined,
			phase: this.phase,
		};
		const record = createSendRecord(planned, answer, call.isExpected(answer), startMs);
		this.log.sends.push(record);
		return { answer, record };
	}

	private async askPatiently(question: CallRequest, limitMs: number): Promise<CallAnswer> {
		const giveUp = waitFor(this.stage.timers, limitMs).then(() => ({ ...noAnswer, tookMs: limitMs }));
		return Promise.race([this.stage.caller.send(question), giveUp]);
	}
}

function createQuestion({ call, callId, deadlineMs }: CampaignCall, entry: EntryAddresses): CallRequest {
	return createServiceCall(entry.callers, {
		...call,
		headers: { ...call.headers, [callIdHeader]: callId, [headers.deadlineMs]: String(deadlineMs) },
	});
}
