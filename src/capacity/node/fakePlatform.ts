/**
 * The platform of a measurement. Serves the manifest and the instance list over HTTP with long polling.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { IDisposable } from '../../base/common/lifecycle';
import { headers } from '../../core/platformClient/common/platformHeaders';

interface PublishedDocument {
	version: number;
	text: string;
	readonly pendingPolls: Set<() => void>;
}

const statusNotModified = 304;

/** An HTTP server for two versioned documents, the manifest and the instance list. */
export class FakePlatform implements IDisposable {
	private readonly server: Server = createServer((request, response) => {
		this.handleRequest(request, response);
	});
	private readonly manifest: PublishedDocument = { version: 0, text: '', pendingPolls: new Set() };
	private readonly instances: PublishedDocument = { version: 0, text: '', pendingPolls: new Set() };

	/** Listens on a free port and returns the origin. */
	async listen(): Promise<string> {
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Publishes a manifest and returns its version. */
	putManifest(text: string): number {
		return putDocument(this.manifest, text);
	}

	putInstances(text: string): number {
		return putDocument(this.instances, text);
	}

	dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private handleRequest(request: IncomingMessage, response: ServerResponse): void {
		const url = new URL(request.url ?? '/', 'http://platform');
		const document = url.pathname === '/v1/instances' ? this.instances : this.manifest;
		const after = Number(url.searchParams.get('after'));
		if (document.version > after) {
			sendDocument(document, response);
			return;
		}
		const answerPoll = (): void => {
			clearTimeout(timer);
			document.pendingPolls.delete(answerPoll);
			if (document.version > after) {
				sendDocument(document, response);
			} else {
				response.writeHead(statusNotModified).end();
			}
		};
		const timer = setTimeout(answerPoll, Number(url.searchParams.get('wait-ms')));
		document.pendingPolls.add(answerPoll);
		response.on('close', () => {
			clearTimeout(timer);
			document.pendingPolls.delete(answerPoll);
		});
	}
}

function putDocument(document: PublishedDocument, text: string): number {
	document.text = text;
	document.version++;
	for (const answerPoll of [...document.pendingPolls]) {
		answerPoll();
	}
	return document.version;
}

function sendDocument(document: PublishedDocument, response: ServerResponse): void {
	response.setHeader(headers.version, String(document.version));
	response.end(document.text);
}
