/**
 * Starts entries as the deploy file says: its command, and its settings template with the figures of a small deployment.
 */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'node:http';
import { findFreePorts, waitFor } from './ports';
import { renderTemplate } from './template';

/** Bounds of the sheet of the smallest deployment. */
export const bounds = {
	contact_ms: 5_000,
	drain_ms: 3_000,
	config_ms: 3_000,
	grace_s: 8,
	retry_ratio: 0.2,
	retry_window_s: 10,
	retry_slack: 52,
	cold_excess: 1.5,
	cold_slack: 3,
};

export interface EntryOptions {
	readonly node: string;
	readonly region: string;
	readonly zone: string;
	readonly zones: Readonly<Record<string, string>>;
	/** Where the entry finds the store, `IP:PORT`. */
	readonly store: string;
}

const readyLimitMs = 15_000;
const pollMs = 50;

function readCommand(): readonly string[] {
	const line = /^run = "([^"]+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1];
	if (line === undefined) {
		throw new Error('the deploy file has no command');
	}
	return line.split(' ');
}

async function askStatus(port: number, path: string): Promise<number | undefined> {
	return new Promise(resolve => {
		const sent = request({ host: '127.0.0.1', port, path, timeout: 1_000 }, answer => {
			answer.resume();
			resolve(answer.statusCode);
		});
		sent.on('timeout', () => sent.destroy());
		sent.on('error', () => {
			resolve(undefined);
		});
		sent.end();
	});
}

/** One entry, as often as it is started. */
export class Entry {
	private process: ChildProcess | undefined;
	/** How often the process ended by itself, and with which code. */
	readonly ownEnds: (number | string)[] = [];
	private isKilled = false;

	private constructor(
		readonly options: EntryOptions,
		private readonly folder: string,
		private readonly ports: Readonly<
			Record<'front' | 'ready' | 'control' | 'directory' | 'operators', number>
		>,
		/** The control address that others know, if it isn't the entry's own port. */
		private readonly controlAddress: string,
	) {}

	static async create(
		folder: string,
		options: EntryOptions,
		wrapControl?: (port: number) => Promise<string>,
	): Promise<Entry> {
		const [front = 0, ready = 0, control = 0, directory = 0, operators = 0] = await findFreePorts(5);
		const ports = { front, ready, control, directory, operators };
		const address = (await wrapControl?.(control)) ?? `127.0.0.1:${control}`;
		return new Entry(options, folder, ports, address);
	}

	get control(): string {
		return this.controlAddress;
	}

	get frontPort(): number {
		return this.ports.front;
	}

	start(seeds: readonly string[]): void {
		const { node, region, zone, zones, store } = this.options;
		const { front, ready, control, directory, operators } = this.ports;
		const settings = renderTemplate(readFileSync('deploy/entry.ini', 'utf8'), {
			node,
			region,
			zone,
			zones,
			seeds,
			bounds,
			ip: '127.0.0.1',
			port_range: [operators, operators],
			provider: { address: store },
			listen: {
				front: `127.0.0.1:${front}`,
				ready: `127.0.0.1:${ready}`,
				control: `127.0.0.1:${control}`,
				directory: `127.0.0.1:${directory}`,
			},
		});
		const file = join(this.folder, `${node}.ini`);
		// What the others are told of the control address may be that of a proxy.
		writeFileSync(
			file,
			settings.replace(`url = http://127.0.0.1:${control}`, `url = http://${this.control}`),
		);
		const [program = '', ...words] = readCommand();
		const output = openSync(join(this.folder, `${node}.out`), 'a');
		const started = spawn(
			program,
			words.map(word => (word.endsWith('settings.toml') ? file : word)),
			{ stdio: ['ignore', output, output] },
		);
		closeSync(output);
		this.process = started;
		this.isKilled = false;
		started.on('exit', (code, signal) => {
			if (!this.isKilled) {
				this.ownEnds.push(code ?? String(signal));
			}
			this.process = undefined;
		});
	}

	isRunning(): boolean {
		return this.process !== undefined;
	}

	async waitUntilReady(): Promise<void> {
		const endMs = Date.now() + readyLimitMs;
		while ((await askStatus(this.ports.ready, '/api/ready')) !== 200) {
			if (Date.now() > endMs) {
				throw new Error(`${this.options.node} is not ready in time`);
			}
			await waitFor(pollMs);
		}
	}

	/** Begins a planned stop. */
	stop(): void {
		this.isKilled = true;
		this.process?.kill('SIGTERM');
	}

	kill(): void {
		this.isKilled = true;
		this.process?.kill('SIGKILL');
	}

	/** Returns what the process wrote. */
	readOutput(): string {
		return readFileSync(join(this.folder, `${this.options.node}.out`), 'utf8');
	}

	/** Returns the lines of the process that contain a text. */
	listLines(text: string): readonly Record<string, unknown>[] {
		return this.readOutput()
			.split('\n')
			.filter(line => line.startsWith('{') && line.includes(text))
			.map(line => JSON.parse(line) as Record<string, unknown>);
	}

	/** Returns a metric of the entry; undefined if it has none of that name. */
	async fetchMetric(name: string): Promise<number | undefined> {
		const text = await new Promise<string>((resolve, reject) => {
			request({ host: '127.0.0.1', port: this.ports.operators, path: '/metrics' }, answer => {
				let all = '';
				answer.setEncoding('utf8');
				answer.on('data', (chunk: string) => {
					all += chunk;
				});
				answer.on('end', () => {
					resolve(all);
				});
			})
				.on('error', reject)
				.end();
		});
		const value = new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1];
		return value === undefined ? undefined : Number(value);
	}
}
