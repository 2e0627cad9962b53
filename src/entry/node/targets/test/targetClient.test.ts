import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { RequestId } from '../../../../core/ids/common/ids';
import type { AnswerHead } from '../../../common/callers/answerSink';
import type { IAttemptObserver } from '../targetClient';
import { TargetClient } from '../targetClient';

interface RawTarget {
	readonly server: Server;
	readonly origin: string;
	/** First lines of the request heads received on all connections. */
	readonly heads: string[];
}

async function openTarget(serve: (socket: Socket, requestNumber: number) => void): Promise<RawTarget> {
	const heads: string[] = [];
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			heads.push(chunk.toString().split('\r\n', 1)[0] ?? '');
			serve(socket, heads.length);
		});
	});
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	const { port } = server.address() as AddressInfo;
	return { server, origin: `http://127.0.0.1:${port}`, heads };
}

type Event = 'handed over' | 'head' | 'completed' | 'failed';

async function sendOnce(
	client: TargetClient,
	noteHead: (head: AnswerHead) => void = () => undefined,
	requestId?: RequestId,
): Promise<Event[]> {
	const events: Event[] = [];
	return new Promise(resolve => {
		const observer: IAttemptObserver = {
			noteHandedOver: () => events.push('handed over'),
			receiveHead: head => {
				events.push('head');
				noteHead(head);
			},
			receiveData: () => true,
			noteCompleted: () => {
				events.push('completed');
				resolve(events);
			},
			noteFailed: () => {
				events.push('failed');
				resolve(events);
			},
		};
		const request = { method: 'GET', path: '/', lines: [], body: new Uint8Array() };
		client.send(requestId === undefined ? request : { ...request, requestId }, observer);
	});
}

/** Waits until the events of a closed socket have been emitted. */
async function waitForEvents(): Promise<void> {
	for (let turn = 0; turn < 5; turn++) {
		await new Promise(resolve => setImmediate(resolve));
	}
}

const reachedStore = { asOfMs: 0, isReached: true };

const refusal = 'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\nno';
const answer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

describe('TargetClient', () => {
	it('does not resend a request when its reused connection is closed', async () => {
		// The target answers once, keeps the connection open, and closes it on the next request. HTTP client
		// libraries often resend such a request silently. A payment would then run twice, with no visible retry.
		const target = await openTarget((socket, requestNumber) => {
			if (requestNumber === 1) {
				socket.write(answer);
			} else {
				socket.destroy();
			}
		});
		const client = new TargetClient(target.origin, new ManualTimerService());
		expect(await sendOnce(client)).toEqual(['handed over', 'head', 'completed']);
		expect(await sendOnce(client)).toEqual(['handed over', 'failed']);
		expect(target.heads).toHaveLength(2);
		target.server.close();
		await client.close();
	});

	// Guards against the second answer of an attempt that is taken for that of the next attempt of its request.
	it('sends a request again on a connection that it was not sent on before', async () => {
		const connections: Socket[] = [];
		const target = await openTarget((socket, requestNumber) => {
			connections.push(socket);
			const isSecondOfConnection = connections.indexOf(socket) < requestNumber - 1;
			socket.write(isSecondOfConnection ? `${refusal}${answer}` : requestNumber === 1 ? refusal : answer);
		});
		const client = new TargetClient(target.origin, new ManualTimerService());
		const statuses: number[] = [];
		const noteHead = ({ status }: AnswerHead): void => {
			statuses.push(status);
		};
		await sendOnce(client, noteHead, 'order-1' as RequestId);
		await waitForEvents();
		await sendOnce(client, noteHead, 'order-1' as RequestId);
		expect(statuses).toEqual([503, 200]);
		target.server.close();
		await client.close();
	});

	// Guards against a connection for each request once one was sent again.
	it('reuses a connection for another request, and one that was closed for none', async () => {
		const connections = new Set<Socket>();
		const target = await openTarget((socket, requestNumber) => {
			connections.add(socket);
			socket.write(answer);
			if (requestNumber === 2) {
				socket.end();
			}
		});
		const client = new TargetClient(target.origin, new ManualTimerService());
		for (const id of ['order-1', 'order-2', 'order-2', 'order-1']) {
			await sendOnce(client, undefined, id as RequestId);
			await waitForEvents();
		}
		expect(connections.size).toBe(2);
		target.server.close();
		await client.close();
	});

	// Guards against memory that grows with each request to a target that accepts no connection.
	it('remembers no request whose connection could not be opened', async () => {
		const target = await openTarget(() => undefined);
		await new Promise(resolve => target.server.close(resolve));
		const client = new TargetClient(target.origin, new ManualTimerService());
		await sendOnce(client, undefined, 'order-1' as RequestId);
		await waitForEvents();
		expect(client.countLatestRequests()).toBe(0);
		await client.close();
	});

	it('does not report a hand-over if no connection could be opened', async () => {
		// No process listens on the port. If this counted as handed over, the caller would receive the outcome
		// "unknown" for a payment that was never sent.
		const target = await openTarget(() => undefined);
		await new Promise(resolve => target.server.close(resolve));
		const client = new TargetClient(target.origin, new ManualTimerService());
		expect(await sendOnce(client)).toEqual(['failed']);
		await client.close();
	});

	// Guards against floods at a target that starts again: requests that wait for connections to its address would all
	// arrive at once, although they were meant for the process before.
	it('sends no request that waits for a connection when it is closed, and finishes the others', async () => {
		const target = await openTarget(socket => {
			setTimeout(() => socket.write(answer), 20);
		});
		const client = new TargetClient(target.origin, new ManualTimerService());
		const closed = new Promise<Event[][]>(resolve => {
			const running = sendOnce(client);
			target.server.once('connection', socket => {
				socket.once('data', () => {
					const waiting = [sendOnce(client), sendOnce(client)];
					void client.close();
					resolve(Promise.all([running, ...waiting]));
				});
			});
		});
		expect(await closed).toEqual([['handed over', 'head', 'completed'], ['failed'], ['failed']]);
		target.server.close();
		expect(target.heads).toHaveLength(1);
	});

	// A target crashes while it sends an answer without a length, and the connection is reset. If the reset
	// counted as the end of the answer, the caller would accept a truncated receipt as complete.
	it('does not treat a reset as the end of an answer without a length', async () => {
		let reset = (): void => undefined;
		const target = await openTarget(socket => {
			reset = () => {
				socket.resetAndDestroy();
			};
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
		});
		const client = new TargetClient(target.origin, new ManualTimerService());
		const events = await sendOnce(client, () => {
			reset();
		});
		expect(events).toEqual(['handed over', 'head', 'failed']);
		target.server.close();
		await client.close();
	});

	it('treats a closed connection as the end of an answer without a length', async () => {
		const target = await openTarget(socket => {
			socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
		});
		const client = new TargetClient(target.origin, new ManualTimerService());
		expect(await sendOnce(client)).toEqual(['handed over', 'head', 'completed']);
		target.server.close();
		await client.close();
	});

	it('never reuses the connection of a cancelled answer', async () => {
		// The rest of the cancelled answer would be read as the beginning of the next one.
		const sockets = new Set<Socket>();
		const target = await openTarget((socket, requestNumber) => {
			sockets.add(socket);
			socket.write(requestNumber === 1 ? 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhal' : answer);
		});
		const client = new TargetClient(target.origin, new ManualTimerService());
		await new Promise<void>(resolve => {
			const attempt = client.send(
				{ method: 'GET', path: '/', lines: [], body: new Uint8Array() },
				{
					noteHandedOver: () => undefined,
					receiveHead: () => undefined,
					receiveData: () => {
						attempt.cancel('the caller went away');
						resolve();
						return true;
					},
					noteCompleted: () => undefined,
					noteFailed: () => undefined,
				},
			);
		});
		expect(await sendOnce(client)).toEqual(['handed over', 'head', 'completed']);
		expect(sockets.size).toBe(2);
		target.server.close();
		await client.close();
	});

	// Guards against targets in doubt after each request that this entry cancels.
	it('does not take its own close of a connection for one by the target', async () => {
		const timers = new ManualTimerService();
		const target = await openTarget(socket => socket.write(answer.slice(0, -1)));
		const client = new TargetClient(target.origin, timers);
		await new Promise<void>(resolve => {
			const observer: IAttemptObserver = {
				noteHandedOver: () => undefined,
				receiveHead: () => {
					attempt.cancel('the caller is gone');
					resolve();
				},
				receiveData: () => true,
				noteCompleted: () => undefined,
				noteFailed: () => undefined,
			};
			const request = { method: 'GET', path: '/', lines: [], body: new Uint8Array() };
			const attempt = client.send(request, observer);
		});
		await waitForEvents();
		timers.advance(1_000);
		expect(client.continuity.isConfirmed(reachedStore, timers.getNow())).toBe(true);
		target.server.close();
		await client.close();
	});

	// Guards against streams that go on at a target which has ended and may have started again with another version.
	it.each([true, false])('notices that the target closed its connection, with a reset: %s', async isReset => {
		const timers = new ManualTimerService();
		const target = await openTarget(socket => (isReset ? socket.resetAndDestroy() : socket.destroy()));
		const client = new TargetClient(target.origin, timers);
		expect(await sendOnce(client)).toEqual(['handed over', 'failed']);
		await waitForEvents();
		timers.advance(1_000);
		expect(client.continuity.isConfirmed(reachedStore, timers.getNow())).toBe(false);
		target.server.close();
		await client.close();
	});
});
