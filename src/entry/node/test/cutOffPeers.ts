/**
 * The network between the entries of a simulated site, as one of them sees it. Paths between entries can be cut, and entries can stop.
 */

import type { InstanceId } from '../../../core/ids/common/ids';
import type {
	EntryView as WireView,
	ForwardRequestRequest,
	ForwardRequestResponse,
} from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { PeerClients } from '../peers/peerClients';
import type { CutOffEntry, CutOffRegions } from './cutOffRegion';

export const networkMs = 2;
const exchangeTimeoutMs = 2_000;

/** Creates the clients of one entry. */
export class CutOffPeers {
	constructor(
		private readonly self: InstanceId,
		private readonly site: CutOffRegions,
	) {}

	createClients(): PeerClients {
		const { timers } = this.site;
		const wait = async (ms: number): Promise<void> => {
			await new Promise<void>(resolve => timers.schedule(ms, resolve));
		};
		const find = (peerUrl: string): CutOffEntry | undefined =>
			this.site.entries.find(({ id }) => id === new URL(peerUrl).hostname);
		return {
			open: (peerUrl: string) => ({
				session: { connect: () => this.openConnection(find(peerUrl)) },
				client: {
					exchangeViews: async ({ views }: { views: WireView[] }) => {
						await wait(networkMs);
						const peer = find(peerUrl);
						if (peer === undefined || !this.isReaching(peer)) {
							await wait(exchangeTimeoutMs);
							throw new Error('no such entry');
						}
						return { views: peer.receiveViews(views) };
					},
					forwardRequest: (
						requests: AsyncIterable<ForwardRequestRequest>,
						{ signal }: { signal: AbortSignal },
					) => this.forwardTo(find(peerUrl)!, requests, signal),
				},
			}),
			closeAbsent: () => undefined,
		} as unknown as PeerClients;
	}

	private isReaching(peer: CutOffEntry): boolean {
		return !peer.hasStopped() && !this.site.isPeerCut(this.self, peer.id);
	}

	/** Over a path that is cut, a connection neither opens nor fails; a process that has ended refuses it. */
	private async openConnection(peer: CutOffEntry | undefined): Promise<string> {
		if (peer === undefined || peer.hasStopped()) {
			return 'error';
		}
		if (!this.isReaching(peer)) {
			await new Promise(() => undefined);
		}
		return 'open';
	}

	/** Messages over a path that is cut are lost, and a cancelled call fails at once. */
	private async *forwardTo(
		peer: CutOffEntry,
		requests: AsyncIterable<ForwardRequestRequest>,
		signal: AbortSignal,
	): AsyncGenerator<ForwardRequestResponse> {
		const cancelled = new Promise<undefined>(resolve => {
			signal.addEventListener('abort', () => {
				resolve(undefined);
			});
		});
		const atPeer = new AbortController();
		signal.addEventListener('abort', () => {
			if (this.isReaching(peer)) {
				atPeer.abort();
			}
		});
		const answers = this.isReaching(peer) ? peer.serveForwarded(requests, atPeer.signal) : undefined;
		for (;;) {
			const next = await Promise.race([answers?.next() ?? cancelled, cancelled]);
			if (next !== undefined && !this.isReaching(peer)) {
				await cancelled;
			}
			if (next === undefined || signal.aborted) {
				throw new Error('the call was cancelled');
			}
			if (next.done === true) {
				return;
			}
			yield next.value;
		}
	}
}
