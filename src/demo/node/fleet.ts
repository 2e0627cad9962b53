/**
 * A harness for a fleet of processes on one machine: it starts them, and stops, kills, freezes, resumes
 * and restarts any of them by name. The processes know nothing of it and never start one another.
 */

import type { IDisposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { ProcessEnd, ProcessSpec } from './managedProcess';
import { ManagedProcess } from './managedProcess';

/** How a process answered to being asked to stop. */
export interface StopReport {
	readonly name: string;
	/** Undefined where it had to be killed. */
	readonly end: ProcessEnd | undefined;
	readonly tookMs: number;
}

/** Owns processes; disposing of it kills what is left of them. */
export class Fleet implements IDisposable {
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

	/** Starts a process under a name that is not in use. */
	start(spec: ProcessSpec): ManagedProcess {
		const present = this.processes.get(spec.name);
		if (present !== undefined && present.getEnd() === undefined) {
			throw new Error(`${spec.name} is running already`);
		}
		const managed = new ManagedProcess(spec);
		this.processes.set(spec.name, managed);
		return managed;
	}

	/** Kills what runs under the name and starts it anew with the same command line. */
	async startAgain(name: string): Promise<ManagedProcess> {
		const { spec } = this.get(name);
		await this.kill(name);
		return this.start(spec);
	}

	get(name: string): ManagedProcess {
		const managed = this.processes.get(name);
		if (managed === undefined) {
			throw new Error(`no process is called ${name}`);
		}
		return managed;
	}

	list(): readonly ManagedProcess[] {
		return [...this.processes.values()];
	}

	/** Ends a process without a word to it, as a power cut does. */
	async kill(name: string): Promise<ProcessEnd> {
		const managed = this.get(name);
		managed.send('SIGKILL');
		return managed.end;
	}

	/** Holds a process still; its connections stay open and its clock goes on. */
	freeze(name: string): void {
		this.get(name).send('SIGSTOP');
	}

	/** Lets a frozen process go on. */
	resume(name: string): void {
		this.get(name).send('SIGCONT');
	}

	/** Asks a process to stop, and kills it where it has not ended by itself after `limitMs`. */
	async stop(name: string, limitMs: number): Promise<StopReport> {
		const managed = this.get(name);
		const startMs = this.timers.getNow();
		managed.send('SIGTERM');
		const end = await this.waitForEnd(managed, limitMs);
		if (end === undefined) {
			await this.kill(name);
		}
		return { name, end, tookMs: this.timers.getNow() - startMs };
	}

	/** Stops several processes at once. */
	async stopAll(names: readonly string[], limitMs: number): Promise<StopReport[]> {
		return Promise.all(names.map(name => this.stop(name, limitMs)));
	}

	private async waitForEnd(managed: ManagedProcess, limitMs: number): Promise<ProcessEnd | undefined> {
		const limit = new Promise<undefined>(resolve => {
			this.timers.schedule(limitMs, () => {
				resolve(undefined);
			});
		});
		return Promise.race([managed.end, limit]);
	}
}

/** Whether a process ended by itself and without a fault. */
export function isCleanEnd(end: ProcessEnd | undefined): boolean {
	return end?.code === 0;
}
