/**
 * Loads the TLS certificates of an entry's ports, decides by the settings which ports use them, and reloads them on
 * SIGHUP.
 */

import { subscribeTo } from '../../base/common/channel';
import { Disposable } from '../../base/common/lifecycle';
import type { IAuditTrail } from '../../core/audit/common/auditTrail';
import type { EntrySettings } from '../../core/settings/common/entrySettings';
import { isTlsEnabled } from '../../core/settings/common/transportSecurity';
import type { EntryMetrics } from '../../core/telemetry/node/entryMetrics';
import { formatCertificateError } from '../../core/tls/common/certificates';
import { CertificateStore, watchHangup } from '../../core/tls/node/certificateStore';

/** Certificates by port; undefined where a port uses plain HTTP. */
export class EntryCertificates extends Disposable {
	readonly peers: CertificateStore | undefined;
	readonly operators: CertificateStore | undefined;

	/** Throws if the settings name certificates that cannot be used. */
	constructor(settings: EntrySettings, trail: IAuditTrail, metrics: EntryMetrics) {
		super();
		const store = this.openStore(settings, trail);
		this.peers = isTlsEnabled(settings, 'peers') ? store : undefined;
		this.operators = isTlsEnabled(settings, 'operators') ? store : undefined;
		this.register(watchHangup(store));
		if (store !== undefined) {
			metrics.setCertificateExpiry(store.getCurrent().validTo);
			this.register(
				subscribeTo(store.onDidReload, ({ validTo }) => {
					metrics.setCertificateExpiry(validTo);
				}),
			);
		}
	}

	private openStore(settings: EntrySettings, trail: IAuditTrail): CertificateStore | undefined {
		if (settings.tls === undefined) {
			return undefined;
		}
		const opened = CertificateStore.open(settings.tls, process.env, trail);
		if (opened.isErr()) {
			throw new Error(formatCertificateError(opened.error));
		}
		return this.register(opened.value);
	}
}
