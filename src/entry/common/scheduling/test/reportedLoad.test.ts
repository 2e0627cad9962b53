import { readReportedLoad } from '../reportedLoad';

const three = { running: 3, waiting: 1, slots: 8, ageMs: 0 };

describe('readReportedLoad', () => {
	it('reads three figures without a slowness', () => {
		expect(readReportedLoad('3/1/8', '/')).toEqual({ load: three, unreadable: undefined });
	});

	it('reads the slowness in percent, whatever follows it', () => {
		const load = { ...three, slowness: 1.75 };
		expect(readReportedLoad('3,1,8,175', ',')).toEqual({ load, unreadable: undefined });
		expect(readReportedLoad('3,1,8,175,x=7', ',')).toEqual({ load, unreadable: undefined });
	});

	it('has nothing unreadable without a header', () => {
		expect(readReportedLoad(undefined, ',')).toEqual({ load: undefined, unreadable: undefined });
	});

	// Guards against a division by zero, and against the loss of the load together with a slowness that can't be read.
	it.each(['', '0', 'x', '-5', '1e9'])('reads the other figures beside the slowness %p', slowness => {
		const text = `3,1,8,${slowness}`;
		expect(readReportedLoad(text, ',')).toEqual({ load: three, unreadable: text });
	});

	it.each(['', '3,1', '3;1;8', '3,1,many', '3,1,1234567'])('reports that %p cannot be read', text => {
		expect(readReportedLoad(text, ',')).toEqual({ load: undefined, unreadable: text });
	});
});
