/**
 * Connections to other entries: one HTTP/2 session each, for views, manifests and forwarded requests. Sessions with
 * active streams are pinged, because an open connection that a device on the path no longer tracks stays silent
 * permanently, and a forwarded request would wait on it until its deadline.
 */

import type { Client } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import type { Http2SessionManager } from '@connectrpc/connect-node';
import { createConnectTransport } from '@connectrpc/connect-node';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { CertificateStore } from '../../../core/tls/node/certificateStore';
import { createPeerSessionOptions } from '../../../core/tls/node/secureOptions';
import { PeerService } from '../../../gen/anvilroad/peer/v1/peer_pb';
import { windowSettings } from './flowWindows';
import { PeerSession } from './peerSession';

const pingIntervalMs = 2_000;
const pingTimeoutMs = 1_500;
const idleTimeoutMs = 60_000;

/** The RPC client and the HTTP/2 session of one peer. */
export interface PeerConnection {
	readonly client: Client<typeof PeerService>;
	readonly session: Http2SessionManager;
}

/** Opens and reuses one connection for each peer URL. */
export class PeerClients extends Disposable {
	private readonly connections = new Map<string, PeerConnection>();

	/**
	 * `routes` maps advertised URLs to the URLs to connect to. `certificates` enables mutual TLS; without it,
	 * connections are not encrypted.
	 */
	constructor(
		private readonly routes: Readonly<Record<string, string>>,
		private readonly certificates: CertificateStore | undefined,
	) {
		super();
		this.register(
			toDisposable(() => {
				for (const { session } of this.connections.values()) {
					session.abort();
				}
			}),
		);
	}

	/** Returns the connection to a peer. The first call on it establishes it. */
	open(peerUrl: string): PeerConnection {
		const existing = this.connections.get(peerUrl);
		if (existing !== undefined) {
			return existing;
		}
		const baseUrl = this.routes[peerUrl] ?? peerUrl;
		const pings = { pingIntervalMs, pingTimeoutMs, idleConnectionTimeoutMs: idleTimeoutMs };
		const secure = this.certificates && createPeerSessionOptions(this.certificates, peerUrl);
		const session = new PeerSession(baseUrl, pings, { ...secure, settings: windowSettings });
		const transport = createConnectTransport({
			baseUrl,
			httpVersion: '2',
			sessionManager: session,
			acceptCompression: [],
		});
		const connection = { client: createClient(PeerService, transport), session };
		this.connections.set(peerUrl, connection);
		return connection;
	}

	/** Closes the connections to peers that are no longer present, so that replaced instances leak none. */
	closeAbsent(presentUrls: ReadonlySet<string>): void {
		for (const [peerUrl, { session }] of this.connections) {
			if (!presentUrls.has(peerUrl)) {
				session.abort();
				this.connections.delete(peerUrl);
			}
		}
	}
}
