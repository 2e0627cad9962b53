import { DisposableStore } from '../../../base/common/lifecycle';
import type { EntrySettings } from '../../../core/settings/common/entrySettings';
import { entrySettingsSchema } from '../../../core/settings/common/entrySettings';
import { parseSettings } from '../../../core/settings/common/settings';
import { EntryMetrics } from '../../../core/telemetry/node/entryMetrics';
import { CertificateFolder, createTrail, FixtureName } from '../../../core/tls/test/tlsFixtures';
import { EntryCertificates } from '../entryCertificates';

let owned = new DisposableStore();

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

function createSettings(folder: CertificateFolder): EntrySettings {
	const { certificate, private_key: key, authorities } = folder.settings;
	const lines = [
		'[instance]',
		'id = entry-1',
		'region = kingston',
		'zone = kingston-a',
		'[callers]',
		'listen = 127.0.0.1:0',
		'url = http://127.0.0.1:7001',
		'[peers]',
		'listen = 127.0.0.1:0',
		'url = https://127.0.0.1:7101',
		'[operators]',
		'listen = 127.0.0.1:0',
		'plain = yes',
		'[tls]',
		`certificate = ${certificate}`,
		`private_key = ${key}`,
		`authorities = ${authorities}`,
		'[platform]',
		'url = http://127.0.0.1:7300',
		'[tickets]',
		'key = a-key-that-is-long-enough',
	];
	return parseSettings(entrySettingsSchema, lines.join('\n'))._unsafeUnwrap();
}

function createMetrics(): EntryMetrics {
	return new EntryMetrics({ version: '0.1.0', instance: 'entry-1', region: 'kingston', zone: 'kingston-a' });
}

describe('EntryCertificates', () => {
	it('enables TLS per port by the settings, and exports the expiry', async () => {
		const folder = owned.add(new CertificateFolder(FixtureName.First));
		const metrics = createMetrics();
		const certificates = owned.add(new EntryCertificates(createSettings(folder), createTrail(), metrics));
		expect(certificates.peers).toBeDefined();
		expect(certificates.operators).toBeUndefined();
		expect(await metrics.render()).toMatch(/^anvilroad_certificate_expiry_timestamp_seconds \d{10}$/m);
	});

	// The private key on an instance belongs to another certificate. An entry that started anyway would report
	// ready but reach no peer, so it must fail to start and name the wrong file.
	it('fails to start with certificates that cannot be used', () => {
		const folder = owned.add(new CertificateFolder(FixtureName.First));
		folder.putKey(FixtureName.Second);
		expect(() => new EntryCertificates(createSettings(folder), createTrail(), createMetrics())).toThrow(
			/entry\.key: is not the key of/,
		);
	});
});
