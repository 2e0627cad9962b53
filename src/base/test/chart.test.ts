import { Chart, ChartError, ChartWalk } from '../common/chart';

function createDoorChart(): Chart {
	return new Chart({
		id: 'door',
		initial: 'closed',
		states: { closed: { on: { Open: 'ajar' } }, ajar: { on: { Slam: 'broken' } }, broken: { type: 'final' } },
	});
}

describe('Chart', () => {
	it('follows edges until a final state', () => {
		const walk = new ChartWalk(createDoorChart());
		walk.send('Open');
		walk.send('Slam');
		expect(walk.getState()).toBe('broken');
		expect(walk.isEnded()).toBe(true);
	});

	it('refuses an event that the state has no edge for and stays where it was', () => {
		const walk = new ChartWalk(createDoorChart());
		expect(() => walk.send('Slam')).toThrow(ChartError);
		expect(walk.accept('Slam')).toBe(false);
		expect(walk.getState()).toBe('closed');
	});

	it('refuses a file whose edge leads nowhere', () => {
		const file = { id: 'door', initial: 'closed', states: { closed: { on: { Open: 'ajar' } } } };
		expect(() => new Chart(file)).toThrow('Open leads from closed to ajar');
	});
});
