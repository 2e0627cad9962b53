/**
 * The routes of the operators' port, from a method and a path to an answer, apart from the server.
 */

import type { RequestId } from '../../ids/common/ids';
import { createExplainAnswer, createTrailRecord, OperatorsFault } from '../../status/common/operatorsAnswers';
import type { FaultAnswer, TrailAnswer } from '../../status/common/operatorsAnswers';
import type { IMetricsPage, IOperatorsSource } from './operatorsSource';

/** One answer; the body is whole. */
export interface OperatorsAnswer {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
}

const jsonType = 'application/json';
const textType = 'text/plain; charset=utf-8';
const defaultTrailRecords = 100;
const mostTrailRecords = 10_000;

const statusByFault: Readonly<Record<OperatorsFault, number>> = {
	[OperatorsFault.UnknownRoute]: 404,
	[OperatorsFault.MethodNotAllowed]: 405,
	[OperatorsFault.MalformedQuery]: 400,
	[OperatorsFault.RequestNotKept]: 404,
	[OperatorsFault.NoManifest]: 404,
	[OperatorsFault.Internal]: 500,
};

function createJsonAnswer(status: number, value: unknown): OperatorsAnswer {
	return { status, contentType: jsonType, body: `${JSON.stringify(value)}\n` };
}

/** The answer to what cannot be answered otherwise. */
export function createFaultAnswer(error: OperatorsFault, message: string): OperatorsAnswer {
	const fault: FaultAnswer = { error, message };
	return createJsonAnswer(statusByFault[error], fault);
}

/** A whole number of a query, or undefined where it is not one in the range. */
function parseCount(text: string | null, fallback: number, most: number): number | undefined {
	if (text === null) {
		return fallback;
	}
	const count = Number(text);
	return /^\d+$/.test(text) && count <= most ? count : undefined;
}

/** Answers the reads of operators and their tools. */
export class OperatorsRouter {
	constructor(
		private readonly source: IOperatorsSource,
		private readonly metrics: IMetricsPage,
	) {}

	/** @param target Path and query, as in the request line. */
	async answer(method: string, target: string): Promise<OperatorsAnswer> {
		if (method !== 'GET' && method !== 'HEAD') {
			return createFaultAnswer(OperatorsFault.MethodNotAllowed, 'This port is only read: GET and HEAD.');
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
			case '/v1/trail':
				return this.answerTrail(query);
			case '/v1/manifest':
				return this.answerManifest();
			default:
				return createFaultAnswer(
					OperatorsFault.UnknownRoute,
					'Known: /metrics /healthz /readyz /v1/status /v1/explain/{id} /v1/trail /v1/manifest.',
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
			return createFaultAnswer(
				OperatorsFault.RequestNotKept,
				'This entry keeps nothing of that request: it was never here, or newer ones took its place.',
			);
		}
		return createJsonAnswer(200, createExplainAnswer(this.source.getStatus().instance, record));
	}

	private answerTrail(query: URLSearchParams): OperatorsAnswer {
		const most = parseCount(query.get('most'), defaultTrailRecords, mostTrailRecords);
		const after = parseCount(query.get('after'), 0, Number.MAX_SAFE_INTEGER);
		if (most === undefined || after === undefined) {
			return createFaultAnswer(
				OperatorsFault.MalformedQuery,
				`most is a whole number up to ${mostTrailRecords}; after is a record's sequence.`,
			);
		}
		const { instance, boot } = this.source.getStatus();
		const records = this.source
			.listTrail(most)
			.filter(record => record.sequence > after)
			.map(createTrailRecord);
		const answer: TrailAnswer = { instance, boot, records };
		return createJsonAnswer(200, answer);
	}

	/** The document is put in as the text that was accepted, so that what is shown is what is in force. */
	private answerManifest(): OperatorsAnswer {
		const manifest = this.source.getManifest();
		if (manifest === undefined) {
			return createFaultAnswer(OperatorsFault.NoManifest, 'This entry has no manifest yet.');
		}
		const { version, digest, text } = manifest;
		const body = `{"version":${version},"digest":${JSON.stringify(digest)},"document":${text}}\n`;
		return { status: 200, contentType: jsonType, body };
	}
}
