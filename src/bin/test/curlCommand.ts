/**
 * Reads the curl commands of a page, so that a test can send what they would send.
 */

import type { Dispatcher } from 'undici';

/** What a curl command sends. */
export interface CurlCommand {
	readonly url: string;
	readonly method: Dispatcher.HttpMethod;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string | undefined;
}

/** Options that only change what curl prints. */
const printOptions = new Set(['-i', '-N']);

/** Words of a shell line; single quotes hold words together. */
function splitWords(line: string): string[] {
	return [...line.matchAll(/'([^']*)'|(\S+)/g)].map(match => match[1] ?? match[2] ?? '');
}

/** Reads every command of a page's `sh` blocks; an option that the page has not used before is an error. */
export function parseCurlCommands(page: string): CurlCommand[] {
	const blocks = [...page.matchAll(/```sh\n([\s\S]*?)```/g)].map(match => match[1] ?? '');
	const lines = blocks.flatMap(block =>
		block
			.replace(/\\\n\s*/g, '')
			.trim()
			.split('\n'),
	);
	return lines.map(parseCurlCommand);
}

function parseCurlCommand(line: string): CurlCommand {
	const [program, ...words] = splitWords(line);
	if (program !== 'curl') {
		throw new Error(`not a curl command: ${line}`);
	}
	const draft: CurlDraft = { url: '', method: undefined, headers: {}, body: undefined };
	while (words.length > 0) {
		applyWord(draft, words.shift() ?? '', words);
	}
	const { url, headers, body } = draft;
	const method = draft.method ?? (body === undefined ? 'GET' : 'POST');
	return { url, method: method, headers, body };
}

interface CurlDraft {
	url: string;
	method: string | undefined;
	headers: Record<string, string>;
	body: string | undefined;
}

function applyWord(draft: CurlDraft, word: string, rest: string[]): void {
	if (word === '-X') {
		draft.method = rest.shift();
	} else if (word === '-d') {
		draft.body = rest.shift();
	} else if (word === '-H') {
		const [name = '', value = ''] = (rest.shift() ?? '').split(/: (.*)/);
		draft.headers[name] = value;
	} else if (word.startsWith('http')) {
		draft.url = word;
	} else if (!printOptions.has(word)) {
		throw new Error(`unknown option ${word}`);
	}
}
