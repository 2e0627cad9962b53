import type { RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { SeededRandom } from '../../base/common/random';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { LoadMode } from '../common/loadOptions';
import type { LoadSummary } from '../common/loadStatistics';
import { LoadRunner } from '../node/loadRunner';
import { startPassThrough } from '../node/passThrough';
import { createOptions } from './fixtures';

const servers: Server[] = [];

async function startServer(listener: RequestListener): Promise<string> {
	const server = createServer(listener);
	servers.push(server);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function runLoad(url: string, mode: LoadMode): Promise<LoadSummary> {
	const options = createOptions({ targetUrls: [url], mode, bodyBytes: 100_000, ratePerSecond: 200 });
	return new LoadRunner(new SystemTimerService(), new SeededRandom(options.seed)).run(options);
}

const echo: RequestListener = (request, response) => {
	request.pipe(response);
};

describe('LoadRunner', () => {
	afterEach(async () => {
		await Promise.all(
			servers.splice(0).map(
				server =>
					new Promise(resolve => {
						server.close(resolve);
					}),
			),
		);
	});

	it.each(Object.values(LoadMode))(
		'receives complete echoes through the pass-through in an %s run',
		async mode => {
			const passThrough = await startPassThrough({ host: '127.0.0.1', port: 0 }, await startServer(echo), 4);
			const summary = await runLoad(passThrough.url, mode);
			await passThrough.close();
			expect(summary.count).toBeGreaterThan(0);
			expect(summary.ok).toBe(summary.count);
		},
	);

	// The target closes the connection in the middle of one answer in three and sends the wrong bytes in another.
	// Only the first is a transport error, the second is visible in the body alone. Both must count as failed.
	it('counts incomplete and mismatched answers as failed', async () => {
		let count = 0;
		const url = await startServer((request, response) => {
			count++;
			if (count % 3 === 0) {
				response.writeHead(200, { 'content-length': '100000' });
				response.write('a piece', () => response.destroy());
				request.resume();
			} else if (count % 3 === 1) {
				response.end(Buffer.alloc(100_000));
				request.resume();
			} else {
				request.pipe(response);
			}
		});
		const summary = await runLoad(url, LoadMode.Open);
		expect(summary.ok).toBe(Math.floor((summary.count + 1) / 3));
		expect(summary.failed).toBe(summary.count - summary.ok);
		expect(summary.reasons.map(({ reason }) => reason)).toContain('the body is not the one that was sent');
	});
});
