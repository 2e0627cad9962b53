import { z } from 'zod';
import { computeMaxHeldBytes, entrySettingsSchema } from '../common/entrySettings';
import { formatSettingsError, parseSettings } from '../common/settings';
import { createIntegerSchema, originUrlSchema } from '../common/settingsTypes';
import { isTlsEnabled } from '../common/transportSecurity';

const plainSeeds = 'seeds = http://127.0.0.1:7102, http://127.0.0.1:7103\nplain = yes';
const plainOperators = 'listen = 127.0.0.1:7201\nplain = yes';

function createText(replacements: Record<string, string> = {}): string {
	const lines = [
		'[instance]',
		'id = entry-kingston-1',
		'region = kingston',
		'zone = kingston-a',
		'[callers]',
		'listen = 127.0.0.1:7001',
		'url = http://127.0.0.1:7001',
		'[peers]',
		'listen = 127.0.0.1:7101',
		'url = http://127.0.0.1:7101',
		plainSeeds,
		'[operators]',
		plainOperators,
		'[platform]',
		'url = http://127.0.0.1:7300',
		'[tickets]',
		'key = a-key-that-is-long-enough',
	];
	return lines.map(line => replacements[line] ?? line).join('\n');
}

describe('parseSettings', () => {
	it('reads a whole file and fills in defaults', () => {
		const settings = parseSettings(entrySettingsSchema, createText())._unsafeUnwrap();
		expect(settings.callers.listen).toEqual({ host: '127.0.0.1', port: 7001 });
		expect(settings.peers.seeds).toEqual(['http://127.0.0.1:7102', 'http://127.0.0.1:7103']);
		expect(settings.limits.max_body_bytes).toBe(8_388_608);
	});

	// Guards against an entry whose bodies and the rest of its process need more memory than its machine has.
	it.each([
		['', 128],
		['memory_mb = 350', 150],
		['memory_mb = 160', 16],
		['memory_mb = 350\nmax_held_bytes = 1048576', 1],
	])('limits the held bodies by the memory of the process: %j', (limits, mebibytes) => {
		const text = `${createText()}\n[limits]\n${limits}`;
		const settings = parseSettings(entrySettingsSchema, text)._unsafeUnwrap();
		expect(computeMaxHeldBytes(settings.limits)).toBe(mebibytes * 1_048_576);
	});

	it('reports every error with section, key, value and what is allowed', () => {
		const text = createText({
			'listen = 127.0.0.1:7001': 'listen = nowhere',
			'key = a-key-that-is-long-enough': 'key = short',
			'zone = kingston-a': 'zoen = kingston-a',
		});
		const lines = parseSettings(entrySettingsSchema, text)._unsafeUnwrapErr().map(formatSettingsError);
		expect(lines).toEqual(
			expect.arrayContaining([
				'[callers] listen = nowhere: an IP address and a port, such as 127.0.0.1:7001',
				'[tickets] key = (hidden, 5 characters): at least 16 characters',
				'[instance] zoen = kingston-a: no such key in this section',
			]),
		);
		expect(lines.some(line => line.startsWith('[instance] zone is missing'))).toBe(true);
	});

	// Guards against a bound for withdrawn keys that is accepted and has no effect.
	it('accepts a bound for withdrawn keys with the store protocol only', () => {
		const native = createText({
			'key = a-key-that-is-long-enough':
				'key = a-key-that-is-long-enough\n[keys]\nwithdrawn_within_ms = 5000',
		});
		const lines = parseSettings(entrySettingsSchema, native)._unsafeUnwrapErr().map(formatSettingsError);
		expect(lines).toEqual(['[keys] withdrawn_within_ms = 5000: only with the store protocol']);
		const store = native.replace(
			'url = http://127.0.0.1:7300',
			'url = http://127.0.0.1:7300\nprotocol = store\n[directory]\nlisten = 127.0.0.1:7401\n' +
				'[readiness]\nlisten = 127.0.0.1:7402\n[zones]\nkingston-a = kingston',
		);
		const settings = parseSettings(entrySettingsSchema, store)._unsafeUnwrap();
		expect(settings.keys.withdrawn_within_ms).toBe(5_000);
		expect(parseSettings(entrySettingsSchema, createText())._unsafeUnwrap().keys).toEqual({});
	});

	// Guards against silently replacing an invalid retry limit by its default. The entry would then retry more often
	// than the operator allows, or less, without any notice.
	it('rejects invalid retry limits and accepts valid ones', () => {
		const withRetries = (text: string): string => `${createText()}\n[retries]\n${text}`;
		const lines = parseSettings(entrySettingsSchema, withRetries('ratio = 2\nslack = -1\nwindow_s = soon'))
			._unsafeUnwrapErr()
			.map(formatSettingsError);
		expect(lines).toEqual([
			'[retries] ratio = 2: a share from 0 to 1',
			'[retries] slack = -1: a number from 0 to 100000',
			'[retries] window_s = soon: seconds from 1 to 600',
		]);
		const { retries } = parseSettings(
			entrySettingsSchema,
			withRetries('ratio = 0.05\nslack = 12\nwindow_s = 10'),
		)._unsafeUnwrap();
		expect(retries).toEqual({ ratio: 0.05, slack: 12, window_s: 10 });
	});

	// Scaling a deployment down scales its limits, for example from 210 to 37.5. If only integers were accepted, every
	// entry of the fleet would exit at startup before it listens.
	it('accepts fractional limits', () => {
		const text = createText({
			'url = http://127.0.0.1:7300': 'url = http://127.0.0.1:7300\nnews_within_ms = 1071.5',
		});
		const settings = parseSettings(entrySettingsSchema, `${text}\n[retries]\nslack = 37.5`)._unsafeUnwrap();
		expect(settings.retries.slack).toBe(37.5);
		expect(settings.platform.news_within_ms).toBe(1_071.5);
	});

	// A misspelt key name or a truncated ticket key is reported in logs that many people can read. If the error showed
	// the value, each of them could sign tickets.
	it('never shows the value of a secret', () => {
		const text = createText({
			'key = a-key-that-is-long-enough': 'key = short-secret\npreviuos_key = pst-the-old-secret',
		});
		const errors = parseSettings(entrySettingsSchema, text)._unsafeUnwrapErr();
		expect(errors.map(error => error.key)).toEqual(['key', 'previuos_key']);
		expect(JSON.stringify(errors)).not.toMatch(/secret/);
	});

	it('shows a value that the INI library parses as a boolean', () => {
		const text = createText({ 'zone = kingston-a': 'zone = true' });
		const lines = parseSettings(entrySettingsSchema, text)._unsafeUnwrapErr().map(formatSettingsError);
		expect(lines[0]).toMatch(/^\[instance\] zone = true: /);
	});
});

describe('the location of an error', () => {
	const engines = z.strictObject({
		engine: z.record(
			z.string(),
			z.strictObject({ slots: createIntegerSchema(1, 9), key: z.string().optional() }),
		),
		hosts: z.strictObject({
			urls: z
				.string()
				.transform(text => text.split(','))
				.pipe(z.array(originUrlSchema)),
		}),
	});

	function listLocations(text: string): string[] {
		const errors = parseSettings(engines, text)._unsafeUnwrapErr();
		return errors.map(formatSettingsError).map(line => line.replace(/: .*$/, ''));
	}

	// One file can configure dozens of engines in dotted sections. If an error showed only the first part of the section
	// name, it would name a section that does not exist, and the operator could not tell which engine is affected.
	it('contains the full name of a dotted section', () => {
		const hosts = '\n[hosts]\nurls = http://127.0.0.1:1';
		expect(listLocations('[engine.k1]\nslots = -1\nslot = 2\n[engine.k2]' + hosts)).toEqual([
			'[engine.k1] slots = -1',
			'[engine.k1] slot = 2',
			'[engine.k2] slots is missing',
		]);
	});

	it('is the key if one part of its value is invalid, and the section if it is unknown or missing', () => {
		expect(listLocations('[engine.k1]\nslots = 1\n[hosts]\nurls = nowhere\n[host]\na = 1')).toEqual([
			'[hosts] urls = nowhere',
			'[host]',
		]);
		expect(listLocations('[engine.k1]\nslots = 1')).toEqual(['[hosts] is missing']);
	});

	// If the section header above the ticket key is missing, the error goes to a log that many people can read.
	it('hides a value before the first section', () => {
		const lines = listLocations(
			'key = the-ticket-key\n[engine.k1]\nslots = 1\n[hosts]\nurls = http://127.0.0.1:1',
		);
		expect(lines).toEqual(['key = (hidden, 14 characters)']);
	});
});

describe('transport', () => {
	const tls = '\n[tls]\ncertificate = /run/entry.crt\nprivate_key = env:ENTRY_KEY\nauthorities = /run/ca.crt';
	const securedPeers = {
		'url = http://127.0.0.1:7101': 'url = https://127.0.0.1:7101',
		[plainSeeds]: 'seeds = https://127.0.0.1:7102',
	};

	function listErrors(text: string): string[] {
		return parseSettings(entrySettingsSchema, text).match(
			() => [],
			errors => errors.map(formatSettingsError),
		);
	}

	it('uses TLS for each port, unless the settings mark the port as plain', () => {
		const text = createText(securedPeers) + tls;
		const settings = parseSettings(entrySettingsSchema, text)._unsafeUnwrap();
		expect([isTlsEnabled(settings, 'peers'), isTlsEnabled(settings, 'operators')]).toEqual([true, false]);
		const plain = parseSettings(entrySettingsSchema, createText())._unsafeUnwrap();
		expect([isTlsEnabled(plain, 'peers'), isTlsEnabled(plain, 'operators')]).toEqual([false, false]);
	});

	// Guards against starting an instance whose certificates were forgotten. The traffic of its peers and operators would
	// be unencrypted without any notice.
	it('is unencrypted only if the settings say so', () => {
		const withoutTls = createText({
			[plainSeeds]: 'seeds = http://127.0.0.1:7102',
			[plainOperators]: 'listen = 127.0.0.1:7201\nplain = no',
		});
		expect(listErrors(withoutTls)).toEqual([
			'[peers] plain is missing: yes, or a section [tls] with certificates',
			'[operators] plain = no: yes, or a section [tls] with certificates',
		]);
	});

	// The settings contradict each other when certificates are added but the URLs keep http, or when the URLs use https
	// but a port is plain. Choosing either side would leave peers unable to connect, or unencrypted without notice.
	it('rejects contradictory settings', () => {
		const httpUrls = createText({ [plainSeeds]: 'seeds = http://127.0.0.1:7102' }) + tls;
		expect(listErrors(httpUrls)).toEqual([
			expect.stringMatching(/^\[peers\] url = .*: a URL that begins with https:/),
			expect.stringMatching(/^\[peers\] seeds = .*: a URL that begins with https:/),
		]);
		const plain = { ...securedPeers, [plainSeeds]: 'seeds = https://127.0.0.1:7102\nplain = yes' };
		expect(listErrors(createText(plain) + tls)).toEqual([
			expect.stringMatching(/^\[peers\] url = .*: a URL that begins with http:.*is plain$/),
			expect.stringMatching(/^\[peers\] seeds = .*: a URL that begins with http:.*is plain$/),
		]);
	});

	it('rejects an incomplete section [tls]', () => {
		const text = createText(securedPeers) + tls.replace(/\nprivate_key.*/, '\nprivate_key = env:');
		expect(listErrors(text)).toEqual([
			'[tls] private_key = env:: a file path, or env: and the name of a variable',
		]);
	});
});
