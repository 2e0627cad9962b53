/**
 * A connection to a peer with a flow-control window sized for links between regions. The library's session manager
 * exposes a session only through its streams, so the window is enlarged with the first stream of each session.
 */

import { Http2SessionManager } from '@connectrpc/connect-node';
import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2';
import { setSessionWindow } from './flowWindows';

/**
 * The manager removes its listeners from a session that it abandons, but a session whose ping timed out can still
 * emit `error` afterwards. An unhandled `error` event would end the process, and with it all requests of this entry,
 * because of one unresponsive peer. The streams of the session have already failed by then.
 */
function handleLateError(): void {
	return;
}

/** Opens sessions like the library does, and enlarges the window of each. */
export class PeerSession extends Http2SessionManager {
	private readonly widenedSessions = new WeakSet<ClientHttp2Session>();

	override async request(...call: Parameters<Http2SessionManager['request']>): Promise<ClientHttp2Stream> {
		const stream = await super.request(...call);
		const { session } = stream;
		if (
			session !== undefined &&
			!session.destroyed &&
			!this.widenedSessions.has(session as ClientHttp2Session)
		) {
			this.widenedSessions.add(session as ClientHttp2Session);
			session.on('error', handleLateError);
			setSessionWindow(session);
		}
		return stream;
	}
}
