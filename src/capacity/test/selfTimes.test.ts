import type { CpuProfile } from '../common/selfTimes';
import { computeSelfTimes } from '../common/selfTimes';

function createProfile(samples: readonly (readonly [string, number])[]): CpuProfile {
	const names = [...new Set(samples.map(([name]) => name))];
	return {
		nodes: names.map((functionName, index) => ({
			id: index + 1,
			callFrame: { functionName, url: 'file:///folder/entry.js', lineNumber: 9 },
		})),
		samples: samples.map(([name]) => names.indexOf(name) + 1),
		timeDeltas: samples.map(([, deltaUs]) => deltaUs),
		startTime: 0,
	};
}

describe('self times of a profile', () => {
	it('sum the samples of each function, the largest first', () => {
		const profile = createProfile([
			['read', 1_000],
			['decide', 2_500],
			['read', 2_000],
			['decide', 2_500],
		]);
		expect(computeSelfTimes(profile)).toEqual([
			{ name: 'decide entry.js:10', selfMs: 5 },
			{ name: 'read entry.js:10', selfMs: 3 },
		]);
	});

	it('leave out the samples before the given time', () => {
		const profile = createProfile([
			['start', 4_000],
			['read', 1_000],
		]);
		expect(computeSelfTimes(profile, 5)).toEqual([{ name: 'read entry.js:10', selfMs: 1 }]);
	});
});
