/**
 * Formats durations, counts, byte sizes and texts for terminal output.
 */

const secondMs = 1_000;
const minuteMs = 60 * secondMs;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;
const byteUnits = ['B', 'KiB', 'MiB', 'GiB'];
const bytesPerKibibyte = 1_024;
const shortDigestLength = 12;

/** Formats a duration as `900ms`, `3.2s`, `1m 05s`, `2h 10m` or `3d 04h`, and an unknown duration as a hyphen. */
export function formatDuration(durationMs: number | null): string {
	if (durationMs === null) {
		return '-';
	}
	if (durationMs < secondMs) {
		return `${Math.round(durationMs)}ms`;
	}
	if (durationMs < minuteMs) {
		return `${(durationMs / secondMs).toFixed(1)}s`;
	}
	if (durationMs < hourMs) {
		return formatTwoUnits(durationMs, minuteMs, 'm', secondMs, 's');
	}
	return durationMs < dayMs
		? formatTwoUnits(durationMs, hourMs, 'h', minuteMs, 'm')
		: formatTwoUnits(durationMs, dayMs, 'd', hourMs, 'h');
}

function formatTwoUnits(
	durationMs: number,
	largeMs: number,
	large: string,
	smallMs: number,
	small: string,
): string {
	const rest = Math.floor((durationMs % largeMs) / smallMs);
	return `${Math.floor(durationMs / largeMs)}${large} ${String(rest).padStart(2, '0')}${small}`;
}

/** Formats a count with its noun, such as `1 target` or `2 targets`. */
export function formatCount(count: number, noun: string): string {
	return `${count} ${noun}${count === 1 ? '' : 's'}`;
}

/** Formats a byte count, such as `0 B`, `1.5 KiB` or `256.0 MiB`. */
export function formatBytes(bytes: number): string {
	let value = bytes;
	let unit = 0;
	while (value >= bytesPerKibibyte && unit < byteUnits.length - 1) {
		value /= bytesPerKibibyte;
		unit++;
	}
	return `${unit === 0 ? value : value.toFixed(1)} ${byteUnits[unit] ?? ''}`;
}

/** Returns a prefix of a digest that is long enough to distinguish two digests by eye. */
export function formatShortDigest(digest: string): string {
	return digest.slice(0, shortDigestLength);
}

/**
 * Replaces control characters. Details quote data that callers and targets sent, and an escape sequence in
 * that data could move the cursor of the operator's terminal or hide lines of the output.
 */
export function formatForTerminal(text: string): string {
	return text.replace(/\p{Cc}/gu, '?');
}
