/**
 * Routes requests on the operators' port to their answers, independently of the HTTP server.
 */

import type { RequestId } from '../../ids/common/ids';
import { createExplainAnswer, OperatorsErrorCode } from '../../status/common/operatorsAnswers';
import type { OperatorsAnswer } from './operatorsAnswer';
import { createErrorAnswer, createJsonAnswer, jsonType } from './operatorsAnswer';
import type { IMetricsPage, IOperatorsSource } from './operatorsSource';
import { answerTrail } from './trailAnswer';

const textType = 'text/plain; charset=utf-8';

/** Answers the requests of operators and their tools, all of which are read-only. */
export class OperatorsRouter {
	constructor(
		private readonly source: IOperatorsSource,
		private readonly metrics: IMetricsPage,
	) {}

	/** @param target The path and query, as in the request line. */
	async answer(method: string, target: string): Promise<OperatorsAnswer> {
		if (method !== 'GET' && method !== 'HEAD') {
			return createErrorAnswer(OperatorsErrorCode.MethodNotAllowed, 'This port is read-only: GET and HEAD.');
		}
		const [path = '', query = ''] = target.split('?', 2);
		if (path === '/metrics') {
			return { status: 200, contentType: this.metrics.contentType, body: await this.metrics.render() };
		}
		return this.answerFromSource(path, new URLSearchParams(query));
	}

	private answerFromSource(path: string, query: URLSearchParams): OperatorsAnswer {
		const explainPrefix = '/v1/explain/';
		if (path.startsWith(explainPrefix)) {
			return this.answerExplain(path.slice(explainPrefix.length));
		}
		switch (path) {
			case '/healthz':
				return { status: 200, contentType: textType, body: 'ok\n' };
			case '/readyz':
				return this.answerReadiness();
			case '/v1/status':
				return createJsonAnswer(200, this.source.getStatus());
			case '/v1/organisations':
				return createJsonAnswer(200, this.source.getOrganisations());
			case '/v1/slowness':
				return createJsonAnswer(200, this.source.getSlowness());
			case '/v1/trail':
				return this.answerTrail(query);
			case '/v1/manifest':
				return this.answerManifest();
			default:
				return createErrorAnswer(
					OperatorsErrorCode.UnknownRoute,
					'Known: /metrics /healthz /readyz /v1/status /v1/organisations /v1/slowness /v1/explain/{id} /v1/trail /v1/manifest.',
				);
		}
	}

	private answerReadiness(): OperatorsAnswer {
		const { isReady, reasons } = this.source.getReadiness();
		const body = isReady ? 'ready\n' : reasons.map(reason => `${reason}\n`).join('');
		return { status: isReady ? 200 : 503, contentType: textType, body };
	}

	private answerExplain(id: string): OperatorsAnswer {
		const record = this.source.findRecord(id as RequestId);
		if (record === undefined) {
			return createErrorAnswer(
				OperatorsErrorCode.RequestNotKept,
				'This entry has no record of that request: it was never received here, or newer records replaced it.',
			);
		}
		return createJsonAnswer(200, createExplainAnswer(this.source.getStatus().instance, record));
	}

	private answerTrail(query: URLSearchParams): OperatorsAnswer {
		const { instance, boot } = this.source.getStatus();
		return answerTrail(query, { instance, boot, listTrail: maxRecords => this.source.listTrail(maxRecords) });
	}

	/** The document is inserted as the original text, so that the answer shows exactly the manifest in force. */
	private answerManifest(): OperatorsAnswer {
		const manifest = this.source.getManifest();
		if (manifest === undefined) {
			return createErrorAnswer(OperatorsErrorCode.NoManifest, 'This entry has no manifest yet.');
		}
		const { version, digest, text } = manifest;
		const body = `{"version":${version},"digest":${JSON.stringify(digest)},"document":${text}}\n`;
		return { status: 200, contentType: jsonType, body };
	}
}
