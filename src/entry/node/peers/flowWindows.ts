/**
 * HTTP/2 flow-control windows for links between regions. A window limits the bytes in flight that have not been read.
 * The default of 64 KiB suits local networks: with a round trip of 110 ms it limits throughput to 0.6 MB/s whatever
 * the bandwidth, so a 1 MiB body takes seconds on an idle link of 100 Mb/s.
 *
 * The sizes follow from the bandwidth-delay product. 1,400 Mb/s with 110 ms give 19 MB in flight on a session. One
 * stream needs 1.4 MB to use a link of 100 Mb/s fully, and 4 MiB leave some margin. A slow reader holds back only its
 * own stream, after 4 MiB.
 */

import type { Http2Session } from 'node:http2';

const mebibyte = 1_048_576;
const streamWindowBytes = 4 * mebibyte;
const sessionWindowBytes = 32 * mebibyte;

/** The HTTP/2 settings that clients and servers open sessions with. */
export const windowSettings = { initialWindowSize: streamWindowBytes } as const;

/** Enlarges the receive window of a session for all its streams together. Can be called repeatedly. */
export function setSessionWindow(session: Http2Session): void {
	if (session.state.localWindowSize !== sessionWindowBytes) {
		session.setLocalWindowSize(sessionWindowBytes);
	}
}
