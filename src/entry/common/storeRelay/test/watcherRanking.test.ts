import type { InstanceId } from '../../../../core/ids/common/ids';
import { pickWatcher, rankWatchers } from '../watcherRanking';

function createIds(count: number): readonly InstanceId[] {
	return Array.from({ length: count }, (_, index) => `entry-${index}` as InstanceId);
}

describe('the watchers of a region', () => {
	it.each([
		{ entries: 1, watchers: 1 },
		{ entries: 2, watchers: 1 },
		{ entries: 40, watchers: 1 },
		{ entries: 65, watchers: 2 },
		{ entries: 120, watchers: 3 },
	])('are $watchers of $entries entries, in whatever order these are known', ({ entries, watchers }) => {
		const ids = createIds(entries);
		const ranked = rankWatchers(ids);
		expect(ranked).toHaveLength(watchers);
		expect(rankWatchers([...ids].reverse())).toEqual(ranked);
	});

	// Guards against a watcher that feeds all others of a large region while the second one feeds none.
	it('share the other entries between them', () => {
		const ids = createIds(120);
		const watchers = rankWatchers(ids);
		const picked = ids.map(own =>
			pickWatcher(
				own,
				ids.filter(other => other !== own),
			),
		);
		expect(ids.filter((_, index) => picked[index] === undefined).sort()).toEqual([...watchers].sort());
		for (const watcher of watchers) {
			expect(picked.filter(other => other === watcher).length).toBeGreaterThan(20);
		}
	});

	// Guards against all readers changing their watcher whenever an entry comes or goes.
	it('stay the same when another entry goes', () => {
		const ids = createIds(30);
		const [watcher] = rankWatchers(ids);
		for (const gone of ids.filter(id => id !== watcher)) {
			expect(rankWatchers(ids.filter(id => id !== gone))).toEqual([watcher]);
		}
	});
});
