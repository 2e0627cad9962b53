import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { DisposableStore, toDisposable } from '../../base/common/lifecycle';
import { ManualTimerService } from '../../base/common/manualTimerService';
import type { IOperatorsSource } from '../../core/operators/common/operatorsSource';
import { OperatorsServer } from '../../core/operators/node/operatorsServer';
import {
	createMetricsPage,
	createOrganisations,
	createRecord,
	createSource,
	createStatus,
} from '../../core/operators/test/operatorsFixtures';
import { CertificateFolder, FixtureName, openStore } from '../../core/tls/test/tlsFixtures';
import { ExitCode } from '../common/exitCode';
import { CheckManifestCommand } from '../node/checkManifestCommand';
import { CheckSettingsCommand, SettingsProgram } from '../node/checkSettingsCommand';
import type { ICommandOutput } from '../node/command';
import { EntriesCommand } from '../node/entriesCommand';
import { ExplainCommand } from '../node/explainCommand';
import { createOrganisationsCommand, createSlownessCommand } from '../node/listingCommand';
import { OperatorsClient } from '../node/operatorsClient';
import { StatusCommand } from '../node/statusCommand';
import type { TrailOptions } from '../node/trailCommand';
import { TrailCommand } from '../node/trailCommand';

/** Records the output of a command and provides its client and clock. */
class CommandHarness implements ICommandOutput {
	readonly lines: string[] = [];
	readonly errors: string[] = [];
	readonly timerService = new ManualTimerService();
	readonly client = new OperatorsClient(this.timerService, 3_000);
	private noteLine: () => void = () => undefined;

	write(line: string): void {
		this.lines.push(line);
		this.noteLine();
	}

	writeError(line: string): void {
		this.errors.push(line);
	}

	async waitForLines(count: number): Promise<void> {
		while (this.lines.length < count) {
			await new Promise<void>(resolve => {
				this.noteLine = resolve;
			});
		}
	}
}

let owned = new DisposableStore();

function createHarness(): CommandHarness {
	const harness = new CommandHarness();
	owned.add(harness.client);
	return harness;
}

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

async function startEntry(source: Partial<IOperatorsSource> = {}): Promise<string> {
	const server = owned.add(new OperatorsServer(createSource(source), createMetricsPage()));
	const { host, port } = await server.start({ host: '127.0.0.1', port: 0 });
	return `http://${host}:${port}`;
}

function writeFile(text: string): string {
	const folder = mkdtempSync(join(tmpdir(), 'anvilroadctl-'));
	owned.add(
		toDisposable(() => {
			rmSync(folder, { recursive: true });
		}),
	);
	const file = join(folder, 'file');
	writeFileSync(file, text);
	return file;
}

function createManifestText(service = 'bookings'): string {
	return JSON.stringify({
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [{ name: 'harbour-hotel', home: 'kingston' }],
		services: [{ name: service, kind: 'plain', residency: 'home', repeat: 'at-most-once' }],
	});
}

function createTrailCommand(
	harness: CommandHarness,
	options: Partial<TrailOptions>,
	stop = new AbortController().signal,
): TrailCommand {
	const complete = { entries: [], isJson: true, maxRecords: 100, isFollowing: false, ...options };
	return new TrailCommand(harness.client, harness.timerService, harness, complete, stop);
}

function createManifestCheck(harness: CommandHarness, file: string, against?: string): CheckManifestCommand {
	return new CheckManifestCommand(harness.client, harness, { file, against, isJson: false });
}

const unreachableUrl = 'http://127.0.0.1:1';

describe('status and entries', () => {
	it('shows reachable entries and fails for unreachable ones', async () => {
		const harness = createHarness();
		const url = await startEntry();
		const options = { entries: [url, unreachableUrl], isJson: true, hasAllRows: false };
		expect(await new StatusCommand(harness.client, harness, options).run()).toBe(ExitCode.Failure);
		expect(JSON.parse(harness.lines[0] ?? '')).toEqual({ entry: url, status: createStatus() });
		expect(harness.errors[0]).toMatch(/^http:\/\/127.0.0.1:1: unreachable: /);
	});

	// Guards against a command that hangs during an incident: the system still accepts connections for a frozen
	// entry process, but no answer ever arrives.
	it('ends with a timeout where an entry accepts connections and never answers', async () => {
		const harness = createHarness();
		const frozen = createServer().listen(0, '127.0.0.1');
		await once(frozen, 'listening');
		const accepted = once(frozen, 'connection');
		const { port } = frozen.address() as AddressInfo;
		const options = { entries: [`http://127.0.0.1:${port}`], isJson: false };
		const running = new EntriesCommand(harness.client, harness, options).run();
		await accepted;
		harness.timerService.advance(3_000);
		expect(await running).toBe(ExitCode.Failure);
		expect(harness.errors[0]).toContain('timed-out: no complete answer within 3000 ms');
		frozen.close();
	});

	it('fails for an entry that is not ready', async () => {
		const readiness = { isReady: false, reasons: ['no manifest yet'] };
		const harness = createHarness();
		const url = await startEntry({ getStatus: () => createStatus({ readiness, manifest: null }) });
		const options = { entries: [url], isJson: false };
		expect(await new EntriesCommand(harness.client, harness, options).run()).toBe(ExitCode.Failure);
		expect(harness.lines[1]).toMatch(/entry-kingston-1 .* not ready/);
	});
});

describe('organisations and slowness', () => {
	it('shows reachable entries, fails for unreachable ones, and prints the answer as JSON', async () => {
		const harness = createHarness();
		const url = await startEntry();
		const options = { entries: [url, unreachableUrl], isJson: true, hasAllRows: false };
		expect(await createOrganisationsCommand(harness.client, harness, options).run()).toBe(ExitCode.Failure);
		expect(JSON.parse(harness.lines[0] ?? '')).toEqual(createOrganisations());
		expect(harness.errors[0]).toMatch(/^http:\/\/127.0.0.1:1: unreachable: /);
		const textOptions = { ...options, entries: [url], isJson: false };
		expect(await createOrganisationsCommand(harness.client, harness, textOptions).run()).toBe(
			ExitCode.Success,
		);
		expect(harness.lines).toContain('entry-kingston-1  manifest 12  0 organisations');
		expect(await createSlownessCommand(harness.client, harness, textOptions).run()).toBe(ExitCode.Success);
		expect(harness.lines).toContain('entry-kingston-1  0 targets; no target reports its slowness');
	});
});

describe('an entry with certificates', () => {
	it('is readable only for clients that trust its certificate authority', async () => {
		const folder = owned.add(new CertificateFolder(FixtureName.First));
		const server = owned.add(new OperatorsServer(createSource(), createMetricsPage(), openStore(folder)));
		const { host, port } = await server.start({ host: '127.0.0.1', port: 0 });
		const options = { entries: [`https://${host}:${port}`], isJson: false, hasAllRows: false };
		const harness = createHarness();
		const authorities = readFileSync(folder.settings.authorities, 'utf8');
		const trusting = owned.add(new OperatorsClient(harness.timerService, 3_000, authorities));
		expect(await new StatusCommand(trusting, harness, options).run()).toBe(ExitCode.Success);
		expect(await new StatusCommand(harness.client, harness, options).run()).toBe(ExitCode.Failure);
		expect(harness.errors[0]).toContain('unreachable');
	});
});

describe('explain', () => {
	it('queries every entry and shows the one that has the request record', async () => {
		const harness = createHarness();
		const without = await startEntry({ findRecord: () => undefined });
		const options = { entries: [without, await startEntry()], isJson: false, requestId: 'known' };
		expect(await new ExplainCommand(harness.client, harness, options).run()).toBe(ExitCode.Success);
		expect(harness.lines.join('\n')).toMatch(/0\.0ms {2}received {2}POST \/visits/);
		expect(harness.errors).toEqual([]);
		const lost = { ...options, requestId: 'lost' };
		expect(await new ExplainCommand(harness.client, harness, lost).run()).toBe(ExitCode.Failure);
		expect(harness.errors).toHaveLength(2);
		expect(harness.errors[0]).toContain(`${without}: not-there: `);
	});
});

describe('trail', () => {
	it('prints the newest records as JSON lines', async () => {
		const harness = createHarness();
		expect(await createTrailCommand(harness, { entries: [await startEntry()], maxRecords: 2 }).run()).toBe(
			ExitCode.Success,
		);
		const sequences = harness.lines.map(line => (JSON.parse(line) as { sequence: number }).sequence);
		expect(sequences).toEqual([2, 3]);
	});

	// Guards against a follower that shows nothing after an entry restart: the restarted entry numbers its records
	// from 1 again, so reads after the old sequence number would return no records.
	it('follows an entry across a restart and shows no record twice', async () => {
		let boot = 'first';
		let sequences = [1, 2, 3];
		const url = await startEntry({
			getStatus: () => createStatus({ boot }),
			listTrail: maxRecords => sequences.slice(-maxRecords).map(createRecord),
		});
		const harness = createHarness();
		const stop = new AbortController();
		const following = { entries: [url], isFollowing: true };
		const running = createTrailCommand(harness, following, stop.signal).run();
		await harness.waitForLines(3);
		sequences = [1, 2, 3, 4];
		await advanceUntilLines(harness, 4);
		boot = 'second';
		sequences = [1];
		await advanceUntilLines(harness, 5);
		stop.abort();
		expect(await running).toBe(ExitCode.Success);
		const shown = harness.lines.map(line => (JSON.parse(line) as { sequence: number }).sequence);
		expect(shown).toEqual([1, 2, 3, 4, 1]);
		expect(harness.errors).toEqual([`${url}: entry-kingston-1 was restarted`]);
	});
});

/** Waits until the last read is processed, advances the clock by one read interval and waits for the output lines. */
async function advanceUntilLines(harness: CommandHarness, count: number): Promise<void> {
	await new Promise(resolve => setImmediate(resolve));
	harness.timerService.advance(1_000);
	await harness.waitForLines(count);
}

describe('check', () => {
	it('reports every fault of a manifest with its path', async () => {
		const harness = createHarness();
		const file = writeFile(createManifestText('Book ings'));
		expect(await createManifestCheck(harness, file).run()).toBe(ExitCode.Failure);
		expect(harness.lines[0]).toContain(`${file}: services[0].name: is not a name`);
	});

	it('shows the changes from the manifest in force and from a file', async () => {
		const harness = createHarness();
		const text = createManifestText();
		const url = await startEntry({ getManifest: () => ({ version: 12 as never, digest: 'd', text }) });
		const file = writeFile(createManifestText('ledger'));
		expect(await createManifestCheck(harness, file, url).run()).toBe(ExitCode.Success);
		expect(harness.lines[1]).toBe(`2 changes against manifest 12 in force at ${url}:`);
		expect(harness.lines[2]).toBe('- services[bookings]');
		expect(await createManifestCheck(harness, file, file).run()).toBe(ExitCode.Success);
		expect(harness.lines.at(-1)).toBe(`no change against ${file}`);
		expect(await createManifestCheck(harness, file, unreachableUrl).run()).toBe(ExitCode.Failure);
	});

	it('reports every fault of a settings file', async () => {
		const harness = createHarness();
		const file = writeFile('[limits]\nmax_body_bytes = lots\n');
		const options = { file, program: SettingsProgram.Entry, isJson: false };
		expect(await new CheckSettingsCommand(harness, options).run()).toBe(ExitCode.Failure);
		const fault = '[limits] max_body_bytes = lots: a whole number from 1 to 268435456';
		expect(harness.lines).toContain(`${file}: ${fault}`);
		const misnamed = { ...options, file: writeFile('[limitations]\nmax_body_bytes = 1\n') };
		expect(await new CheckSettingsCommand(harness, misnamed).run()).toBe(ExitCode.Failure);
		expect(harness.lines).toContain(`${misnamed.file}: [limitations]: no such section`);
	});
});
