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

import { findLastId, hasEarlierNumber, isLaterId } from './eventIds';

const lineFeed = '\n';
const carriageReturn = '\r';
const lineFeedByte = 0x0a;
const carriageReturnByte = 0x0d;
const eventEnd = '\n\n';
const eventEndsWithCarriageReturns = ['\n\r\n', '\n\r', '\r\r'];
const commentStart = ':';
const foreignLineEnds = /\r\n?/g;
const idOrDataPattern = /^(id|data)/m;
const byteOrderMark = Buffer.from('\uFEFF');
const empty = Buffer.alloc(0);
/** Bytes of an event beyond which its target counts as faulty, since an event is held until its end. */
const maxEventBytes = 262_144;

/** Splits one stream. */
export class EventStreamSplitter {
	private pending: Buffer[] = [];
	private pendingBytes = 0;
	/** The id of the first event, empty if that has none. */
	private firstId: string | undefined;
	private lastId: string | undefined;
	/** Whether the last complete event with data has an id. */
	private isLastIdentified = false;
	/** The id of the event that the next one has to follow, until that is checked. */
	private resumedAfter: string | undefined;
	private isMisplaced = false;
	/** Whether the bytes so far may be the beginning of a byte order mark. */
	private isAtStart = true;

	/**
	 * @param hasEvent Whether nothing may be left of the stream, since it goes on after an event.
	 * @param firstAfter The id of that event, if the caller has it.
	 * @param isOrdered Whether ids that are numbers increase, as in any stream that can go on after each of its events.
	 */
	constructor(
		private hasEvent = false,
		private readonly firstAfter?: string,
		private readonly isOrdered = false,
	) {
		this.resumedAfter = firstAfter;
	}

	/** Whether the bytes so far end inside an event, or contain none though the stream has just begun. */
	isInsideEvent(): boolean {
		return !this.hasEvent || (this.pendingBytes > 0 && hasOpenEvent(Buffer.concat(this.pending)));
	}

	/** Whether the bytes so far end inside a line, be it a comment. */
	isInsideLine(): boolean {
		const last = this.pending.at(-1)?.at(-1);
		return last !== undefined && last !== lineFeedByte && last !== carriageReturnByte;
	}

	/** Describes for the log how far the stream has come. */
	describePosition(): string {
		return `after event ${this.lastId ?? 'none'}, ${this.pendingBytes} bytes of the next one`;
	}

	/**
	 * Starts the stream of another target, which is to go on after the last complete event. Drops what is left of the one
	 * before, such as half a comment.
	 */
	beginContinuation(): void {
		this.takeRemainder();
		this.isAtStart = true;
		this.isMisplaced = false;
		this.resumedAfter = this.lastId ?? this.firstAfter;
	}

	/**
	 * Whether the target that goes on begins with another event than one after the last, or a number among the ids is not larger
	 * than the one before. Nothing is passed on from then on.
	 */
	hasMisplacedEvent(): boolean {
		return this.isMisplaced;
	}

	/** The most recent id among the complete events so far, or undefined if none had one. */
	getLastEventId(): string | undefined {
		return this.lastId;
	}

	/** Whether a target can go on after the last complete event: one without an id, or with an empty one, would be sent again. */
	isResumable(): boolean {
		return this.isLastIdentified && this.lastId !== undefined && this.lastId !== '';
	}

	/** Whether the event that has begun is longer than an event may be. */
	isEventTooLong(): boolean {
		return this.pendingBytes > maxEventBytes;
	}

	/** Appends bytes and returns the events that are now complete. */
	push(chunk: Uint8Array): Buffer {
		this.addPending(toBuffer(chunk));
		this.removeByteOrderMark();
		if (!this.isEventEndPossible()) {
			return empty;
		}
		const all = this.takeRemainder();
		const end = findLastEventEnd(all);
		if (end < all.byteLength) {
			this.addPending(all.subarray(end));
		}
		const whole = all.subarray(0, end);
		if (whole.byteLength > 0) {
			this.noteEvents(withLineFeeds(whole));
		}
		return this.isMisplaced ? empty : whole;
	}

	/** Removes a byte order mark: readers ignore it only at the beginning of an answer, and would keep it where another target continues. */
	private removeByteOrderMark(): void {
		if (!this.isAtStart) {
			return;
		}
		const bytes = this.takeRemainder();
		const isMark = bytes.subarray(0, byteOrderMark.byteLength).equals(byteOrderMark);
		this.isAtStart = !isMark && byteOrderMark.subarray(0, bytes.byteLength).equals(bytes);
		this.addPending(isMark ? bytes.subarray(byteOrderMark.byteLength) : bytes);
	}

	/** Follows complete events, whose lines end with line feeds. */
	private noteEvents(events: Buffer): void {
		this.checkContinuation(events);
		const lastId = findLastId(events);
		this.isMisplaced ||= this.isOrdered && hasEarlierNumber(events, this.lastId, lastId);
		if (this.isMisplaced) {
			return;
		}
		this.hasEvent ||= hasFields(events);
		this.firstId ??= findFirstId(events);
		this.lastId = lastId ?? this.lastId;
		this.isLastIdentified = isIdentified(events) ?? this.isLastIdentified;
	}

	/**
	 * Checks the first event of a continuation. One without an id may be any event; ids that are numbers increase, and no others
	 * show more than that the stream begins anew or repeats its last event.
	 */
	private checkContinuation(events: Buffer): void {
		const first = this.resumedAfter === undefined ? undefined : findFirstEvent(events);
		if (this.resumedAfter === undefined || first === undefined) {
			return;
		}
		const id = findLastId(first);
		this.isMisplaced = id === this.firstId || !isLaterId(id, this.resumedAfter);
		this.resumedAfter = undefined;
	}

	/** Removes and returns the bytes after the last complete event. */
	takeRemainder(): Buffer {
		const [first = empty] = this.pending;
		const rest = this.pending.length > 1 ? Buffer.concat(this.pending) : first;
		this.pending = [];
		this.pendingBytes = 0;
		return rest;
	}

	private addPending(bytes: Buffer): void {
		if (bytes.byteLength > 0) {
			this.pending.push(bytes);
			this.pendingBytes += bytes.byteLength;
		}
	}

	/** Whether the last chunk has the end of a line, without which it completes no event. Spares joining chunks of a long event. */
	private isEventEndPossible(): boolean {
		const last = this.pending.at(-1);
		return last?.includes(lineFeed) === true || last?.includes(carriageReturn) === true;
	}
}

function toBuffer(chunk: Uint8Array): Buffer {
	return Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
}

/** The offset after the last complete event, or 0. */
function findLastEventEnd(bytes: Buffer): number {
	const ends = bytes.includes(carriageReturn) ? [eventEnd, ...eventEndsWithCarriageReturns] : [eventEnd];
	return Math.max(...ends.map(end => findOffsetAfterLast(bytes, end)));
}

/** The offset after the last occurrence of a text, or 0. */
function findOffsetAfterLast(bytes: Buffer, text: string): number {
	const index = bytes.lastIndexOf(text);
	return index < 0 ? 0 : index + text.length;
}

/** Ends all lines with line feeds. The bytes of characters other than these ends are left as they are. */
function withLineFeeds(bytes: Buffer): Buffer {
	return bytes.includes(carriageReturn)
		? Buffer.from(bytes.toString('latin1').replace(foreignLineEnds, lineFeed), 'latin1')
		: bytes;
}

/** Whether one of the lines, which end with line feeds, is neither empty nor a comment. */
function hasFields(lines: Buffer): boolean {
	return lines
		.toString('latin1')
		.split(lineFeed)
		.some(line => line !== '' && !line.startsWith(commentStart));
}

/** Whether bytes that begin at the start of an event end inside one. */
function hasOpenEvent(bytes: Buffer): boolean {
	const lines = withLineFeeds(bytes);
	return hasFields(lines.subarray(findLastEventEnd(lines)));
}

/** The first of these complete events that has an id or data. */
function findFirstEvent(events: Buffer): Buffer | undefined {
	const first = events
		.toString('latin1')
		.split(eventEnd)
		.find(event => idOrDataPattern.test(event));
	return first === undefined ? undefined : Buffer.from(first, 'latin1');
}

/** The id of the first of these complete events that has an id or data: empty if it has none, undefined if there is no such event. */
function findFirstId(events: Buffer): string | undefined {
	const first = findFirstEvent(events);
	return first === undefined ? undefined : (findLastId(first) ?? '');
}

/** Whether the last of these complete events that is more than a comment has an id, or undefined if there is none. */
function isIdentified(events: Buffer): boolean | undefined {
	let rest = events;
	while (rest.byteLength > 0) {
		const start = findLastEventEnd(rest.subarray(0, -1));
		const last = rest.subarray(start);
		if (findLastId(last) !== undefined) {
			return true;
		}
		if (last.indexOf('data') === 0 || last.includes('\ndata')) {
			return false;
		}
		rest = rest.subarray(0, start);
	}
	return undefined;
}
