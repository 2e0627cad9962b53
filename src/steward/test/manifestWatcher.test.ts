import type { ServerResponse } from 'node:http';
import { SeededRandom } from '../../base/common/random';
import { subscribeTo } from '../../base/common/channel';
import { DisposableStore } from '../../base/common/lifecycle';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { ManifestWatcher } from '../node/manifestWatcher';
import { createManifest } from './stewardFixtures';
import { openServer } from './testServer';

type Answer = (response: ServerResponse) => void;

const owned = new DisposableStore();

afterAll(() => {
	owned.dispose();
});

function createAnswer(status: number, version: number, text = ''): Answer {
	return response => {
		response.writeHead(status, { 'platform-version': String(version) });
		response.end(text);
	};
}

/** A platform that gives one answer after the other and then lets every watch hang. */
async function createWatcher(
	answers: readonly Answer[],
): Promise<{ watcher: ManifestWatcher; queries: string[]; signs: string[] }> {
	const queries: string[] = [];
	const url = await openServer(owned, (request, response) => {
		const answer = answers[queries.length];
		queries.push(request.url?.split('?')[1]?.split('&')[0] ?? '');
		answer?.(response);
	});
	const signs: string[] = [];
	const timers = owned.add(new SystemTimerService());
	const trail = { record: ({ to }: { to: string }): unknown => signs.push(to) };
	return { watcher: owned.add(new ManifestWatcher(url, timers, trail, new SeededRandom(1))), queries, signs };
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
	while (!isTrue()) {
		await new Promise(resolve => setTimeout(resolve, 5));
	}
}

describe('ManifestWatcher', () => {
	it('accepts only what is newer and whole, and keeps what is in force', async () => {
		// The pipeline publishes a broken manifest, and a replica of the platform then falls back to an older
		// one. Taken over, either would change every engine.
		const text = JSON.stringify(createManifest(1, ['engine-1']));
		const { watcher, queries, signs } = await createWatcher([
			createAnswer(200, 5, text),
			createAnswer(200, 6, '{"regions":1}'),
			createAnswer(200, 4, text),
			createAnswer(304, 4),
			createAnswer(200, 7, text),
		]);
		const accepted: number[] = [];
		owned.add(subscribeTo(watcher.onDidAccept, ({ version }) => accepted.push(version)));
		void watcher.follow();
		await waitUntil(() => queries.length === 6);
		expect(accepted).toEqual([5, 7]);
		expect(queries).toEqual(['after=0', 'after=5', 'after=6', 'after=6', 'after=6', 'after=7']);
		expect(signs).toEqual(['version 5', 'refused', 'version 7']);
		expect(watcher.counters).toEqual({ accepted: 2, refused: 1, failed: 0 });
	});

	it('gives the version that the platform serves, or why there is none', async () => {
		const { watcher } = await createWatcher([
			createAnswer(304, 3),
			response => response.destroy(),
			response => {
				response.writeHead(429, { 'retry-after': '1' });
				response.end();
			},
		]);
		expect((await watcher.readNewestVersion())._unsafeUnwrap()).toBe(3);
		expect((await watcher.readNewestVersion()).isErr()).toBe(true);
		expect((await watcher.readNewestVersion())._unsafeUnwrapErr()).toEqual({ detail: 'status 429' });
	});
});
