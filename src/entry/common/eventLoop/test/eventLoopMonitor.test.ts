import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { LateWindow, ProcessUsage } from '../eventLoopMonitor';
import { EventLoopMonitor } from '../eventLoopMonitor';
import type { WorkCounts } from '../workCounts';

const noWork: WorkCounts = {
	exchangesReceived: 0,
	exchangesStarted: 0,
	crashReportsReceived: 0,
	requestsStarted: 0,
	attemptsStarted: 0,
	answerChunks: 0,
	callerCloses: 0,
	connectionsAccepted: 0,
	targetUpdates: 0,
};

interface MonitorFixture {
	readonly timers: ManualTimerService;
	readonly monitor: EventLoopMonitor;
	readonly windows: LateWindow[];
	readonly lateMs: number[];
	/** Adds to the totals of the process. */
	addUsage(usage: ProcessUsage, work?: Partial<WorkCounts>): void;
	/** Lets a time pass in which no timer runs, and then the timers that are due. */
	freeze(durationMs: number): void;
}

function createMonitor(): MonitorFixture {
	const timers = new ManualTimerService(1_000);
	const windows: LateWindow[] = [];
	const late: number[] = [];
	let usage: ProcessUsage = { cpuMs: 5_000, idleMs: 70_000 };
	let work: WorkCounts = { ...noWork, answerChunks: 900, requestsStarted: 40 };
	const monitor = new EventLoopMonitor(
		{ readUsage: () => usage, countWork: () => work },
		{ noteLate: ms => late.push(ms), writeWindow: window => windows.push(window) },
		timers,
	);
	return {
		timers,
		monitor,
		windows,
		lateMs: late,
		addUsage: ({ cpuMs, idleMs }, added = {}) => {
			usage = { cpuMs: usage.cpuMs + cpuMs, idleMs: usage.idleMs + idleMs };
			const sums = Object.entries(work).map(([name, count]: [string, number]) => [
				name,
				count + (added[name as keyof WorkCounts] ?? 0),
			]);
			work = Object.fromEntries(sums) as WorkCounts;
		},
		freeze: durationMs => {
			timers.advanceWithoutTimers(durationMs);
			timers.advance(0);
		},
	};
}

describe('EventLoopMonitor', () => {
	it('reports nothing while checks are at most 100 ms late', () => {
		const { timers, windows, lateMs, addUsage, freeze } = createMonitor();
		timers.advance(10_000);
		addUsage({ cpuMs: 340, idleMs: 0 }, { answerChunks: 500 });
		freeze(350);
		expect(windows).toEqual([]);
		expect(lateMs).toEqual([]);
	});

	// Guards against an entry that is late for work that nobody can name: all that was written was that it was late.
	it('reports what was used and done since the check before', () => {
		const { timers, windows, addUsage, freeze } = createMonitor();
		addUsage({ cpuMs: 60, idleMs: 800 }, { answerChunks: 300, exchangesReceived: 2 });
		timers.advance(1_000);
		addUsage({ cpuMs: 520.4, idleMs: 0.2 }, { exchangesReceived: 141, callerCloses: 3 });
		freeze(1_200);
		expect(windows).toEqual([
			{
				windowMs: 1_200,
				lateMs: 950,
				cpuMs: 520,
				idleMs: 0,
				work: { ...noWork, exchangesReceived: 141, callerCloses: 3 },
				omitted: 0,
			},
		]);
	});

	// Guards against a log that takes the processor time that a busy entry lacks.
	it('reports one window a second, and with the next one how many it left out', () => {
		const { timers, windows, lateMs, freeze } = createMonitor();
		for (let count = 0; count < 6; count++) {
			freeze(400);
		}
		expect(lateMs).toEqual([150, 150, 150, 150, 150, 150]);
		expect(windows.map(({ omitted }) => omitted)).toEqual([0, 2]);
		timers.advance(60_000);
		expect(windows).toHaveLength(2);
		freeze(400);
		expect(windows.map(({ omitted }) => omitted)).toEqual([0, 2, 2]);
	});

	it('does not count the work of an omitted window in a later one', () => {
		const { timers, windows, addUsage, freeze } = createMonitor();
		freeze(400);
		addUsage({ cpuMs: 390, idleMs: 0 }, { targetUpdates: 50 });
		freeze(400);
		timers.advance(1_000);
		addUsage({ cpuMs: 10, idleMs: 0 }, { targetUpdates: 1 });
		freeze(400);
		expect(windows[1]).toMatchObject({ cpuMs: 10, work: { targetUpdates: 1 }, omitted: 1 });
	});

	it('stops when it is disposed of', () => {
		const { monitor, windows, freeze } = createMonitor();
		monitor.dispose();
		freeze(2_000);
		expect(windows).toEqual([]);
	});
});
