/**
 * Sends the calls of a campaign and records each of them. A call times out some time after its deadline, so
 * that an entry that never answers does not block the campaign.
 */

import type { CallAnswer, CallRequest } from '../../demo/common/caller';
import type { EntryAddresses } from '../../demo/common/deploymentAddresses';
import { callIdHeader } from '../../demo/common/exampleNames';
import { waitFor } from '../../demo/common/poll';
import type { ServiceCall, DeploymentContext } from '../../demo/common/scenario';
import { createServiceCall } from '../../demo/common/scenario';
import { headers } from '../../core/headers/common/headers';
import { formatAuthorization, getOrganisationKey } from './campaignKeys';
import type { CampaignLog } from './campaignLog';
import type { CallKind, Phase, SendRecord } from './sendRecord';
import { callerGaveUpFault, createSendRecord } from './sendRecord';

/** A call without the entry that it is sent to: a call may be sent several times, to different entries. */
export interface CampaignCall {
	readonly callId: string;
	readonly kind: CallKind;
	readonly home: string | undefined;
	readonly deadlineMs: number;
	readonly call: ServiceCall;
	/** Whether a complete answer has the content that this call must get. */
	isExpected(answer: CallAnswer): boolean;
}

/** The answer to one send and the record of that send. */
export interface AnsweredSend {
	readonly answer: CallAnswer;
	readonly record: SendRecord;
}

/** How long after its deadline a call without an answer times out, in milliseconds. */
const callerTimeoutMarginMs = 10_000;

const timedOutAnswer = { status: 0, headers: {}, body: new Uint8Array(), fault: callerGaveUpFault };

/** Sends and records the calls of one phase. */
export class CallSender {
	constructor(
		private readonly stage: DeploymentContext,
		private readonly log: CampaignLog,
		readonly phase: Phase,
	) {}

	/** Sends a call to an entry and adds the record of the send to the log. */
	async send(call: CampaignCall, entry: EntryAddresses): Promise<AnsweredSend> {
		const startMs = this.stage.timers.getNow();
		const answer = await this.sendWithTimeout(
			createRequest(call, entry),
			call.deadlineMs + callerTimeoutMarginMs,
		);
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

	private async sendWithTimeout(request: CallRequest, timeoutMs: number): Promise<CallAnswer> {
		const timeout = waitFor(this.stage.timers, timeoutMs).then(() => ({
			...timedOutAnswer,
			tookMs: timeoutMs,
		}));
		return Promise.race([this.stage.caller.send(request), timeout]);
	}
}

function createRequest({ call, callId, deadlineMs }: CampaignCall, entry: EntryAddresses): CallRequest {
	const authorization =
		call.organisation === undefined ? {} : formatAuthorization(getOrganisationKey(call.organisation));
	return createServiceCall(entry.callers, {
		...call,
		headers: {
			...authorization,
			...call.headers,
			[callIdHeader]: callId,
			[headers.deadlineMs]: String(deadlineMs),
		},
	});
}
