/**
 * One process of a fleet: it is started, its output is collected, and signals reach it by its id alone.
 */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** What to run. */
export interface ProcessSpec {
	/** Names the process within its fleet. */
	readonly name: string;
	/** The JavaScript file of the program. */
	readonly program: string;
	readonly commandLine: readonly string[];
}

/** How a process ended: by itself with a code, or by a signal. */
export interface ProcessEnd {
	readonly code: number | null;
	readonly signal: NodeJS.Signals | null;
}

const mostLinesKept = 20_000;

/** A process from its start to its end; a restart makes another one. */
export class ManagedProcess {
	readonly pid: number;
	readonly end: Promise<ProcessEnd>;
	private readonly child: ChildProcess;
	private readonly lines: string[] = [];
	private readonly watchers = new Set<() => void>();
	private ended: ProcessEnd | undefined;

	constructor(readonly spec: ProcessSpec) {
		// A process group of its own: an interrupt typed at the terminal goes to the whole foreground group
		// and would stop all processes at once, in no order, while the harness still wants to stop them.
		this.child = spawn(process.execPath, [spec.program, ...spec.commandLine], {
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

	/** The end of the process, or undefined while it runs. */
	getEnd(): ProcessEnd | undefined {
		return this.ended;
	}

	/** The output so far, both streams, newest last. */
	listLines(): readonly string[] {
		return this.lines;
	}

	send(signal: NodeJS.Signals): void {
		if (this.ended === undefined && this.pid > 0) {
			this.child.kill(signal);
		}
	}

	/** The first line that `parse` gives a value for; fails when the process ends without one. */
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
					reject(new Error(`${this.spec.name} ended early:\n${this.lines.slice(-10).join('\n')}`));
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
			if (this.lines.length < mostLinesKept) {
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
