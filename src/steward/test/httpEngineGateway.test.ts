import type { RequestListener, ServerResponse } from 'node:http';
import { DisposableStore } from '../../base/common/lifecycle';
import { OrderAnswer } from '../common/engineGateway';
import { HttpEngineGateway } from '../node/httpEngineGateway';
import { createOrder } from './stewardFixtures';
import { openServer } from './testServer';

const owned = new DisposableStore();
const gateway = owned.add(new HttpEngineGateway());

afterAll(() => {
	owned.dispose();
});

async function createEngine(answer: RequestListener): Promise<string> {
	return openServer(owned, answer);
}

describe('HttpEngineGateway', () => {
	it('reads a state, with what the engine does not tell left out', async () => {
		const state = { model: null, version: null, adapters: [], role: 'serve', loading: false };
		const url = await createEngine((_request, response) => response.end(JSON.stringify(state)));
		expect((await gateway.readState(url))._unsafeUnwrap()).toEqual({
			model: undefined,
			version: undefined,
			adapters: [],
			role: 'serve',
			fence: undefined,
			isLoading: false,
		});
	});

	it.each([
		[200, OrderAnswer.Accepted],
		[409, OrderAnswer.Superseded],
		[503, OrderAnswer.Refused],
	])('takes status %i of an order for %s', async (status, expected) => {
		const url = await createEngine((_request, response) => response.writeHead(status).end('{}'));
		expect((await gateway.sendOrder(url, createOrder(1)))._unsafeUnwrap()).toBe(expected);
	});

	it.each([
		['something else than a state', (response: ServerResponse) => response.end('{"model":7}')],
		['a piece of an answer', (response: ServerResponse) => response.write('{"mod', () => response.destroy())],
		['more than it may', (response: ServerResponse) => response.end('x'.repeat(1_048_577))],
		['an error', (response: ServerResponse) => response.writeHead(500).end('{}')],
	])('takes %s for a fault', async (_name, answer) => {
		// An engine has crashed, hangs, or is something else altogether. Its answer must not be taken for a
		// state that says that the engine is behind.
		const url = await createEngine((_request, response) => {
			answer(response);
		});
		expect((await gateway.readState(url)).isErr()).toBe(true);
	});
});
