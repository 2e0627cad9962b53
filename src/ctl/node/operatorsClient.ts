/**
 * HTTP client for the operators' port of entries, which serves status, request records, the audit trail and the
 * manifest. Each read is limited in time and size, because the system still accepts connections for a frozen entry
 * process, and a command that waits for an answer would hang during an incident.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { Agent, request } from 'undici';
import type { z } from 'zod';
import { Disposable, toDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { EntryStatus } from '../../core/status/common/entryStatus';
import { entryStatusSchema } from '../../core/status/common/entryStatus';
import type { OrganisationsAnswer, SlownessAnswer } from '../../core/status/common/organisationsStatus';
import {
	organisationsAnswerSchema,
	slownessAnswerSchema,
} from '../../core/status/common/organisationsStatus';
import type { ExplainAnswer, ManifestAnswer, TrailAnswer } from '../../core/status/common/operatorsAnswers';
import {
	explainAnswerSchema,
	operatorsErrorAnswerSchema,
	manifestAnswerSchema,
	OperatorsErrorCode,
	trailAnswerSchema,
} from '../../core/status/common/operatorsAnswers';

export enum ClientErrorKind {
	Unreachable = 'unreachable',
	TimedOut = 'timed-out',
	/** The entry answered that it has no such record or no manifest. */
	NotFound = 'not-there',
	/** The answer does not match the schema, or is another error of the operators' port. */
	Malformed = 'malformed',
}

/** The reason for which an entry returned no usable answer. */
export interface ClientError {
	readonly kind: ClientErrorKind;
	readonly detail: string;
}

/** An answer as parsed by its schema and as received. */
export interface FetchedAnswer<TValue> {
	readonly value: TValue;
	readonly raw: unknown;
}

export type FetchResult<TValue> = Result<FetchedAnswer<TValue>, ClientError>;

/** Larger than a manifest of one megabyte and than the longest audit trail. */
const maxAnswerBytes = 16 * 1_048_576;

const notFoundFaults: readonly OperatorsErrorCode[] = [
	OperatorsErrorCode.RequestNotKept,
	OperatorsErrorCode.NoManifest,
];

interface RawAnswer {
	readonly status: number;
	readonly body: unknown;
}

function createError(kind: ClientErrorKind, detail: string): ClientError {
	return { kind, detail };
}

/** Queries entries by the URL of their operators' port. */
export class OperatorsClient extends Disposable {
	private readonly agent: Agent;

	/**
	 * @param timeoutMs Maximum wait for one complete answer.
	 * @param authoritiesPem PEM text of the certificate authorities to trust instead of those that Node trusts.
	 */
	constructor(
		private readonly timerService: ITimerService,
		private readonly timeoutMs: number,
		authoritiesPem?: string,
	) {
		super();
		const tlsOptions = authoritiesPem === undefined ? {} : { connect: { ca: authoritiesPem } };
		this.agent = new Agent({ maxResponseSize: maxAnswerBytes, ...tlsOptions });
		this.register(
			toDisposable(() => {
				void this.agent.destroy();
			}),
		);
	}

	fetchStatus(entry: string): Promise<FetchResult<EntryStatus>> {
		return this.fetchAnswer(entry, '/v1/status', entryStatusSchema);
	}

	fetchOrganisations(entry: string): Promise<FetchResult<OrganisationsAnswer>> {
		return this.fetchAnswer(entry, '/v1/organisations', organisationsAnswerSchema);
	}

	fetchSlowness(entry: string): Promise<FetchResult<SlownessAnswer>> {
		return this.fetchAnswer(entry, '/v1/slowness', slownessAnswerSchema);
	}

	fetchRequestRecord(entry: string, requestId: string): Promise<FetchResult<ExplainAnswer>> {
		return this.fetchAnswer(entry, `/v1/explain/${encodeURIComponent(requestId)}`, explainAnswerSchema);
	}

	/** @param afterSequence Only records with a higher sequence number are returned. */
	fetchTrail(entry: string, maxRecords: number, afterSequence: number): Promise<FetchResult<TrailAnswer>> {
		return this.fetchAnswer(entry, `/v1/trail?most=${maxRecords}&after=${afterSequence}`, trailAnswerSchema);
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
			const isNotFound = notFoundFaults.includes(fault.data.error);
			return err(
				createError(isNotFound ? ClientErrorKind.NotFound : ClientErrorKind.Malformed, fault.data.message),
			);
		}
		const parsed = schema.safeParse(body);
		return parsed.success
			? ok({ value: parsed.data, raw: body })
			: err(
					createError(
						ClientErrorKind.Malformed,
						`status ${status}, and the body is not an answer of an operators' port`,
					),
				);
	}

	private async fetchRaw(url: string): Promise<Result<RawAnswer, ClientError>> {
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

	private describeFailure(error: unknown, hasTimedOut: boolean): ClientError {
		if (hasTimedOut) {
			return createError(ClientErrorKind.TimedOut, `no complete answer within ${this.timeoutMs} ms`);
		}
		return createError(ClientErrorKind.Unreachable, error instanceof Error ? error.message : String(error));
	}
}

/** Returns undefined for text that is not JSON. The schema check then rejects the answer as malformed. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
