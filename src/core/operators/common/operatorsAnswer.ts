/**
 * The answers of an operators' port, including error answers.
 */

import { OperatorsErrorCode } from '../../status/common/operatorsAnswers';
import type { OperatorsErrorAnswer } from '../../status/common/operatorsAnswers';

/** An answer with its complete body. */
export interface OperatorsAnswer {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
}

export const jsonType = 'application/json';

const statusByErrorCode: Readonly<Record<OperatorsErrorCode, number>> = {
	[OperatorsErrorCode.UnknownRoute]: 404,
	[OperatorsErrorCode.MethodNotAllowed]: 405,
	[OperatorsErrorCode.MalformedQuery]: 400,
	[OperatorsErrorCode.RequestNotKept]: 404,
	[OperatorsErrorCode.NoManifest]: 404,
	[OperatorsErrorCode.Internal]: 500,
};

export function createJsonAnswer(status: number, value: unknown): OperatorsAnswer {
	return { status, contentType: jsonType, body: `${JSON.stringify(value)}\n` };
}

/** Creates an error answer, with the HTTP status of its error code. */
export function createErrorAnswer(error: OperatorsErrorCode, message: string): OperatorsAnswer {
	const answer: OperatorsErrorAnswer = { error, message };
	return createJsonAnswer(statusByErrorCode[error], answer);
}
