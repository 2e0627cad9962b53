/**
 * Loads certificates from the sources in the settings and validates that they belong together before they are
 * used. Otherwise, a key that does not match its certificate would only be noticed when a connection fails.
 */

import { createPrivateKey, X509Certificate } from 'node:crypto';
import { readFileSync } from 'node:fs';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { TlsSettings } from '../../settings/common/tlsSettings';
import { environmentPrefix } from '../../settings/common/tlsSettings';
import type { CertificateError, Certificates } from '../common/certificates';

/** The environment variables of the process. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Returns certificates that belong together, or the first error. */
export function loadCertificates(
	settings: TlsSettings,
	environment: Environment,
): Result<Certificates, CertificateError> {
	return readPem(settings.certificate, environment).andThen(certificate =>
		readPem(settings.private_key, environment).andThen(privateKey =>
			readPem(settings.authorities, environment).andThen(authorities =>
				checkCertificates(settings, certificate, privateKey, authorities),
			),
		),
	);
}

function readPem(source: string, environment: Environment): Result<string, CertificateError> {
	if (source.startsWith(environmentPrefix)) {
		const text = environment[source.slice(environmentPrefix.length)];
		return text === undefined ? err({ source, problem: 'the variable is not set' }) : ok(text);
	}
	return runSafely(source, () => readFileSync(source, 'utf8'));
}

function checkCertificates(
	settings: TlsSettings,
	certificate: string,
	privateKey: string,
	authorities: string,
): Result<Certificates, CertificateError> {
	const parsed = runSafely(settings.certificate, () => new X509Certificate(certificate));
	if (parsed.isErr()) {
		return err(parsed.error);
	}
	const key = runSafely(settings.private_key, () => createPrivateKey(privateKey));
	if (key.isErr()) {
		return err(key.error);
	}
	if (!parsed.value.checkPrivateKey(key.value)) {
		return err({ source: settings.private_key, problem: `is not the key of ${settings.certificate}` });
	}
	const { fingerprint256: fingerprint, validTo } = parsed.value;
	return runSafely(settings.authorities, () => new X509Certificate(authorities)).map(() => ({
		certificate,
		privateKey,
		authorities,
		fingerprint,
		validTo: new Date(validTo),
	}));
}

function runSafely<TValue>(source: string, run: () => TValue): Result<TValue, CertificateError> {
	try {
		return ok(run());
	} catch (error) {
		return err({ source, problem: error instanceof Error ? error.message : String(error) });
	}
}
