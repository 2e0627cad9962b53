import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { LoopLagGate } from '../loopLagGate';

interface GateFixture {
	readonly gate: LoopLagGate;
	/** Lets the process stand still, so that its timers are late. */
	freeze(durationMs: number): void;
	/** Runs the callbacks that follow the poll phase of one turn. */
	endTurn(): void;
}

function createGate(): GateFixture {
	const timers = new ManualTimerService();
	let scheduled: (() => void)[] = [];
	const gate = new LoopLagGate({ schedule: (run: () => void): unknown => scheduled.push(run) }, timers);
	return {
		gate,
		freeze: durationMs => {
			timers.advanceWithoutTimers(durationMs);
			timers.advance(0);
		},
		endTurn: () => {
			const due = scheduled;
			scheduled = [];
			for (const run of due) {
				run();
			}
		},
	};
}

/** Counts the turns until the lag is cleared while each of the first `acceptTurns` turns accepts a connection. */
function countLateTurns({ gate, endTurn }: GateFixture, acceptTurns: number): number {
	let turns = 0;
	while (gate.getLagMs() > 0) {
		if (turns < acceptTurns) {
			gate.noteConnection();
		}
		endTurn();
		turns++;
	}
	return turns;
}

describe('LoopLagGate', () => {
	it('has no lag after two turns without a connection', () => {
		const fixture = createGate();
		fixture.freeze(2_000);
		expect(countLateTurns(fixture, 0)).toBe(2);
	});

	it('has no lag after a turn without a connection, however many were accepted before', () => {
		const fixture = createGate();
		fixture.freeze(2_000);
		expect(countLateTurns(fixture, 20)).toBe(21);
	});

	// Guards against an entry that shortens the deadlines of all later requests when connections keep arriving.
	it('has no lag after a number of turns although each accepts a connection', () => {
		const fixture = createGate();
		fixture.freeze(2_000);
		expect(countLateTurns(fixture, Number.POSITIVE_INFINITY)).toBeLessThanOrEqual(70);
	});

	it('counts no connection of the time before the lag', () => {
		const fixture = createGate();
		fixture.gate.noteConnection();
		fixture.freeze(2_000);
		expect(countLateTurns(fixture, 0)).toBe(2);
	});
});
