/**
 * Reads the platform's configuration service and instance list over HTTP; docs/PLATFORM.md tells the
 * protocol. Every call counts against the rate that all readers share, a waiting watch as one, so followers
 * hang on a watch in place of polling.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { Agent, request } from 'undici';
import { headers } from '../common/platformHeaders';
import type { InstanceList } from '../common/instanceList';
import { parseInstanceList } from '../common/instanceList';

/** A versioned document as the platform gave it. */
export interface PlatformDocument {
	readonly version: number;
	readonly bytes: Uint8Array;
}

/** Why a read gave nothing. */
export interface PlatformFault {
	readonly detail: string;
	/** When the platform said to come back, in milliseconds from now. */
	readonly retryAfterMs: number | undefined;
}

/** A read: a newer document, or undefined where none came in the time waited for. */
export type PlatformRead<TValue> = Promise<Result<TValue | undefined, PlatformFault>>;

/** A versioned instance list. */
export interface VersionedInstanceList extends InstanceList {
	readonly version: number;
}

/** The platform, read only. */
export interface IPlatformClient {
	/** Waits up to `waitMs` for a manifest with a version above `after`. */
	readManifest(after: number, waitMs: number, signal: AbortSignal): PlatformRead<PlatformDocument>;
	/** Waits up to `waitMs` for an instance list with a version above `after`. */
	readInstances(after: number, waitMs: number, signal: AbortSignal): PlatformRead<VersionedInstanceList>;
}

const statusOk = 200;
const statusNotModified = 304;
const statusNotFound = 404;
/** Beyond the wait itself: the platform answers in milliseconds, so this much silence is an outage. */
const answerMarginMs = 3_000;

/** The platform over HTTP. */
export class HttpPlatformClient implements IPlatformClient {
	private readonly agent = new Agent({ pipelining: 1, connect: { timeout: answerMarginMs } });

	constructor(private readonly origin: string) {}

	async readManifest(after: number, waitMs: number, signal: AbortSignal): PlatformRead<PlatformDocument> {
		return this.read('/v1/config/manifest', after, waitMs, signal);
	}

	async readInstances(
		after: number,
		waitMs: number,
		signal: AbortSignal,
	): PlatformRead<VersionedInstanceList> {
		const read = await this.read('/v1/instances', after, waitMs, signal);
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
		await this.agent.destroy();
	}

	private async read(
		path: string,
		after: number,
		waitMs: number,
		signal: AbortSignal,
	): PlatformRead<PlatformDocument> {
		try {
			const answer = await request(`${this.origin}${path}?after=${after}&wait-ms=${Math.floor(waitMs)}`, {
				dispatcher: this.agent,
				signal,
				headersTimeout: waitMs + answerMarginMs,
				bodyTimeout: answerMarginMs,
			});
			const bytes = new Uint8Array(await answer.body.arrayBuffer());
			return readAnswer(answer.statusCode, answer.headers, bytes);
		} catch (error) {
			return err({ detail: error instanceof Error ? error.message : String(error), retryAfterMs: undefined });
		}
	}
}

function readAnswer(
	status: number,
	answerHeaders: Record<string, string | string[] | undefined>,
	bytes: Uint8Array,
): Result<PlatformDocument | undefined, PlatformFault> {
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
