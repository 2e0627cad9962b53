/**
 * The certificate of a process, its private key and the certificate authorities that it trusts.
 */

/** PEM texts that were validated to belong together. */
export interface Certificates {
	/** The certificate, followed by any intermediate certificates. */
	readonly certificate: string;
	readonly privateKey: string;
	/** The certificate authorities trusted to sign the certificates of other entries. */
	readonly authorities: string;
	/** SHA-256 of the certificate, for the audit trail. */
	readonly fingerprint: string;
	readonly validTo: Date;
}

/** Why certificates cannot be used. Contains no part of a key. */
export interface CertificateError {
	/** The origin of the text: a file path, or `env:` and the name of an environment variable. */
	readonly source: string;
	readonly problem: string;
}

export function formatCertificateError({ source, problem }: CertificateError): string {
	return `${source}: ${problem}`;
}
