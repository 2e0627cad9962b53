/**
 * Normalizes the path of a call before it is matched against rules. Many services read paths leniently and take
 * `/%70ay`, `/x/../pay` and `//pay` for `/pay`. If the rules matched paths literally, such a spelling of a payment
 * would miss its at-most-once rule, fall back to the service's default and be retried. The customer would be
 * charged twice, and the journal would show an ordinary retry. So percent-encodings are decoded before a rule is
 * matched, and paths that different servers resolve differently are refused.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';

function isAmbiguousSegment(segment: string): boolean {
	return segment === '' || segment === '.' || segment === '..' || /[/\\%;?#\p{Cc}]|^\s|\s$/u.test(segment);
}

function refusePath(problem: string): Result<string, RequestError> {
	return err(createRequestError(ErrorKind.UnknownRoute, `the path ${problem}`));
}

/** Returns the decoded path without query and trailing slash, or an error that explains why it is refused. */
export function parseCallPath(pathAndQuery: string): Result<string, RequestError> {
	const path = pathAndQuery.split(/[?#]/, 1)[0] ?? '';
	if (!path.startsWith('/')) {
		return refusePath('does not begin with a slash');
	}
	const trimmed = path.endsWith('/') ? path.slice(1, -1) : path.slice(1);
	if (trimmed === '') {
		return ok('/');
	}
	let segments: string[];
	try {
		segments = trimmed.split('/').map(decodeURIComponent);
	} catch {
		return refusePath('contains an invalid percent-encoding');
	}
	if (segments.some(isAmbiguousSegment)) {
		return refusePath('contains an empty segment, a dot segment or an ambiguous character');
	}
	return ok(`/${segments.join('/')}`);
}

/** Whether a path from `parseCallPath` matches the path of a rule. A trailing `*` in the rule matches any suffix. */
export function matchPath(rulePath: string, path: string): boolean {
	if (!rulePath.endsWith('*')) {
		return path === rulePath || `${path}/` === rulePath;
	}
	const prefix = rulePath.slice(0, -1);
	return path.startsWith(prefix) || `${path}/` === prefix;
}
