import fc from 'fast-check';
import type { IAuditTrail } from '../../audit/common/auditTrail';
import type { BootId, InstanceId } from '../../ids/common/ids';
import { InstanceState } from '../common/instanceLifecycle';
import type { InstanceReport } from '../common/instanceLifecycles';
import { InstanceLifecycles } from '../common/instanceLifecycles';

const timeouts = { suspectAfterMs: 3_000, removeAfterMs: 60_000 };
const instance = 'entry-1' as InstanceId;

const trail = { record: () => undefined } as unknown as IAuditTrail;

function createLifecycles(): InstanceLifecycles {
	return new InstanceLifecycles(trail, timeouts);
}

function createReport(boot: string, more: Partial<InstanceReport> = {}): InstanceReport {
	const peerUrl = 'http://127.0.0.1:7001';
	return { instance, boot: boot as BootId, peerUrl, isLeaving: false, ageMs: 0, ...more };
}

function getState(lifecycles: InstanceLifecycles, boot: string): InstanceState | undefined {
	return lifecycles.findBoot(boot as BootId)?.lifecycle.getState();
}

/** Returns the violation of the property that fast-check finds, or undefined. */
function findViolation(createSubject: () => InstanceLifecycles): string | undefined {
	const view = fc.record({ ageMs: fc.nat(70_000), isLeaving: fc.boolean(), waitMs: fc.nat(10_000) });
	const property = fc.property(fc.array(view), views => {
		const lifecycles = createSubject();
		let isLeaving = false;
		let nowMs = 0;
		for (const { waitMs, ...one } of views) {
			nowMs += waitMs;
			lifecycles.noteReport(createReport('b1', one), 'peer', nowMs);
			isLeaving ||= one.isLeaving && one.ageMs < timeouts.removeAfterMs;
			if (isLeaving && lifecycles.listLive().length > 0) {
				throw new Error('a leaving boot is listed as live');
			}
		}
	});
	const { failed, errorInstance } = fc.check(property, { seed: 8 });
	return failed ? String(errorInstance) : undefined;
}

/** Faulty implementation that ignores earlier reports of a boot. */
class NewestViewLifecycles extends InstanceLifecycles {
	override noteReport(...[report, sign, nowMs]: Parameters<InstanceLifecycles['noteReport']>): void {
		this.findBoot(report.boot)?.lifecycle.end('overwritten');
		super.noteReport({ ...report, boot: `${report.boot}.${nowMs}` as BootId }, sign, nowMs);
	}
}

describe('InstanceLifecycles', () => {
	// Guards against using an entry that announced its stop because older reports of it arrive later through peers.
	it('keeps a boot that announced its leaving out of use, in any order of reports', () => {
		expect(findViolation(createLifecycles)).toBeUndefined();
	});

	it('fails the property if only the newest report counts', () => {
		expect(findViolation(() => new NewestViewLifecycles(trail, timeouts))).toContain(
			'a leaving boot is listed as live',
		);
	});

	it('suspects an instance without reports, accepts a newer report, and removes it after the timeout', () => {
		const lifecycles = createLifecycles();
		lifecycles.noteReport(createReport('b1'), 'peer', 0);
		lifecycles.expire(3_000);
		lifecycles.noteReport(createReport('b1', { ageMs: 3_500 }), 'peer', 3_050);
		expect(getState(lifecycles, 'b1')).toBe(InstanceState.Suspect);
		lifecycles.noteReport(createReport('b1', { ageMs: 100 }), 'peer', 3_100);
		expect(getState(lifecycles, 'b1')).toBe(InstanceState.Live);
		lifecycles.expire(63_000);
		expect(getState(lifecycles, 'b1')).toBeUndefined();
		lifecycles.expire(63_100);
		lifecycles.noteReport(createReport('b1'), 'peer', 63_200);
		expect(getState(lifecycles, 'b1')).toBe(InstanceState.Live);
	});

	// Guards against applying `leaving` from an outdated report of the previous boot to an instance that restarted at the
	// same address.
	it('ends the previous boot at the same address and ignores its later reports', () => {
		const lifecycles = createLifecycles();
		lifecycles.noteReport(createReport('b1'), 'peer', 0);
		lifecycles.noteReport(createReport('b2'), 'peer', 1_000);
		lifecycles.noteReport(createReport('b1', { ageMs: 1_500, isLeaving: true }), 'peer', 2_000);
		expect([getState(lifecycles, 'b1'), getState(lifecycles, 'b2')]).toEqual([undefined, InstanceState.Live]);
		expect(lifecycles.findLastReported(instance)?.boot).toBe('b2');
	});

	// Guards against mixing a frozen process that resumes with its replacement, which has the same instance id and another
	// address.
	it('keeps separate lifecycles for a resumed process and its replacement', () => {
		const lifecycles = createLifecycles();
		lifecycles.noteReport(createReport('b2'), 'peer', 1_000);
		lifecycles.noteReport(
			createReport('b1', { peerUrl: 'http://127.0.0.2:7001', isLeaving: true }),
			'peer',
			2_000,
		);
		expect([getState(lifecycles, 'b1'), getState(lifecycles, 'b2')]).toEqual([
			InstanceState.Leaving,
			InstanceState.Live,
		]);
	});

	// Guards against a restarted instance that gets no callers until its next restart because the instance list still
	// contains the `leaving` state of the previous boot.
	it('applies leaving from the list only while it is listed, and from the instance itself permanently', () => {
		const lifecycles = createLifecycles();
		lifecycles.noteReport(createReport('b2'), 'peer', 0);
		lifecycles.noteListedLeaving(instance);
		lifecycles.noteReport(createReport('b2'), 'peer', 1_000);
		expect(getState(lifecycles, 'b2')).toBe(InstanceState.ListedLeaving);
		lifecycles.noteListedLive(instance);
		lifecycles.noteReport(createReport('b2'), 'peer', 2_000);
		expect(getState(lifecycles, 'b2')).toBe(InstanceState.Live);
		lifecycles.noteReport(createReport('b2', { isLeaving: true }), 'peer', 3_000);
		lifecycles.noteListedLive(instance);
		lifecycles.noteReport(createReport('b2'), 'peer', 4_000);
		expect(getState(lifecycles, 'b2')).toBe(InstanceState.Leaving);
	});

	// Guards against removing all other instances after this process was frozen for two minutes: it would refuse every
	// forwarded ticket until it received new reports.
	it('does not count a pause of its own process as time without a report', () => {
		const lifecycles = createLifecycles();
		lifecycles.noteReport(createReport('b1'), 'peer', 0);
		lifecycles.noteProcessPause(120_000);
		lifecycles.expire(121_000);
		expect(getState(lifecycles, 'b1')).toBe(InstanceState.Live);
	});
});
