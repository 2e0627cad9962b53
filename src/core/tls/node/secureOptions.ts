/**
 * Creates the TLS options of Node servers and clients. Entries authenticate each other by certificates (mutual
 * TLS). Operators' tools verify the certificate of an entry and present none.
 */

import type { SecureClientSessionOptions } from 'node:http2';
import type { SecureContextOptions, Server, TlsOptions } from 'node:tls';
import { checkServerIdentity, connect } from 'node:tls';
import { subscribeTo } from '../../../base/common/channel';
import type { IDisposable } from '../../../base/common/lifecycle';
import type { Certificates } from '../common/certificates';
import type { CertificateStore } from './certificateStore';

const minVersion = 'TLSv1.3';
const defaultHttpsPort = 443;

/** The options that can be replaced while a server is running. */
export function createSecureContextOptions(certificates: Certificates): SecureContextOptions {
	const { certificate: cert, privateKey: key, authorities: ca } = certificates;
	return { cert, key, ca, minVersion };
}

/** Options of a server for entries only: clients need a certificate of a trusted authority. */
export function createPeerServerOptions(certificates: Certificates): TlsOptions {
	return { ...createSecureContextOptions(certificates), requestCert: true, rejectUnauthorized: true };
}

/** Options of a server that does not request client certificates. */
export function createServerOptions(certificates: Certificates): TlsOptions {
	return { ...createSecureContextOptions(certificates), requestCert: false };
}

/** Updates a server on each certificate renewal; open connections are not affected. */
export function subscribeToRenewals(server: Server, store: CertificateStore): IDisposable {
	return subscribeTo(store.onDidReload, certificates => {
		server.setSecureContext(createSecureContextOptions(certificates));
	});
}

/**
 * Options of HTTP/2 sessions to another entry. The certificates are read when a connection is opened, so that a
 * reopened session uses renewed certificates. The certificate of the peer must be valid for the host in its
 * advertised URL, which can differ from the address that is connected to, for example behind network address
 * translation. Without that check, any entry could impersonate any other.
 *
 * @param advertisedUrl The URL that the peer advertises, such as `https://10.0.0.2:7101`.
 */
export function createPeerSessionOptions(
	store: CertificateStore,
	advertisedUrl: string,
): SecureClientSessionOptions {
	const advertisedHost = getHost(new URL(advertisedUrl));
	return {
		createConnection: authority => {
			return connect({
				...createSecureContextOptions(store.getCurrent()),
				host: getHost(authority),
				port: authority.port === '' ? defaultHttpsPort : Number(authority.port),
				ALPNProtocols: ['h2'],
				checkServerIdentity: (_, certificate) => checkServerIdentity(advertisedHost, certificate),
			});
		},
	};
}

/** Returns the host of a URL without the brackets of an IPv6 address. */
function getHost({ hostname }: URL): string {
	return hostname.replace(/^\[|\]$/g, '');
}
