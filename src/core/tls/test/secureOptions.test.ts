import { create } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { createSecureServer } from 'node:http2';
import type { SecureClientSessionOptions } from 'node:http2';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:tls';
import type { TLSSocket } from 'node:tls';
import { Agent, request } from 'undici';
import { DisposableStore, toDisposable } from '../../../base/common/lifecycle';
import { FetchManifestResponseSchema, PeerService } from '../../../gen/anvilroad/peer/v1/peer_pb';
import { createMetricsPage, createSource } from '../../operators/test/operatorsFixtures';
import { OperatorsServer } from '../../operators/node/operatorsServer';
import type { CertificateStore } from '../node/certificateStore';
import {
	createPeerServerOptions,
	createPeerSessionOptions,
	subscribeToRenewals,
} from '../node/secureOptions';
import { CertificateFolder, findFixture, FixtureName, openStore } from './tlsFixtures';

let owned = new DisposableStore();

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

function createFolder(name: FixtureName): CertificateFolder {
	return owned.add(new CertificateFolder(name));
}

/** Starts a peer server that returns version 12 of a manifest, and returns the URL of the server. */
async function startPeer(
	store: CertificateStore,
	noteSession: () => void = () => undefined,
): Promise<string> {
	const handler = connectNodeAdapter({
		routes: router => {
			router.service(PeerService, {
				fetchManifest: () => create(FetchManifestResponseSchema, { version: 12n }),
			});
		},
	});
	const server = createSecureServer(createPeerServerOptions(store.getCurrent()), handler);
	server.on('session', noteSession);
	owned.add(subscribeToRenewals(server, store));
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	owned.add(toDisposable(() => server.close()));
	return `https://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function openSession(url: string, options: SecureClientSessionOptions): Http2SessionManager {
	const session = new Http2SessionManager(url, {}, options);
	owned.add(
		toDisposable(() => {
			session.abort();
		}),
	);
	return session;
}

function createPeerClient(url: string, sessionManager: Http2SessionManager): Client<typeof PeerService> {
	const transport = createConnectTransport({ baseUrl: url, httpVersion: '2', sessionManager });
	return createClient(PeerService, transport);
}

function openClient(store: CertificateStore, url: string, advertisedUrl = url): Client<typeof PeerService> {
	return createPeerClient(url, openSession(url, createPeerSessionOptions(store, advertisedUrl)));
}

/** Opens a bare TLS connection and returns the SHA-256 fingerprint of the server certificate. */
async function readServerFingerprint(url: string, store: CertificateStore): Promise<string> {
	const { certificate: cert, privateKey: key, authorities: ca } = store.getCurrent();
	const { hostname: host, port } = new URL(url);
	const socket: TLSSocket = connect({ host, port: Number(port), cert, key, ca });
	await once(socket, 'secureConnect');
	const { fingerprint256 } = socket.getPeerCertificate();
	socket.destroy();
	return fingerprint256;
}

describe('connections between entries', () => {
	it('are accepted when both sides have a certificate of the trusted authority', async () => {
		const store = openStore(createFolder(FixtureName.First));
		const client = openClient(store, await startPeer(store));
		expect((await client.fetchManifest({})).version).toBe(12n);
	});

	// A client with a certificate of another authority must not reach the peer protocol, where it could submit forged
	// views of the fleet and requests for any organisation.
	it('are refused when either side has a certificate of another authority', async () => {
		const own = openStore(createFolder(FixtureName.First));
		const stranger = openStore(createFolder(FixtureName.Stranger));
		await expect(openClient(stranger, await startPeer(own)).fetchManifest({})).rejects.toThrow();
		await expect(openClient(own, await startPeer(stranger)).fetchManifest({})).rejects.toThrow();
	});

	it('are refused without a certificate and without TLS', async () => {
		const url = await startPeer(openStore(createFolder(FixtureName.First)));
		const withoutCertificate = openSession(url, { ca: readFileSync(findFixture('authority.crt')) });
		await expect(createPeerClient(url, withoutCertificate).fetchManifest({})).rejects.toThrow();
		const plainUrl = url.replace('https:', 'http:');
		const plain = createPeerClient(plainUrl, openSession(plainUrl, {}));
		await expect(plain.fetchManifest({})).rejects.toThrow();
	});

	// A wrong route can lead to another entry of the fleet, whose certificate is valid. If it were mistaken for the
	// intended peer, it would receive tickets that it did not issue and answer for a region that it does not belong to.
	it('are refused when the certificate is not for the host that the peer advertises', async () => {
		const store = openStore(createFolder(FixtureName.First));
		const client = openClient(store, await startPeer(store), 'https://127.0.0.2:7101');
		await expect(client.fetchManifest({})).rejects.toThrow(/127\.0\.0\.2/);
	});

	// Certificates are renewed while requests are running. If open sessions were closed, each renewal would interrupt
	// forwarded requests. New connections must get the renewed certificate.
	it('stay open during a renewal, and new connections use the renewed certificate', async () => {
		const folder = createFolder(FixtureName.First);
		const store = openStore(folder);
		let sessions = 0;
		const url = await startPeer(store, () => sessions++);
		const session = openSession(url, createPeerSessionOptions(store, url));
		expect(await session.connect()).toBe('idle');
		expect((await createPeerClient(url, session).fetchManifest({})).version).toBe(12n);
		const before = store.getCurrent().fingerprint;
		folder.putCertificate(FixtureName.Second);
		folder.putKey(FixtureName.Second);
		const renewed = store.renew('SIGHUP')._unsafeUnwrap().fingerprint;
		expect(renewed).not.toBe(before);
		expect(await readServerFingerprint(url, store)).toBe(renewed);
		expect((await createPeerClient(url, session).fetchManifest({})).version).toBe(12n);
		expect(sessions).toBe(1);
	});
});

describe('the operators port with TLS', () => {
	it('serves clients that trust the authority, and uses renewed certificates', async () => {
		const folder = createFolder(FixtureName.First);
		const store = openStore(folder);
		const server = owned.add(new OperatorsServer(createSource(), createMetricsPage(), store));
		const { host, port } = await server.start({ host: '127.0.0.1', port: 0 });
		const url = `https://${host}:${port}`;
		const trustingAgent = new Agent({ connect: { ca: readFileSync(findFixture('authority.crt')) } });
		const { statusCode, body } = await request(`${url}/healthz`, { dispatcher: trustingAgent });
		expect([statusCode, await body.text()]).toEqual([200, 'ok\n']);
		await trustingAgent.close();
		await expect(request(`${url}/healthz`)).rejects.toThrow();
		folder.putCertificate(FixtureName.Second);
		folder.putKey(FixtureName.Second);
		const renewed = store.renew('SIGHUP')._unsafeUnwrap().fingerprint;
		expect(await readServerFingerprint(url, store)).toBe(renewed);
	});
});
