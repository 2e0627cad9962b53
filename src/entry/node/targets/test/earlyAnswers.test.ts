/**
 * Answers without a length that a target begins, and breaks off, while it is still being sent a long request.
 */

import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { DisposableStore, toDisposable } from '../../../../base/common/lifecycle';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { AnswerHead } from '../../../common/callers/answerSink';
import { TargetClient } from '../targetClient';

const uploadBytes = 8_388_608;
const part = 'part of the body';

interface BrokenEnd {
	readonly name: string;
	readonly apply: (socket: Socket) => void;
}

const brokenEnds: readonly BrokenEnd[] = [
	{
		name: 'reset in the same turn',
		apply: socket => {
			socket.resetAndDestroy();
		},
	},
	{
		name: 'reset some turns later',
		apply: socket => {
			setTimeout(() => socket.resetAndDestroy(), 20);
		},
	},
	{
		name: 'closed with unread bytes in the same turn',
		apply: socket => {
			socket.destroySoon();
		},
	},
	{
		name: 'closed with unread bytes some turns later',
		apply: socket => {
			setTimeout(() => socket.destroy(), 20);
		},
	},
	{
		name: 'half-closed and then reset',
		apply: socket => {
			socket.end(() => {
				setTimeout(() => socket.resetAndDestroy(), 20);
			});
		},
	},
	{
		name: 'half-closed and then closed with unread bytes',
		apply: socket => {
			socket.end(() => {
				setTimeout(() => socket.destroy(), 20);
			});
		},
	},
];

let owned = new DisposableStore();

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

interface Result {
	readonly heads: readonly AnswerHead[];
	readonly data: string;
	readonly end: string;
}

/** Sends a request whose target answers with `answer` after it has read some of it, and then calls `finish`. */
async function sendUpload(
	bodyBytes: number,
	answer: string,
	finish: (socket: Socket) => void,
): Promise<Result> {
	const server = createServer({ allowHalfOpen: true, highWaterMark: 1_024 }, socket => {
		owned.add(toDisposable(() => socket.destroy()));
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.pause();
			socket.write(answer);
			finish(socket);
		});
	});
	owned.add(toDisposable(() => server.close()));
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	const client = new TargetClient(
		`http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		new ManualTimerService(),
	);
	const heads: AnswerHead[] = [];
	let data = '';
	const end = await new Promise<string>(resolve => {
		client.send(
			{ method: 'POST', path: '/', lines: [], body: new Uint8Array(bodyBytes) },
			{
				noteHandedOver: () => undefined,
				receiveHead: head => {
					heads.push(head);
				},
				receiveData: chunk => {
					data += Buffer.from(chunk).toString();
					return true;
				},
				noteCompleted: () => {
					resolve('completed');
				},
				noteFailed: error => {
					resolve(`failed: ${error.message}`);
				},
			},
		);
	});
	await client.close();
	return { heads, data, end };
}

describe('an answer without a length to a request that is still being sent', () => {
	// Guards against a part of an answer that is passed on as whole, since the reset comes while the request is written.
	it.each(brokenEnds)('fails if its connection is $name', async ({ apply }) => {
		for (let round = 0; round < 10; round++) {
			const { end } = await sendUpload(uploadBytes, `HTTP/1.1 200 OK\r\n\r\n${part}`, apply);
			expect(end).toMatch(/^failed: /);
		}
	});
});

describe('an answer without a length that rejects a request that is still being sent', () => {
	it('is complete if the target half-closes the connection', async () => {
		const { heads, data, end } = await sendUpload(uploadBytes, `HTTP/1.1 413 No\r\n\r\n${part}`, socket => {
			socket.end();
		});
		expect({ statuses: heads.map(({ status }) => status), data, end }).toEqual({
			statuses: [413],
			data: part,
			end: 'completed',
		});
	});
});

describe('an answer with a length to a request that is still being sent', () => {
	it('is complete if the target half-closes the connection after it', async () => {
		const answer = `HTTP/1.1 200 OK\r\ncontent-length: ${part.length}\r\n\r\n${part}`;
		const { data, end } = await sendUpload(uploadBytes, answer, socket => {
			socket.end();
		});
		expect({ data, end }).toEqual({ data: part, end: 'completed' });
	});
});

describe('an answer whose status is no status of HTTP', () => {
	// Guards against answers of a faulty target that reach the caller with a status such as 000.
	it.each(['000', '001', '042', '099', '600', '999'])('fails if it is %s', async status => {
		const answer = `HTTP/1.1 ${status} OK\r\ncontent-length: ${part.length}\r\n\r\n${part}`;
		const { heads, data, end } = await sendUpload(1, answer, socket => {
			setTimeout(() => socket.destroy(), 50);
		});
		expect({ heads, data }).toEqual({ heads: [], data: '' });
		expect(end).toMatch(/^failed: /);
	});
});
