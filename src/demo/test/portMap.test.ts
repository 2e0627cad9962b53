import { applyPortMap, listPorts } from '../common/portMap';

describe('applyPortMap', () => {
	it('replaces the ports of loopback addresses and nothing else', () => {
		const text =
			'listen = 127.0.0.1:7001\nurl = http://127.0.0.1:7001, http://127.0.0.1:70010\nslots = 7001\n';
		expect(listPorts([text, text])).toEqual([7001, 70010]);
		expect(applyPortMap(text, new Map([[7001, 18_000]]))).toBe(
			'listen = 127.0.0.1:18000\nurl = http://127.0.0.1:18000, http://127.0.0.1:70010\nslots = 7001\n',
		);
	});

	it('replaces each port only once when two ports are swapped', () => {
		const map = new Map([
			[7001, 7002],
			[7002, 7001],
		]);
		expect(applyPortMap('127.0.0.1:7001 127.0.0.1:7002', map)).toBe('127.0.0.1:7002 127.0.0.1:7001');
	});
});
