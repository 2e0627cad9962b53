/**
 * Tracks the HTTP/2 sessions of a server and drains them when it closes. A session ends after its last stream, and a
 * stream to an unresponsive peer never ends, because the peer sends no flow-control window updates. The process would
 * then keep running after its last request, and operators would have to kill it during a planned stop. Sessions with
 * open streams are therefore pinged, and a session whose peer does not respond is destroyed; streams to responsive
 * peers continue. A session is closed only after its last stream, because a closed session sends no pings.
 */

import type { ServerHttp2Session } from 'node:http2';
import { subscribeTo } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';

const pingIntervalMs = 1_000;

/** Time without a ping response after which a session is destroyed. A peer that is only slow responds sooner. */
const maxSilenceMs = 10_000;

interface TrackedSession {
	readonly session: ServerHttp2Session;
	openStreams: number;
	lastResponseMs: number;
}

/** Tracks sessions from their start, and ends them after `close` is called. */
export class SessionDrainer extends Disposable {
	private readonly sessions = new Set<TrackedSession>();
	private isClosing = false;

	constructor(private readonly timers: ITimerService) {
		super();
	}

	add(session: ServerHttp2Session): void {
		const tracked = { session, openStreams: 0, lastResponseMs: 0 };
		this.sessions.add(tracked);
		session.once('close', () => this.sessions.delete(tracked));
		session.on('stream', stream => {
			tracked.openStreams++;
			stream.once('close', () => {
				tracked.openStreams--;
				this.closeIfIdle(tracked);
			});
		});
	}

	/** Accepts no new streams, and ends each session after its last stream or when its peer stops responding. */
	close(): void {
		this.isClosing = true;
		for (const tracked of [...this.sessions]) {
			tracked.lastResponseMs = this.timers.getNow();
			// A destroyed session stays listed until its close event and throws on every call.
			if (!tracked.session.destroyed) {
				tracked.session.goaway();
				this.closeIfIdle(tracked);
			}
		}
		this.register(
			subscribeTo(this.timers.watchTicks(pingIntervalMs), ({ nowMs }) => {
				this.probeSessions(nowMs);
			}),
		);
	}

	private closeIfIdle({ session, openStreams: openStreams }: TrackedSession): void {
		if (this.isClosing && openStreams === 0 && !session.destroyed) {
			session.close();
		}
	}

	private probeSessions(nowMs: number): void {
		for (const tracked of [...this.sessions]) {
			const { session, lastResponseMs } = tracked;
			if (session.destroyed || session.closed) {
				continue;
			}
			if (nowMs - lastResponseMs >= maxSilenceMs) {
				session.destroy();
				continue;
			}
			session.ping(error => {
				tracked.lastResponseMs = error === null ? this.timers.getNow() : tracked.lastResponseMs;
			});
		}
	}
}
