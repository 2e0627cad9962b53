import { defaultSchedulingPolicy } from '../policy';
import type { ReportedLoad, SchedulableTarget } from '../serviceScheduler';
import { TargetUse } from '../targetUse';
import { createTarget } from './fixtures';

const draftReserve = 0.25;

function createUse(more: Partial<SchedulableTarget> = {}, rounding = 0): TargetUse {
	return new TargetUse(
		createTarget('t1', { slots: 8, ...more }),
		defaultSchedulingPolicy.limit,
		rounding,
		10_000,
	);
}

function createLoad(running: number, waiting: number): ReportedLoad {
	return { running, waiting, slots: 8, ageMs: 0 };
}

describe('TargetUse', () => {
	// Drafts come in one after the other while nothing else does. Each target keeps slots that they can't take.
	it('leaves a quarter of a target to more urgent classes', () => {
		const use = createUse();
		while (use.hasRoom(draftReserve, 1)) {
			use.running++;
			use.runningOutsideReserve++;
		}
		expect(use.running).toBe(6);
		expect(use.hasRoom(0, 1)).toBe(true);
	});

	it('divides a target among entries so that their limits add up to its slots', () => {
		const share = 1 / 24;
		const limits = Array.from({ length: 24 }, (_, index) => createUse({ share }, index / 24).limit);
		expect(limits.reduce((sum, limit) => sum + limit, 0)).toBe(8);
	});

	// Six entries share a target. While it has slots free, an entry may use more than its sixth; when reports
	// show it full, queues belong at the entries, where class and deadline count.
	it('lends to short requests until reports show the target full', () => {
		const use = createUse({ share: 1 / 6 });
		expect(use.limit).toBe(1);
		expect(use.burstLimit).toBe(3);
		for (let report = 0; report < 20; report++) {
			use.noteLoad(createLoad(8, 6), report);
		}
		expect(use.burstLimit).toBe(1);
		for (let report = 0; report < 20; report++) {
			use.noteLoad(createLoad(5, 0), report);
		}
		expect(use.burstLimit).toBe(3);
	});

	// A target refuses for want of room: its real capacity is lower than stated.
	it('lowers the limit on refusals, once for each bunch of them, and gives it back with time', () => {
		const use = createUse();
		use.cutLimit(0);
		use.cutLimit(10);
		expect(use.limit).toBe(6);
		for (let refusal = 1; refusal < 50; refusal++) {
			use.cutLimit(refusal * 1_000);
		}
		expect(use.limit).toBe(2);
		use.advanceRecovery(20_000);
		expect(use.limit).toBe(8);
	});
});
