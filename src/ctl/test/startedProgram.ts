/**
 * Runs a compiled program as a child process and waits for lines that it writes to standard output.
 */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';

interface LineWait {
	readonly text: string;
	resolve(line: string): void;
	fail(reason: Error): void;
}

export class StartedProgram {
	private readonly process: ChildProcess;
	private readonly lines: string[] = [];
	private readonly pendingWaits = new Set<LineWait>();
	private readonly exited: Promise<unknown[]>;

	/** Writes the settings to `ID.ini` in a folder of compiled sources and starts the program `src/bin/NAME.js` there. */
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
				this.handleLine(line);
			})
			.on('close', () => {
				this.failPendingWaits();
			});
	}

	get pid(): number {
		return this.process.pid ?? 0;
	}

	/** Returns the first line that contains a text, whether already written or still to come, parsed as JSON. */
	async waitForLine(text: string): Promise<Record<string, unknown>> {
		const written = this.lines.find(line => line.includes(text));
		const line =
			written ??
			(await new Promise<string>((resolve, reject) => {
				this.pendingWaits.add({ text, resolve, fail: reject });
			}));
		return JSON.parse(line) as Record<string, unknown>;
	}

	stop(): void {
		this.process.kill('SIGTERM');
	}

	/** Resolves to the exit code. */
	async waitForExit(): Promise<unknown> {
		const [code] = await this.exited;
		return code;
	}

	async kill(): Promise<void> {
		this.process.kill('SIGKILL');
		await this.exited;
	}

	private handleLine(line: string): void {
		this.lines.push(line);
		for (const wait of this.pendingWaits) {
			if (line.includes(wait.text)) {
				this.pendingWaits.delete(wait);
				wait.resolve(line);
			}
		}
	}

	private failPendingWaits(): void {
		for (const { text, fail } of this.pendingWaits) {
			fail(new Error(`the program closed its output before it wrote ${text}`));
		}
		this.pendingWaits.clear();
	}
}
