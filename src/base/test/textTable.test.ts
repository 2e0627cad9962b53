import { renderTable } from '../common/textTable';

describe('renderTable', () => {
	it('aligns numeric cells to the right and other cells to the left, without trailing spaces', () => {
		const rows = [
			['a', '12 ms', 'x'],
			['longer', '3 ms'],
		];
		expect(renderTable(['name', 'p50', ''], rows).split('\n')).toEqual([
			'name    p50',
			'------  -----  -',
			'a       12 ms  x',
			'longer   3 ms',
		]);
	});
});
