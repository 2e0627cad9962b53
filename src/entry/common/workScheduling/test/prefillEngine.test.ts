import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { EngineRequest } from './engineRun';
import { createEngineOptions, PrefillEngine } from './prefillEngine';

interface SentRequest {
	readonly request: EngineRequest;
	firstEventMs: number | undefined;
	endMs: number | undefined;
}

function createRequest(timers: ManualTimerService, changes: Partial<EngineRequest> = {}): SentRequest {
	const sent: SentRequest = {
		firstEventMs: undefined,
		endMs: undefined,
		request: {
			priority: 5,
			sharedPart: 'part',
			sharedTokens: 10_240,
			ownTokens: 1_024,
			outputTokens: 18,
			work: { waitMs: 0, preemptions: 0, readTokens: 0, readAgainTokens: 0 },
			handleEvent: () => {
				sent.firstEventMs ??= timers.getNow();
			},
			handleEnd: () => {
				sent.endMs = timers.getNow();
			},
			...changes,
		},
	};
	return sent;
}

function createEngine(slots: number): { engine: PrefillEngine; timers: ManualTimerService } {
	const timers = new ManualTimerService();
	return { timers, engine: new PrefillEngine(timers, createEngineOptions({ slots }), new Set()) };
}

describe('PrefillEngine', () => {
	it('processes a prompt in chunks, the later ones more slowly', () => {
		const { engine, timers } = createEngine(12);
		const large = createRequest(timers, { sharedTokens: 0, ownTokens: 40_960 });
		engine.submit(large.request);
		timers.advance(5_000);
		const stepsMs = (40 + 8) * (3.7 + 0.02);
		const attentionMs = (0.37 * (40_960 * 40_960)) / 2 / 1e6;
		expect(large.firstEventMs).toBeCloseTo(40_960 / 64 + stepsMs + attentionMs, 0);
	});

	it('does not process a cached part again', () => {
		const { engine, timers } = createEngine(12);
		const first = createRequest(timers);
		const second = createRequest(timers);
		engine.submit(first.request);
		timers.advance(5_000);
		engine.submit(second.request);
		timers.advance(5_000);
		expect(first.request.work.readTokens).toBe(11_264);
		expect(second.request.work).toMatchObject({ readTokens: 1_024, readAgainTokens: 0 });
	});

	it('processes a prompt again after a more urgent request has taken its slot', () => {
		const { engine, timers } = createEngine(1);
		const preempted = createRequest(timers, { sharedTokens: 0, ownTokens: 10_240 });
		const urgent = createRequest(timers, { sharedTokens: 0, ownTokens: 300, priority: 2 });
		engine.submit(preempted.request);
		timers.advance(100);
		engine.submit(urgent.request);
		timers.advance(5_000);
		expect(urgent.endMs).toBeLessThan(preempted.firstEventMs!);
		expect(preempted.request.work).toMatchObject({ preemptions: 1 });
		expect(preempted.request.work.readAgainTokens).toBeGreaterThan(4_000);
	});

	it('lets equally urgent requests wait for a slot, and refuses those beyond its queue', () => {
		const { engine, timers } = createEngine(1);
		const sent = Array.from({ length: 27 }, () => createRequest(timers));
		expect(sent.map(({ request }) => engine.submit(request))).toEqual([
			...Array<boolean>(26).fill(true),
			false,
		]);
		expect(engine.countRequests()).toEqual({ running: 1, waiting: 25 });
		timers.advance(10_000);
		expect(sent.filter(({ endMs }) => endMs !== undefined)).toHaveLength(26);
		expect(sent[25]!.request.work).toMatchObject({ preemptions: 0 });
	});
});
