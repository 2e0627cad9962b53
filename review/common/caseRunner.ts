/**
 * Runs a case: gives it a temporary folder and a record, ends all processes, and exits with 1 if the rule was broken, 0 if
 * it held, and 2 if the case couldn't run.
 */

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { EntryOptions } from './entry';
import { Entry } from './entry';

const limitMs = 115_000;

/** What a case works with. */
export class CaseContext {
	/** False if the case is to run without its disruption. */
	readonly hasTrouble = process.env.TROUBLE !== '0';
	readonly folder = mkdtempSync(join(tmpdir(), 'review-'));
	private readonly entries: Entry[] = [];
	private readonly lines: string[] = [];
	private readonly startedMs = Date.now();

	async addEntry(options: EntryOptions, wrapControl?: (port: number) => Promise<string>): Promise<Entry> {
		const entry = await Entry.create(this.folder, options, wrapControl);
		this.entries.push(entry);
		return entry;
	}

	/** Starts all entries, and waits until they are ready. */
	async startEntries(): Promise<void> {
		const seeds = this.entries.map(({ control }) => control);
		for (const entry of this.entries) {
			entry.start(seeds);
		}
		await Promise.all(this.entries.map(async entry => entry.waitUntilReady()));
	}

	/** Adds a line to the record, with the seconds since the start. */
	record(line: string, atMs = Date.now()): void {
		this.lines.push(`${((atMs - this.startedMs) / 1_000).toFixed(3)} ${line}`);
	}

	/** Adds a line to the record, and prints it. */
	print(line: string): void {
		this.record(line);
		process.stdout.write(`${line}\n`);
	}

	dispose(recordFile: string): void {
		for (const entry of this.entries) {
			entry.kill();
		}
		const seconds = (line: string): number => Number(line.slice(0, line.indexOf(' ')));
		const sorted = [...this.lines].sort((left, right) => seconds(left) - seconds(right));
		writeFileSync(recordFile, `${sorted.join('\n')}\n`);
		rmSync(this.folder, { recursive: true, force: true });
	}
}

/** Returns whether the rule held. */
export type PlayCase = (context: CaseContext) => Promise<boolean>;

/** @param folder The folder of the case, `review/N`. */
export function runCase(folder: string, play: PlayCase): void {
	const context = new CaseContext();
	const finish = (code: number): void => {
		context.dispose(join(folder, 'record.txt'));
		process.exit(code);
	};
	const fail = (error: unknown): void => {
		context.print(`could not run: ${error instanceof Error ? error.message : String(error)}`);
		finish(2);
	};
	process.once('SIGTERM', () => {
		fail('stopped');
	});
	process.once('SIGINT', () => {
		fail('stopped');
	});
	setTimeout(() => {
		fail('took too long');
	}, limitMs);
	context.print(context.hasTrouble ? 'with the disruption' : 'without the disruption');
	play(context).then(isHeld => {
		context.print(isHeld ? 'the rule held' : 'the rule was broken');
		finish(isHeld ? 0 : 1);
	}, fail);
}
