/**
 * The admin port of a stand-in process. It publishes the documents of the platform, sets fault switches and returns
 * counters and recorded runs. The gateway itself never connects to it.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { IDisposable } from '../../base/common/lifecycle';
import type { ListenAddress } from '../../core/settings/common/settingsTypes';
import { instanceListSchema } from '../common/instanceList';
import { BodyError, getWholeNumber, parseJson, parseRequestUrl, readBody, sendJson } from './httpExchange';
import { HttpListener } from './httpListener';
import { PlainServer } from './plainServer';
import { PlatformServer } from './platformServer';
import type { IStandin } from './standin';

/** The maximum size of a value in the configuration service. */
const maxDocumentBytes = 1_048_576;

/** HTTP server for the admin port of one process. */
export class AdminServer implements IDisposable {
	private readonly listener: HttpListener;

	constructor(
		listen: ListenAddress,
		private readonly standins: readonly IStandin[],
	) {
		this.listener = new HttpListener(listen, (request, response) => this.handleRequest(request, response));
	}

	open(): Promise<string> {
		return this.listener.open();
	}

	dispose(): void {
		this.listener.dispose();
	}

	private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = parseRequestUrl(request);
		try {
			const body = await readBody(request, maxDocumentBytes);
			this.answerRequest(request.method ?? '', url, body, response);
		} catch (error) {
			if (!(error instanceof BodyError)) {
				throw error;
			}
			sendJson(response, 413, { error: error.message }, { connection: 'close' });
		}
	}

	private answerRequest(method: string, url: URL, body: Buffer, response: ServerResponse): void {
		switch (`${method} ${url.pathname}`) {
			case 'PUT /v1/platform/manifest':
				this.putManifest(url, body, response);
				return;
			case 'PUT /v1/platform/instances':
				this.putInstances(body, response);
				return;
			case 'GET /v1/runs':
				this.sendRuns(response);
				return;
			default:
				this.answerForStandin(method, url, body, response);
		}
	}

	private findPlatform(response: ServerResponse): PlatformServer | undefined {
		const platform = this.standins.find(standin => standin instanceof PlatformServer);
		if (platform === undefined) {
			sendJson(response, 404, { error: 'this process does not host a platform' });
		}
		return platform;
	}

	private putManifest(url: URL, body: Buffer, response: ServerResponse): void {
		const forced = url.searchParams.has('version') ? getWholeNumber(url, 'version', 0) : undefined;
		const version = this.findPlatform(response)?.putManifest(body, forced);
		if (version !== undefined) {
			sendJson(response, 200, { version });
		}
	}

	private putInstances(body: Buffer, response: ServerResponse): void {
		const parsed = instanceListSchema.safeParse(parseJson(body));
		if (!parsed.success) {
			const error = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ');
			sendJson(response, 400, { error });
			return;
		}
		const version = this.findPlatform(response)?.putInstances(parsed.data);
		if (version !== undefined) {
			sendJson(response, 200, { version });
		}
	}

	private sendRuns(response: ServerResponse): void {
		const services = this.standins
			.filter(standin => standin instanceof PlainServer)
			.map(service => ({ name: service.name, calls: service.listRuns() }));
		sendJson(response, 200, { services });
	}

	private answerForStandin(method: string, url: URL, body: Buffer, response: ServerResponse): void {
		const [, name, action] = /^\/v1\/([^/]+)\/([^/]+)$/.exec(url.pathname) ?? [];
		const standin = this.standins.find(other => other.name === name);
		if (standin === undefined) {
			sendJson(response, 404, { error: `unknown stand-in or path: ${url.pathname}` });
			return;
		}
		switch (`${method} ${action ?? ''}`) {
			case 'GET counters':
				sendJson(response, 200, standin.getCounters());
				return;
			case 'POST faults':
				this.applyFaults(standin, body, response);
				return;
			default:
				sendJson(response, 404, { error: `unknown path: ${url.pathname}` });
		}
	}

	private applyFaults(standin: IStandin, body: Buffer, response: ServerResponse): void {
		standin.applyFaults(parseJson(body)).match(
			faults => {
				sendJson(response, 200, faults);
			},
			faults => {
				sendJson(response, 400, {
					error: faults.map(({ name, problem }) => `${name}: ${problem}`).join('; '),
				});
			},
		);
	}
}
