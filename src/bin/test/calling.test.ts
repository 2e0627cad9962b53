/**
 * Sends every curl command of docs/CALLING.md, in order, to a running entry with simulated targets.
 */

import { readFileSync, rmSync } from 'node:fs';
import { resolve } from 'node:path';
import { request } from 'undici';
import { buildSources } from '../../ctl/test/compiledSources';
import { StartedProgram } from '../../ctl/test/startedProgram';
import type { CurlCommand } from './curlCommand';
import { parseCurlCommands } from './curlCommand';

/** Includes compiling the sources and starting two processes on a busy machine. */
const startTimeoutMs = 30_000;

interface ReceivedAnswer {
	readonly status: number;
	readonly outcome: unknown;
	readonly text: string;
}

const page = readFileSync(resolve(__dirname, '../../../docs/CALLING.md'), 'utf8');
const programs: StartedProgram[] = [];
let folder = '';
let entryUrl = '';

function startProgram(name: string, settings: string): StartedProgram {
	const program = new StartedProgram(folder, name, name, settings);
	programs.push(program);
	return program;
}

function createManifest(targets: Readonly<Record<string, string>>): string {
	const place = { region: 'kingston', zone: 'kingston-a' };
	return JSON.stringify({
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [{ name: 'harbour-hotel', home: 'kingston' }],
		services: [
			{ name: 'round-assistant', kind: 'engine', residency: 'any', repeat: 'idempotent' },
			{
				name: 'bookings',
				kind: 'plain',
				residency: 'home',
				repeat: 'at-most-once',
				rules: [{ method: '*', path: '/echo', repeat: 'idempotent' }],
			},
		],
		targets: [
			{ id: 'rounds-1', service: 'round-assistant', ...place, url: targets['rounds-1'] },
			{ id: 'bookings-1', service: 'bookings', ...place, url: targets['bookings-1'] },
		],
	});
}

function createEntrySettings(platformUrl: string | undefined): string {
	return [
		'[instance]\nid = entry-kingston-1\nregion = kingston\nzone = kingston-a',
		'[callers]\nlisten = 127.0.0.1:0\nurl = http://127.0.0.1:7001',
		'[peers]\nlisten = 127.0.0.1:0\nurl = http://127.0.0.1:7101\nplain = yes',
		'[operators]\nlisten = 127.0.0.1:0\nplain = yes',
		`[platform]\nurl = ${platformUrl ?? ''}`,
		'[tickets]\nkey = a-key-that-is-long-enough',
	].join('\n');
}

beforeAll(async () => {
	folder = buildSources(['base', 'gen', 'core', 'entry', 'standin', 'bin']);
	const sections = ['admin', 'platform', 'engine.rounds-1', 'plain.bookings-1'];
	const settings = sections.map(section => `[${section}]\nlisten = 127.0.0.1:0`).join('\n');
	const standin = await startProgram('standin', settings).waitForLine('"ready":true');
	const addresses = standin.addresses as Record<string, string>;
	const manifest = { method: 'PUT', body: createManifest(addresses) } as const;
	await request(`${String(standin.admin)}/v1/platform/manifest`, manifest);
	const entry = startProgram('entry', createEntrySettings(addresses.platform));
	const listening = await entry.waitForLine('"listening"');
	entryUrl = `http://127.0.0.1:${String(listening.callers)}`;
	await entry.waitForLine('"to":"v1"');
}, startTimeoutMs);

afterAll(async () => {
	await Promise.all(programs.map(program => program.kill()));
	rmSync(folder, { recursive: true });
});

async function sendCommand(command: CurlCommand, ticket = ''): Promise<ReceivedAnswer> {
	const headers = { ...command.headers };
	if (headers['anvilroad-ticket'] === 'TICKET') {
		headers['anvilroad-ticket'] = ticket;
	}
	const url = command.url.replace('http://127.0.0.1:7001', entryUrl);
	const answer = await request(url, { method: command.method, headers, body: command.body ?? null });
	const outcome = answer.headers['anvilroad-outcome'];
	return { status: answer.statusCode, outcome, text: await answer.body.text() };
}

/** Lists the JSON blocks of the page, which show the answers to its commands. */
function listSampleAnswers(): Record<string, unknown>[] {
	const blocks = [...page.matchAll(/```json\n([\s\S]*?)```/g)];
	return blocks.map(match => JSON.parse(match[1] ?? '') as Record<string, unknown>);
}

describe('the commands of CALLING.md', () => {
	const [lookup, call, refused, stream, oneTicket, ticketed] = parseCurlCommands(page);
	const [lookupSample, refusalSample] = listSampleAnswers();

	it('are six', () => {
		expect(parseCurlCommands(page)).toHaveLength(6);
	});

	it('look up entries and tickets', async () => {
		const answer = JSON.parse((await sendCommand(lookup!)).text) as Record<string, unknown>;
		expect(answer).toMatchObject({ ...lookupSample, tickets: expect.any(Array) as unknown });
		expect(answer.tickets).toHaveLength(4);
	});

	it('call a plain service and get its answer unchanged', async () => {
		expect(await sendCommand(call!)).toEqual({ status: 200, outcome: 'answered', text: call!.body });
	});

	it('are refused as the page shows', async () => {
		const { status, text } = await sendCommand(refused!);
		expect(status).toBe(403);
		const requestId = expect.stringMatching(/^entry-kingston-1-/) as unknown;
		expect(JSON.parse(text)).toEqual({ ...refusalSample, requestId });
	});

	it('stream an answer token by token', async () => {
		const { outcome, text } = await sendCommand(stream!);
		expect(outcome).toBe('answered');
		expect(text.match(/^data: /gm)).toHaveLength(9);
		expect(text.trimEnd()).toMatch(/data: \[DONE\]$/);
	});

	it('run a call with a ticket once, also when it is sent again', async () => {
		const { tickets } = JSON.parse((await sendCommand(oneTicket!)).text) as { tickets: string[] };
		expect(tickets).toHaveLength(1);
		const first = await sendCommand(ticketed!, tickets[0]);
		expect(first).toMatchObject({ status: 200, outcome: 'answered' });
		expect(await sendCommand(ticketed!, tickets[0])).toEqual(first);
		expect(JSON.parse(first.text)).toMatchObject({ runs: 1 });
	});
});
