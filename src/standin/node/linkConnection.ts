/**
 * A connection through a simulated link: two sockets and a delay line in each direction.
 */

import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { ListenAddress } from '../../core/settings/common/settingsTypes';
import { DelayLine } from '../common/delayLine';
import type { SharedBandwidth } from '../common/sharedBandwidth';

/** Reading from a socket is paused while more than this many bytes are queued in its direction. */
const maxQueuedBytes = 1_048_576;

enum LinkEventKind {
	Data,
	/** The sender has closed its half of the connection. */
	End,
	/** The socket of the sender has failed, for example by a reset. */
	Reset,
}

type LinkEvent =
	| { readonly kind: LinkEventKind.Data; readonly data: Buffer }
	| { readonly kind: LinkEventKind.End | LinkEventKind.Reset };

/** The network path that all connections of a link share. */
export interface LinkPath {
	readonly to: ListenAddress;
	readonly forwardBandwidth: SharedBandwidth;
	readonly backwardBandwidth: SharedBandwidth;
	readonly timers: ITimerService;
	readonly getOneWayMs: () => number;
}

/** Relays one connection until both sockets are closed. */
export class LinkConnection extends Disposable {
	private readonly upstream: Socket;
	private readonly forward: DelayLine<LinkEvent>;
	private readonly backward: DelayLine<LinkEvent>;
	private isSilent = false;
	private isPaused = false;
	private closedSockets = 0;

	constructor(
		private readonly downstream: Socket,
		path: LinkPath,
		private readonly onDidClose: () => void,
	) {
		super();
		this.upstream = connect({
			host: path.to.host,
			port: path.to.port,
			allowHalfOpen: true,
			noDelay: true,
		});
		this.forward = this.register(
			new DelayLine<LinkEvent>(path.forwardBandwidth, path.timers, path.getOneWayMs, event => {
				this.forwardEvent(event, this.downstream, this.upstream, this.forward);
			}),
		);
		this.backward = this.register(
			new DelayLine<LinkEvent>(path.backwardBandwidth, path.timers, path.getOneWayMs, event => {
				this.forwardEvent(event, this.upstream, this.downstream, this.backward);
			}),
		);
		this.subscribeToSocket(this.downstream, this.forward);
		this.subscribeToSocket(this.upstream, this.backward);
	}

	/** Pauses or resumes delivery in both directions. Queued data is kept. */
	setPaused(isPaused: boolean): void {
		this.isPaused = isPaused;
		this.updatePause(this.forward, this.upstream);
		this.updatePause(this.backward, this.downstream);
	}

	/**
	 * Permanently discards all data in both directions, as a middlebox does that has lost its connection table. Each
	 * socket stays open until its own peer closes it, and the close is not forwarded to the other socket.
	 */
	markSilent(): void {
		this.isSilent = true;
		this.forward.dispose();
		this.backward.dispose();
		this.downstream.resume();
		this.upstream.resume();
	}

	/** Resets both sockets. */
	closeWithReset(): void {
		this.downstream.resetAndDestroy();
		this.upstream.resetAndDestroy();
	}

	override dispose(): void {
		super.dispose();
		this.downstream.destroy();
		this.upstream.destroy();
	}

	private subscribeToSocket(source: Socket, line: DelayLine<LinkEvent>): void {
		source.on('data', (data: Buffer) => {
			if (this.isSilent) {
				return;
			}
			line.push({ kind: LinkEventKind.Data, data }, data.length);
			if (line.getQueuedBytes() > maxQueuedBytes) {
				source.pause();
			}
		});
		source.on('end', () => {
			if (this.isSilent) {
				source.destroy();
			}
			line.push({ kind: LinkEventKind.End }, 0);
		});
		source.on('error', () => {
			line.push({ kind: LinkEventKind.Reset }, 0);
		});
		source.on('close', () => {
			this.handleSocketClose();
		});
	}

	private forwardEvent(event: LinkEvent, source: Socket, sink: Socket, line: DelayLine<LinkEvent>): void {
		switch (event.kind) {
			case LinkEventKind.Data:
				this.forwardData(event.data, source, sink, line);
				return;
			case LinkEventKind.End:
				sink.end();
				return;
			case LinkEventKind.Reset:
				sink.resetAndDestroy();
		}
	}

	private forwardData(data: Buffer, source: Socket, sink: Socket, line: DelayLine<LinkEvent>): void {
		if (line.getQueuedBytes() <= maxQueuedBytes) {
			source.resume();
		}
		if (sink.destroyed || sink.write(data)) {
			return;
		}
		this.updatePause(line, sink);
		sink.once('drain', () => {
			this.updatePause(line, sink);
		});
	}

	private updatePause(line: DelayLine<LinkEvent>, sink: Socket): void {
		line.setPaused(this.isPaused || (sink.writableNeedDrain && !sink.destroyed));
	}

	private handleSocketClose(): void {
		this.closedSockets++;
		if (this.closedSockets === 2) {
			this.forward.dispose();
			this.backward.dispose();
			this.onDidClose();
		}
	}
}
