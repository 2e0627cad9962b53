import { renderTable } from '../common/textTable';

describe('renderTable', () => {
	it('sets figures to the right and words to the left, and leaves no blank at the end of a line', () => {
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
