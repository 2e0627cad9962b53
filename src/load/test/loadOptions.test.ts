import { checkLoadOptions } from '../common/loadOptions';
import { createOptions } from './fixtures';

describe('checkLoadOptions', () => {
	it('normalizes base URLs on loopback', () => {
		const targetUrls = ['http://127.0.0.1:9001/', 'http://localhost:1', 'http://[::1]:2'];
		const options = checkLoadOptions(createOptions({ targetUrls }))._unsafeUnwrap();
		expect(options.targetUrls).toEqual(['http://127.0.0.1:9001', 'http://localhost:1', 'http://[::1]:2']);
	});

	// A host name that only begins like a loopback address, or carries one as its user, leads elsewhere. The
	// tool would load a stranger's service, and the operator would see it in that stranger's complaint.
	it.each(['http://10.0.0.1', 'http://127.0.0.1.example.net', 'http://127.0.0.1@example.net', 'nowhere'])(
		'refuses %s',
		url => {
			const faults = checkLoadOptions(createOptions({ targetUrls: [url] }))._unsafeUnwrapErr();
			expect(faults).toEqual(['targetUrls.0: only loopback hosts are loaded: 127.0.0.1, [::1] or localhost']);
		},
	);

	it('bounds the duration and the number of requests', () => {
		expect(checkLoadOptions(createOptions({ durationMs: 120_001 })).isErr()).toBe(true);
		expect(checkLoadOptions(createOptions({ durationMs: 120_000, ratePerSecond: 20_000 })).isErr()).toBe(
			true,
		);
	});
});
