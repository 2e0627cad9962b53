/**
 * A child process with collected output. Signals are sent only to its process id, not to a process group.
 */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** The program and arguments of a process. */
export interface ProcessSpec {
	/** The unique name of the process within its process manager. */
	readonly name: string;
	/** Path of the JavaScript file to run. */
	readonly program: string;
	readonly args: readonly string[];
}

/** How a process ended: with an exit code or by a signal. Both are null when it could not be started. */
export interface ProcessEnd {
	readonly code: number | null;
	readonly signal: NodeJS.Signals | null;
}

const maxKeptLines = 20_000;

/** One run of a program. A restart creates another instance of this class. */
export class ManagedProcess {
	readonly pid: number;
	readonly end: Promise<ProcessEnd>;
	private readonly child: ChildProcess;
	private readonly lines: string[] = [];
	private readonly watchers = new Set<() => void>();
	private ended: ProcessEnd | undefined;

	constructor(readonly spec: ProcessSpec) {
		// The process gets its own process group. The terminal sends an interrupt (Ctrl+C) to the whole
		// foreground group, which would stop all processes at once instead of in the order of the harness.
		this.child = spawn(process.execPath, [spec.program, ...spec.args], {
			stdio: ['ignore', 'pipe', 'pipe'],
			detached: true,
		});
		this.pid = this.child.pid ?? 0;
		this.readLines(this.child.stdout);
		this.readLines(this.child.stderr);
		this.end = new Promise(resolve => {
			this.child.once('error', () => {
				this.finish({ code: null, signal: null }, resolve);
			});
			this.child.once('close', (code, signal) => {
				this.finish({ code, signal }, resolve);
			});
		});
	}

	/** Returns how the process ended, or undefined while it is running. */
	getEnd(): ProcessEnd | undefined {
		return this.ended;
	}

	/** Lists the collected lines of both output streams, oldest first. */
	listLines(): readonly string[] {
		return this.lines;
	}

	send(signal: NodeJS.Signals): void {
		if (this.ended === undefined && this.pid > 0) {
			this.child.kill(signal);
		}
	}

	/** Resolves to the first defined result of `parse` over the lines. Fails when the process ends without one. */
	waitForLine<TValue>(parse: (line: string) => TValue | undefined): Promise<TValue> {
		let nextIndex = 0;
		return new Promise((resolve, reject) => {
			const check = (): void => {
				while (nextIndex < this.lines.length) {
					const value = parse(this.lines[nextIndex++] ?? '');
					if (value !== undefined) {
						this.watchers.delete(check);
						resolve(value);
						return;
					}
				}
				if (this.ended !== undefined) {
					this.watchers.delete(check);
					reject(new Error(`${this.spec.name} exited early:\n${this.lines.slice(-10).join('\n')}`));
				}
			};
			this.watchers.add(check);
			check();
		});
	}

	private readLines(stream: Readable | null): void {
		if (stream === null) {
			return;
		}
		createInterface({ input: stream }).on('line', line => {
			if (this.lines.length < maxKeptLines) {
				this.lines.push(line);
			}
			this.runWatchers();
		});
	}

	private finish(end: ProcessEnd, resolve: (end: ProcessEnd) => void): void {
		this.ended = end;
		this.runWatchers();
		resolve(end);
	}

	private runWatchers(): void {
		for (const check of [...this.watchers]) {
			check();
		}
	}
}
