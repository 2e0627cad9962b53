import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { Fingerprint, TargetId } from '../../../../core/ids/common/ids';
import { estimateSightingBytes } from '../../fleetView/entryView';
import type { ObservedCrash } from '../crashReporter';
import { CrashReporter } from '../crashReporter';
import type { CrashSighting } from '../quarantine';

/** A reporter whose reports end when the test calls `release`. */
interface ReporterFixture {
	readonly timers: ManualTimerService;
	readonly reporter: CrashReporter;
	readonly reports: (readonly CrashSighting[])[];
	/** Ends the latest report. */
	release(): void;
}

function createReporter(): ReporterFixture {
	const timers = new ManualTimerService();
	const reports: (readonly CrashSighting[])[] = [];
	let releaseLatest = (): void => undefined;
	const reporter = new CrashReporter(sightings => {
		reports.push(sightings);
		return new Promise(resolve => {
			releaseLatest = resolve;
		});
	}, timers);
	return {
		timers,
		reporter,
		reports,
		release: () => {
			releaseLatest();
		},
	};
}

function createCrash(index: number, isRequestRefused = false): ObservedCrash {
	return {
		target: `engine-${index}` as TargetId,
		fingerprints: [`request-${index}` as Fingerprint],
		isRequestRefused,
	};
}

async function waitForPromises(): Promise<void> {
	await new Promise(resolve => setImmediate(resolve));
}

describe('CrashReporter', () => {
	it('reports a single crash at once, and the request waits until the report has arrived', async () => {
		const { reporter, reports, release } = createReporter();
		let isReported = false;
		void reporter.share(createCrash(1)).then(() => {
			isReported = true;
		});
		await waitForPromises();
		expect(reports).toEqual([[{ fingerprint: 'request-1', target: 'engine-1', ageMs: 0 }]]);
		expect(isReported).toBe(false);
		release();
		await waitForPromises();
		expect(isReported).toBe(true);
	});

	// Guards against reports that take all entries of a region hundreds of milliseconds to decode after a rack was lost.
	it('limits the bytes of a report, and keeps the sighting of the refused request in it', async () => {
		const { reporter, reports, release } = createReporter();
		void reporter.share(createCrash(0));
		await waitForPromises();
		release();
		const refused = createCrash(1).fingerprints;
		void reporter.share(createCrash(1));
		for (let index = 2; index < 600; index++) {
			void reporter.share(createCrash(index));
		}
		reporter.sendIfRefused(new Set(refused));
		await waitForPromises();
		const report = reports.at(-1)!;
		const bytes = report.reduce((sum, sighting) => sum + estimateSightingBytes(sighting), 0);
		expect(bytes).toBeLessThanOrEqual(4_000);
		expect(report.map(({ fingerprint }) => fingerprint)).toContain(refused[0]);
	});

	// Guards against a flood of reports between entries that all see the same failure of many targets.
	it('collects the crashes of many targets in one further report', async () => {
		const { timers, reporter, reports, release } = createReporter();
		let waiting = 0;
		for (let index = 0; index < 18; index++) {
			waiting++;
			void reporter.share(createCrash(index)).then(() => {
				waiting--;
			});
			await waitForPromises();
			timers.advance(10);
		}
		expect(reports.map(report => report.length)).toEqual([1]);
		expect(waiting).toBe(1);
		release();
		timers.advance(1_000);
		expect(reports.map(report => report.length)).toEqual([1, 17]);
		expect(reports[1]?.[0]?.ageMs).toBeGreaterThan(800);
		timers.advance(10_000);
		expect(reports).toHaveLength(2);
	});

	// Guards against a request that crashes one more target because its refusal waits in a collected report.
	it('reports a crash at once that leads to a refusal, with everything collected before', async () => {
		const { timers, reporter, reports, release } = createReporter();
		void reporter.share(createCrash(1));
		await waitForPromises();
		release();
		void reporter.share(createCrash(2));
		let isReported = false;
		void reporter.share(createCrash(3, true)).then(() => {
			isReported = true;
		});
		await waitForPromises();
		expect(reports.map(report => report.map(({ target }) => target))).toEqual([
			['engine-1'],
			['engine-2', 'engine-3'],
		]);
		expect(isReported).toBe(false);
		release();
		await waitForPromises();
		expect(isReported).toBe(true);
		timers.advance(10_000);
		expect(reports).toHaveLength(2);
	});

	it('sends crashes that were seen during a report together in the next one', async () => {
		const { reporter, reports, release } = createReporter();
		void reporter.share(createCrash(1));
		await waitForPromises();
		let waiting = 0;
		for (const index of [2, 3, 4]) {
			waiting++;
			void reporter.share(createCrash(index, true)).then(() => {
				waiting--;
			});
		}
		await waitForPromises();
		expect(reports).toHaveLength(1);
		release();
		await waitForPromises();
		expect(reports.map(report => report.length)).toEqual([1, 3]);
		expect(waiting).toBe(3);
		release();
		await waitForPromises();
		expect(waiting).toBe(0);
	});

	// Guards against entries that receive a refused request again while this entry waits for a peer that does not answer.
	it('reports a crash that leads to a refusal although a peer has not answered the report before', async () => {
		const { timers, reporter, reports } = createReporter();
		void reporter.share(createCrash(1));
		await waitForPromises();
		timers.advance(500);
		void reporter.share(createCrash(2, true));
		await waitForPromises();
		timers.advance(500);
		await waitForPromises();
		expect(reports.map(report => report.map(({ target }) => target))).toEqual([['engine-1'], ['engine-2']]);
	});

	it('reports later crashes although a report has failed', async () => {
		const timers = new ManualTimerService();
		const targets: (readonly TargetId[])[] = [];
		const reporter = new CrashReporter(sightings => {
			targets.push(sightings.map(({ target }) => target));
			return targets.length === 1 ? Promise.reject(new Error('no peer reached')) : Promise.resolve();
		}, timers);
		await reporter.share(createCrash(1));
		await reporter.share(createCrash(2, true));
		expect(targets).toEqual([['engine-1'], ['engine-2']]);
	});
});
