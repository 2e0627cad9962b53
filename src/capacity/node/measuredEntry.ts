/**
 * The one real entry of a measurement: a process of its own, watched through its log and `/proc`.
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
import { createPlace } from '../common/syntheticFleet';

/** What a process has used so far. */
export interface ProcessUsage {
	readonly processorSeconds: number;
	readonly residentMegabytes: number;
	readonly sentBytes: number;
	readonly receivedBytes: number;
}

/** Reads the processor seconds of a process, or undefined where it is gone. */
export type ReadProcessorSeconds = (pid: number) => Promise<number | undefined>;

const kibibytesPerMegabyte = 976.5625;
const listeningSign = /"callers":(\d+)/;
const manifestSign = /"audit":\{.*"kind":"manifest".*"to":"[^"]*?(\d+)"/;

/** A running `anvilroad-entry`. */
export class MeasuredEntry {
	private readonly folder = mkdtempSync(join(tmpdir(), 'anvilroad-capacity-'));
	private readonly watchers = new Set<() => void>();
	private child: ChildProcess | undefined;
	private inForce = 0;
	private callerPort = 0;
	/** As other entries reach it. */
	peerUrl = '';

	constructor(
		private readonly program: string,
		private readonly readProcessorSeconds: ReadProcessorSeconds,
	) {}

	async start(platformUrl: string): Promise<void> {
		const port = await findFreePort();
		this.peerUrl = `http://127.0.0.1:${port}`;
		const file = join(this.folder, 'entry.ini');
		writeFileSync(file, formatSettings(port, platformUrl));
		const child = spawn(process.execPath, [this.program, '--settings', file], {
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		this.child = child;
		process.once('exit', this.release);
		createInterface({ input: child.stdout }).on('line', line => {
			this.readLine(line);
		});
	}

	/** Resolves once a version is in force. */
	async waitForManifest(version: number): Promise<void> {
		await new Promise<void>(resolve => {
			const check = (): void => {
				if (this.inForce >= version) {
					this.watchers.delete(check);
					resolve();
				}
			};
			this.watchers.add(check);
			check();
		});
	}

	/** Where callers ask for entries. */
	getLookupUrl(service: string): string {
		return `http://127.0.0.1:${this.callerPort}/v1/entries?service=${service}`;
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
			residentMegabytes: readNumber(status, 'VmRSS') / kibibytesPerMegabyte,
			sentBytes: readNumber(io, 'wchar'),
			receivedBytes: readNumber(io, 'rchar'),
		};
	}

	/** Ends the process at once; nothing is in progress in it. */
	async stop(): Promise<void> {
		const { child } = this;
		if (child?.exitCode === null) {
			const ended = new Promise(resolve => child.once('exit', resolve));
			child.kill('SIGKILL');
			await ended;
		}
		process.removeListener('exit', this.release);
		this.release();
	}

	/** Also when the measurement is interrupted: the entry would go on for good. */
	private readonly release = (): void => {
		this.child?.kill('SIGKILL');
		rmSync(this.folder, { recursive: true, force: true });
	};

	private readLine(line: string): void {
		this.callerPort = Number(listeningSign.exec(line)?.[1] ?? this.callerPort);
		const version = manifestSign.exec(line)?.[1];
		if (version !== undefined) {
			this.inForce = Number(version);
			for (const check of [...this.watchers]) {
				check();
			}
		}
	}
}

function readNumber(text: string, name: string): number {
	return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1]);
}

function formatSettings(peerPort: number, platformUrl: string): string {
	const { id, region, zone } = createPlace(0);
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
