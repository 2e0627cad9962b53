/**
 * Test fixture: a parser of server-sent events that follows the steps of the HTML standard, one line after the other, and
 * takes the whole text at once.
 */

export interface ParsedEvent {
	readonly id: string;
	readonly type: string;
	readonly data: string;
}

export interface ParsedStream {
	readonly events: readonly ParsedEvent[];
	/** The id of the last event that has one, also without data; empty if none has. */
	readonly lastEventId: string;
	/** Whether the text ends inside an event: after a field of it, or inside a line that is no comment. */
	readonly isInsideEvent: boolean;
}

const lineEnd = /\r\n|\r|\n/;

class EventParser {
	readonly events: ParsedEvent[] = [];
	lastEventId = '';
	hasFields = false;
	private id = '';
	private type = '';
	private data: string[] = [];

	readLine(line: string): void {
		if (line === '') {
			this.finishEvent();
			return;
		}
		if (line.startsWith(':')) {
			return;
		}
		this.hasFields = true;
		const colon = line.indexOf(':');
		const name = colon < 0 ? line : line.slice(0, colon);
		this.setField(name, colon < 0 ? '' : line.slice(colon + 1).replace(/^ /, ''));
	}

	private setField(name: string, value: string): void {
		if (name === 'data') {
			this.data.push(value);
		} else if (name === 'event') {
			this.type = value;
		} else if (name === 'id' && !value.includes('\0')) {
			this.id = value;
		}
	}

	/** An event without data is dropped, but its id counts. */
	private finishEvent(): void {
		this.lastEventId = this.id;
		if (this.data.length > 0) {
			this.events.push({ id: this.id, type: this.type, data: this.data.join('\n') });
		}
		this.hasFields = false;
		this.type = '';
		this.data = [];
	}
}

/** Parses a stream. A byte order mark is left out where it begins the stream, and nowhere else. */
export function parseEvents(bytes: Uint8Array): ParsedStream {
	const lines = new TextDecoder().decode(bytes).split(lineEnd);
	const parser = new EventParser();
	const last = lines.pop() ?? '';
	for (const line of lines) {
		parser.readLine(line);
	}
	const isInsideLine = last !== '' && !last.startsWith(':');
	const { events, lastEventId, hasFields } = parser;
	return { events, lastEventId, isInsideEvent: hasFields || isInsideLine };
}
