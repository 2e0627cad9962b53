import { createMachine, transition } from 'xstate';
import chartFile from '../../../charts/stewardOrder.json';
import { Chart } from '../../base/common/chart';

describe('charts/stewardOrder.json', () => {
	const chart = new Chart(chartFile);

	it('means the same to xstate', () => {
		const machine = createMachine(chartFile as Parameters<typeof createMachine>[0]);
		for (const state of chart.listStates()) {
			for (const event of chart.listEvents(state)) {
				const [next] = transition(machine, machine.resolveState({ value: state }), { type: event });
				expect([state, event, next.value]).toEqual([state, event, chart.findNext(state, event)]);
			}
		}
	});

	it('leads to an order only through a confirmation and a second reading', () => {
		const listWaysTo = (target: string): string[] =>
			chart
				.listStates()
				.filter(state => chart.listEvents(state).some(event => chart.findNext(state, event) === target));
		expect([listWaysTo('ordering'), listWaysTo('rereading')]).toEqual([['rereading'], ['confirming']]);
	});
});
