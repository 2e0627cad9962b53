/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded to
 * the caller.
 *
 * A target that crashes may stop in the middle of an event. If the partial event were forwarded, the answer
 * could not be continued: another target continues with the next complete event, and the caller would parse
 * the partial event and that one as a single event. The bytes of an event are therefore held until its end,
 * and a partial event is discarded. What the caller has received always ends with a complete event, whose id
 * marks where to continue.
 */

const lineFeed = '\n';
const eventEnd = '\n\n';
const eventEndCrlf = '\r\n\r\n';
const empty = Buffer.alloc(0);

/** Splits one stream. */
export class EventStreamSplitter {
	private pending: Buffer = empty;
	private lastId: string | undefined;
	private hasEvent = false;

	/** Whether the bytes so far end inside an event, or contain none. */
	isInsideEvent(): boolean {
		return this.pending.byteLength > 0 || !this.hasEvent;
	}

	/** The most recent id among the complete events so far, or undefined if none had one. */
	getLastEventId(): string | undefined {
		return this.lastId;
	}

	/** Appends bytes and returns the events that are now complete. */
	push(chunk: Uint8Array): Buffer {
		const bytes = toBuffer(chunk);
		const all = this.pending.byteLength === 0 ? bytes : Buffer.concat([this.pending, bytes]);
		const end = findLastEventEnd(all);
		this.pending = end === all.byteLength ? empty : all.subarray(end);
		const whole = all.subarray(0, end);
		if (whole.byteLength > 0) {
			this.hasEvent = true;
			this.lastId = findLastId(whole) ?? this.lastId;
		}
		return whole;
	}

	/** Removes and returns the bytes after the last complete event. */
	takeRemainder(): Buffer {
		const rest = this.pending;
		this.pending = empty;
		return rest;
	}
}

function toBuffer(chunk: Uint8Array): Buffer {
	return Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
}

/** The offset after the last complete event, or 0. */
function findLastEventEnd(bytes: Buffer): number {
	const lfIndex = bytes.lastIndexOf(eventEnd);
	const crlfIndex = bytes.lastIndexOf(eventEndCrlf);
	return Math.max(
		lfIndex < 0 ? 0 : lfIndex + eventEnd.length,
		crlfIndex < 0 ? 0 : crlfIndex + eventEndCrlf.length,
	);
}

/** The id of the last event that has one. */
function findLastId(events: Buffer): string | undefined {
	const at = events.lastIndexOf('\nid:');
	const start = at >= 0 ? at + 1 : events.indexOf('id:') === 0 ? 0 : -1;
	if (start < 0) {
		return undefined;
	}
	const end = events.indexOf(lineFeed, start);
	return events
		.subarray(start + 'id:'.length, end < 0 ? events.byteLength : end)
		.toString('utf8')
		.trim();
}
