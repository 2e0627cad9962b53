import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { TargetId } from '../../../../core/ids/common/ids';
import type { CrashSighting } from '../../../common/quarantine/quarantine';
import { CrashReporter } from '../../../common/quarantine/crashReporter';
import { Quarantine } from '../../../common/quarantine/quarantine';
import { CrashDetector } from '../crashDetector';
import type { AcceptedCall } from '../requestRun';

/** Creates the parts of a call that identify it after a crash. */
function createCall(body: string): AcceptedCall {
	const head = { service: 'report-writer', organisation: 'default', method: 'POST', path: '/v1/run' };
	return { head, body: Buffer.from(body) } as unknown as AcceptedCall;
}

interface EntryFixture {
	readonly detector: CrashDetector;
	readonly reporter: CrashReporter;
	readonly quarantine: Quarantine;
}

/** Creates entries that receive the reports of each other immediately, and apply them as `PeerViewListener` does. */
function createDetectors(count: number, timers: ManualTimerService): CrashDetector[] {
	const entries: EntryFixture[] = [];
	const receive = (own: Quarantine, sightings: readonly CrashSighting[]): void => {
		for (const { quarantine, reporter } of entries.filter(other => other.quarantine !== own)) {
			reporter.sendIfRefused(quarantine.noteCrashSightings(sightings, timers.getNow()));
		}
	};
	for (let index = 0; index < count; index++) {
		const quarantine = new Quarantine();
		const reporter = new CrashReporter(sightings => {
			receive(quarantine, sightings);
			return Promise.resolve();
		}, timers);
		const detector = new CrashDetector(
			quarantine,
			() => Promise.resolve(true),
			crash => reporter.share(crash),
			timers,
		);
		entries.push({ detector, reporter, quarantine });
	}
	return entries.map(({ detector }) => detector);
}

describe('a request that crashes its targets', () => {
	// Guards against a third crash by a request that is sent to one entry after the other, when its first crash waits in
	// a collected report.
	it('is refused after two crashes although its first entry has just reported another crash', async () => {
		const timers = new ManualTimerService();
		const detectors = createDetectors(4, timers);
		await detectors[0]!.checkForCrash('engine-0' as TargetId, [createCall('other')]);
		let crashes = 0;
		for (const detector of detectors) {
			const call = createCall('crashing');
			if (detector.findRefusal(call) === undefined) {
				crashes++;
				await detector.checkForCrash(`engine-${crashes}` as TargetId, [call]);
			}
			timers.advance(50);
		}
		expect(crashes).toBe(2);
	});
});
