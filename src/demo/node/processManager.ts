/**
 * Starts, stops, kills, freezes, resumes and restarts processes on this machine by name. The processes do not
 * depend on this harness and never start one another.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { ProcessEnd, ProcessSpec } from './managedProcess';
import { ManagedProcess } from './managedProcess';

/** The result of stopping a process. */
export interface StopReport {
	readonly name: string;
	/** Undefined when the process did not exit in time and was killed. */
	readonly end: ProcessEnd | undefined;
	readonly tookMs: number;
}

/** Owns processes by name. Disposing kills those that are still running. */
export class ProcessManager implements IDisposable {
	private readonly processes = new Map<string, ManagedProcess>();
	private readonly killAll = (): void => {
		for (const managed of this.processes.values()) {
			managed.send('SIGKILL');
		}
	};

	constructor(private readonly timers: ITimerService) {
		process.on('exit', this.killAll);
	}

	dispose(): void {
		process.off('exit', this.killAll);
		this.killAll();
	}

	/** Starts a process. Its name must not belong to a running process. */
	start(spec: ProcessSpec): ManagedProcess {
		const existing = this.processes.get(spec.name);
		if (existing !== undefined && existing.getEnd() === undefined) {
			throw new Error(`${spec.name} is already running`);
		}
		const managed = new ManagedProcess(spec);
		this.processes.set(spec.name, managed);
		return managed;
	}

	/** Kills the process with the name and starts another one with the same command line. */
	async startAgain(name: string): Promise<ManagedProcess> {
		const { spec } = this.get(name);
		await this.kill(name);
		return this.start(spec);
	}

	get(name: string): ManagedProcess {
		const managed = this.processes.get(name);
		if (managed === undefined) {
			throw new Error(`there is no process with the name ${name}`);
		}
		return managed;
	}

	list(): readonly ManagedProcess[] {
		return [...this.processes.values()];
	}

	/** Kills a process without notice, like a power failure. */
	async kill(name: string): Promise<ProcessEnd> {
		const managed = this.get(name);
		managed.send('SIGKILL');
		return managed.end;
	}

	/** Suspends a process. Its connections stay open and its clock continues. */
	freeze(name: string): void {
		this.get(name).send('SIGSTOP');
	}

	/** Resumes a frozen process. */
	resume(name: string): void {
		this.get(name).send('SIGCONT');
	}

	/** Sends SIGTERM to a process, and kills the process when it has not exited after `timeoutMs`. */
	async stop(name: string, timeoutMs: number): Promise<StopReport> {
		const managed = this.get(name);
		const startMs = this.timers.getNow();
		managed.send('SIGTERM');
		const end = await this.waitForEnd(managed, timeoutMs);
		if (end === undefined) {
			await this.kill(name);
		}
		return { name, end, tookMs: this.timers.getNow() - startMs };
	}

	/** Stops several processes concurrently. */
	async stopAll(names: readonly string[], timeoutMs: number): Promise<StopReport[]> {
		return Promise.all(names.map(name => this.stop(name, timeoutMs)));
	}

	private async waitForEnd(managed: ManagedProcess, timeoutMs: number): Promise<ProcessEnd | undefined> {
		const limit = new Promise<undefined>(resolve => {
			this.timers.schedule(timeoutMs, () => {
				resolve(undefined);
			});
		});
		return Promise.race([managed.end, limit]);
	}
}

/** Whether a process exited on its own with code 0. */
export function isCleanEnd(end: ProcessEnd | undefined): boolean {
	return end?.code === 0;
}
