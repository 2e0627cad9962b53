/**
 * A program of the build as a process of its own, watched through the lines that it writes.
 */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';

interface LineWait {
	readonly sign: string;
	resolve(line: string): void;
	fail(reason: Error): void;
}

export class StartedProgram {
	private readonly process: ChildProcess;
	private readonly lines: string[] = [];
	private readonly waits = new Set<LineWait>();
	private readonly exited: Promise<unknown[]>;

	/** Starts `bin/NAME` of a folder of compiled sources with settings that are written to `ID.ini` there. */
	constructor(folder: string, name: string, id: string, settings: string) {
		const file = join(folder, `${id}.ini`);
		writeFileSync(file, settings);
		const program = spawn(process.execPath, [join(folder, `src/bin/${name}.js`), '--settings', file], {
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		this.process = program;
		this.exited = once(program, 'exit');
		createInterface({ input: program.stdout })
			.on('line', line => {
				this.takeLine(line);
			})
			.on('close', () => {
				this.failWaits();
			});
	}

	/** The first line that holds a text, written now or before. */
	async waitForLine(sign: string): Promise<Record<string, unknown>> {
		const written = this.lines.find(line => line.includes(sign));
		const line =
			written ??
			(await new Promise<string>((resolve, reject) => {
				this.waits.add({ sign, resolve, fail: reject });
			}));
		return JSON.parse(line) as Record<string, unknown>;
	}

	stop(): void {
		this.process.kill('SIGTERM');
	}

	/** The exit code. */
	async waitForExit(): Promise<unknown> {
		const [code] = await this.exited;
		return code;
	}

	async kill(): Promise<void> {
		this.process.kill('SIGKILL');
		await this.exited;
	}

	private takeLine(line: string): void {
		this.lines.push(line);
		for (const wait of this.waits) {
			if (line.includes(wait.sign)) {
				this.waits.delete(wait);
				wait.resolve(line);
			}
		}
	}

	private failWaits(): void {
		for (const { sign, fail } of this.waits) {
			fail(new Error(`the program ended before it wrote ${sign}`));
		}
		this.waits.clear();
	}
}
