import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { subscribeTo } from '../../../base/common/channel';
import { parseInstanceList } from '../common/instanceList';
import { HttpPlatformClient } from '../node/platformClient';

const entry = {
	id: 'entry-1',
	kind: 'entry',
	region: 'kingston',
	zone: 'kingston-a',
	callerUrl: 'http://127.0.0.1:1',
	peerUrl: 'http://127.0.0.1:2',
	state: 'live',
};

describe('the instance list', () => {
	it('contains entries and targets', () => {
		const target = { id: 'bookings-1', kind: 'target', boot: 'b1', state: 'leaving' };
		const silent = { id: 'bookings-2', kind: 'target', state: 'live' };
		const text = JSON.stringify({ instances: [target, entry, silent] });
		expect(parseInstanceList(text)._unsafeUnwrap()).toEqual({
			instances: [entry],
			targets: [target, silent],
		});
	});

	it('is rejected if a row is not a valid target', () => {
		const text = JSON.stringify({ instances: [{ id: 'bookings-1', kind: 'target', state: 'gone' }] });
		expect(parseInstanceList(text)._unsafeUnwrapErr()).toContain('state');
	});
});

describe('HttpPlatformClient', () => {
	// Guards against missing metrics of failed reads: if the fleet exceeds the platform's rate limit or a part of the
	// platform is down, operators would see that changes no longer arrive, but not the reason.
	it('emits the outcome of each read', async () => {
		const answers = [200, 304, 429, 500];
		const server = createServer((_, response) => {
			response.writeHead(answers.shift() ?? 500, { 'platform-version': '1' }).end('{}');
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const client = new HttpPlatformClient(
			`http://127.0.0.1:${(server.address() as AddressInfo).port}`,
			3_000,
		);
		const results: string[] = [];
		subscribeTo(client.onDidEndRead, ({ kind, result }) => results.push(`${kind} ${result}`));
		const { signal } = new AbortController();
		for (let left = answers.length; left > 0; left--) {
			await client.readManifest(0, 0, signal);
		}
		server.close();
		server.closeAllConnections();
		await client.readInstances(0, 0, signal);
		await client.readManifest(0, 0, AbortSignal.abort());
		await client.close();
		expect(results).toEqual([
			'manifest fresh',
			'manifest unchanged',
			'manifest refused',
			'manifest failed',
			'instances failed',
		]);
	});
});
