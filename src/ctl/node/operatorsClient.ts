/**
 * Reads the operators' ports of entries. Each read is bounded in time and size: an entry that is frozen
 * still accepts connections, and a command that waits for it would hang just when somebody is on call.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { Agent, request } from 'undici';
import type { z } from 'zod';
import { Disposable, toDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { EntryStatus } from '../../core/status/common/entryStatus';
import { entryStatusSchema } from '../../core/status/common/entryStatus';
import type { ExplainAnswer, ManifestAnswer, TrailAnswer } from '../../core/status/common/operatorsAnswers';
import {
	explainAnswerSchema,
	operatorsErrorAnswerSchema,
	manifestAnswerSchema,
	OperatorsErrorCode,
	trailAnswerSchema,
} from '../../core/status/common/operatorsAnswers';

export enum ClientFaultKind {
	Unreachable = 'unreachable',
	TimedOut = 'timed-out',
	/** The entry answered that it does not have what was asked for. */
	NotThere = 'not-there',
	/** The answer is not one of an operators' port. */
	Malformed = 'malformed',
}

/** Why an entry gave no usable answer. */
export interface ClientFault {
	readonly kind: ClientFaultKind;
	readonly detail: string;
}

/** An answer as it was sent and as this program understands it. */
export interface Fetched<TValue> {
	readonly value: TValue;
	readonly raw: unknown;
}

export type FetchResult<TValue> = Result<Fetched<TValue>, ClientFault>;

/** Above a manifest of a megabyte and the longest trail. */
const mostAnswerBytes = 16 * 1_048_576;

const absentFaults: readonly OperatorsErrorCode[] = [
	OperatorsErrorCode.RequestNotKept,
	OperatorsErrorCode.NoManifest,
];

interface RawAnswer {
	readonly status: number;
	readonly body: unknown;
}

function createFault(kind: ClientFaultKind, detail: string): ClientFault {
	return { kind, detail };
}

/** Asks entries by the URL of their operators' port. */
export class OperatorsClient extends Disposable {
	private readonly agent: Agent;

	/**
	 * @param timeoutMs The longest wait for one whole answer.
	 * @param authorities PEM text of whose certificates to trust, in place of those that Node trusts.
	 */
	constructor(
		private readonly timerService: ITimerService,
		private readonly timeoutMs: number,
		authorities?: string,
	) {
		super();
		const trust = authorities === undefined ? {} : { connect: { ca: authorities } };
		this.agent = new Agent({ maxResponseSize: mostAnswerBytes, ...trust });
		this.register(
			toDisposable(() => {
				void this.agent.destroy();
			}),
		);
	}

	fetchStatus(entry: string): Promise<FetchResult<EntryStatus>> {
		return this.fetchAnswer(entry, '/v1/status', entryStatusSchema);
	}

	fetchRecord(entry: string, requestId: string): Promise<FetchResult<ExplainAnswer>> {
		return this.fetchAnswer(entry, `/v1/explain/${encodeURIComponent(requestId)}`, explainAnswerSchema);
	}

	/** @param after Leaves out records up to this sequence. */
	fetchTrail(entry: string, most: number, after: number): Promise<FetchResult<TrailAnswer>> {
		return this.fetchAnswer(entry, `/v1/trail?most=${most}&after=${after}`, trailAnswerSchema);
	}

	fetchManifest(entry: string): Promise<FetchResult<ManifestAnswer>> {
		return this.fetchAnswer(entry, '/v1/manifest', manifestAnswerSchema);
	}

	private async fetchAnswer<TValue>(
		entry: string,
		path: string,
		schema: z.ZodType<TValue>,
	): Promise<FetchResult<TValue>> {
		const fetched = await this.fetchRaw(`${entry}${path}`);
		if (fetched.isErr()) {
			return err(fetched.error);
		}
		const { status, body } = fetched.value;
		const fault = operatorsErrorAnswerSchema.safeParse(body);
		if (fault.success) {
			const isAbsent = absentFaults.includes(fault.data.error);
			return err(
				createFault(isAbsent ? ClientFaultKind.NotThere : ClientFaultKind.Malformed, fault.data.message),
			);
		}
		const parsed = schema.safeParse(body);
		return parsed.success
			? ok({ value: parsed.data, raw: body })
			: err(createFault(ClientFaultKind.Malformed, `status ${status}, not the answer of an operators' port`));
	}

	private async fetchRaw(url: string): Promise<Result<RawAnswer, ClientFault>> {
		const abort = new AbortController();
		const timeout = this.timerService.schedule(this.timeoutMs, () => {
			abort.abort();
		});
		try {
			const { statusCode, body } = await request(url, { dispatcher: this.agent, signal: abort.signal });
			return ok({ status: statusCode, body: parseJson(await body.text()) });
		} catch (error) {
			return err(this.describeFailure(error, abort.signal.aborted));
		} finally {
			timeout.dispose();
		}
	}

	private describeFailure(error: unknown, hasTimedOut: boolean): ClientFault {
		if (hasTimedOut) {
			return createFault(ClientFaultKind.TimedOut, `no whole answer within ${this.timeoutMs} ms`);
		}
		return createFault(ClientFaultKind.Unreachable, error instanceof Error ? error.message : String(error));
	}
}

/** A text that is not JSON is no answer of an operators' port, which the schema then says. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
