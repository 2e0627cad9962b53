/**
 * Sums a V8 CPU profile by function. The time of a sample counts for the function at the top of the stack, so the sums
 * show where processor time is spent and not which call caused it.
 */

/** The parts of a V8 CPU profile that are read. */
export interface CpuProfile {
	readonly nodes: readonly {
		readonly id: number;
		readonly callFrame: { readonly functionName: string; readonly url: string; readonly lineNumber: number };
	}[];
	readonly samples: readonly number[];
	/** Microseconds from the previous sample to each sample. */
	readonly timeDeltas: readonly number[];
	readonly startTime: number;
}

/** The time of one function itself, without the functions that it called. */
export interface SelfTime {
	readonly name: string;
	readonly selfMs: number;
}

const idleNames = new Set(['(idle)', '(program)', '(root)']);

/** Sums the samples after `fromMs` by function, the largest sum first. Idle time is left out. */
export function computeSelfTimes(profile: CpuProfile, fromMs = 0): readonly SelfTime[] {
	const names = new Map(profile.nodes.map(({ id, callFrame }) => [id, describeFunction(callFrame)]));
	const sums = new Map<string, number>();
	let elapsedUs = 0;
	for (const [index, id] of profile.samples.entries()) {
		const deltaUs = profile.timeDeltas[index] ?? 0;
		elapsedUs += deltaUs;
		const name = names.get(id) ?? '';
		if (elapsedUs >= fromMs * 1_000 && !idleNames.has(name)) {
			sums.set(name, (sums.get(name) ?? 0) + deltaUs / 1_000);
		}
	}
	return [...sums]
		.map(([name, selfMs]) => ({ name, selfMs }))
		.sort((left, right) => right.selfMs - left.selfMs);
}

function describeFunction({
	functionName,
	url,
	lineNumber,
}: CpuProfile['nodes'][number]['callFrame']): string {
	const file = url.split('/').at(-1) ?? '';
	const name = functionName === '' ? '(anonymous)' : functionName;
	return file === '' ? name : `${name} ${file}:${lineNumber + 1}`;
}
