/**
 * Starts a small deployment on loopback: the store, servers, and entries with the command and the template of the deploy file.
 * Everything that it starts is ended by `stop`.
 */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

export const host = '127.0.0.1';
const root = process.cwd();
const settingsPlace = '/etc/anvilroad/settings.toml';
const minPort = 18_000;
const portSpan = 13_000;
const pollMs = 50;
const maxStartMs = 20_000;
const restartMs = 1_000;
/** The case could not run to its end. */
const exitCodeNotRun = 2;

export interface EntryPlace {
	readonly id: string;
	readonly zone: string;
	readonly region: string;
}

export interface ServerPlace {
	readonly id: string;
	readonly service: string;
	readonly zone: string;
	readonly slots: number;
	readonly runMs: number;
	readonly events?: number;
	readonly eventMs?: number;
	readonly pieces?: number;
	readonly pieceMs?: number;
	readonly noticeMs?: number;
}

export interface RunningEntry extends EntryPlace {
	process: ChildProcess;
	readonly settings: string;
	/** The operators' port. */
	readonly otherPort: number;
	readonly frontPort: number;
	readonly controlPort: number;
	readonly directoryPort: number;
	readonly readyPort: number;
}

/** A relay between the entries of a region and a server. */
export interface RunningPath {
	readonly process: ChildProcess;
	readonly port: number;
	readonly targetPort: number;
}

export interface RunningServer extends ServerPlace {
	readonly process: ChildProcess;
	readonly port: number;
}

/** A line of a server: the id of a request that it begins to run, or has ended to run, and the time in Unix milliseconds. */
export interface ServerNote {
	readonly ran?: string;
	readonly ended?: string;
	readonly at: number;
	readonly server: string;
	readonly reason?: string;
}

/** The connections of one entry to another. */
export interface EntryLink {
	readonly from: string;
	readonly to: string;
}

/** What a client received: the status, or 0 if the connection ended without an answer. */
export interface Answer {
	readonly status: number;
	readonly text: string;
	readonly tookMs: number;
	readonly headers: Readonly<Record<string, unknown>>;
}

type TemplateValues = Readonly<Record<string, unknown>>;

function formatValue(value: unknown): string {
	return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}

/** Fills in a template as the platform's page says. */
function renderTemplate(text: string, values: TemplateValues): string {
	const resolve = (path: string): unknown =>
		path.split('.').reduce<unknown>((found, name) => (found as TemplateValues | undefined)?.[name], values);
	const sections = text.replace(
		/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
		(_match: string, path: string, inner: string) => {
			const value = resolve(path);
			if (value === undefined || value === false) {
				return '';
			}
			if (typeof value !== 'object' || value === null) {
				return inner;
			}
			const entries = Object.entries(value);
			return entries
				.map(([key, entry], index) =>
					inner
						.replaceAll('{{.}}', String(entry))
						.replaceAll('{{@}}', key)
						.replaceAll('{{,}}', index < entries.length - 1 ? ',' : ''),
				)
				.join('');
		},
	);
	return sections.replace(/\{\{([\w.]+)\}\}/g, (_match: string, path: string) => formatValue(resolve(path)));
}

async function isPortFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

let nextOffset = (process.pid * 131) % portSpan;

export async function findFreePort(): Promise<number> {
	for (;;) {
		const port = minPort + nextOffset;
		nextOffset = (nextOffset + 1) % portSpan;
		if (await isPortFree(port)) {
			return port;
		}
	}
}

export async function waitFor(delayMs: number): Promise<void> {
	await new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Sends one request without a kept connection and reads the whole answer. */
export async function sendOnce(port: number, path: string, method = 'GET', body?: string): Promise<Answer> {
	const startedMs = performance.now();
	return new Promise(resolve => {
		const finish = (status: number, text: string, headers: Answer['headers']): void => {
			resolve({ status, text, headers, tookMs: performance.now() - startedMs });
		};
		const call = sendRequest({ host, port, path, method, agent: false, timeout: 2_000 }, answer => {
			const chunks: Buffer[] = [];
			answer.on('data', (chunk: Buffer) => chunks.push(chunk));
			answer.on('end', () => {
				finish(answer.statusCode ?? 0, Buffer.concat(chunks).toString(), answer.headers);
			});
			answer.on('error', () => {
				finish(0, '', {});
			});
		});
		call.on('timeout', () => {
			call.destroy();
		});
		call.on('error', () => {
			finish(0, '', {});
		});
		call.end(body);
	});
}

/** The processes of a deployment. */
export class Site {
	readonly entries: RunningEntry[] = [];
	readonly servers: RunningServer[] = [];
	/** The relays between entries. */
	readonly links: RunningPath[] = [];
	storePort = 0;
	/** What the servers wrote. */
	readonly notes: ServerNote[] = [];
	private readonly folder = mkdtempSync(join(tmpdir(), 'review-'));
	private readonly processes: ChildProcess[] = [];
	private version = 0;
	private readonly startedMs = performance.now();

	/**
	 * @param zones The region of each zone.
	 * @param recordFile Receives what is sent, answered and run.
	 */
	constructor(
		private readonly zones: Readonly<Record<string, string>>,
		private readonly recordFile: string,
		private readonly bounds: Readonly<Record<string, number>>,
	) {
		writeFileSync(recordFile, '');
		for (const signal of ['SIGINT', 'SIGTERM'] as const) {
			process.once(signal, () => {
				void this.stop().then(() => process.exit(exitCodeNotRun));
			});
		}
		// Node would exit with 1, which says that a rule was broken.
		process.once('uncaughtException', error => {
			process.stderr.write(`${error.stack ?? error.message}\n`);
			void this.stop().then(() => process.exit(exitCodeNotRun));
		});
	}

	/** Adds a line to the record, with the seconds since the start. */
	record(text: string): void {
		const seconds = (performance.now() - this.startedMs) / 1_000;
		appendFileSync(this.recordFile, `${seconds.toFixed(3).padStart(8)}  ${text}\n`);
	}

	async startStore(): Promise<void> {
		this.storePort = await findFreePort();
		const child = this.startProcess(
			'node',
			['target/review-2/kit2/storeProcess.js', String(this.storePort)],
			'store',
		);
		await this.waitForListening(child, 'store');
	}

	/** Writes a configuration with the next version. Resolves when the store has acknowledged it. */
	async putConfiguration(configuration: object): Promise<void> {
		this.version += 3;
		const text = JSON.stringify({ version: this.version, ...configuration });
		await sendOnce(this.storePort, '/standin/put?key=op/config', 'POST', text);
		this.record(`configuration ${this.version} acknowledged`);
	}

	/** @param megabitsPerSecond Bandwidth of each direction; 0 for an unlimited one. */
	async startPath(targetPort: number, port: number, megabitsPerSecond = 0): Promise<RunningPath> {
		const words = [
			'target/review-2/kit2/relayProcess.js',
			String(port),
			String(targetPort),
			String(megabitsPerSecond),
		];
		const child = this.startProcess('node', words, `path ${port}`);
		await this.waitForListening(child, 'path');
		return { process: child, port, targetPort };
	}

	/** @param publicPort The port at which the server is registered, if a path leads to it. */
	async startServer(place: ServerPlace, publicPort?: number): Promise<RunningServer> {
		const port = await findFreePort();
		const options = { ...place, port, publicPort, storePort: this.storePort };
		const child = this.startProcess(
			'node',
			['target/review-2/kit2/serverProcess.js', JSON.stringify(options)],
			place.id,
		);
		child.stdout?.on('data', (chunk: Buffer) => {
			for (const line of chunk.toString().split('\n')) {
				if (line.startsWith('{')) {
					this.record(`run       ${line}`);
					const note = JSON.parse(line) as ServerNote;
					this.notes.push(note);
				}
			}
		});
		await this.waitForListening(child, place.id);
		const server = { ...place, process: child, port };
		this.servers.push(server);
		return server;
	}

	/**
	 * Starts all entries at nearly the same time, as at the first start of the system, and waits until they are ready.
	 *
	 * @param links The connections between entries that lead through relays, as through an address translation.
	 */
	async startEntries(places: readonly EntryPlace[], links: readonly EntryLink[] = []): Promise<void> {
		const ports = [];
		for (const place of places) {
			const [frontPort, controlPort, directoryPort, readyPort, otherPort] = [
				await findFreePort(),
				await findFreePort(),
				await findFreePort(),
				await findFreePort(),
				await findFreePort(),
			];
			ports.push({ ...place, frontPort, controlPort, directoryPort, readyPort, otherPort });
		}
		const seeds = ports.slice(0, 3).map(({ controlPort }) => `${host}:${controlPort}`);
		const routes = new Map<string, string[]>();
		for (const { from, to } of links) {
			const target = ports.find(({ id }) => id === to)?.controlPort ?? 0;
			const path = await this.startPath(target, await findFreePort());
			this.links.push(path);
			routes.set(from, [
				...(routes.get(from) ?? []),
				`http://${host}:${target} = http://${host}:${path.port}`,
			]);
		}
		for (const entry of ports) {
			const settings = join(this.folder, `${entry.id}.ini`);
			const template = readFileSync(join(root, 'deploy/entry.ini'), 'utf8');
			const values = {
				node: entry.id,
				region: entry.region,
				zone: entry.zone,
				ip: host,
				port_range: [entry.otherPort, entry.otherPort],
				seeds,
				zones: this.zones,
				listen: {
					front: `${host}:${entry.frontPort}`,
					ready: `${host}:${entry.readyPort}`,
					control: `${host}:${entry.controlPort}`,
					directory: `${host}:${entry.directoryPort}`,
				},
				bounds: this.bounds,
				provider: { address: `${host}:${this.storePort}` },
			};
			const peerRoutes = ['\n[peer_routes]', ...(routes.get(entry.id) ?? [])].join('\n');
			writeFileSync(
				settings,
				`${renderTemplate(template, values)}${routes.has(entry.id) ? peerRoutes : ''}\n`,
			);
			this.entries.push({ ...entry, settings, process: this.startEntryProcess(settings, entry.id) });
		}
		await Promise.all(this.entries.map(entry => this.waitUntilReady(entry)));
	}

	/** Kills an entry, and starts it again with the same settings after a short delay. */
	async killEntry(entry: RunningEntry): Promise<void> {
		entry.process.kill('SIGKILL');
		await waitFor(restartMs);
		entry.process = this.startEntryProcess(entry.settings, entry.id);
	}

	/** Ends all processes that this class started. */
	async stop(): Promise<void> {
		for (const child of this.processes) {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				child.kill('SIGCONT');
			}
		}
		await waitFor(200);
		rmSync(this.folder, { recursive: true, force: true });
	}

	/** Lists the ids of the requests that servers began to run, one for each run. */
	listRuns(): readonly string[] {
		return this.notes.flatMap(({ ran }) => (ran === undefined ? [] : [ran]));
	}

	async isReady({ readyPort }: Pick<RunningEntry, 'readyPort'>): Promise<boolean> {
		return (await sendOnce(readyPort, '/api/ready')).status === 200;
	}

	private startEntryProcess(settings: string, name: string): ChildProcess {
		const deployFile = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
		const run = /^run = "(.*)"$/m.exec(deployFile)?.[1] ?? '';
		const [program = '', ...words] = run.replace(settingsPlace, settings).split(' ');
		const child = this.startProcess(program, words, name);
		const logFile = join(process.env.REVIEW_LOGS ?? this.folder, `${name}.log`);
		child.stdout?.on('data', (chunk: Buffer) => {
			appendFileSync(logFile, chunk);
		});
		return child;
	}

	private startProcess(program: string, words: readonly string[], name: string): ChildProcess {
		const { PATH, HOME, LANG } = process.env;
		const child = spawn(program, words, {
			cwd: root,
			env: { PATH, HOME, LANG },
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		child.on('exit', (code, signal) => {
			this.record(`process ${name} ended, ${code === null ? String(signal) : `code ${code}`}`);
		});
		this.processes.push(child);
		return child;
	}

	private async waitForListening(child: ChildProcess, name: string): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			const limit = setTimeout(() => {
				reject(new Error(`${name} does not listen`));
			}, maxStartMs);
			child.stdout?.once('data', () => {
				clearTimeout(limit);
				resolve();
			});
		});
	}

	private async waitUntilReady(entry: RunningEntry): Promise<void> {
		const endsMs = performance.now() + maxStartMs;
		while (!(await this.isReady(entry))) {
			if (performance.now() > endsMs) {
				throw new Error(`${entry.id} is not ready`);
			}
			await waitFor(pollMs);
		}
	}
}
