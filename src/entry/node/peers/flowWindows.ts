/**
 * HTTP/2 flow-control windows for links between regions. A window bounds what may be under way unread, and
 * the default of 64 KiB fits a link within a building: over 110 ms of round trip it lets through 0.6 MB/s
 * whatever the link carries, so a 1 MiB body took seconds on an idle link of 100 Mb/s.
 *
 * The figures are the product of bandwidth and round trip: 1,400 Mb/s for 110 ms is 19 MB under way in all;
 * one stream fills a link of 100 Mb/s with 1.4 MB, and 4 MiB leave it some margin. A reader that is slow
 * holds its own stream back at 4 MiB.
 */

import type { Http2Session } from 'node:http2';

const mebibyte = 1_048_576;
const streamWindowBytes = 4 * mebibyte;
const sessionWindowBytes = 32 * mebibyte;

/** The settings that both ends open their sessions with. */
export const windowSettings = { initialWindowSize: streamWindowBytes } as const;

/** Widens what the other end may send on a session in all; harmless when done twice. */
export function setSessionWindow(session: Http2Session): void {
	if (session.state.localWindowSize !== sessionWindowBytes) {
		session.setLocalWindowSize(sessionWindowBytes);
	}
}
