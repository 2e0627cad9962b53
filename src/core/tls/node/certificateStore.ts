/**
 * Holds the certificates in use and renews them without a restart. On SIGHUP the certificates are read again. Open
 * connections keep their certificates, and new connections get the renewed ones. If the new certificates are
 * invalid, the current ones stay in use: a file that is only partly written when the signal arrives would otherwise
 * make every port of the process reject new connections.
 */

import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import { Channel } from '../../../base/common/channel';
import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { IAuditTrail } from '../../audit/common/auditTrail';
import { AuditKind } from '../../audit/common/auditTrail';
import type { TlsSettings } from '../../settings/common/tlsSettings';
import type { CertificateError, Certificates } from '../common/certificates';
import { formatCertificateError } from '../common/certificates';
import type { Environment } from './loadCertificates';
import { loadCertificates } from './loadCertificates';

const auditSubject = 'tls';
const fingerprintPrefixCharacters = 23;

function describeCertificates({ fingerprint, validTo }: Certificates): string {
	return `${fingerprint.slice(0, fingerprintPrefixCharacters)} until ${validTo.toISOString()}`;
}

/** Holds the certificates in use and records each renewal in the audit trail. */
export class CertificateStore extends Disposable {
	private readonly channel = this.register(new Channel<Certificates>());

	/** Emits the certificates after each successful renewal. */
	readonly onDidReload = this.channel.stream;

	private constructor(
		private current: Certificates,
		private readonly settings: TlsSettings,
		private readonly environment: Environment,
		private readonly auditTrail: IAuditTrail,
	) {
		super();
		this.record('none', describeCertificates(current), 'start');
	}

	/** Loads the initial certificates. A process that is configured to use TLS cannot start without them. */
	static open(
		settings: TlsSettings,
		environment: Environment,
		auditTrail: IAuditTrail,
	): Result<CertificateStore, CertificateError> {
		return loadCertificates(settings, environment).map(
			certificates => new CertificateStore(certificates, settings, environment, auditTrail),
		);
	}

	getCurrent(): Certificates {
		return this.current;
	}

	/**
	 * Loads the certificates again; if that fails, the current ones stay in use.
	 *
	 * @param sign What caused the renewal, for the audit trail.
	 */
	renew(sign: string): Result<Certificates, CertificateError> {
		const before = describeCertificates(this.current);
		const loaded = loadCertificates(this.settings, this.environment);
		if (loaded.isErr()) {
			this.record(before, before, `${sign} refused: ${formatCertificateError(loaded.error)}`);
			return loaded;
		}
		this.current = loaded.value;
		this.record(before, describeCertificates(loaded.value), sign);
		this.channel.emit(loaded.value);
		return ok(loaded.value);
	}

	private record(from: string, to: string, sign: string): void {
		this.auditTrail.record({
			kind: AuditKind.Certificate,
			subject: auditSubject,
			from,
			to,
			sign,
			manifestVersion: undefined,
		});
	}
}

/**
 * Renews the certificates on SIGHUP until disposed. Without a store the signal is ignored: its default action would
 * end the process, and renewing the certificates of a whole fleet must not stop entries that have none.
 */
export function watchHangup(store: CertificateStore | undefined): IDisposable {
	const renew = (): void => {
		store?.renew('SIGHUP');
	};
	process.on('SIGHUP', renew);
	return toDisposable(() => {
		process.off('SIGHUP', renew);
	});
}
