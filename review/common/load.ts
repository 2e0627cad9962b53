/**
 * Sends requests of one kind at a fixed rate, to the entries in turn, and keeps what came back.
 */

import { Caller } from './caller';
import type { CallOptions, Reply } from './caller';
import type { CaseContext } from './caseRunner';
import type { Entry } from './entry';

export interface LoadReply extends Reply {
	/** The entry that the client sent the request to. */
	readonly node: string;
}

const msPerSecond = 1_000;

export class Load {
	readonly replies: LoadReply[] = [];
	private readonly callers: readonly (readonly [string, Caller])[];
	private readonly pending = new Set<Promise<void>>();
	private timer: NodeJS.Timeout | undefined;
	private sent = 0;

	constructor(
		private readonly context: CaseContext,
		readonly kind: string,
		entries: readonly Entry[],
		private readonly createCall: (count: number) => CallOptions,
	) {
		this.callers = entries.map(entry => [entry.options.node, new Caller(entry.frontPort)]);
	}

	start(perSecond: number): void {
		this.timer = setInterval(() => {
			const call = this.send();
			this.pending.add(call);
			void call.finally(() => this.pending.delete(call));
		}, msPerSecond / perSecond);
	}

	/** Stops sending, and waits for the answers. */
	async stop(): Promise<void> {
		clearInterval(this.timer);
		await Promise.all(this.pending);
	}

	/** Lists the replies to requests that were sent in a span of time. */
	listSent(fromMs: number, toMs = Number.POSITIVE_INFINITY): readonly LoadReply[] {
		return this.replies.filter(({ sentMs }) => sentMs >= fromMs && sentMs < toMs);
	}

	private async send(): Promise<void> {
		const count = this.sent++;
		const [node, caller] = this.callers[count % this.callers.length] ?? [];
		if (node === undefined || caller === undefined) {
			return;
		}
		const call = this.createCall(count);
		const reply = await caller.send(call);
		this.replies.push({ ...reply, node });
		this.context.record(`sent ${reply.id} ${call.method} ${call.path} to ${node}`, reply.sentMs);
		this.context.record(
			`answered ${reply.id} ${reply.status ?? reply.error ?? 'not'} stamp ${reply.stamp ?? 'none'}` +
				`${reply.isComplete ? '' : ' incomplete'}${reply.retryAfter === undefined ? '' : ` retry after ${reply.retryAfter}`}`,
			reply.endedMs,
		);
	}
}

/** Adds the runs of the servers to the record. */
export function recordRuns(
	context: CaseContext,
	targets: readonly {
		options: { id: string };
		runs: readonly { id: string; atMs: number; line: string }[];
	}[],
): void {
	for (const { options, runs } of targets) {
		for (const { id, atMs, line } of runs) {
			context.record(`ran ${id} ${line} at ${options.id}`, atMs);
		}
	}
}
