import fc from 'fast-check';
import { EventStreamSplitter } from '../eventStreamSplitter';
import { parseEvents } from './referenceEvents';

/** More by hand: DRAWS=200000. */
const numRuns = Number(process.env.DRAWS ?? 4_000);
const seed = Number(process.env.SEED ?? 11);

const lines = fc.oneof(
	{ weight: 6, arbitrary: fc.constant('') },
	fc.constantFrom('data', 'data:', 'data: a', 'data:b', 'data: €', 'data: id: 9', 'data: \u{1F600}'),
	fc.constantFrom('id', 'id:', 'id: 1', 'id:2', 'id: 10', 'id: a-3', 'identity: 4', 'id : 5', ' id: 6'),
	fc.constantFrom(': comment', ':', ':id: 7', 'event: token', 'event', 'retry: 9', 'other', 'dataset: 8'),
);
const mark = '\uFEFF';
const lineEnds = fc.constantFrom('\n', '\r\n', '\r');

interface DrawnText {
	readonly bytes: Buffer;
	/** Lengths of the chunks; what is left is one more. */
	readonly cuts: readonly number[];
}

/** Texts with one kind of line end in most cases, and with all of them mixed in the others. */
const texts: fc.Arbitrary<DrawnText> = fc
	.tuple(
		fc.constantFrom('', mark),
		fc.oneof(
			lineEnds.chain(end =>
				fc.array(
					lines.map(line => line + end),
					{ maxLength: 14 },
				),
			),
			fc.array(
				fc.tuple(lines, lineEnds).map(([line, end]) => line + end),
				{ maxLength: 14 },
			),
		),
		fc.oneof(fc.constant(''), lines),
		fc.array(fc.integer({ min: 1, max: 12 }), { maxLength: 20 }),
	)
	.map(([mark, whole, last, cuts]) => ({ bytes: Buffer.from(mark + whole.join('') + last), cuts }));

/** Pushes the chunks; returns what is passed on after each of them. */
function pushChunks(splitter: EventStreamSplitter, { bytes, cuts }: DrawnText): Buffer[] {
	const passed: Buffer[] = [];
	let start = 0;
	for (const length of [...cuts, bytes.byteLength]) {
		passed.push(splitter.push(bytes.subarray(start, start + length)));
		start += length;
	}
	return passed;
}

/** Checks a property of one text; a plain comparison spares most of the time of a matcher. */
function checkTexts(isRight: (text: DrawnText) => boolean): void {
	fc.assert(fc.property(texts, isRight), { seed, numRuns });
}

describe('events of any form, cut anywhere', () => {
	// Guards against bytes that are lost, changed or passed on in another order.
	it('are passed on byte by byte but for a byte order mark, followed by the remainder', () => {
		checkTexts(text => {
			const splitter = new EventStreamSplitter();
			const passed = Buffer.concat(pushChunks(splitter, text));
			const rest = splitter.takeRemainder();
			return Buffer.concat([passed, rest]).toString() === text.bytes.toString().replace(mark, '');
		});
	});

	// Guards against a part of an event that is passed on, and is then taken for the beginning of the next target's event.
	it('are passed on as whole events after each chunk', () => {
		checkTexts(text => {
			const parts = pushChunks(new EventStreamSplitter(), text);
			const passed = parts.map((_, index) => Buffer.concat(parts.slice(0, index + 1)));
			return passed.every(bytes => !parseEvents(bytes).isInsideEvent);
		});
	});

	// Guards against a whole event that is held back, and is dropped where nothing follows.
	it('are passed on once they are whole', () => {
		checkTexts(text => {
			const passed = Buffer.concat(pushChunks(new EventStreamSplitter(), text));
			return parseEvents(passed).events.length === parseEvents(text.bytes).events.length;
		});
	});

	// Guards against an end inside an event that counts as the end of the stream, and the other way round.
	it('are inside an event where a parser is', () => {
		checkTexts(text => {
			const splitter = new EventStreamSplitter(true);
			pushChunks(splitter, text);
			return splitter.isInsideEvent() === parseEvents(text.bytes).isInsideEvent;
		});
	});

	// Guards against a target that is asked to go on after another event than the last one of the caller.
	it('can go on only after the event whose id the caller has', () => {
		checkTexts(text => {
			const splitter = new EventStreamSplitter();
			const passed = Buffer.concat(pushChunks(splitter, text));
			return !splitter.isResumable() || splitter.getLastEventId() === parseEvents(passed).lastEventId;
		});
	});
});
