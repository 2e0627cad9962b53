/**
 * Simulates a plain target: it runs as many requests as it has slots and queues the others in their order.
 */

import type { ITimerService } from '../../../../base/common/timerService';
import type { TargetId } from '../../../../core/ids/common/ids';
import type { ReportedLoad, SchedulableTarget } from '../../scheduling/serviceScheduler';
import type { EngineSpeed } from '../../workScheduling/test/unequalSpeeds';

/** A request at the target. */
interface PlainRun {
	readonly workMs: number;
	readonly handleAnswer: (load: ReportedLoad) => void;
}

/** One plain target with its queue. */
export class PlainTarget {
	private readonly waiting: PlainRun[] = [];
	private running = 0;

	constructor(
		readonly id: TargetId,
		private readonly slots: number,
		private readonly speed: EngineSpeed,
		private readonly timers: ITimerService,
	) {}

	/** Runs the request; `handleAnswer` gets the load that the target reports with the answer. */
	submit(run: PlainRun): void {
		this.waiting.push(run);
		this.startWaiting();
	}

	/** Describes the target as an entry sees it that shares it with others. */
	describe(entries: number): SchedulableTarget {
		const { id, slots } = this;
		const zone = 'zone-1' as SchedulableTarget['zone'];
		return { id, zone, isSameZone: true, slots, share: 1 / entries, isLeaving: false };
	}

	private startWaiting(): void {
		while (this.running < this.slots) {
			const run = this.waiting.shift();
			if (run === undefined) {
				return;
			}
			this.running++;
			this.timers.schedule(this.speed.computeDurationMs(run.workMs, this.timers.getNow()), () => {
				this.running--;
				this.startWaiting();
				run.handleAnswer(this.createReport());
			});
		}
	}

	private createReport(): ReportedLoad {
		const slowness = this.speed.getSlowness(this.timers.getNow());
		return { running: this.running, waiting: this.waiting.length, slots: this.slots, ageMs: 0, slowness };
	}
}
