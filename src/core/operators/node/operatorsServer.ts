/**
 * The server of the operators' port: metrics, health, readiness and the data that `anvilroadctl` reads. All routes
 * are read-only and answered from the memory of the process, so they work while the platform and the peers are
 * unavailable.
 */

import { createServer } from 'node:http';
import { createServer as createSecureServer } from 'node:https';
import type { Server as SecureServer } from 'node:https';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import { listenOn } from '../../../base/node/listenOn';
import type { ListenAddress } from '../../settings/common/settingsTypes';
import type { CertificateStore } from '../../tls/node/certificateStore';
import { createServerOptions, subscribeToRenewals } from '../../tls/node/secureOptions';
import { OperatorsErrorCode } from '../../status/common/operatorsAnswers';
import type { OperatorsAnswer } from '../common/operatorsAnswer';
import { createErrorAnswer } from '../common/operatorsAnswer';
import { OperatorsRouter } from '../common/operatorsRouter';
import type { IMetricsPage, IOperatorsSource } from '../common/operatorsSource';

/**
 * Concurrent connections. A scraper that opens a connection for each read and never closes it would otherwise use
 * up the file descriptors that callers need. New connections beyond the limit are closed at once.
 */
const maxConnections = 64;

/** Milliseconds within which a request must be received completely and a TLS handshake must finish. */
const requestTimeoutMs = 5_000;

/** Serves the operators' port until disposed. */
export class OperatorsServer extends Disposable {
	private readonly router: OperatorsRouter;
	private readonly server: Server | SecureServer;

	/** @param certificates The certificates of the port; if undefined, the port does not use TLS. */
	constructor(source: IOperatorsSource, metrics: IMetricsPage, certificates?: CertificateStore) {
		super();
		this.router = new OperatorsRouter(source, metrics);
		this.server = this.createServer(certificates);
		this.server.maxConnections = maxConnections;
		this.register(
			toDisposable(() => {
				this.server.close();
				this.server.closeAllConnections();
			}),
		);
	}

	/** Opens the port and returns the address in use; rejects if the port cannot be opened. */
	async start(listen: ListenAddress): Promise<ListenAddress> {
		const { address, port } = await listenOn(this.server, listen);
		return { host: address, port };
	}

	private createServer(certificates: CertificateStore | undefined): Server | SecureServer {
		const answer = (request: IncomingMessage, response: ServerResponse): void => {
			void this.serve(request, response);
		};
		if (certificates === undefined) {
			return createServer({ requestTimeout: requestTimeoutMs }, answer);
		}
		const options = {
			...createServerOptions(certificates.getCurrent()),
			requestTimeout: requestTimeoutMs,
			handshakeTimeout: requestTimeoutMs,
		};
		const server = createSecureServer(options, answer);
		this.register(subscribeToRenewals(server, certificates));
		return server;
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		request.resume();
		const answer = await this.answerSafely(request);
		const body = Buffer.from(answer.body);
		response.writeHead(answer.status, {
			'content-type': answer.contentType,
			'content-length': body.length,
			'cache-control': 'no-store',
		});
		response.end(request.method === 'HEAD' ? undefined : body);
	}

	/** Converts exceptions to error answers: a bug in a status page must not end the process that serves callers. */
	private async answerSafely(request: IncomingMessage): Promise<OperatorsAnswer> {
		try {
			return await this.router.answer(request.method ?? 'GET', request.url ?? '/');
		} catch (error) {
			const message = error instanceof Error ? error.message : String(error);
			return createErrorAnswer(OperatorsErrorCode.Internal, message);
		}
	}
}
