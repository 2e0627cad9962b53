import { StateChart, StateChartError, StateChartInterpreter } from '../common/stateChart';

function createDoorStateChart(): StateChart {
	return new StateChart({
		id: 'door',
		initial: 'closed',
		states: { closed: { on: { Open: 'ajar' } }, ajar: { on: { Slam: 'broken' } }, broken: { type: 'final' } },
	});
}

describe('StateChart', () => {
	it('follows transitions until a final state', () => {
		const interpreter = new StateChartInterpreter(createDoorStateChart());
		interpreter.send('Open');
		interpreter.send('Slam');
		expect(interpreter.getState()).toBe('broken');
		expect(interpreter.isEnded()).toBe(true);
	});

	it('rejects an event without a transition and keeps its state', () => {
		const interpreter = new StateChartInterpreter(createDoorStateChart());
		expect(() => interpreter.send('Slam')).toThrow(StateChartError);
		expect(interpreter.accept('Slam')).toBe(false);
		expect(interpreter.getState()).toBe('closed');
	});

	it('rejects a definition with a transition to an unknown state', () => {
		const definition = { id: 'door', initial: 'closed', states: { closed: { on: { Open: 'ajar' } } } };
		expect(() => new StateChart(definition)).toThrow('Open leads from closed to ajar');
	});
});
