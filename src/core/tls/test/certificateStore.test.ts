import { readFileSync } from 'node:fs';
import { DisposableStore } from '../../../base/common/lifecycle';
import { CertificateStore, watchHangup } from '../node/certificateStore';
import { loadCertificates } from '../node/loadCertificates';
import { CertificateFolder, createTrail, findFixture, FixtureName, openStore } from './tlsFixtures';

let owned = new DisposableStore();

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

function createFolder(name = FixtureName.First): CertificateFolder {
	return owned.add(new CertificateFolder(name));
}

describe('loadCertificates', () => {
	it('reads PEM texts from environment variables and from files', () => {
		const { settings } = createFolder();
		const environment = { ENTRY_KEY: readFileSync(settings.private_key, 'utf8') };
		const mixed = loadCertificates({ ...settings, private_key: 'env:ENTRY_KEY' }, environment);
		expect(mixed).toEqual(loadCertificates(settings, {}));
		expect(mixed.isOk()).toBe(true);
	});

	it('reports the source of each invalid text, without any part of a key', () => {
		const { settings } = createFolder();
		const errors = [
			loadCertificates({ ...settings, private_key: 'env:NO_KEY' }, {}),
			loadCertificates({ ...settings, private_key: findFixture('second.key') }, {}),
			loadCertificates({ ...settings, certificate: settings.private_key }, {}),
			loadCertificates({ ...settings, authorities: findFixture('none.crt') }, {}),
		].map(result => result._unsafeUnwrapErr());
		expect(errors.map(error => error.source)).toEqual([
			'env:NO_KEY',
			findFixture('second.key'),
			settings.private_key,
			findFixture('none.crt'),
		]);
		expect(errors[1]?.problem).toBe(`is not the key of ${settings.certificate}`);
		expect(JSON.stringify(errors)).not.toContain('MIGH');
	});
});

describe('CertificateStore', () => {
	it('fails to open if the certificates are invalid', () => {
		const folder = createFolder();
		folder.putKey(FixtureName.Second);
		expect(CertificateStore.open(folder.settings, {}, createTrail()).isErr()).toBe(true);
	});

	it('loads renewed certificates on SIGHUP and records the change', () => {
		const folder = createFolder();
		const trail = createTrail();
		const store = owned.add(openStore(folder, trail));
		owned.add(watchHangup(store));
		const first = store.getCurrent().fingerprint;
		folder.putCertificate(FixtureName.Second);
		folder.putKey(FixtureName.Second);
		process.emit('SIGHUP');
		expect(store.getCurrent().fingerprint).not.toBe(first);
		expect(trail.list().map(record => record.sign)).toEqual(['start', 'SIGHUP']);
		expect(trail.list().at(-1)?.from).toContain(first.slice(0, 20));
	});

	// SIGHUP can arrive after the new certificate was written, but before its key. If that pair were used, every new
	// connection to the entry would fail until the next signal.
	it('keeps the current certificates when the new certificate and key do not match', () => {
		const folder = createFolder();
		const trail = createTrail();
		const store = owned.add(openStore(folder, trail));
		const before = store.getCurrent();
		folder.putCertificate(FixtureName.Second);
		expect(store.renew('SIGHUP').isErr()).toBe(true);
		expect(store.getCurrent()).toBe(before);
		expect(trail.list().at(-1)?.sign).toMatch(/^SIGHUP refused: .*entry\.key: is not the key of/);
	});
});
