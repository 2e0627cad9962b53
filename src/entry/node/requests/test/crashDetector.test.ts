import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { RequestId, TargetId } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import type { ObservedCrash } from '../../../common/quarantine/crashReporter';
import { Quarantine } from '../../../common/quarantine/quarantine';
import { CrashDetector } from '../crashDetector';
import type { AcceptedCall } from '../requestRun';
import { createCall, createPlan } from './flowFixtures';

const [firstTarget, secondTarget] = ['engine-1', 'engine-2'] as [TargetId, TargetId];
/** Longer than any wait for the other entries may take. */
const longMs = 10_000;

interface SharedCrash extends ObservedCrash {
	/** Whether the quarantine of this entry contained all requests of the crash when it was shared. */
	readonly isRecorded: boolean;
}

interface DetectorFixture {
	readonly timers: ManualTimerService;
	readonly quarantine: Quarantine;
	readonly detector: CrashDetector;
	readonly probed: TargetId[];
	readonly shared: SharedCrash[];
	/** Answers all pending probes. */
	answerProbes(isDown: boolean): Promise<void>;
	/** Lets the other entries answer all pending reports. */
	answerReports(): Promise<void>;
}

async function waitForPromises(): Promise<void> {
	await new Promise(resolve => setImmediate(resolve));
}

function createDetector(): DetectorFixture {
	const timers = new ManualTimerService();
	const quarantine = new Quarantine();
	const probed: TargetId[] = [];
	const shared: SharedCrash[] = [];
	const pendingProbes: ((isDown: boolean) => void)[] = [];
	const pendingReports: (() => void)[] = [];
	const detector = new CrashDetector(
		quarantine,
		target => {
			probed.push(target);
			return new Promise(resolve => pendingProbes.push(resolve));
		},
		crash => {
			const isRecorded = crash.fingerprints.every(fingerprint => quarantine.isSuspect(fingerprint));
			shared.push({ ...crash, isRecorded });
			return new Promise(resolve => pendingReports.push(resolve));
		},
		timers,
	);
	return {
		timers,
		quarantine,
		detector,
		probed,
		shared,
		answerProbes: async isDown => {
			for (const answer of pendingProbes.splice(0)) {
				answer(isDown);
			}
			await waitForPromises();
		},
		answerReports: async () => {
			for (const answer of pendingReports.splice(0)) {
				answer();
			}
			await waitForPromises();
		},
	};
}

function createCallWith(body: string): AcceptedCall {
	return createCall(`request-${body}` as RequestId, createPlan(RepeatRule.Idempotent), body, 0);
}

/** Starts a check, and returns a function that tells whether its result is there, so that a retry may start. */
function startCheck(
	{ detector }: DetectorFixture,
	target: TargetId,
	inFlight: readonly AcceptedCall[],
): () => boolean {
	let hasEnded = false;
	void detector.checkForCrash(target, inFlight).then(() => {
		hasEnded = true;
	});
	return () => hasEnded;
}

/** Checks a target that is down, up to the end of the check. */
async function checkCrashedTarget(
	fixture: DetectorFixture,
	target: TargetId,
	inFlight: readonly AcceptedCall[],
): Promise<void> {
	startCheck(fixture, target, inFlight);
	await fixture.answerProbes(true);
	await fixture.answerReports();
}

describe('CrashDetector', () => {
	// Guards against a probe and a report for each of the requests that a crash interrupts.
	it('probes and reports a target once for all connections that break while the probe is pending', async () => {
		const fixture = createDetector();
		const calls = ['a', 'b', 'c'].map(createCallWith);
		const checks = calls.map(() => startCheck(fixture, firstTarget, calls));
		await fixture.answerProbes(true);
		expect(checks.map(hasEnded => hasEnded())).toEqual([false, false, false]);
		await fixture.answerReports();
		expect(checks.map(hasEnded => hasEnded())).toEqual([true, true, true]);
		expect(fixture.probed).toEqual([firstTarget]);
		expect(fixture.shared).toHaveLength(1);
		expect(fixture.shared[0]?.fingerprints).toHaveLength(calls.length);
	});

	it('probes different targets independently, and a target again after its check has ended', async () => {
		const fixture = createDetector();
		const hasFirstEnded = startCheck(fixture, firstTarget, []);
		startCheck(fixture, secondTarget, []);
		await fixture.answerProbes(false);
		expect(hasFirstEnded()).toBe(true);
		startCheck(fixture, firstTarget, []);
		expect(fixture.probed).toEqual([firstTarget, secondTarget, firstTarget]);
	});

	// Guards against retries that crash the next target before the first crash is known.
	it('ends a check only after the crash is recorded and shared', async () => {
		const fixture = createDetector();
		const call = createCallWith('a');
		const hasEnded = startCheck(fixture, firstTarget, [call]);
		await waitForPromises();
		expect([hasEnded(), fixture.detector.isSuspected(call)]).toEqual([false, false]);
		await fixture.answerProbes(true);
		expect([hasEnded(), fixture.detector.isSuspected(call)]).toEqual([false, true]);
		expect(fixture.shared).toMatchObject([{ target: firstTarget, isRecorded: true }]);
		await fixture.answerReports();
		expect(hasEnded()).toBe(true);
	});

	// Guards against requests that wait for an unreachable entry until their deadline.
	it('ends a check after a limited time if other entries do not answer', async () => {
		const fixture = createDetector();
		const hasEnded = startCheck(fixture, firstTarget, [createCallWith('a')]);
		await fixture.answerProbes(true);
		fixture.timers.advance(499);
		await waitForPromises();
		expect(hasEnded()).toBe(false);
		fixture.timers.advance(1);
		await waitForPromises();
		expect(hasEnded()).toBe(true);
		await fixture.answerReports();
		fixture.timers.advance(longMs);
		startCheck(fixture, firstTarget, []);
		expect(fixture.probed).toHaveLength(2);
	});

	// Guards against requests that are kept apart for minutes because a network connection broke.
	it('neither records nor shares anything if the target is up', async () => {
		const fixture = createDetector();
		const call = createCallWith('a');
		const hasEnded = startCheck(fixture, firstTarget, [call]);
		await fixture.answerProbes(false);
		expect(hasEnded()).toBe(true);
		expect(fixture.shared).toEqual([]);
		expect(fixture.detector.isSuspected(call)).toBe(false);
	});

	// Guards against a report of the crashing request that waits with those of bystanders, while its caller sends it again.
	it('marks the crash after which a request is refused, and only that one', async () => {
		const fixture = createDetector();
		const crashing = createCallWith('crashing');
		await checkCrashedTarget(fixture, firstTarget, [crashing, createCallWith('bystander')]);
		expect(fixture.detector.findRefusal(crashing)).toBeUndefined();
		fixture.timers.advance(longMs);
		await checkCrashedTarget(fixture, secondTarget, [createCallWith('crashing')]);
		expect(fixture.detector.findRefusal(crashing)?.kind).toBe(ErrorKind.Quarantined);
		fixture.timers.advance(longMs);
		await checkCrashedTarget(fixture, secondTarget, [createCallWith('other')]);
		expect(fixture.shared.map(({ isRequestRefused }) => isRequestRefused)).toEqual([false, true, false]);
	});

	// Guards against a report of every further crash while the request is refused everywhere.
	it('does not mark a further crash of a request that is refused already', async () => {
		const fixture = createDetector();
		for (const target of [firstTarget, secondTarget, 'engine-3' as TargetId]) {
			await checkCrashedTarget(fixture, target, [createCallWith('crashing')]);
		}
		expect(fixture.shared.map(({ isRequestRefused }) => isRequestRefused)).toEqual([false, true, false]);
	});

	it('marks a crash if only one of its requests is refused from then on', async () => {
		const fixture = createDetector();
		await checkCrashedTarget(fixture, firstTarget, [createCallWith('crashing')]);
		await checkCrashedTarget(fixture, secondTarget, [createCallWith('other'), createCallWith('crashing')]);
		expect(fixture.shared.map(({ isRequestRefused }) => isRequestRefused)).toEqual([false, true]);
	});
});
