/**
 * Bodies of forwarded requests over real HTTP/2 sessions: what the receiving entry keeps of one that is not read to its end.
 */

import { create } from '@bufbuild/protobuf';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Http2Server, ServerHttp2Stream } from 'node:http2';
import { DisposableStore, toDisposable } from '../../../../base/common/lifecycle';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { RequestError } from '../../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { InstanceId, RegionName } from '../../../../core/ids/common/ids';
import type {
	ForwardRequestRequest,
	ForwardRequestResponse,
} from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { ForwardRequestRequestSchema } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { CallHead } from '../../../common/callers/callHead';
import { noLoopLag } from '../../../common/intake/loopLagGate';
import { RequestIntake } from '../../../common/intake/requestIntake';
import type { CallPlan } from '../../../common/placement/callPlan';
import { HeldBytes } from '../../callers/bodyReader';
import { ImmediateTurnScheduler } from '../../immediateTurnScheduler';
import type { AcceptedCall } from '../../requests/requestRun';
import { StreamRun } from '../../requests/test/streamRuns';
import type { ForwardSender } from '../forwardRun';
import { ForwardEndKind, ForwardRun } from '../forwardRun';
import { ForwardedBodyReader } from '../forwardedBody';
import type { PeerConnection } from '../peerClients';
import { PeerClients } from '../peerClients';
import type { IPeerHandler } from '../peerServer';
import { PeerServer } from '../peerServer';

const remainingMs = 4_000;
const chunkBytes = 65_536;
/** More than the window of a stream holds. */
const manyChunks = 160;
const maxBodyBytes = 64 * 1_048_576;
const ticket = 'ticket-1';
/** Time in which what has been sent arrives. */
const settleMs = 200;

interface ReceivingEntry {
	readonly timers: ManualTimerService;
	readonly heldBytes: HeldBytes;
	readonly accepted: readonly AcceptedCall[];
	/** Tickets whose calls were refused as if they might have run. */
	readonly refusedTickets: readonly string[];
	/** Streams that are not closed. */
	readonly openStreams: ReadonlySet<ServerHttp2Stream>;
	readonly connection: PeerConnection;
	forward(
		parts: AsyncIterable<ForwardRequestRequest>,
		signal?: AbortSignal,
	): AsyncIterable<ForwardRequestResponse>;
}

const owned: DisposableStore[] = [];

afterEach(() => {
	for (const store of owned.splice(0)) {
		store.dispose();
	}
});

async function startEntry(
	plan: Result<CallPlan, RequestError>,
	maxHeldBytes = maxBodyBytes,
): Promise<ReceivingEntry> {
	const store = new DisposableStore();
	owned.push(store);
	const timers = new ManualTimerService();
	const heldBytes = new HeldBytes(maxHeldBytes);
	const accepted: AcceptedCall[] = [];
	const refusedTickets: string[] = [];
	const handler = {
		findHold: () => undefined,
		readHead: () => ok({} as CallHead),
		resolveForwardedKey: () => ok(undefined),
		planForwarded: () => plan,
		refuseTicketedCall: (refused: string, error: RequestError) => {
			refusedTickets.push(refused);
			return error;
		},
		accept: (call, sink) => {
			accepted.push(call);
			sink.end(AnswerEnd.Certain);
		},
	} as Partial<IPeerHandler> as IPeerHandler;
	const intake = new RequestIntake(
		new ImmediateTurnScheduler(),
		timers,
		new SeededRandom(1),
		() => undefined,
	);
	const server = new PeerServer(handler, heldBytes, maxBodyBytes, intake, timers, noLoopLag, undefined);
	const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
	const openStreams = new Set<ServerHttp2Stream>();
	(server as unknown as { server: Http2Server }).server.on('stream', stream => {
		openStreams.add(stream);
		stream.on('close', () => openStreams.delete(stream));
	});
	const clients = store.add(new PeerClients({}, undefined));
	store.add(toDisposable(() => void server.close()));
	const connection = clients.open(`http://127.0.0.1:${port}`);
	return {
		connection,
		timers,
		heldBytes,
		accepted,
		refusedTickets,
		openStreams,
		forward: (parts, signal) =>
			connection.client.forwardRequest(parts, signal === undefined ? {} : { signal }),
	};
}

/** @param bodyBytes The length of the body, unless the sender is of an earlier release. */
function createHeadPart(bodyBytes?: number): ForwardRequestRequest {
	const stated = bodyBytes === undefined ? {} : { bodyBytes };
	const value = { requestId: 'request-1', requestClass: 'normal', remainingMs, hops: 1, ticket, ...stated };
	return create(ForwardRequestRequestSchema, { part: { case: 'head', value } });
}

/** Sends a head and so many chunks, and then waits before it ends the body. */
async function* sendBody(
	chunks: number,
	ended: Promise<unknown>,
	bodyBytes: number | undefined = 8 * chunkBytes,
): AsyncGenerator<ForwardRequestRequest> {
	yield createHeadPart(bodyBytes);
	for (let sent = 0; sent < chunks; sent++) {
		const value = new Uint8Array(chunkBytes);
		yield create(ForwardRequestRequestSchema, { part: { case: 'body', value } });
	}
	await ended;
}

/** Fails in place of the message with this index. */
async function* failAfter(
	messages: AsyncIterable<ForwardRequestRequest>,
	count: number,
): AsyncGenerator<ForwardRequestRequest> {
	let passed = 0;
	for await (const message of messages) {
		if (passed === count) {
			throw new Error('premature end of stream');
		}
		passed++;
		yield message;
	}
}

const never = new Promise(() => undefined);

async function waitUntil(isMet: () => boolean): Promise<void> {
	while (!isMet()) {
		await new Promise(resolve => setImmediate(resolve));
	}
}

async function listParts(answers: AsyncIterable<ForwardRequestResponse>): Promise<string[]> {
	const parts: string[] = [];
	for await (const { part } of answers) {
		parts.push(part.case === 'fault' ? part.value.errorKind : (part.case ?? ''));
	}
	return parts;
}

const planned = ok<CallPlan, RequestError>({} as CallPlan);

describe('the body of a forwarded request', () => {
	// Guards against an entry that refuses every upload because bytes of bodies that nobody will read stay reserved.
	it('is released if its sender cancels the request before its end', async () => {
		const { forward, heldBytes, accepted, refusedTickets, openStreams } = await startEntry(planned);
		const cancel = new AbortController();
		const answers = listParts(forward(sendBody(4, never), cancel.signal)).catch(() => 'cancelled');
		await waitUntil(() => heldBytes.getTotal() === 4 * chunkBytes);
		cancel.abort();
		expect(await answers).toBe('cancelled');
		await waitUntil(() => openStreams.size === 0);
		await waitUntil(() => heldBytes.getTotal() === 0);
		expect([accepted.length, refusedTickets.length]).toEqual([0, 0]);
	});

	// Guards against the same, and a reading without end, if the sender is cut off in the middle of a body.
	it('is released at its deadline if the rest does not come', async () => {
		const { forward, heldBytes, timers, refusedTickets } = await startEntry(planned);
		const answers = listParts(forward(sendBody(4, never)));
		await waitUntil(() => heldBytes.getTotal() === 4 * chunkBytes);
		timers.advance(remainingMs);
		expect(await answers).toEqual([ErrorKind.DeadlineUnreachable]);
		expect([heldBytes.getTotal(), refusedTickets.length]).toEqual([0, 0]);
	});

	// Guards against the same if the cancellation comes in the middle of a message, which makes the reading fail.
	it('is released if its reading fails', async () => {
		const heldBytes = new HeldBytes(maxBodyBytes);
		const parts = failAfter(sendBody(4, Promise.resolve()), 4);
		const limits = { maxBytes: maxBodyBytes, deadlineMs: remainingMs, statedBytes: 8 * chunkBytes };
		const { signal } = new AbortController();
		const reader = new ForwardedBodyReader(parts, signal, limits, heldBytes, new ManualTimerService());
		const body = await reader.read();
		expect(body._unsafeUnwrapErr().kind).toBe(ErrorKind.BodyIncomplete);
		expect(heldBytes.getTotal()).toBe(0);
	});

	it('is released if it exceeds the memory for bodies', async () => {
		const { forward, heldBytes, refusedTickets } = await startEntry(planned, 4 * chunkBytes);
		expect(await listParts(forward(sendBody(8, Promise.resolve())))).toEqual([ErrorKind.EntryFull]);
		expect([heldBytes.getTotal(), refusedTickets]).toEqual([0, [ticket]]);
	});

	it('stays reserved for a request that is accepted', async () => {
		const { forward, heldBytes, accepted } = await startEntry(planned);
		expect(await listParts(forward(sendBody(8, Promise.resolve())))).toEqual(['end']);
		expect(accepted.map(({ body }) => body.byteLength)).toEqual([8 * chunkBytes]);
		expect(heldBytes.getTotal()).toBe(8 * chunkBytes);
	});
});

describe('a forwarded request that is cancelled between two messages', () => {
	// Guards against a part of a payment that is run as the whole, because its cancellation ends the body as its end does.
	it.each([8 * chunkBytes, undefined])('is not accepted (stated length: %s)', async statedBytes => {
		const { forward, heldBytes, accepted, refusedTickets, openStreams } = await startEntry(planned);
		const cancel = new AbortController();
		const answers = listParts(forward(sendBody(4, never, statedBytes), cancel.signal)).catch(
			() => 'cancelled',
		);
		await waitUntil(() => heldBytes.getTotal() === 4 * chunkBytes);
		cancel.abort();
		expect(await answers).toBe('cancelled');
		await waitUntil(() => openStreams.size === 0);
		await waitUntil(() => heldBytes.getTotal() === 0);
		expect([accepted.length, refusedTickets.length]).toEqual([0, 0]);
	});
});

describe('a forwarded request that is refused by its head', () => {
	// Guards against memory that grows by the body of each refused upload until the session ends.
	it('leaves nothing of its body at the entry that refuses it', async () => {
		const refusal = createRequestError(ErrorKind.Leaving, 'entry-2');
		const { forward, openStreams } = await startEntry(err(refusal));
		expect(await listParts(forward(sendBody(manyChunks, Promise.resolve())))).toEqual([ErrorKind.Leaving]);
		const countUnread = (): number =>
			[...openStreams].reduce((sum, { readableLength }) => sum + readableLength, 0);
		await new Promise(resolve => setTimeout(resolve, settleMs));
		expect(countUnread()).toBe(0);
	});

	// Guards against streams that stay open, with what is left to send, as long as the session.
	it('is sent no further, and its stream is closed', async () => {
		const refusal = createRequestError(ErrorKind.Leaving, 'entry-2');
		const { connection, openStreams } = await startEntry(err(refusal));
		const { run, timers } = new StreamRun();
		Object.assign(run.call, { body: Buffer.alloc(manyChunks * chunkBytes) });
		const to = 'entry-2' as InstanceId;
		const sender = { instance: 'entry-1' as InstanceId, region: 'ocho' as RegionName, manifestVersion: 1 };
		const route = { to, peer: connection, reason: 'no target' };
		const forward = new ForwardRun(run, route, sender as ForwardSender, true, timers);
		const end = await forward.forward();
		expect(end).toMatchObject({ kind: ForwardEndKind.Refused, error: { kind: ErrorKind.Leaving } });
		expect(end.sentBytes).toBeLessThan(run.call.body.byteLength);
		await waitUntil(() => openStreams.size === 0);
	});
});
