import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { Agent, request as createRequest } from 'node:http';
import { DisposableStore } from '../../base/common/lifecycle';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { parseSettings } from '../../core/settings/common/settings';
import { standinSettingsSchema } from '../common/standinSettings';
import type { StandinAddresses } from '../node/standinHost';
import { StandinHost } from '../node/standinHost';

const disposables = new DisposableStore();
const agent = new Agent();
let addresses: StandinAddresses;

interface Answer {
	readonly status: number;
	readonly headers: IncomingMessage['headers'];
	readonly body: Buffer;
}

interface SendOptions {
	readonly method?: string;
	readonly body?: string;
	readonly headers?: Record<string, string>;
}

async function send(
	url: string,
	{ method = 'POST', body = '', headers = {} }: SendOptions = {},
): Promise<Answer> {
	const request = createRequest(url, { method, headers, agent });
	request.end(body);
	const [response] = (await once(request, 'response')) as [IncomingMessage];
	const chunks: Buffer[] = [];
	for await (const chunk of response as AsyncIterable<Buffer>) {
		chunks.push(chunk);
	}
	return { status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks) };
}

function getUrl(name: string, path: string): string {
	return `${addresses.addresses[name] ?? ''}${path}`;
}

async function setFaults(name: string, faults: object): Promise<Answer> {
	return send(`${addresses.admin}/v1/${name}/faults`, { body: JSON.stringify(faults) });
}

async function getCounters(name: string): Promise<Record<string, unknown>> {
	const { body } = await send(`${addresses.admin}/v1/${name}/counters`, { method: 'GET' });
	return JSON.parse(body.toString()) as Record<string, unknown>;
}

beforeAll(async () => {
	const listen = 'listen = 127.0.0.1:0';
	const text = [
		...['[admin]', listen, '[platform]', listen, 'reads_per_second = 1000', 'instances_lag_ms = 0'],
		...['[engine.rounds-1]', listen, 'token_ms = 1', '[plain.bookings-1]', listen, 'work_ms = 0'],
	].join('\n');
	const settings = parseSettings(standinSettingsSchema, text)._unsafeUnwrap();
	const host = disposables.add(new StandinHost(settings, disposables.add(new SystemTimerService())));
	addresses = await host.open();
});

afterAll(() => {
	agent.destroy();
	disposables.dispose();
});

describe('StandinHost', () => {
	it('serves a published manifest unchanged, with its version', async () => {
		const document = '{ "any":  "bytes" }';
		await send(`${addresses.admin}/v1/platform/manifest`, { method: 'PUT', body: document });
		const answer = await send(getUrl('platform', '/v1/config/manifest'), { method: 'GET' });
		expect(answer.body.toString()).toBe(document);
		expect(answer.headers['platform-version']).toBe('1');
		const same = await send(getUrl('platform', '/v1/config/manifest?after=1&wait-ms=1'), { method: 'GET' });
		expect(same.status).toBe(304);
	});

	it('serves targets and entries in the instance list, but only entries in the directory', async () => {
		const place = { region: 'kingston', zone: 'kingston-a' };
		const urls = { callerUrl: 'http://127.0.0.1:1', peerUrl: 'http://127.0.0.1:2' };
		const instances = [
			{ id: 'entry-1', kind: 'entry', ...place, ...urls, state: 'live' },
			{ id: 'bookings-1', kind: 'target', boot: 'b1', state: 'leaving' },
		];
		const path = `${addresses.admin}/v1/platform/instances`;
		const put = await send(path, { method: 'PUT', body: JSON.stringify({ instances }) });
		expect(put.status).toBe(200);
		const watch = getUrl('platform', '/v1/instances?after=0&wait-ms=5000');
		const served = await send(watch, { method: 'GET' });
		expect(JSON.parse(served.body.toString())).toEqual({ instances });
		const directory = await send(getUrl('platform', '/v1/directory'), { method: 'GET' });
		const entries = [{ url: 'http://127.0.0.1:1', ...place }];
		expect(JSON.parse(directory.body.toString())).toEqual({ entries });
	});

	it('streams tokens followed by an end marker', async () => {
		const body = JSON.stringify({ prompt: 'which gate?', maxTokens: 2 });
		const answer = await send(getUrl('rounds-1', '/v1/complete'), {
			body,
			headers: { 'anvilroad-attempt': 'r.1' },
		});
		expect(answer.body.toString()).toBe(
			'data: {"token":0,"text":" t0"}\n\ndata: {"token":1,"text":" t1"}\n\ndata: [DONE]\n\n',
		);
		expect(answer.headers['anvilroad-attempt']).toBe('r.1');
	});

	// Guards against a stand-in that reports its slowness without the switch: entries would then no longer compare its
	// answers with their estimates.
	it('reports its slowness as the fourth figure of the load header only if a fault switch is set', async () => {
		const url = getUrl('rounds-1', '/echo');
		const usual = await send(url);
		expect(usual.headers['anvilroad-load']).toMatch(/^\d+\/\d+\/8$/);
		await setFaults('rounds-1', { slowFactor: 2.4, reportSlowness: true });
		const slow = await send(url);
		await setFaults('rounds-1', { slowFactor: 1, reportSlowness: false });
		expect(slow.headers['anvilroad-load']).toMatch(/^\d+\/\d+\/8\/240$/);
	});

	it('counts the runs of a call and refuses calls without running them if a fault switch is set', async () => {
		const url = getUrl('bookings-1', '/run/pay');
		const headers = { 'x-call-id': 'call-7' };
		await send(url, { headers });
		const second = await send(url, { headers });
		expect(JSON.parse(second.body.toString())).toEqual({ callId: 'call-7', runs: 2 });
		await setFaults('bookings-1', { refuseUnrun: true });
		const refused = await send(url, { headers });
		await setFaults('bookings-1', { refuseUnrun: false });
		expect([refused.status, refused.headers['anvilroad-not-run']]).toEqual([503, '1']);
		expect(await getCounters('bookings-1')).toMatchObject({ runs: 2, repeatedCalls: 1 });
	});

	it('rejects a patch with an unknown switch and changes nothing', async () => {
		const answer = await setFaults('bookings-1', { leaving: true, leavign: true });
		expect([answer.status, answer.body.toString()]).toEqual([
			400,
			'{"error":"leavign: is not a fault switch of this stand-in"}',
		]);
		const { status } = await send(getUrl('bookings-1', '/echo'), { body: 'x' });
		expect(status).toBe(200);
	});

	it('frees the slot of a client that disconnects in the middle of its answer', async () => {
		// A client closes its connection when its own deadline passes while the engine is still streaming. If the
		// engine kept generating, it would occupy the slot for nothing while other requests wait.
		const request = createRequest(getUrl('rounds-1', '/v1/complete'), { method: 'POST' });
		request.on('error', () => undefined);
		request.end(JSON.stringify({ prompt: 'a season plan', maxTokens: 1_000_000 }));
		const [response] = (await once(request, 'response')) as [IncomingMessage];
		await once(response, 'data');
		response.destroy();
		let counters = await getCounters('rounds-1');
		while (counters.running !== 0) {
			counters = await getCounters('rounds-1');
		}
		expect(counters).toMatchObject({ cancelled: 1 });
	});

	it('resets an answer after the configured number of bytes', async () => {
		// Simulates a target that crashes in the middle of an answer. The client must not treat the incomplete
		// answer as complete.
		await setFaults('bookings-1', { resetAfterBytes: 100 });
		const request = createRequest(getUrl('bookings-1', '/bytes?n=5000'), { method: 'GET' });
		request.end();
		const [response] = (await once(request, 'response')) as [IncomingMessage];
		let received = 0;
		response.on('data', (chunk: Buffer) => (received += chunk.length));
		await expect(once(response, 'end')).rejects.toThrow('aborted');
		await setFaults('bookings-1', { resetAfterBytes: null });
		expect(received).toBe(100);
	});

	it('crashes on a body with the crash marker and listens on the same port again', async () => {
		// Simulates a request that crashes every target that runs it. All connections to the target are reset, and
		// new ones are refused until it has restarted.
		await setFaults('bookings-1', { crashDownMs: 20 });
		await expect(send(getUrl('bookings-1', '/run/x'), { body: 'CRASH-MARK' })).rejects.toThrow();
		let echoed: Answer | undefined;
		while (echoed === undefined) {
			echoed = await send(getUrl('bookings-1', '/echo'), { body: 'back' }).catch(() => undefined);
		}
		expect(echoed.body.toString()).toBe('back');
		expect(await getCounters('bookings-1')).toMatchObject({ crashes: 1 });
	});
});

describe('standinSettingsSchema', () => {
	it('rejects two stand-ins with the same name', () => {
		const text = '[admin]\nlisten=127.0.0.1:0\n[engine.a]\nlisten=127.0.0.1:0\n[plain.a]\nlisten=127.0.0.1:0';
		const faults = parseSettings(standinSettingsSchema, text)._unsafeUnwrapErr();
		expect(faults.map(fault => fault.allowed)).toEqual(['a name that no other stand-in in the file uses']);
	});
});
