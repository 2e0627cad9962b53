/**
 * Simulates a network link as a TCP relay with delay, shared bandwidth, interruptions and silent connections. The
 * relay accepts connections immediately, so the delay of the TCP handshake is not simulated.
 */

import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { Result } from 'neverthrow';
import type { ITimerService } from '../../base/common/timerService';
import { listenOn } from '../../base/node/listenOn';
import type { FaultPatchIssue } from '../common/faultSwitches';
import { FaultSwitches } from '../common/faultSwitches';
import type { LinkFaults } from '../common/linkFaults';
import { createLinkFaults, LinkCut, linkFaultsSchema } from '../common/linkFaults';
import { SharedBandwidth } from '../common/sharedBandwidth';
import type { LinkSection } from '../common/standinSettings';
import type { LinkPath } from './linkConnection';
import { LinkConnection } from './linkConnection';
import type { IStandin } from './standin';
import type { LinkCounters } from './standinCounters';

const bytesPerMegabit = 125_000;

/** Relays the connections of one simulated link. */
export class LinkRelay implements IStandin {
	private readonly faults: FaultSwitches<LinkFaults>;
	private readonly connections = new Set<LinkConnection>();
	private readonly path: LinkPath;
	private readonly server: Server;
	private accepted = 0;
	private refused = 0;
	private silenced = 0;

	constructor(
		readonly name: string,
		private readonly section: LinkSection,
		timers: ITimerService,
	) {
		this.faults = new FaultSwitches<LinkFaults>(
			linkFaultsSchema.partial(),
			createLinkFaults(section.one_way_ms),
		);
		const bytesPerSecond = section.megabits_per_second * bytesPerMegabit;
		this.path = {
			to: section.to,
			forwardBandwidth: new SharedBandwidth(bytesPerSecond),
			backwardBandwidth: new SharedBandwidth(bytesPerSecond),
			timers,
			getOneWayMs: () => this.faults.get().oneWayMs,
		};
		this.server = createServer({ allowHalfOpen: true, noDelay: true }, socket => {
			this.acceptSocket(socket);
		});
	}

	async open(): Promise<string> {
		const { address, port } = await listenOn(this.server, this.section.listen);
		return `${address}:${port}`;
	}

	applyFaults(patch: unknown): Result<LinkFaults, readonly FaultPatchIssue[]> {
		const applied = this.faults.apply(patch);
		if (applied.isOk()) {
			this.applyCut(applied.value.cut);
			if (linkFaultsSchema.partial().parse(patch).silenceOpen === true) {
				this.markOpenConnectionsSilent();
			}
		}
		return applied;
	}

	getCounters(): LinkCounters {
		const { accepted, refused, silenced } = this;
		return { accepted, refused, silenced, open: this.connections.size };
	}

	dispose(): void {
		this.server.close();
		for (const connection of [...this.connections]) {
			connection.dispose();
		}
	}

	private acceptSocket(socket: Socket): void {
		const { cut } = this.faults.get();
		if (cut === LinkCut.Reset) {
			this.refused++;
			socket.on('error', () => undefined);
			socket.resetAndDestroy();
			return;
		}
		this.accepted++;
		const connection = new LinkConnection(socket, this.path, () => {
			this.connections.delete(connection);
		});
		connection.setPaused(cut === LinkCut.BlackHole);
		this.connections.add(connection);
	}

	private applyCut(cut: LinkCut): void {
		for (const connection of [...this.connections]) {
			connection.setPaused(cut === LinkCut.BlackHole);
			if (cut === LinkCut.Reset) {
				connection.closeWithReset();
			}
		}
	}

	private markOpenConnectionsSilent(): void {
		for (const connection of this.connections) {
			connection.markSilent();
			this.silenced++;
		}
	}
}
