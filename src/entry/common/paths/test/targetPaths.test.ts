import type { PathChange } from '../targetPaths';
import { PathState, pickProbed, TargetPaths } from '../targetPaths';

interface PathsFixture {
	readonly paths: TargetPaths;
	readonly changes: readonly PathChange[];
	/** Runs rounds of probes every half second from one time to another, each with this number of successes of three. */
	probe(fromMs: number, untilMs: number, pickReached: (round: number) => number): void;
}

const intervalMs = 500;
const probed = 3;

function createPaths(): PathsFixture {
	const changes: PathChange[] = [];
	const paths = new TargetPaths(change => changes.push(change));
	const probe = (fromMs: number, untilMs: number, pickReached: (round: number) => number): void => {
		for (let nowMs = fromMs, round = 0; nowMs <= untilMs; nowMs += intervalMs, round++) {
			if (paths.isProbeNeeded()) {
				paths.noteProbes({ probed, reached: pickReached(round) }, nowMs, nowMs + 300);
			}
		}
	};
	return { paths, changes, probe };
}

describe('TargetPaths', () => {
	it('are cut once no target was reached for one and a half seconds', () => {
		const { paths, changes, probe } = createPaths();
		paths.noteAnswer(900);
		paths.noteTrouble('not-connected at engine-1', 1_000);
		probe(1_000, 2_000, () => 0);
		expect(paths.isCut()).toBe(false);
		probe(2_500, 2_500, () => 0);
		expect(paths.isCut()).toBe(true);
		expect(changes.at(-1)?.sign).toBe(
			'3 of 3 probed targets not reached for 1800 ms, last answer 1900 ms ago',
		);
	});

	// Guards against requests that are turned away because a sound target paused.
	it('are not cut while targets are silent for a second', () => {
		const { paths, probe } = createPaths();
		paths.noteTrouble('engine-1 is silent', 1_000);
		probe(1_000, 2_000, () => 0);
		probe(2_500, 10_000, () => probed);
		expect(paths.isCut()).toBe(false);
	});

	it('are not cut while one target is reached or answers', () => {
		const { paths, probe } = createPaths();
		paths.noteTrouble('engine-1 is silent', 1_000);
		probe(1_000, 10_000, round => (round === 2 ? 1 : 0));
		expect(paths.isCut()).toBe(false);
		paths.noteTrouble('engine-1 is silent', 20_000);
		for (let nowMs = 20_000; nowMs < 30_000; nowMs += 1_000) {
			paths.noteAnswer(nowMs);
			probe(nowMs, nowMs + intervalMs, () => 0);
		}
		expect(paths.isCut()).toBe(false);
	});

	// Guards against requests that go back and forth between entries while a link drops packets.
	it('open only after rounds of probes that all succeed', () => {
		const { paths, changes, probe } = createPaths();
		paths.noteTrouble('engine-1 is silent', 0);
		probe(0, 2_000, () => 0);
		probe(2_500, 20_000, round => (round % 2 === 0 ? probed : probed - 1));
		expect(paths.isCut()).toBe(true);
		probe(20_500, 21_000, () => probed);
		expect(changes.map(({ to }) => to)).toEqual([PathState.Doubtful, PathState.Cut, PathState.Open]);
	});

	// Guards against a process that is late or was frozen, and takes what it has not read for silence of all targets.
	it('are not cut by rounds that took longer than probes wait, or by one round on each side of a pause', () => {
		const { paths } = createPaths();
		paths.noteTrouble('engine-1 is silent', 0);
		for (let nowMs = 0; nowMs < 10_000; nowMs += 2_000) {
			paths.noteProbes({ probed, reached: 0 }, nowMs, nowMs + 1_900);
		}
		expect(paths.isCut()).toBe(false);
		paths.noteProbes({ probed, reached: 0 }, 10_000, 10_300);
		paths.noteProbes({ probed, reached: 0 }, 15_000, 15_300);
		expect(paths.isCut()).toBe(false);
	});

	it('say nothing while there is no target to probe', () => {
		const { paths } = createPaths();
		paths.noteTrouble('engine-1 is silent', 0);
		for (let nowMs = 0; nowMs < 10_000; nowMs += intervalMs) {
			paths.noteProbes({ probed: 0, reached: 0 }, nowMs, nowMs);
		}
		expect(paths.isCut()).toBe(false);
	});
});

describe('pickProbed', () => {
	it('picks all targets in turn, each at most once a round', () => {
		expect([0, 1, 2].map(round => pickProbed(['a', 'b', 'c', 'd', 'e'], round).join(''))).toEqual([
			'abc',
			'dea',
			'bcd',
		]);
		expect(pickProbed(['a', 'b'], 1)).toEqual(['a', 'b']);
		expect(pickProbed([], 3)).toEqual([]);
	});
});
