import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { createMachine, transition } from 'xstate';
import type { StateChartDefinition } from '../../../base/common/stateChart';
import { StateChart } from '../../../base/common/stateChart';

const folder = join(__dirname, '../../../../charts');

function listChartFiles(): [string, StateChartDefinition][] {
	return readdirSync(folder)
		.filter(name => name.endsWith('.json'))
		.map(name => [name, JSON.parse(readFileSync(join(folder, name), 'utf8')) as StateChartDefinition]);
}

/** Returns the state after an event according to xstate, which is the state itself if there is no transition. */
function findNextByXstate(file: StateChartDefinition, state: string, event: string): unknown {
	const machine = createMachine(file as unknown as Parameters<typeof createMachine>[0]);
	const snapshot = machine.resolveState({ value: state, context: {} });
	const [next] = transition(machine, snapshot, { type: event });
	return next.value;
}

function listReachable(chart: StateChart): Set<string> {
	const reached = new Set([chart.initial]);
	for (const state of reached) {
		for (const event of chart.listEvents(state)) {
			reached.add(chart.findNextState(state, event)!);
		}
	}
	return reached;
}

describe.each(listChartFiles())('%s', (name, file) => {
	const chart = new StateChart(file);
	const events = [...new Set(chart.listStates().flatMap(state => chart.listEvents(state)))];

	it('is named after its file', () => {
		expect(name).toBe(`${file.id}.json`);
	});

	it('leads to the same states in xstate, for every state and event', () => {
		for (const state of chart.listStates().filter(candidate => !chart.isFinal(candidate))) {
			const ours = events.map(event => chart.findNextState(state, event) ?? state);
			expect(ours).toEqual(events.map(event => findNextByXstate(file, state, event)));
		}
	});

	it('reaches every state, and marks as final exactly the states without transitions', () => {
		expect([...listReachable(chart)].sort()).toEqual(chart.listStates().sort());
		const marked = Object.keys(file.states).filter(state => file.states[state]?.type === 'final');
		expect(marked).toEqual(chart.listStates().filter(state => chart.isFinal(state)));
	});
});
