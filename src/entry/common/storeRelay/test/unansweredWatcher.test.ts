/**
 * Entries that are asked for a feed while their own read of the store has no answer.
 */

import { SeededRandom } from '../../../../base/common/random';
import type { FeedMessage } from '../storeFeed';
import type { RelayEntry } from './relaySimulation';
import { prefix, RelaySite } from './relaySimulation';

const settleMs = 10_000;
/** A feed counts as lost by then. */
const feedSilenceMs = 2_500;

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
	await site.advance(feedSilenceMs);
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
	// Guards against entries that go on by old news because another one calls its own state current before the store did.
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
