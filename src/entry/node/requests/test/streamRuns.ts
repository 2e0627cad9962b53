/**
 * Test fixtures: a request for a stream, and the heads of the answers of its targets.
 */

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { createRequestError, ErrorKind } from '../../../../core/errors/common/errorKinds';
import { RingRequestJournal } from '../../../../core/explain/common/ringRequestJournal';
import type { RequestId } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { RouteKind } from '../../../../core/manifest/common/routes';
import type { AnswerHead } from '../../../common/callers/answerSink';
import type { RoutedCall } from '../../../common/callers/callHead';
import { RequestEvent, RequestLifecycle } from '../../../common/requests/requestLifecycle';
import type { AcceptedCall } from '../requestRun';
import { RequestRun } from '../requestRun';
import { CapturingSink, createCall, createObserver, createPlan } from './flowFixtures';

export const targetFailed = createRequestError(ErrorKind.TargetFailed, 'the target failed');

export function createEvent(id: number): string {
	return `id: ${id}\ndata: token-${id}\n\n`;
}

interface HeadOptions {
	readonly status?: number;
	readonly type?: string;
	readonly isUnframed?: boolean;
}

export function createAnswerHead(options: HeadOptions = {}): AnswerHead {
	const { status = 200, type = 'text/event-stream', isUnframed = false } = options;
	return { status, lines: [{ name: 'content-type', value: type }], endsWithConnection: isUnframed };
}

/** What the caller, or the entry that forwarded the request, asks for. */
export interface StreamOptions extends Pick<AcceptedCall, 'isContinuation'> {
	/** The last event that the caller has. */
	readonly lastEventId?: string;
	readonly maxOutputTokens?: number;
}

/** A request for a stream whose answer the test gives. */
export class StreamRun {
	readonly sink = new CapturingSink();
	readonly timers = new ManualTimerService();
	readonly run: RequestRun;

	constructor({ lastEventId, maxOutputTokens, ...options }: StreamOptions = {}) {
		const journal = new RingRequestJournal(10, () => new Date(0));
		const call = createCall('request-1' as RequestId, createPlan(RepeatRule.Idempotent), 'work', 0);
		const route = { kind: RouteKind.Stream, isResumable: true, attempts: 3, firstByteAimMs: 500 };
		const prompt = maxOutputTokens === undefined ? undefined : { maxOutputTokens };
		const routed = { route, host: 'rounds.example', callerRequestId: 'r1', priority: 0, lastEventId, prompt };
		journal.open(call.id, { service: 'bookings', organisation: 'a', requestClass: 'normal' }, 0);
		this.run = new RequestRun(
			{ ...call, ...options, head: { ...call.head, routed: routed as RoutedCall } },
			new RequestLifecycle(),
			this.sink,
			journal,
			this.timers,
			createObserver([], []),
		);
		for (const event of [RequestEvent.AcceptHead, RequestEvent.Enqueue]) {
			this.run.lifecycle.send(event);
		}
	}

	/** Begins the answer of the next target. Returns why it can't go on with the one before. */
	begin(head: AnswerHead): string | undefined {
		for (const event of [RequestEvent.Start, RequestEvent.HandOver]) {
			this.run.lifecycle.send(event);
		}
		return this.run.begin(head, () => undefined);
	}

	write(text: string): void {
		this.run.write(Buffer.from(text));
	}

	/** Breaks the answer off, so that the next target goes on. */
	markInterrupted(): void {
		this.run.markInterrupted();
		this.run.lifecycle.send(RequestEvent.Interrupt);
	}
}
