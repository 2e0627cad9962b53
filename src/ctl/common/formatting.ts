/**
 * How numbers, times and texts are shown to a person.
 */

const second = 1_000;
const minute = 60 * second;
const hour = 60 * minute;
const day = 24 * hour;
const byteUnits = ['B', 'KiB', 'MiB', 'GiB'];
const bytesPerUnit = 1_024;
const shownDigestCharacters = 12;

/** `900ms`, `3.2s`, `1m 05s`, `2h 10m`, `3d 4h`; a hyphen for what is not known. */
export function formatDuration(durationMs: number | null): string {
	if (durationMs === null) {
		return '-';
	}
	if (durationMs < second) {
		return `${Math.round(durationMs)}ms`;
	}
	if (durationMs < minute) {
		return `${(durationMs / second).toFixed(1)}s`;
	}
	if (durationMs < hour) {
		return formatPair(durationMs, minute, 'm', second, 's');
	}
	return durationMs < day
		? formatPair(durationMs, hour, 'h', minute, 'm')
		: formatPair(durationMs, day, 'd', hour, 'h');
}

function formatPair(
	durationMs: number,
	largeMs: number,
	large: string,
	smallMs: number,
	small: string,
): string {
	const rest = Math.floor((durationMs % largeMs) / smallMs);
	return `${Math.floor(durationMs / largeMs)}${large} ${String(rest).padStart(2, '0')}${small}`;
}

/** `1 target`, `2 targets`. */
export function formatCount(count: number, noun: string): string {
	return `${count} ${noun}${count === 1 ? '' : 's'}`;
}

/** `0 B`, `1.5 KiB`, `256.0 MiB`. */
export function formatBytes(bytes: number): string {
	let value = bytes;
	let unit = 0;
	while (value >= bytesPerUnit && unit < byteUnits.length - 1) {
		value /= bytesPerUnit;
		unit++;
	}
	return `${unit === 0 ? value : value.toFixed(1)} ${byteUnits[unit] ?? ''}`;
}

/** The beginning of a digest, enough to tell two apart by eye. */
export function formatDigest(digest: string): string {
	return digest.slice(0, shownDigestCharacters);
}

/**
 * Replaces control characters. Details quote what callers and targets sent; an escape sequence among it
 * would move the cursor of the operator's terminal or hide lines, and the output would no longer show what
 * happened.
 */
export function formatText(text: string): string {
	return text.replace(/\p{Cc}/gu, '?');
}
