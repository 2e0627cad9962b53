import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { TargetId } from '../../../../core/ids/common/ids';
import type { ObservedCrash } from '../../../common/quarantine/crashReporter';
import { Quarantine } from '../../../common/quarantine/quarantine';
import { CrashDetector } from '../crashDetector';
import type { AcceptedCall } from '../requestRun';

/** Creates the parts of a call that identify it after a crash. */
function createCall(body: string): AcceptedCall {
	const head = { service: 'report-writer', organisation: 'default', method: 'POST', path: '/v1/run' };
	return { head, body: Buffer.from(body) } as unknown as AcceptedCall;
}

/** A detector for which every broken connection is a crash, and the crashes that it reports. */
interface DetectorFixture {
	readonly detector: CrashDetector;
	readonly reported: ObservedCrash[];
}

function createDetector(): DetectorFixture {
	const reported: ObservedCrash[] = [];
	const detector = new CrashDetector(
		new Quarantine(),
		() => Promise.resolve(true),
		crash => {
			reported.push(crash);
			return Promise.resolve();
		},
		new ManualTimerService(),
	);
	return { detector, reported };
}

describe('CrashDetector', () => {
	// Guards against a third crash by a request whose refusal reaches the other entries late, and against a report of
	// every further crash while the request is refused everywhere.
	it('reports as urgent only the crash after which a request is refused', async () => {
		const { detector, reported } = createDetector();
		for (const target of ['engine-1', 'engine-2', 'engine-3']) {
			await detector.checkForCrash(target as TargetId, [createCall('crashing')]);
		}
		expect(reported.map(({ isRequestRefused }) => isRequestRefused)).toEqual([false, true, false]);
	});

	it('reports a crash as urgent if only one of its requests is refused from then on', async () => {
		const { detector, reported } = createDetector();
		await detector.checkForCrash('engine-1' as TargetId, [createCall('crashing')]);
		await detector.checkForCrash('engine-2' as TargetId, [createCall('other'), createCall('crashing')]);
		expect(reported.map(({ isRequestRefused }) => isRequestRefused)).toEqual([false, true]);
	});
});
