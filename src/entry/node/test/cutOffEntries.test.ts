import { RouteKind } from '../../../core/manifest/common/routes';
import type { CapturingSink } from '../requests/test/flowFixtures';
import type { CallerCounts, CutOffEntry, CutOffOptions } from './cutOffRegion';
import { CutOffRegions } from './cutOffRegion';
import { CutMode } from './scriptedTargetClient';

/** Time after the begin of a cut from which callers have to be served. */
const contactMs = 5_000;
const measuredMs = 8_000;
const settleMs = 12_000;
const region = 'kingston';

const seeds = [1, 2, 3];

const base = { entriesPerRegion: 4, targetsPerRegion: 3, requestsPerSecond: 20, isRepeatable: true };

function sum(counts: readonly CallerCounts[]): CallerCounts {
	return {
		sent: counts.reduce((total, { sent }) => total + sent, 0),
		served: counts.reduce((total, { served }) => total + served, 0),
		keptWaiting: counts.reduce((total, { keptWaiting }) => total + keptWaiting, 0),
	};
}

interface CutResult {
	readonly cut: CallerCounts;
	readonly others: CallerCounts;
	readonly site: CutOffRegions;
}

/** Cuts the first entries of the region off from all targets and calls its entries from `contactMs` after that. */
async function runCut(options: CutOffOptions, cutCount: number): Promise<CutResult> {
	const site = new CutOffRegions(options);
	await site.advance(settleMs);
	await site.runCallers(region, 1_000);
	const entries = site.listIn(region);
	const isCutOff = (entry: CutOffEntry): boolean => entries.indexOf(entry) < cutCount;
	site.cut(entries.filter(isCutOff));
	await site.runCallers(region, contactMs - 2_400);
	const counts = await site.runCallers(region, measuredMs);
	const pick = (isCut: boolean): CallerCounts =>
		sum(entries.filter(entry => isCutOff(entry) === isCut).map(({ id }) => counts.get(id)!));
	return { cut: pick(true), others: pick(false), site };
}

jest.setTimeout(60_000);

const modes = Object.values(CutMode);
const cases = modes.flatMap(mode => [1, 2].map(cutCount => ({ mode, cutCount })));

describe.each(cases)(
	'callers of $cutCount of 4 entries that reach no target, connections $mode',
	({ mode, cutCount }) => {
		// Guards against callers that are served far worse because their entry has lost its paths while its neighbours serve.
		it('are served two thirds as often as others, or at most 10 + 1 in 50 of them fail', async () => {
			for (const seed of seeds) {
				const { cut, others, site } = await runCut({ ...base, mode, seed, isRegionRequired: true }, cutCount);
				const failed = cut.sent - cut.served;
				const isServedAsOften = cut.served / cut.sent >= ((others.served / others.sent) * 2) / 3;
				expect({ seed, isServed: isServedAsOften || failed <= 10 + cut.sent / 50, cut }).toMatchObject({
					isServed: true,
				});
				expect(Math.max(...site.runs.values())).toBe(1);
				site.dispose();
			}
		});
	},
);

describe.each(modes)('callers of a region whose entries all reach no target, connections %s', mode => {
	// Guards against requests that wait for targets here although another region could serve them.
	it('are served by another region if their calls may leave their own', async () => {
		for (const seed of seeds) {
			const { cut, site } = await runCut({ ...base, mode, seed, isRegionRequired: false }, 4);
			expect({ seed, failed: cut.sent - cut.served <= 10 + cut.sent / 50, cut }).toMatchObject({
				failed: true,
			});
			site.dispose();
		}
	});
});

describe.each([CutMode.Hanging, CutMode.Reset])(
	'callers of a region that no other may serve, connections %s',
	mode => {
		// Guards against refusals that come when the caller's time is over although the entry knows that it can't serve.
		it('are refused at once while no entry of it reaches a target', async () => {
			const { cut, site } = await runCut({ ...base, mode, seed: 1, isRegionRequired: true }, 4);
			expect({ keptWaiting: cut.keptWaiting, served: cut.served }).toEqual({ keptWaiting: 0, served: 0 });
			site.dispose();
		});
	},
);

describe.each(modes)(
	'calls that may run at most once at an entry that reaches no target, connections %s',
	mode => {
		// Guards against calls that run at a neighbour although a target behind the lost path may have run them.
		it('are served by its neighbours and run no more than once', async () => {
			for (const seed of seeds) {
				const options = { ...base, mode, seed, isRegionRequired: true, isRepeatable: false };
				const { cut, site } = await runCut(options, 1);
				expect(cut.sent - cut.served).toBeLessThanOrEqual(10 + cut.sent / 50);
				expect(Math.max(...site.runs.values())).toBe(1);
				site.dispose();
			}
		});
	},
);

describe('paths that are whole again', () => {
	// Guards against entries that go on using their neighbours, and against a state that changes back and forth.
	it('are used again within two seconds, with one change of the state in each direction', async () => {
		const options = { ...base, mode: CutMode.Hanging, seed: 1, isRegionRequired: true };
		const { site } = await runCut(options, 1);
		site.openPaths();
		await site.runCallers(region, 2_000);
		const counts = await site.runCallers(region, 2_000);
		const all = sum([...counts.values()]);
		expect(all.served).toBe(all.sent);
		expect(site.entries[0]!.listPathChanges().slice(-2)).toEqual(['doubtful -> cut', 'cut -> open']);
		site.dispose();
	});
});

describe.each(modes)(
	'requests in flight when their entry loses all paths to targets, connections %s',
	mode => {
		// Guards against requests that are queued for another attempt after the loss, where nothing serves or rejects them.
		it('have an answer at the timeout of their route, from another region if an attempt is left', async () => {
			const site = new CutOffRegions({
				...base,
				entriesPerRegion: 1,
				mode,
				seed: 1,
				isRegionRequired: false,
			});
			await site.advance(settleMs);
			const [entry] = site.listIn(region);
			const limitMs = 4_000;
			const lookup = { kind: RouteKind.Idempotent, isResumable: false, attempts: 2, limitMs };
			const send = async (requests: number): Promise<readonly CapturingSink[]> => {
				const sinks: CapturingSink[] = [];
				for (let sent = 0; sent < requests; sent++) {
					sinks.push(...Array.from({ length: 4 }, () => site.sendRouted(entry!, lookup)));
					await site.advance(100);
				}
				return sinks;
			};
			await send(10);
			site.cut([entry!]);
			const sinks = await send(30);
			await site.advance(limitMs);
			const unanswered = sinks.filter(({ hasEnded, refusal }) => !hasEnded && refusal === undefined);
			expect({ mode, unanswered: unanswered.length }).toEqual({ mode, unanswered: 0 });
			site.dispose();
		});
	},
);
