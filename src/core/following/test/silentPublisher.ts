/**
 * A server for long polling on a virtual clock that does not respond during one period, for tests of followers. Reads
 * that are waiting when the period begins and reads made during it are never answered, not even later. A new version is
 * published when the period ends.
 */

import type { ManualTimerService } from '../../../base/common/manualTimerService';

/** Period without responses, in milliseconds of the virtual clock. */
export interface Silence {
	readonly fromMs: number;
	readonly toMs: number;
}

export class SilentPublisher {
	private readonly openReads = new Set<() => void>();
	/** 1 before the end of the silence, and 2 afterwards. */
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

	/** Resolves when there is a version above `after` or `waitMs` have passed; never resolves if the silence intervenes. */
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
