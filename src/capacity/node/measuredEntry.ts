/**
 * Runs the real entry of a measurement as a child process and observes it through its log and `/proc`.
 */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { createSyntheticInstance } from '../common/syntheticFleet';

/** Resources used by a process. All but the memory are totals since its start. */
export interface ProcessUsage {
	readonly processorSeconds: number;
	readonly residentMegabytes: number;
	readonly sentBytes: number;
	readonly receivedBytes: number;
}

/** Returns the CPU seconds used by a process so far, or undefined if the process no longer exists. */
export type ReadProcessorSeconds = (pid: number) => Promise<number | undefined>;

const kibibytesPerMegabyte = 976.5625;
const callerPortPattern = /"callers":(\d+)/;
const manifestVersionPattern = /"audit":\{.*"kind":"manifest".*"to":"[^"]*?(\d+)"/;

/** How the entry is started. */
export interface EntryLaunch {
	/** Options of Node, before the program. */
	readonly nodeOptions: readonly string[];
	/** Creates the contents of the settings file from the port for peers and the URL of the platform. */
	readonly formatSettings: (peerPort: number, platformUrl: string) => string;
}

const defaultLaunch: EntryLaunch = { nodeOptions: [], formatSettings };

/** An `anvilroad-entry` child process with temporary settings. */
export class MeasuredEntry {
	private readonly folder = mkdtempSync(join(tmpdir(), 'anvilroad-capacity-'));
	private readonly waiters = new Set<() => void>();
	private child: ChildProcess | undefined;
	private activeVersion = 0;
	private callerPort = 0;
	/** URL at which other entries reach this entry. */
	peerUrl = '';

	constructor(
		private readonly program: string,
		private readonly readProcessorSeconds: ReadProcessorSeconds,
		private readonly launch: EntryLaunch = defaultLaunch,
	) {}

	async start(platformUrl: string): Promise<void> {
		const port = await findFreePort();
		this.peerUrl = `http://127.0.0.1:${port}`;
		const file = join(this.folder, 'entry.ini');
		writeFileSync(file, this.launch.formatSettings(port, platformUrl));
		const child = spawn(process.execPath, [...this.launch.nodeOptions, this.program, '--settings', file], {
			stdio: ['ignore', 'pipe', 'inherit'],
			// Variables such as NODE_EXTRA_CA_CERTS would add to the startup what no deployed entry has.
			env: { PATH: process.env.PATH },
		});
		this.child = child;
		process.once('exit', this.killAndCleanUp);
		createInterface({ input: child.stdout }).on('line', line => {
			this.readLine(line);
		});
	}

	/** Resolves when the entry has applied this manifest version or a later one. */
	async waitForManifest(version: number): Promise<void> {
		await new Promise<void>(resolve => {
			const check = (): void => {
				if (this.activeVersion >= version) {
					this.waiters.delete(check);
					resolve();
				}
			};
			this.waiters.add(check);
			check();
		});
	}

	/** Returns the URL at which callers send requests. */
	getCallersUrl(): string {
		return `http://127.0.0.1:${this.callerPort}`;
	}

	/** Returns the URL at which callers look up the entries of a service. */
	getLookupUrl(service: string): string {
		return `${this.getCallersUrl()}/v1/entries?service=${service}`;
	}

	async readUsage(): Promise<ProcessUsage> {
		const pid = this.child?.pid ?? 0;
		const [seconds, status, io] = await Promise.all([
			this.readProcessorSeconds(pid),
			readFile(`/proc/${pid}/status`, 'utf8'),
			readFile(`/proc/${pid}/io`, 'utf8'),
		]);
		return {
			processorSeconds: seconds ?? Number.NaN,
			residentMegabytes: parseProcNumber(status, 'VmRSS') / kibibytesPerMegabyte,
			sentBytes: parseProcNumber(io, 'wchar'),
			receivedBytes: parseProcNumber(io, 'rchar'),
		};
	}

	/** Stops the process gracefully, so that Node writes the profile that it was asked for. */
	async stopGracefully(): Promise<void> {
		await this.endWith('SIGTERM');
	}

	/** Kills the process without a graceful shutdown, because it serves no requests. */
	async stop(): Promise<void> {
		await this.endWith('SIGKILL');
	}

	private async endWith(signal: NodeJS.Signals): Promise<void> {
		const { child } = this;
		if (child?.exitCode === null) {
			const ended = new Promise(resolve => child.once('exit', resolve));
			child.kill(signal);
			await ended;
		}
		process.removeListener('exit', this.killAndCleanUp);
		this.killAndCleanUp();
	}

	/** Also runs when this process exits during a measurement, because the entry would keep running otherwise. */
	private readonly killAndCleanUp = (): void => {
		this.child?.kill('SIGKILL');
		rmSync(this.folder, { recursive: true, force: true });
	};

	private readLine(line: string): void {
		this.callerPort = Number(callerPortPattern.exec(line)?.[1] ?? this.callerPort);
		const version = manifestVersionPattern.exec(line)?.[1];
		if (version !== undefined) {
			this.activeVersion = Number(version);
			for (const check of [...this.waiters]) {
				check();
			}
		}
	}
}

function parseProcNumber(text: string, name: string): number {
	return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1]);
}

function formatSettings(peerPort: number, platformUrl: string): string {
	const { id, region, zone } = createSyntheticInstance(0);
	return `[instance]
id = ${id}
region = ${region}
zone = ${zone}
[callers]
listen = 127.0.0.1:0
url = http://127.0.0.1:1
[peers]
listen = 127.0.0.1:${peerPort}
url = http://127.0.0.1:${peerPort}
plain = yes
[operators]
listen = 127.0.0.1:0
plain = yes
[platform]
url = ${platformUrl}
[tickets]
key = measured-without-requests
`;
}

async function findFreePort(): Promise<number> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const { port } = server.address() as AddressInfo;
	await new Promise(resolve => server.close(resolve));
	return port;
}
