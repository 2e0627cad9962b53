/**
 * A publisher in virtual time that falls silent once, for followers to be tried on: reads that hang when the
 * silence begins and reads that are made in it never get an answer, not even after it. Something new is
 * published at the moment in which the silence ends.
 */

import type { ManualTimerService } from '../../../base/common/manualTimerService';

/** Milliseconds of the virtual clock. */
export interface Silence {
	readonly fromMs: number;
	readonly toMs: number;
}

export class SilentPublisher {
	private readonly openReads = new Set<() => void>();
	/** 1, and 2 from the end of the silence on. */
	version = 1;

	constructor(
		private readonly timers: ManualTimerService,
		private readonly silence: Silence,
	) {
		timers.schedule(silence.fromMs, () => {
			this.openReads.clear();
		});
		timers.schedule(silence.toMs, () => {
			this.write();
		});
	}

	/** A read that ends with news, or after `waitMs` without; one that meets the silence never ends. */
	async read(after: number, waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			if (this.isSilent()) {
				return;
			}
			if (this.version > after) {
				resolve();
				return;
			}
			const answer = (): void => {
				if (this.openReads.delete(answer)) {
					resolve();
				}
			};
			this.openReads.add(answer);
			this.timers.schedule(waitMs, answer);
		});
	}

	private write(): void {
		this.version = 2;
		for (const answer of this.openReads) {
			answer();
		}
	}

	private isSilent(): boolean {
		const nowMs = this.timers.getNow();
		return nowMs >= this.silence.fromMs && nowMs < this.silence.toMs;
	}
}
