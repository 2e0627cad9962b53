/**
 * A connection to a peer whose flow-control window fits a link between regions. The session behind the
 * library's manager shows itself only by its streams, so the window is widened with the first of each.
 */

import { Http2SessionManager } from '@connectrpc/connect-node';
import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2';
import { setSessionWindow } from './flowWindows';

/**
 * The manager stops listening to a session that it leaves, and one whose ping timed out can still report
 * that afterwards. An `error` that nobody listens to ends the process, and with it every request of this
 * entry, because one peer fell silent. The streams of the session have been told already.
 */
function handleLateError(): void {
	return;
}

/** Opens sessions as the library does, and widens each. */
export class PeerSession extends Http2SessionManager {
	private readonly widened = new WeakSet<ClientHttp2Session>();

	override async request(...call: Parameters<Http2SessionManager['request']>): Promise<ClientHttp2Stream> {
		const stream = await super.request(...call);
		const { session } = stream;
		if (session !== undefined && !session.destroyed && !this.widened.has(session as ClientHttp2Session)) {
			this.widened.add(session as ClientHttp2Session);
			session.on('error', handleLateError);
			setSessionWindow(session);
		}
		return stream;
	}
}
