import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { IRandom } from '../../../../base/common/random';
import { SeededRandom } from '../../../../base/common/random';
import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { ITurnScheduler } from '../requestIntake';
import { defaultIntakeLimits, RequestIntake } from '../requestIntake';

/** Processor time per operation of the model, in milliseconds. */
const acceptMs = 0.3;
const readMs = 0.5;
const startMs = 3;
const refuseMs = 0.5;

/** Outcome for one caller; times are relative to its connection. */
interface CallerResult {
	startedMs?: number;
	refusedMs?: number;
	retryAfterMs?: number;
	hasDisconnected?: boolean;
}

interface Caller extends CallerResult {
	readonly connectedMs: number;
	readonly disconnectsMs: number;
	readonly deadlineMs: number;
}

/** Event loop with one listening socket: a turn accepts one connection and reads the one accepted before it. */
class EventLoopModel implements ITurnScheduler {
	readonly timers = new ManualTimerService();
	private readonly scheduled: (() => void)[] = [];
	private backlog: Caller[] = [];
	private unread: Caller[] = [];
	readonly intake: RequestIntake;

	constructor(
		public startDurationMs = startMs,
		random: IRandom = new SeededRandom(1),
	) {
		this.intake = new RequestIntake(this, this.timers, random, () => undefined);
	}

	schedule(run: () => void): void {
		this.scheduled.push(run);
	}

	/** Runs turns until every caller has an outcome. With `isStartedWhenRead`, requests bypass the intake. */
	async run(callers: readonly Caller[], isStartedWhenRead = false): Promise<void> {
		const arrivals = [...callers];
		for (;;) {
			while (arrivals[0] !== undefined && arrivals[0].connectedMs <= this.timers.getNow()) {
				this.backlog.push(arrivals.shift()!);
			}
			await this.runTurn(isStartedWhenRead);
			if (callers.every(isSettled)) {
				return;
			}
		}
	}

	private async runTurn(isStartedWhenRead: boolean): Promise<void> {
		const { unread } = this;
		const [accepted, ...rest] = this.backlog;
		this.unread = accepted === undefined ? [] : [accepted];
		this.backlog = rest;
		if (accepted !== undefined) {
			this.timers.advance(acceptMs);
			this.intake.noteConnection();
		}
		for (const caller of unread) {
			this.timers.advance(readMs);
			if (isStartedWhenRead) {
				this.start(caller);
			} else {
				this.admit(caller);
			}
		}
		for (const run of this.scheduled.splice(0)) {
			run();
			await new Promise(resolve => setImmediate(resolve));
		}
		this.timers.advance(0.05);
	}

	private admit(caller: Caller): void {
		const isAbandoned = (): boolean => caller.disconnectsMs <= this.timers.getNow();
		const admitted = this.intake.admit(isAbandoned, caller.deadlineMs);
		if (admitted === undefined) {
			this.start(caller);
			return;
		}
		void admitted.then(result => {
			if (result.isOk()) {
				this.start(caller);
				return;
			}
			this.timers.advance(refuseMs);
			if (result.error.kind === ErrorKind.CallerGone) {
				caller.hasDisconnected = true;
				return;
			}
			caller.refusedMs = this.timers.getNow() - caller.connectedMs;
			caller.retryAfterMs = result.error.retryAfterMs!;
		});
	}

	private start(caller: Caller): void {
		caller.startedMs = this.timers.getNow() - caller.connectedMs;
		this.timers.advance(this.startDurationMs);
	}
}

function isSettled({ startedMs, refusedMs, hasDisconnected }: CallerResult): boolean {
	return startedMs !== undefined || refusedMs !== undefined || hasDisconnected === true;
}

/** Creates `count` callers that connect at regular intervals and disconnect after `disconnectAfterMs`. */
function createCallers(
	count: number,
	perSecond: number,
	disconnectAfterMs = Number.POSITIVE_INFINITY,
	deadlineAfterMs = Number.POSITIVE_INFINITY,
): Caller[] {
	return Array.from({ length: count }, (_, index) => {
		const connectedMs = (index * 1_000) / perSecond;
		return {
			connectedMs,
			disconnectsMs: connectedMs + disconnectAfterMs,
			deadlineMs: connectedMs + deadlineAfterMs,
		};
	});
}

function findLongest(waits: readonly (number | undefined)[]): number {
	return Math.max(...waits.map(wait => wait ?? 0));
}

describe('RequestIntake', () => {
	// Guards against waits of seconds in the accept queue when each turn starts every request that it has read.
	it('bounds the wait of callers at a high rate of new connections', async () => {
		const { maxBurstWaitMs } = defaultIntakeLimits;
		const withoutIntake = createCallers(2_000, 500);
		await new EventLoopModel().run(withoutIntake, true);
		expect(findLongest(withoutIntake.map(({ startedMs }) => startedMs))).toBeGreaterThan(3_000);

		const callers = createCallers(2_000, 500);
		await new EventLoopModel().run(callers);
		const started = callers.filter(({ startedMs }) => startedMs !== undefined);
		expect(findLongest(callers.map(({ startedMs }) => startedMs))).toBeLessThan(maxBurstWaitMs + 100);
		expect(findLongest(callers.map(({ refusedMs }) => refusedMs))).toBeLessThan(maxBurstWaitMs + 100);
		expect(started.length).toBeGreaterThan(callers.length * 0.25);
	});

	// Guards against a standing queue in which every request is served late.
	it('bounds the wait in a standing queue more tightly than in a burst', async () => {
		const callers = createCallers(2_000, 500);
		await new EventLoopModel().run(callers);
		const later = callers.filter(({ connectedMs }) => connectedMs > 1_500);
		const { maxStandingWaitMs } = defaultIntakeLimits;
		expect(findLongest(later.map(({ startedMs }) => startedMs))).toBeLessThan(maxStandingWaitMs + 100);
	});

	// Guards against refusing requests of a short burst that could be served in time.
	it('refuses no request of a burst that is served within the longest wait', async () => {
		const callers = createCallers(100, 1_000);
		await new EventLoopModel().run(callers);
		expect(callers.filter(({ refusedMs }) => refusedMs !== undefined)).toEqual([]);
	});

	// Guards against forwarding requests whose callers have disconnected.
	it('starts no request whose caller has disconnected', async () => {
		const callers = createCallers(2_000, 500, 100);
		await new EventLoopModel().run(callers);
		const oneTurnMs = defaultIntakeLimits.maxRefusalsPerTurn * refuseMs;
		expect(findLongest(callers.map(({ startedMs }) => startedMs))).toBeLessThan(100 + oneTurnMs);
		expect(callers.some(({ hasDisconnected }) => hasDisconnected === true)).toBe(true);
	});

	it('counts accepted connections', async () => {
		const model = new EventLoopModel();
		await model.run(createCallers(2_000, 500, 100));
		expect(model.intake.connectionCount).toBe(2_000);
	});

	// Guards against refused callers that all retry at the same time.
	it('spreads the retry delays of refused requests', async () => {
		const callers = createCallers(2_000, 500);
		await new EventLoopModel().run(callers);
		const retryDelaysMs = callers.flatMap(({ retryAfterMs }) =>
			retryAfterMs === undefined ? [] : [retryAfterMs],
		);
		const { maxBurstWaitMs } = defaultIntakeLimits;
		expect(Math.min(...retryDelaysMs)).toBeGreaterThanOrEqual(maxBurstWaitMs / 2);
		expect(Math.max(...retryDelaysMs)).toBeLessThanOrEqual(maxBurstWaitMs * 1.5);
		expect(new Set(retryDelaysMs).size).toBeGreaterThan(100);
	});

	// Guards against holding requests for most of a second although the queue is known to be too long.
	it('refuses requests at once that would wait too long, and starts as many as before', async () => {
		const slowStartMs = 30;
		const callers = createCallers(200, 100);
		const model = new EventLoopModel(slowStartMs);
		await model.run(callers);
		const later = callers.filter(({ connectedMs }) => connectedMs > 300);
		const refusals = later.flatMap(({ refusedMs }) => (refusedMs === undefined ? [] : [refusedMs]));
		expect(refusals.length).toBeGreaterThan(later.length / 2);
		expect(Math.max(...refusals)).toBeLessThan(3 * slowStartMs);
		const started = callers.filter(({ startedMs }) => startedMs !== undefined);
		expect(started.length).toBeGreaterThan((0.8 * model.timers.getNow()) / slowStartMs);
	});

	// Guards against refusing a burst because the starts of an earlier one were slow.
	it('estimates the wait from the starts since the queue was last empty', async () => {
		const model = new EventLoopModel(30);
		await model.run(createCallers(15, 1_000));
		model.startDurationMs = startMs;
		model.timers.advance(10_000);
		const offsetMs = model.timers.getNow();
		const burst = createCallers(100, 1_000).map(caller => ({
			...caller,
			connectedMs: caller.connectedMs + offsetMs,
		}));
		await model.run(burst);
		expect(burst.filter(({ refusedMs }) => refusedMs !== undefined)).toEqual([]);
	});

	// Guards against retry delays after which the queue is still as long.
	it('asks refused callers to return when the waiting requests have been started', async () => {
		const slowStartMs = 30;
		const callers = createCallers(60, 1_000);
		const model = new EventLoopModel(slowStartMs, { pickFraction: () => 0, pickBelow: () => 0 });
		await model.run(callers);
		const emptyMs = Math.max(...callers.map(({ connectedMs, startedMs }) => connectedMs + (startedMs ?? 0)));
		const returns = callers.flatMap(({ connectedMs, refusedMs, retryAfterMs }) =>
			refusedMs === undefined ? [] : [connectedMs + refusedMs + retryAfterMs!],
		);
		expect(returns.length).toBeGreaterThan(0);
		expect(Math.min(...returns)).toBeGreaterThan(emptyMs - slowStartMs);
	});

	// Guards against requests that wait behind others until their deadline.
	it('refuses requests at once that would be started after their deadline', async () => {
		const callers = createCallers(100, 1_000, undefined, 200);
		await new EventLoopModel().run(callers);
		const started = callers.filter(({ startedMs }) => startedMs !== undefined);
		expect(findLongest(callers.map(({ startedMs }) => startedMs))).toBeLessThanOrEqual(200);
		expect(started.length).toBeGreaterThan(40);
		const refusals = callers.flatMap(({ refusedMs }) => (refusedMs === undefined ? [] : [refusedMs]));
		expect(refusals.length).toBeGreaterThan(0);
		expect(Math.max(...refusals)).toBeLessThan(100);
	});
});
