import { checkLoadOptions } from '../common/loadOptions';
import { createOptions } from './fixtures';

describe('checkLoadOptions', () => {
	it('normalizes base URLs on loopback', () => {
		const targetUrls = ['http://127.0.0.1:9001/', 'http://localhost:1', 'http://[::1]:2'];
		const options = checkLoadOptions(createOptions({ targetUrls }))._unsafeUnwrap();
		expect(options.targetUrls).toEqual(['http://127.0.0.1:9001', 'http://localhost:1', 'http://[::1]:2']);
	});

	// A host name that only begins with a loopback address, or a URL with a loopback address as its user name,
	// points to another machine. If such a URL were accepted, the tool would put load on that machine.
	it.each(['http://10.0.0.1', 'http://127.0.0.1.example.net', 'http://127.0.0.1@example.net', 'nowhere'])(
		'refuses %s',
		url => {
			const errors = checkLoadOptions(createOptions({ targetUrls: [url] }))._unsafeUnwrapErr();
			expect(errors).toEqual([
				'targetUrls.0: only loopback hosts are allowed: 127.0.0.1, [::1] or localhost',
			]);
		},
	);

	it('limits the duration and the number of requests', () => {
		expect(checkLoadOptions(createOptions({ durationMs: 120_001 })).isErr()).toBe(true);
		expect(checkLoadOptions(createOptions({ durationMs: 120_000, ratePerSecond: 20_000 })).isErr()).toBe(
			true,
		);
	});
});
