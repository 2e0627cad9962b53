import fc from 'fast-check';
import { EventStreamSplitter } from '../eventStreamSplitter';

function createEvents(count: number): string[] {
	return Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: token-${index + 1}\n\n`);
}

describe('EventCutter', () => {
	// A target stops in the middle of an event, and another target continues with the next complete event.
	// Wherever the chunks of the stream end, only complete events may be forwarded, and the id of the last one
	// must be known.
	it('forwards complete events only, wherever the chunks end', () => {
		fc.assert(
			fc.property(
				fc.integer({ min: 1, max: 6 }),
				fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 12 }),
				(count, cuts) => {
					const events = createEvents(count);
					const bytes = Buffer.from(`${events.join('')}id: 99\nda`);
					const splitter = new EventStreamSplitter();
					let passed = '';
					let start = 0;
					for (const length of [...cuts, bytes.byteLength]) {
						passed += splitter.push(bytes.subarray(start, start + length)).toString();
						start += length;
					}
					expect(passed).toBe(events.join(''));
					expect(splitter.getLastEventId()).toBe(String(count));
				},
			),
			{ seed: 7 },
		);
	});

	it('returns the remainder at a clean end and removes it when the stream was interrupted', () => {
		const whole = new EventStreamSplitter();
		whole.push(Buffer.from('data: a\n\ndata: b'));
		expect(whole.takeRemainder().toString()).toBe('data: b');
		const broken = new EventStreamSplitter();
		broken.push(Buffer.from('data: a\n\ndata: b'));
		expect(broken.takeRemainder().toString()).toBe('data: b');
		expect(broken.push(Buffer.from('data: c\n\n')).toString()).toBe('data: c\n\n');
	});

	// Guards against an event without end that fills the memory of the entry.
	it('reports an event that is too long, and none that ends in time', () => {
		const splitter = new EventStreamSplitter();
		const chunk = Buffer.from('x'.repeat(64));
		let bytes = 0;
		while (!splitter.isEventTooLong() && bytes < 1_048_576) {
			splitter.push(chunk);
			bytes += chunk.byteLength;
		}
		expect(splitter.isEventTooLong()).toBe(true);
		const long = Buffer.from(`data: ${'x'.repeat(100_000)}\n\n`);
		const whole = new EventStreamSplitter();
		for (let event = 0; event < 10; event++) {
			expect(whole.push(long).byteLength).toBe(long.byteLength);
			expect(whole.isEventTooLong()).toBe(false);
		}
	});

	// Guards against an event without an id that another target sends once more.
	it.each([
		{ text: 'id: 8\ndata: a\n\n', isResumable: true },
		{ text: 'id: 8\ndata: a\n\ndata: [DONE]\n\n', isResumable: false },
		{ text: 'id: 8\r\ndata: a\r\n\r\ndata: [DONE]\r\n\r\n', isResumable: false },
		{ text: 'id: 8\ndata: a\n\n: keep-alive\n\n', isResumable: true },
		{ text: 'data: a\n\n', isResumable: false },
		{ text: 'id: 8\ndata: a\n\nid:\ndata: [DONE]\n\n', isResumable: false },
		{ text: 'id: 8\ndata: a\n\nid\ndata: [DONE]\n\n', isResumable: false },
	])('can be resumed after $text: $isResumable', ({ text, isResumable }) => {
		const splitter = new EventStreamSplitter();
		splitter.push(Buffer.from(text));
		expect(splitter.isResumable()).toBe(isResumable);
	});

	// Guards against taking a resumed stream of which nothing is left for one that broke off.
	it('is inside an event before its first one unless it goes on after another', () => {
		expect([false, true].map(hasEvent => new EventStreamSplitter(hasEvent).isInsideEvent())).toEqual([
			true,
			false,
		]);
	});

	// Guards against a last event that breaks off, and against cutting a stream for a comment or a blank line after its last one.
	it.each([
		{ text: 'data: a\n\n', isInside: false },
		{ text: 'data: a\n\nda', isInside: true },
		{ text: 'data: a\n\ndata: b\n', isInside: true },
		{ text: 'data: a\n\nid: 9', isInside: true },
		{ text: 'data: a\n\n\n', isInside: false },
		{ text: 'data: a\n\n: bye', isInside: false },
		{ text: 'data: a\r\n\r\n\r\n', isInside: false },
		{ text: 'data: a\r\n\r\ndata: b\r\n', isInside: true },
		{ text: 'data: a\n\r\n', isInside: false },
		{ text: 'data: a\r\rdata: b\r\r', isInside: false },
		{ text: 'data: a\r\rdata: b\r', isInside: true },
		{ text: ': only a comment\n\n', isInside: true },
	])('is inside an event after $text: $isInside', ({ text, isInside }) => {
		for (const step of [1, text.length]) {
			const splitter = new EventStreamSplitter();
			for (let start = 0; start < text.length; start += step) {
				splitter.push(Buffer.from(text.slice(start, start + step)));
			}
			expect(splitter.isInsideEvent()).toBe(isInside);
		}
	});

	// Guards against events that a target repeats or leaves out because it does not go on where it is asked to.
	it.each([
		{ text: 'id: 1\ndata: a\n\n', isElsewhere: true },
		{ text: 'id: 8\ndata: a\n\n', isElsewhere: true },
		{ text: ': hello\n\nretry: 9\n\nid: 8\ndata: a\n\nid: 9\ndata: a\n\n', isElsewhere: true },
		{ text: 'data: a\n\n', isElsewhere: true },
		{ text: 'event: error\ndata: a\n\nid: 9\ndata: a\n\n', isElsewhere: true },
		{ text: 'id: 9\ndata: a\n\n', isElsewhere: false },
		{ text: ': hello\n\ndata: a\nid: 9\n\n', isElsewhere: false },
		{ text: 'id: 10\r\ndata: a\r\n\r\n', isElsewhere: false },
		{ text: 'id: a7\ndata: a\n\n', isElsewhere: false },
	])('begins elsewhere if it goes on after event 8 with $text: $isElsewhere', ({ text, isElsewhere }) => {
		const splitter = new EventStreamSplitter();
		splitter.push(Buffer.from('id: 8\ndata: a\n\n'));
		splitter.beginContinuation();
		const passed = splitter.push(Buffer.from(text)).toString();
		expect(splitter.hasMisplacedEvent()).toBe(isElsewhere);
		expect(passed).toBe(isElsewhere ? '' : text);
		expect(splitter.getLastEventId() === '8').toBe(isElsewhere);
	});

	// Guards against a stream whose ids are no numbers and that begins anew, so that its caller gets all events twice.
	it.each([
		{ begun: 'id: a1\ndata: a\n\nid: a2\ndata: b\n\n', next: 'id: a1\ndata: a\n\n', isElsewhere: true },
		{
			begun: 'retry: 9\n\nid: a1\ndata: a\n\nid: a2\ndata: b\n\n',
			next: 'id: a1\ndata: a\n\n',
			isElsewhere: true,
		},
		{ begun: 'id: a1\ndata: a\n\nid: a2\ndata: b\n\n', next: 'id:\ndata: c\n\n', isElsewhere: true },
		{ begun: 'id: a1\ndata: a\n\nid: a2\ndata: b\n\n', next: 'id: a3\ndata: c\n\n', isElsewhere: false },
		{ begun: 'data: a\n\nid: a2\ndata: b\n\n', next: 'id: a3\ndata: c\n\n', isElsewhere: false },
	])('begins elsewhere if $next goes on after $begun: $isElsewhere', ({ begun, next, isElsewhere }) => {
		const splitter = new EventStreamSplitter();
		splitter.push(Buffer.from(begun));
		splitter.beginContinuation();
		expect(splitter.push(Buffer.from(next)).toString()).toBe(isElsewhere ? '' : next);
		expect(splitter.hasMisplacedEvent()).toBe(isElsewhere);
	});

	// Guards against a stream that begins anew for a caller that resumes it, also at a second target.
	it.each([0, 1])(
		'begins elsewhere if its caller has event 8 and it has event 1 (targets before: %d)',
		targets => {
			const splitter = new EventStreamSplitter(true, '8');
			for (let index = 0; index < targets; index++) {
				splitter.beginContinuation();
			}
			expect(splitter.push(Buffer.from('id: 1\ndata: a\n\n')).byteLength).toBe(0);
			expect(splitter.hasMisplacedEvent()).toBe(true);
		},
	);

	// Guards against streams that can't go on since their ids, such as times in nanoseconds, are rounded to the same number.
	it.each([
		{ last: '1764939000000000003', next: '1764939000000000004', isElsewhere: false },
		{ last: '1764939000000000004', next: '1764939000000000003', isElsewhere: true },
		{ last: '99999999999999999999', next: '100000000000000000000', isElsewhere: false },
		{ last: '7', next: '008', isElsewhere: false },
	])('compares id $next with $last: $isElsewhere', ({ last, next, isElsewhere }) => {
		const splitter = new EventStreamSplitter(true, last);
		splitter.push(Buffer.from(`id: ${next}\ndata: a\n\n`));
		expect(splitter.hasMisplacedEvent()).toBe(isElsewhere);
	});

	// Guards against taking half a line for the end of a stream without framing.
	it.each([
		{ text: 'data: a\n\n: kee', isInside: true },
		{ text: 'data: a\n\n: keep\n', isInside: false },
		{ text: 'data: a\r\n\r\n: keep\r\n', isInside: false },
		{ text: 'data: a\n\n', isInside: false },
		{ text: '', isInside: false },
	])('is inside a line after $text: $isInside', ({ text, isInside }) => {
		const splitter = new EventStreamSplitter();
		splitter.push(Buffer.from(text));
		expect(splitter.isInsideLine()).toBe(isInside);
	});

	// Guards against an event that is dropped since the connection of its target ends between the two bytes of a line end.
	it('passes on an event whose last line feed is missing, and then that alone', () => {
		const splitter = new EventStreamSplitter();
		expect(splitter.push(Buffer.from('data: a\r\n\r')).toString()).toBe('data: a\r\n\r');
		expect(splitter.isInsideEvent()).toBe(false);
		expect(splitter.push(Buffer.from('\ndata: b\r\n\r\n')).toString()).toBe('\ndata: b\r\n\r\n');
	});

	// Guards against a byte order mark amid a stream, which makes its reader drop the line after it.
	it.each([1, 2, 3, 4, 100])(
		'drops the byte order mark of each target, cut into pieces of %d bytes',
		length => {
			const splitter = new EventStreamSplitter();
			const send = (text: string): string => {
				const bytes = Buffer.from(text);
				let passed = '';
				for (let start = 0; start < bytes.byteLength; start += length) {
					passed += splitter.push(bytes.subarray(start, start + length)).toString();
				}
				return passed;
			};
			const first = send('\uFEFFid: 8\ndata: a\n\n');
			expect(splitter.isResumable()).toBe(true);
			splitter.beginContinuation();
			expect(first + send('\uFEFFdata: b\nid: 9\n\n')).toBe('id: 8\ndata: a\n\ndata: b\nid: 9\n\n');
		},
	);

	// Guards against a byte order mark alone, or before a comment, that counts as an event.
	it.each(['\uFEFF', '\uFEFF: hello\n\n'])('has no event after %j', text => {
		const splitter = new EventStreamSplitter();
		splitter.push(Buffer.from(text));
		expect(splitter.isInsideEvent()).toBe(true);
		const next = new EventStreamSplitter(true);
		next.push(Buffer.from(text));
		expect(next.isInsideEvent()).toBe(false);
	});

	// Guards against half a comment of one target that becomes part of the first event of the next one.
	it('drops what is left of the target before', () => {
		const splitter = new EventStreamSplitter();
		splitter.push(Buffer.from('id: 8\ndata: a\n\n: keep'));
		splitter.beginContinuation();
		expect(splitter.push(Buffer.from('id: 9\ndata: a\n\n')).toString()).toBe('id: 9\ndata: a\n\n');
	});

	// Guards against an id that holds the lines after it, which no header may hold.
	it.each(['\n', '\r\n', '\r'])('finds ids of lines that end with %j', lineEnd => {
		const splitter = new EventStreamSplitter();
		splitter.push(Buffer.from(['id: 1', 'data: a', '', 'id: 2', 'data: b', '', ''].join(lineEnd)));
		expect(splitter.getLastEventId()).toBe('2');
		expect(splitter.isResumable()).toBe(true);
	});

	// Guards against events of a target that begins anew amid a stream, and against whole streams that are taken for it.
	it.each([
		{ chunks: ['id: 1\ndata: a\n\nid: 2\ndata: b\n\n', 'id: 1\ndata: a\n\n'], passed: 1 },
		{ chunks: ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\nid: 1\ndata: a\n\n'], passed: 1 },
		{ chunks: ['id: 1\ndata: a\n\n', 'id: 1\ndata: a\n\n'], passed: 1 },
		{ chunks: ['id: 1\r\ndata: a\r\n\r\n', 'id: 1\r\ndata: a\r\n\r\n'], passed: 1 },
		{ chunks: ['id: 2\ndata: a\n\n', 'data: b\n\n', 'id: 2\ndata: a\n\n'], passed: 2 },
		{ chunks: ['id: 9\ndata: a\n\n', 'id: 10\n', 'data: b\n\n', 'id: 12\ndata: c\n\n'], passed: 4 },
		{ chunks: ['id: 1\ndata: a\n\n', ': keep\n\n', 'data: b\n\n: keep\n\nid: 2\ndata: c\n\n'], passed: 3 },
		{ chunks: ['id: 1\ndata: a\n\n', 'id: 1\n\n', 'id: 2\nid: 1\nid: 3\ndata: b\n\n'], passed: 3 },
		{ chunks: ['id: 2\ndata: a\n\n', 'id\ndata: b\n\n', 'id: 1\ndata: c\n\n'], passed: 3 },
		{ chunks: ['id: b\ndata: a\n\n', 'id: a\ndata: b\n\n', 'id: b\ndata: c\n\n'], passed: 3 },
	])('passes on $passed of $chunks where numbers increase', ({ chunks, passed }) => {
		const ordered = new EventStreamSplitter(false, undefined, true);
		const sent = chunks.map(chunk => ordered.push(Buffer.from(chunk)).toString());
		expect(sent.join('')).toBe(chunks.slice(0, passed).join(''));
		expect(ordered.hasMisplacedEvent()).toBe(passed < chunks.length);
		const other = new EventStreamSplitter();
		expect(chunks.map(chunk => other.push(Buffer.from(chunk)).toString()).join('')).toBe(chunks.join(''));
	});

	// Guards against a stream that can't go on after a target began anew amid it.
	it('goes on after the last event that was passed on', () => {
		const splitter = new EventStreamSplitter(false, undefined, true);
		splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n'));
		splitter.push(Buffer.from('id: 1\ndata: a\n\n'));
		splitter.beginContinuation();
		expect(splitter.push(Buffer.from('id: 3\ndata: c\n\n')).toString()).toBe('id: 3\ndata: c\n\n');
		expect(splitter.getLastEventId()).toBe('3');
	});
});
