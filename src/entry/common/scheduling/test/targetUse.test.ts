import { defaultSchedulingPolicy } from '../policy';
import type { ReportedLoad, SchedulableTarget } from '../serviceScheduler';
import { TargetUse } from '../targetUse';
import { createTarget } from './fixtures';

const draftReserve = 0.25;

function createUse(overrides: Partial<SchedulableTarget> = {}, rounding = 0): TargetUse {
	return new TargetUse(
		createTarget('t1', { slots: 8, ...overrides }),
		defaultSchedulingPolicy.limit,
		rounding,
		10_000,
	);
}

function createLoad(running: number, waiting: number): ReportedLoad {
	return { running, waiting, slots: 8, ageMs: 0 };
}

describe('TargetUse', () => {
	// Only drafts arrive. Without a reserve they would occupy every slot of the target.
	it('reserves a quarter of the slots for more urgent classes', () => {
		const use = createUse();
		while (use.hasRoom(draftReserve, 1)) {
			use.running++;
			use.runningOutsideReserve++;
		}
		expect(use.running).toBe(6);
		expect(use.hasRoom(0, 1)).toBe(true);
	});

	it('divides the slots among entries so that their limits add up to the slots of the target', () => {
		const share = 1 / 24;
		const limits = Array.from({ length: 24 }, (_, index) => createUse({ share }, index / 24).limit);
		expect(limits.reduce((sum, limit) => sum + limit, 0)).toBe(8);
	});

	// Six entries share a target. While the target has free slots, an entry may use more than its sixth. Once
	// reports show it full, requests have to wait at the entries, which consider class and deadline.
	it('lets short requests exceed the share until reports show that the target is full', () => {
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

	// A target refuses requests because its real capacity is lower than stated.
	it('lowers the limit once per burst of refusals and raises it again over time', () => {
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
