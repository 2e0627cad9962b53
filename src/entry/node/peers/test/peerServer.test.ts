import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { create } from '@bufbuild/protobuf';
import { ok } from 'neverthrow';
import { DisposableStore, toDisposable } from '../../../../base/common/lifecycle';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { ForwardRequestRequest } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { ForwardRequestRequestSchema } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { CallPlan } from '../../../common/placement/callPlan';
import type { ILoopLag } from '../../../common/intake/loopLagGate';
import { noLoopLag } from '../../../common/intake/loopLagGate';
import { RequestIntake } from '../../../common/intake/requestIntake';
import { HeldBytes } from '../../callers/bodyReader';
import { ImmediateTurnScheduler } from '../../immediateTurnScheduler';
import { lingerMs } from '../lingeringSockets';
import { PeerClients } from '../peerClients';
import type { AcceptedCall } from '../../requests/requestRun';
import type { IPeerHandler } from '../peerServer';
import { PeerServer } from '../peerServer';

let owned = new DisposableStore();

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

function failCall(): never {
	throw new Error('unexpected call in this test');
}

const handler: IPeerHandler = {
	exchangeViews: failCall,
	receiveCrashReport: failCall,
	keepStreamOrigins: failCall,
	findStreamOrigin: failCall,
	describeManifest: failCall,
	planForwarded: failCall,
	findHold: () => undefined,
	refuseTicketedCall: failCall,
	readHead: failCall,
	resolveForwardedKey: () => ok(undefined),
	accept: failCall,
};

function createServer(
	peerHandler: IPeerHandler,
	timers: ManualTimerService,
	loopLag = noLoopLag,
): PeerServer {
	const intake = new RequestIntake(
		new ImmediateTurnScheduler(),
		timers,
		new SeededRandom(1),
		() => undefined,
	);
	return new PeerServer(peerHandler, new HeldBytes(1_024), 1_024, intake, timers, loopLag, undefined);
}

/** The bytes that start an HTTP/2 connection on the client: the preface and an empty SETTINGS frame. */
const clientStart = Buffer.concat([
	Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'),
	Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]),
]);

/** Opens a connection whose client side stays open after the server has closed its side. */
async function openHalfClosingPeer(port: number): Promise<Socket> {
	const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
	owned.add(
		toDisposable(() => {
			socket.destroy();
		}),
	);
	socket.write(clientStart);
	await once(socket, 'data');
	socket.resume();
	return socket;
}

describe('PeerServer', () => {
	test('closes even if a peer keeps its side of the connection open', async () => {
		// A peer no longer uses a connection and never closes its side. Without a time limit the stopping entry waits
		// for it, never exits, and operators have to kill it.
		const timers = new ManualTimerService();
		const server = createServer(handler, timers);
		const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
		const socket = await openHalfClosingPeer(port);
		let isClosed = false;
		const closed = server.close().then(() => {
			isClosed = true;
		});
		await once(socket, 'end');
		timers.advance(lingerMs - 1);
		expect(isClosed).toBe(false);
		timers.advance(1);
		await closed;
		expect(socket.destroyed).toBe(false);
	});

	// Guards against accepting a request that its sender cancelled while it was on hold.
	test('accepts no request whose sender has cancelled it', async () => {
		const accepted: string[] = [];
		let releaseLatest = (): void => undefined;
		let heldCalls = 0;
		const holdingHandler: IPeerHandler = {
			...handler,
			findHold: () => {
				heldCalls++;
				return new Promise(resolve => {
					releaseLatest = resolve;
				});
			},
			planForwarded: () => ok({} as CallPlan),
			refuseTicketedCall: (_, error) => error,
			accept: ({ id }, sink) => {
				accepted.push(id);
				sink.end(AnswerEnd.Certain);
			},
		};
		const server = createServer(holdingHandler, new ManualTimerService());
		const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
		const clients = new PeerClients({}, undefined);
		owned.add(clients);
		owned.add(toDisposable(() => void server.close()));
		const { client } = clients.open(`http://127.0.0.1:${port}`);
		const forward = async (requestId: string, signal: AbortSignal): Promise<void> => {
			const head = { requestId, requestClass: 'normal', remainingMs: 4_000, hops: 1 };
			const parts = [create(ForwardRequestRequestSchema, { part: { case: 'head', value: head } })];
			const sent = (async function* send(): AsyncGenerator<(typeof parts)[0]> {
				yield* parts;
				await Promise.resolve();
			})();
			for await (const answer of client.forwardRequest(sent, { signal })) {
				expect(answer.part.case).toBe('end');
			}
		};
		const waitForCalls = async (count: number): Promise<void> => {
			while (heldCalls < count) {
				await new Promise(resolve => setImmediate(resolve));
			}
		};

		const cancel = new AbortController();
		const cancelled = forward('cancelled', cancel.signal).catch(() => 'cancelled');
		await waitForCalls(1);
		const releaseCancelled = releaseLatest;
		cancel.abort();
		await expect(cancelled).resolves.toBe('cancelled');
		// Both requests share a connection, so the server reads the cancellation before the later request.
		const later = forward('later', new AbortController().signal);
		await waitForCalls(2);
		releaseCancelled();
		releaseLatest();
		await later;
		expect(accepted).toEqual(['later']);
	});

	// Guards against a peer that is behind and keeps a request as long as if it had just been sent.
	test('counts the times of a forwarded request from its arrival', async () => {
		const timers = new ManualTimerService(10_000);
		const calls: AcceptedCall[] = [];
		const acceptingHandler: IPeerHandler = {
			...handler,
			planForwarded: () => ok({} as CallPlan),
			accept: (call, sink) => {
				calls.push(call);
				sink.end(AnswerEnd.Certain);
			},
		};
		let connections = 0;
		const loopLag: ILoopLag = {
			noteConnection: () => {
				connections++;
			},
			getLagMs: () => 1_500,
		};
		const server = createServer(acceptingHandler, timers, loopLag);
		const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
		const clients = new PeerClients({}, undefined);
		owned.add(clients);
		owned.add(toDisposable(() => void server.close()));
		const head = {
			requestId: 'late',
			requestClass: 'normal',
			remainingMs: 4_000,
			startWithinMs: 600,
			hops: 1,
		};
		const sent = (async function* send(): AsyncGenerator<ForwardRequestRequest> {
			yield create(ForwardRequestRequestSchema, { part: { case: 'head', value: head } });
			await Promise.resolve();
		})();
		const { client } = clients.open(`http://127.0.0.1:${port}`);
		for await (const answer of client.forwardRequest(sent)) {
			expect(answer.part.case).toBe('end');
		}
		expect(calls).toMatchObject([{ arrivedMs: 8_500, deadlineMs: 12_500, startByMs: 9_100 }]);
		expect(connections).toBe(1);
	});
});
