/**
 * The HTTP/2 sessions of a server, and their end when it closes. A session ends after the streams that run
 * on it, and a stream to a peer that fell silent never ends: its bytes wait for a window that nobody opens.
 * The process would stay after its last request, which an operator sees as a planned stop that has to be
 * killed. So a session that still has streams is asked for a sign of life, and one that gives none is
 * ended; streams to living peers go on. It is closed only with its last stream, since a closed session
 * sends no pings.
 */

import type { ServerHttp2Session } from 'node:http2';
import { subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';

const askMs = 1_000;

/** Silence after which a peer is given up; a peer that is merely slow answers a ping in time. */
const mostSilenceMs = 10_000;

interface TrackedSession {
	readonly session: ServerHttp2Session;
	streams: number;
	heardMs: number;
}

/** Follows sessions from their start, and ends them once told so. */
export class ClosingSessions extends Disposable {
	private readonly tracked = new Set<TrackedSession>();
	private isClosing = false;

	constructor(private readonly timers: ITimerService) {
		super();
	}

	add(session: ServerHttp2Session): void {
		const tracked = { session, streams: 0, heardMs: 0 };
		this.tracked.add(tracked);
		session.once('close', () => this.tracked.delete(tracked));
		session.on('stream', stream => {
			tracked.streams++;
			stream.once('close', () => {
				tracked.streams--;
				this.closeIfIdle(tracked);
			});
		});
	}

	/** Takes no new streams, and ends each session with its last one or when its peer is silent. */
	close(): void {
		this.isClosing = true;
		for (const tracked of [...this.tracked]) {
			tracked.heardMs = this.timers.getNow();
			tracked.session.goaway();
			this.closeIfIdle(tracked);
		}
		this.register(
			subscribeTo(this.timers.watchTicks(askMs), ({ nowMs }) => {
				this.askAll(nowMs);
			}),
		);
	}

	private closeIfIdle({ session, streams }: TrackedSession): void {
		if (this.isClosing && streams === 0 && !session.destroyed) {
			session.close();
		}
	}

	private askAll(nowMs: number): void {
		for (const tracked of [...this.tracked]) {
			const { session, heardMs } = tracked;
			if (session.destroyed || session.closed) {
				continue;
			}
			if (nowMs - heardMs >= mostSilenceMs) {
				session.destroy();
				continue;
			}
			session.ping(error => {
				tracked.heardMs = error === null ? this.timers.getNow() : tracked.heardMs;
			});
		}
	}
}
