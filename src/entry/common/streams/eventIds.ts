/**
 * Ids of server-sent events whose lines end with line feeds. The last id of an event counts; a field without a colon has an
 * empty value.
 */

const lineFeed = '\n';
const eventEnd = '\n\n';
const dataPattern = /^data/m;
const numberPattern = /^\d+$/;
/** Numbers with as many digits are exact in a number type. */
const maxExactDigits = 15;
const leadingZeros = /^0+/;

/**
 * Whether an event with data has a number for an id that is not larger than the id before it. An earlier release that forwards a
 * stream joins to it the events of a target that begins anew, also after its first event.
 *
 * @param before The id before these events.
 * @param last The last id among them.
 */
export function hasEarlierNumber(
	events: Buffer,
	before: string | undefined,
	last: string | undefined,
): boolean {
	if (last === undefined) {
		return false;
	}
	let previous = before;
	let start = 0;
	while (start < events.byteLength) {
		const next = events.indexOf(eventEnd, start);
		const end = next < 0 ? events.byteLength : next + eventEnd.length;
		const event = start === 0 && end === events.byteLength ? events : events.subarray(start, end);
		const id = event === events ? last : findLastId(event);
		if (id !== undefined && isEarlierNumber(event, id, previous)) {
			return true;
		}
		previous = id ?? previous;
		start = end;
	}
	return false;
}

function isEarlierNumber(event: Buffer, id: string, previous: string | undefined): boolean {
	if (previous === undefined || !numberPattern.test(id) || !numberPattern.test(previous)) {
		return false;
	}
	return !isLargerNumber(id, previous) && dataPattern.test(event.toString('latin1'));
}

/** Whether an id may follow another one: ids that are numbers increase, and others differ. */
export function isLaterId(id: string | undefined, last: string): boolean {
	if (id === undefined || id === '' || id === last) {
		return false;
	}
	return !(numberPattern.test(id) && numberPattern.test(last)) || isLargerNumber(id, last);
}

/** Compares the digits of two numbers, which may be too long for a number type. */
function isLargerNumber(left: string, right: string): boolean {
	if (left.length <= maxExactDigits && right.length <= maxExactDigits) {
		return Number(left) > Number(right);
	}
	const [digits, others] = [left, right].map(text => text.replace(leadingZeros, '')) as [string, string];
	return digits.length === others.length ? digits > others : digits.length > others.length;
}

/** The id of the last event that has one. */
export function findLastId(events: Buffer): string | undefined {
	const start = findLastIdField(events);
	if (start < 0) {
		return undefined;
	}
	const end = events.indexOf(lineFeed, start);
	return events
		.subarray(start + 'id:'.length, end < 0 ? events.byteLength : end)
		.toString('utf8')
		.trim();
}

/** The offset of the last id, or -1. A field without a colon has an empty value. */
function findLastIdField(events: Buffer): number {
	const at = Math.max(events.lastIndexOf('\nid:'), events.lastIndexOf('\nid\n'));
	if (at >= 0) {
		return at + 1;
	}
	const first = events.toString('latin1', 0, 'id:'.length);
	return first === 'id:' || first === 'id\n' ? 0 : -1;
}
