/**
 * Parses the curl commands of a documentation page, so that a test can send the same requests.
 */

import type { Dispatcher } from 'undici';

/** The request that a curl command sends. */
export interface CurlCommand {
	readonly url: string;
	readonly method: Dispatcher.HttpMethod;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string | undefined;
}

/** Options that change only the output of curl. */
const printOptions = new Set(['-i', '-N']);

/** Splits a shell command line into its arguments. Spaces in single quotes do not separate arguments. */
function splitWords(line: string): string[] {
	return [...line.matchAll(/'([^']*)'|(\S+)/g)].map(match => match[1] ?? match[2] ?? '');
}

/** Parses every command in the `sh` blocks of a page. An option that `applyArgument` does not support is an error. */
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
	const partial: PartialCurlCommand = { url: '', method: undefined, headers: {}, body: undefined };
	while (words.length > 0) {
		applyArgument(partial, words.shift() ?? '', words);
	}
	const { url, headers, body } = partial;
	const method = partial.method ?? (body === undefined ? 'GET' : 'POST');
	return { url, method: method, headers, body };
}

interface PartialCurlCommand {
	url: string;
	method: string | undefined;
	headers: Record<string, string>;
	body: string | undefined;
}

function applyArgument(partial: PartialCurlCommand, argument: string, rest: string[]): void {
	if (argument === '-X') {
		partial.method = rest.shift();
	} else if (argument === '-d') {
		partial.body = rest.shift();
	} else if (argument === '-H') {
		const [name = '', value = ''] = (rest.shift() ?? '').split(/: (.*)/);
		partial.headers[name] = value;
	} else if (argument.startsWith('http')) {
		partial.url = argument;
	} else if (!printOptions.has(argument)) {
		throw new Error(`unknown option ${argument}`);
	}
}
