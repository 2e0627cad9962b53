/**
 * Entries that are asked for a feed before the store has answered them, or while they read another entry.
 */

import { SeededRandom } from '../../../../base/common/random';
import type { FeedMessage } from '../storeFeed';
import { computeFeedTimes } from '../storeFeed';
import type { RelayEntry } from './relaySimulation';
import { maxDelayMs, prefix, RelaySite } from './relaySimulation';

const settleMs = 10_000;
/** The silence after which a feed counts as lost. */
const { silenceMs } = computeFeedTimes(maxDelayMs);
/** Longer than the silence, by the last message and the next read. */
const feedLossMs = silenceMs + 500;

interface Fixture {
	readonly site: RelaySite;
	/** Has lost its feed; the store has not answered it since. */
	readonly entry: RelayEntry;
	readonly messages: readonly FeedMessage[];
}

/** Opens a feed at an entry that asked the store after its feed was lost. */
async function openFeedAtUnanswered(): Promise<Fixture> {
	const site = new RelaySite(6, true, new SeededRandom(1));
	await site.advance(settleMs);
	// An answered watch begins the next read.
	site.siteStore.put(`${prefix}begin`, '1');
	await site.advance(100);
	const watcher = site.listWatchers()[0]!;
	const entry = [...site.entries.values()].find(other => other !== watcher)!;
	entry.ownStore.isSilent = true;
	site.kill(watcher.id);
	await site.advance(feedLossMs);
	const messages: FeedMessage[] = [];
	const era = entry.follower.getEra();
	entry.addReader(
		{ prefix, revision: entry.follower.getRevision(), era },
		{
			receive: message => {
				messages.push(message);
			},
			end: () => undefined,
		},
	);
	return { site, entry, messages };
}

describe('an entry that asked the store after it had lost its feed', () => {
	// Guards against entries that keep outdated state because another one sends its own as current before the store has confirmed it.
	it('sends its readers nothing before the store has answered', async () => {
		const { site, messages } = await openFeedAtUnanswered();
		await site.advance(400);
		expect(messages).toEqual([]);
		site.dispose();
	});

	it('sends its readers the changes once the store has answered', async () => {
		const { site, entry, messages } = await openFeedAtUnanswered();
		entry.ownStore.isSilent = false;
		site.siteStore.put(`${prefix}new`, '1');
		await site.advance(1_500);
		const written = messages.flatMap(message => message.written.map(({ key }) => key));
		expect(written).toContain(`${prefix}new`);
		site.dispose();
	});
});

describe('an entry that is asked for a feed while it reads that of another one', () => {
	// Guards against readers that miss changes until they give an entry up, as it waits for its own feed first.
	it('sends the present state before its feed counts as silent', async () => {
		const site = new RelaySite(6, true, new SeededRandom(1));
		await site.advance(settleMs);
		site.siteStore.put(`${prefix}begin`, '1');
		await site.advance(100);
		const entry = [...site.entries.values()].find(({ client }) => !client.isDirect(prefix))!;
		const messages: FeedMessage[] = [];
		const { follower } = entry;
		entry.addReader(
			{ prefix, revision: follower.getRevision(), era: follower.getEra() },
			{
				receive: message => {
					messages.push(message);
				},
				end: () => undefined,
			},
		);
		await site.advance(silenceMs);
		expect(messages.length).toBeGreaterThan(0);
		site.dispose();
	});
});
