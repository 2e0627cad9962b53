/**
 * Creates certificate folders and certificate stores for tests.
 */

import { copyFileSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { toDisposable } from '../../../base/common/lifecycle';
import type { IDisposable } from '../../../base/common/lifecycle';
import { RingAuditTrail } from '../../audit/common/ringAuditTrail';
import type { TlsSettings } from '../../settings/common/tlsSettings';
import { CertificateStore } from '../node/certificateStore';

/** The certificates in `fixtures`; its README describes how they were created. */
export enum FixtureName {
	First = 'first',
	/** The renewal of `first`. */
	Second = 'second',
	/** Signed by another certificate authority. */
	Stranger = 'stranger',
}

export function findFixture(file: string): string {
	return join(__dirname, 'fixtures', file);
}

/** A temporary folder whose certificate and key can be replaced, as a renewal tool does. */
export class CertificateFolder implements IDisposable {
	private readonly folder = mkdtempSync(join(tmpdir(), 'anvilroad-tls-'));
	private readonly removal = toDisposable(() => {
		rmSync(this.folder, { recursive: true });
	});

	readonly settings: TlsSettings = {
		certificate: join(this.folder, 'entry.crt'),
		private_key: join(this.folder, 'entry.key'),
		authorities: findFixture('authority.crt'),
	};

	constructor(name: FixtureName) {
		this.putCertificate(name);
		this.putKey(name);
	}

	putCertificate(name: FixtureName): void {
		copyFileSync(findFixture(`${name}.crt`), this.settings.certificate);
	}

	putKey(name: FixtureName): void {
		copyFileSync(findFixture(`${name}.key`), this.settings.private_key);
	}

	dispose(): void {
		this.removal.dispose();
	}
}

export function createTrail(): RingAuditTrail {
	return new RingAuditTrail(16, () => new Date(0));
}

export function openStore(folder: CertificateFolder, trail = createTrail()): CertificateStore {
	return CertificateStore.open(folder.settings, {}, trail)._unsafeUnwrap();
}
