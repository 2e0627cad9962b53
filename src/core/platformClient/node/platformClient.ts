/**
 * Reads the platform's configuration service and instance list over HTTP; docs/PLATFORM.md describes the protocol. Every
 * call counts against a rate limit that all readers share, and a long-polling read counts once, so followers use long
 * polling instead of polling at an interval.
 */

import type { Stream } from 'most';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { Agent, request } from 'undici';
import { Channel } from '../../../base/common/channel';
import { PlatformReadKind, ReadResult } from '../../telemetry/common/entryMetricLabels';
import { headers } from '../common/platformHeaders';
import type { InstanceList } from '../common/instanceList';
import { parseInstanceList } from '../common/instanceList';

/** A versioned document as received from the platform. */
export interface PlatformDocument {
	readonly version: number;
	readonly bytes: Uint8Array;
}

/** Why a read failed. */
export interface PlatformError {
	readonly detail: string;
	/** Delay before the next read that the platform requested with `retry-after`, in milliseconds. */
	readonly retryAfterMs: number | undefined;
}

/** Result of a read: a newer document, or undefined if there was none within the wait. */
export type PlatformRead<TValue> = Promise<Result<TValue | undefined, PlatformError>>;

/** A versioned instance list. */
export interface VersionedInstanceList extends InstanceList {
	readonly version: number;
}

/** Read access to the platform. */
export interface IPlatformClient {
	/** Waits up to `waitMs` for a manifest with a version above `after`. */
	readManifest(after: number, waitMs: number, signal: AbortSignal): PlatformRead<PlatformDocument>;
	/** Waits up to `waitMs` for an instance list with a version above `after`. */
	readInstances(after: number, waitMs: number, signal: AbortSignal): PlatformRead<VersionedInstanceList>;
}

/** Outcome of one read, for metrics. */
export interface PlatformReadEnd {
	readonly kind: PlatformReadKind;
	readonly result: ReadResult;
}

const statusOk = 200;
const statusNotModified = 304;
const statusNotFound = 404;
const statusTooManyRequests = 429;

/** Versioned documents that can be read with long polling. */
type DocumentKind = PlatformReadKind.Manifest | PlatformReadKind.Instances;

const paths: Readonly<Record<DocumentKind, string>> = {
	[PlatformReadKind.Manifest]: '/v1/config/manifest',
	[PlatformReadKind.Instances]: '/v1/instances',
};

/** Reads from the platform over HTTP. */
export class HttpPlatformClient implements IPlatformClient {
	private readonly readEnds = new Channel<PlatformReadEnd>();

	/** Emits the outcome of each read, except reads that failed after their caller aborted them. */
	readonly onDidEndRead: Stream<PlatformReadEnd> = this.readEnds.stream;

	private readonly agent: Agent;

	/** @param answerTimeoutMs How long an answer may take beyond the requested wait before the read fails. */
	constructor(
		private readonly origin: string,
		private readonly answerTimeoutMs: number,
	) {
		this.agent = new Agent({ pipelining: 1, connect: { timeout: answerTimeoutMs } });
	}

	async readManifest(after: number, waitMs: number, signal: AbortSignal): PlatformRead<PlatformDocument> {
		return this.read(PlatformReadKind.Manifest, after, waitMs, signal);
	}

	async readInstances(
		after: number,
		waitMs: number,
		signal: AbortSignal,
	): PlatformRead<VersionedInstanceList> {
		const read = await this.read(PlatformReadKind.Instances, after, waitMs, signal);
		return read.andThen(document => {
			if (document === undefined) {
				return ok(undefined);
			}
			return parseInstanceList(Buffer.from(document.bytes).toString('utf8'))
				.map(list => ({ ...list, version: document.version }))
				.mapErr(detail => ({ detail, retryAfterMs: undefined }));
		});
	}

	async close(): Promise<void> {
		this.readEnds.dispose();
		await this.agent.destroy();
	}

	private async read(
		kind: DocumentKind,
		after: number,
		waitMs: number,
		signal: AbortSignal,
	): PlatformRead<PlatformDocument> {
		try {
			const answer = await request(
				`${this.origin}${paths[kind]}?after=${after}&wait-ms=${Math.floor(waitMs)}`,
				{
					dispatcher: this.agent,
					signal,
					headersTimeout: waitMs + this.answerTimeoutMs,
					bodyTimeout: this.answerTimeoutMs,
				},
			);
			const bytes = new Uint8Array(await answer.body.arrayBuffer());
			const read = readAnswer(answer.statusCode, answer.headers, bytes);
			this.readEnds.emit({ kind, result: describeResult(answer.statusCode, read) });
			return read;
		} catch (error) {
			if (!signal.aborted) {
				this.readEnds.emit({ kind, result: ReadResult.Failed });
			}
			return err({ detail: error instanceof Error ? error.message : String(error), retryAfterMs: undefined });
		}
	}
}

function describeResult(
	status: number,
	read: Result<PlatformDocument | undefined, PlatformError>,
): ReadResult {
	if (status === statusTooManyRequests) {
		return ReadResult.Refused;
	}
	return read.match(
		document => (document === undefined ? ReadResult.Unchanged : ReadResult.Fresh),
		() => ReadResult.Failed,
	);
}

function readAnswer(
	status: number,
	answerHeaders: Record<string, string | string[] | undefined>,
	bytes: Uint8Array,
): Result<PlatformDocument | undefined, PlatformError> {
	if (status === statusNotModified || status === statusNotFound) {
		return ok(undefined);
	}
	const version = Number(answerHeaders[headers.version]);
	if (status !== statusOk || !Number.isSafeInteger(version)) {
		const retryAfterSeconds = Number(answerHeaders['retry-after']);
		return err({
			detail: `the platform answered ${status}`,
			retryAfterMs: Number.isFinite(retryAfterSeconds) ? retryAfterSeconds * 1_000 : undefined,
		});
	}
	return ok({ version, bytes });
}
