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

function getState(lives: InstanceLifecycles, boot: string): InstanceState | undefined {
	return lives.findBoot(boot as BootId)?.lifecycle.getState();
}

/** What the property finds wrong, or undefined where it holds. */
function findViolation(createSubject: () => InstanceLifecycles): string | undefined {
	const view = fc.record({ ageMs: fc.nat(70_000), isLeaving: fc.boolean(), waitMs: fc.nat(10_000) });
	const property = fc.property(fc.array(view), views => {
		const lives = createSubject();
		let isLeaving = false;
		let nowMs = 0;
		for (const { waitMs, ...one } of views) {
			nowMs += waitMs;
			lives.noteReport(createReport('b1', one), 'peer', nowMs);
			isLeaving ||= one.isLeaving && one.ageMs < timeouts.removeAfterMs;
			if (isLeaving && lives.listLive().length > 0) {
				throw new Error('a leaving boot is named');
			}
		}
	});
	const { failed, errorInstance } = fc.check(property, { seed: 8 });
	return failed ? String(errorInstance) : undefined;
}

/** Forgets what a boot said before its newest view. */
class NewestViewLifecycles extends InstanceLifecycles {
	override noteReport(...[heard, sign, nowMs]: Parameters<InstanceLifecycles['noteReport']>): void {
		this.findBoot(heard.boot)?.lifecycle.end('overwritten');
		super.noteReport({ ...heard, boot: `${heard.boot}.${nowMs}` as BootId }, sign, nowMs);
	}
}

describe('InstanceLives', () => {
	// An entry that is stopping says so once, and views from before go round for a while. Believed, they
	// would send callers to it until it is gone.
	it('never takes a boot back that said it was leaving, whatever order its views arrive in', () => {
		expect(findViolation(createLifecycles)).toBeUndefined();
	});

	it('is found wrong if the newest view alone counts', () => {
		expect(findViolation(() => new NewestViewLifecycles(trail, timeouts))).toContain(
			'a leaving boot is named',
		);
	});

	it('suspects a silent instance, hears it again, and forgets it at last', () => {
		const lives = createLifecycles();
		lives.noteReport(createReport('b1'), 'peer', 0);
		lives.expire(3_000);
		lives.noteReport(createReport('b1', { ageMs: 3_500 }), 'peer', 3_050);
		expect(getState(lives, 'b1')).toBe(InstanceState.Suspect);
		lives.noteReport(createReport('b1', { ageMs: 100 }), 'peer', 3_100);
		expect(getState(lives, 'b1')).toBe(InstanceState.Live);
		lives.expire(63_000);
		expect(getState(lives, 'b1')).toBeUndefined();
		lives.expire(63_100);
		lives.noteReport(createReport('b1'), 'peer', 63_200);
		expect(getState(lives, 'b1')).toBe(InstanceState.Live);
	});

	// An instance restarts at its address; a view of its earlier boot still goes round. Without boots of
	// their own, the old word `leaving` would take the new one out.
	it('ends the boot before at the same address and ignores its echoes', () => {
		const lives = createLifecycles();
		lives.noteReport(createReport('b1'), 'peer', 0);
		lives.noteReport(createReport('b2'), 'peer', 1_000);
		lives.noteReport(createReport('b1', { ageMs: 1_500, isLeaving: true }), 'peer', 2_000);
		expect([getState(lives, 'b1'), getState(lives, 'b2')]).toEqual([undefined, InstanceState.Live]);
		expect(lives.findLastReported(instance)?.boot).toBe('b2');
	});

	// A frozen process wakes under the name of its replacement, at an address of its own.
	it('keeps a sleeper and its replacement apart', () => {
		const lives = createLifecycles();
		lives.noteReport(createReport('b2'), 'peer', 1_000);
		lives.noteReport(
			createReport('b1', { peerUrl: 'http://127.0.0.2:7001', isLeaving: true }),
			'peer',
			2_000,
		);
		expect([getState(lives, 'b1'), getState(lives, 'b2')]).toEqual([
			InstanceState.Leaving,
			InstanceState.Live,
		]);
	});

	// An instance is restarted in place, and the late list now says `leaving` of the start before. Taken for
	// good, the new start would get no callers until its next restart.
	it('believes the list for as long as it says leaving, and an own word for good', () => {
		const lives = createLifecycles();
		lives.noteReport(createReport('b2'), 'peer', 0);
		lives.noteListedLeaving(instance);
		lives.noteReport(createReport('b2'), 'peer', 1_000);
		expect(getState(lives, 'b2')).toBe(InstanceState.ListedLeaving);
		lives.noteListedLive(instance);
		lives.noteReport(createReport('b2'), 'peer', 2_000);
		expect(getState(lives, 'b2')).toBe(InstanceState.Live);
		lives.noteReport(createReport('b2', { isLeaving: true }), 'peer', 3_000);
		lives.noteListedLive(instance);
		lives.noteReport(createReport('b2'), 'peer', 4_000);
		expect(getState(lives, 'b2')).toBe(InstanceState.Leaving);
	});

	// This process is frozen for two minutes. On waking, everyone seems to have been silent for so long,
	// and it would refuse every forwarded ticket until it heard from them again.
	it('does not take its own sleep for the silence of the others', () => {
		const lives = createLifecycles();
		lives.noteReport(createReport('b1'), 'peer', 0);
		lives.noteProcessPause(120_000);
		lives.expire(121_000);
		expect(getState(lives, 'b1')).toBe(InstanceState.Live);
	});
});
