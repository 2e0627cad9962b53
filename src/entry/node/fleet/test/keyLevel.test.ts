import type { ServiceName } from '../../../../core/ids/common/ids';
import { SeededRandom } from '../../../../base/common/random';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { EntryView } from '../../../common/fleetView/entryView';
import { RouterContext } from '../../requests/routerContext';
import { decodeView, encodeView } from '../viewCodec';
import { createView, region } from './views';

const service = 'rounds' as ServiceName;

function createContext(views: readonly EntryView[]): RouterContext {
	const unused = {} as never;
	const fleet = {
		listLiveIn: () => views.map(view => ({ view, reportedMs: 0 })),
		isConfirmingKeys: (instance: string) =>
			views.some(view => view.instance === instance && view.confirmsKeys),
	} as never;
	const own = { id: 'own', region, zone: 'khomas-a' } as never;
	const random = new SeededRandom(1);
	const timers = new ManualTimerService();
	return new RouterContext(
		own,
		unused,
		unused,
		unused,
		fleet,
		unused,
		unused,
		timers,
		unused,
		unused,
		random,
	);
}

describe('the protocol level of a view', () => {
	it.each([
		[4, {}],
		[3, { confirmsKeys: false }],
		[2, { confirmsKeys: false, relaysStore: false }],
		[1, { confirmsKeys: false, relaysStore: false, countsAttempts: false }],
	])('is %i, and read as such', (level, change) => {
		const message = encodeView(createView('entry-1', change));
		expect(message.protocolLevel).toBe(level);
		expect(decodeView(message)).toMatchObject({ ...change, confirmsKeys: level >= 4 });
	});
});

describe('a neighbour of an earlier release', () => {
	// Guards against a request that an entry of an earlier release runs, although its key has been withdrawn.
	it('gets no request with a key', () => {
		const old = createView('entry-old', { confirmsKeys: false });
		const recent = createView('entry-recent');
		const pick = (isKeyed: boolean, views: EntryView[]): string | undefined =>
			createContext(views).pickNeighbour(service, [], undefined, isKeyed);
		expect([pick(true, [old]), pick(false, [old])]).toEqual([undefined, 'entry-old']);
		expect([pick(true, [old, recent]), pick(true, [recent, old])]).toEqual(['entry-recent', 'entry-recent']);
	});
});
