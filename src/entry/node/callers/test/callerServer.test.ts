import { once } from 'node:events';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { Agent, request } from 'undici';
import { DisposableStore, toDisposable } from '../../../../base/common/lifecycle';
import { SeededRandom } from '../../../../base/common/random';
import type { RequestId } from '../../../../core/ids/common/ids';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { AnswerEnd } from '../../../common/callers/answerEnd';
import { LoopLagGate, noLoopLag } from '../../../common/intake/loopLagGate';
import type { ILoopLag } from '../../../common/intake/loopLagGate';
import { RequestIntake } from '../../../common/intake/requestIntake';
import { ImmediateTurnScheduler } from '../../immediateTurnScheduler';
import type { HandlerFixture } from '../../test/callHandlerFixtures';
import { createHandlerFixture } from '../../test/callHandlerFixtures';
import { NativeCallerDialect } from '../../../common/dialect/nativeCallerDialect';
import { createKeyDigests } from '../../keys/test/keyDigestFixtures';
import { CallerServer } from '../callerServer';

const owned = new DisposableStore();

afterAll(() => {
	owned.dispose();
});

async function startServer(
	fixture: HandlerFixture,
	loopLag: ILoopLag = noLoopLag,
): Promise<{ url: string; port: number; agent: Agent }> {
	const limits = { maxHeadBytes: 2_048, maxBodyBytes: 100 };
	const server = new CallerServer(
		fixture.handler,
		new NativeCallerDialect(createKeyDigests()),
		fixture.heldBytes,
		limits,
		new RequestIntake(
			new ImmediateTurnScheduler(),
			fixture.flow.timers,
			new SeededRandom(1),
			() => undefined,
		),
		fixture.flow.timers,
		loopLag,
	);
	const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
	const agent = new Agent({ connections: 1, pipelining: 1 });
	owned.add(toDisposable(() => void server.close()));
	owned.add(toDisposable(() => void agent.destroy()));
	return { url: `http://127.0.0.1:${port}`, port, agent };
}

async function sendGarbage(port: number): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	socket.write('not http at all\r\n\r\n');
	const chunks: Buffer[] = [];
	socket.on('data', (chunk: Buffer) => chunks.push(chunk));
	await once(socket, 'close');
	return Buffer.concat(chunks).toString();
}

describe('a refused request', () => {
	// A caller is refused and reports the request id to the operators. Without a record of the request, they could
	// neither find the reason nor tell whether the caller caused it.
	it('has a record under the id that was returned to its caller', async () => {
		const fixture = createHandlerFixture();
		const { url, port, agent } = await startServer(fixture);
		const organisation = { 'anvilroad-organisation': 'harbour-hotel' };
		const answers = [
			await request(`${url}/nowhere`, { dispatcher: agent }),
			await request(`${url}/v1/entries?service=none`, { dispatcher: agent }),
			await request(`${url}/v1/services/none/x`, { dispatcher: agent, headers: organisation }),
			await request(`${url}/v1/services/bookings/pay`, {
				dispatcher: agent,
				method: 'POST',
				headers: organisation,
				body: 'x'.repeat(101),
			}),
		];
		const ids = answers.map(answer => String(answer.headers['anvilroad-request-id']));
		ids.push(/anvilroad-request-id: (\S+)/.exec(await sendGarbage(port))?.[1] ?? '');
		const recorded = ids.map(id => {
			const steps = fixture.journal.find(id as RequestId)?.entries ?? [];
			return steps.map(({ step, detail }) => `${step} ${detail.split(':', 1)[0] ?? ''}`);
		});
		expect(recorded.map(steps => [steps[0], steps.at(-1)])).toEqual([
			['received GET /nowhere', 'ended not-run; unknown-route'],
			['received GET /v1/entries?service=none', 'ended not-run; unknown-service'],
			['received GET /v1/services/none/x', 'ended not-run; unknown-service'],
			['received POST /v1/services/bookings/pay', 'ended not-run; body-too-large'],
			['received a malformed HTTP request', 'ended not-run; malformed-header'],
		]);
		await Promise.all(answers.map(async answer => answer.body.dump()));
	});

	// Many callers are refused at once in an overload. If each refusal closed its connection, all callers would
	// reconnect, which costs the overloaded entry more than the refusals.
	it('keeps its connection open unless a body is left unread', async () => {
		const { url, agent } = await startServer(createHandlerFixture());
		const options = { dispatcher: agent };
		const empty = [
			await request(`${url}/nowhere`, options),
			await request(`${url}/nowhere`, { ...options, method: 'POST' }),
		];
		const upload = await request(`${url}/nowhere`, { ...options, method: 'POST', body: 'unread' });
		const connections = [...empty, upload].map(answer => answer.headers.connection);
		expect(connections).toEqual(['keep-alive', 'keep-alive', 'close']);
		await Promise.all([...empty, upload].map(async answer => answer.body.dump()));
	});
});

describe('many new connections at once', () => {
	const callerCount = 12;
	const requestText =
		'POST /v1/services/bookings/run HTTP/1.1\r\nhost: entry\r\n' +
		'anvilroad-organisation: harbour-hotel\r\ncontent-length: 4\r\n\r\nwork';

	async function openCallers(port: number, afterSend: (socket: Socket) => void): Promise<void> {
		const sockets = Array.from({ length: callerCount }, () => connect(port, '127.0.0.1'));
		for (const socket of sockets) {
			owned.add(toDisposable(() => socket.destroy()));
			socket.write(requestText, () => {
				afterSend(socket);
			});
		}
		await Promise.all(sockets.map(async socket => once(socket, 'connect')));
	}

	async function waitForTurns(turns: number): Promise<void> {
		for (let turn = 0; turn < turns; turn++) {
			await new Promise(resolve => setImmediate(resolve));
		}
	}

	// Guards against connections that wait in the kernel's accept queue while requests of earlier ones are started.
	it('are accepted before their requests are started', async () => {
		const fixture = createHandlerFixture(RepeatRule.Idempotent);
		const { port } = await startServer(fixture);
		let accepted = 0;
		const acceptedAtStart: number[] = [];
		const countAccepted = (): void => {
			accepted++;
		};
		const { accept } = fixture.handler;
		fixture.handler.accept = (...args) => {
			acceptedAtStart.push(accepted);
			accept.apply(fixture.handler, args);
		};
		subscribe('net.server.socket', countAccepted);
		await openCallers(port, () => undefined);
		await waitForTurns(200);
		unsubscribe('net.server.socket', countAccepted);
		expect(acceptedAtStart).toEqual(Array.from({ length: callerCount }, () => callerCount));
	});

	// Guards against sending requests to a target after their callers have disconnected.
	it('are not served once their callers have disconnected', async () => {
		const fixture = createHandlerFixture(RepeatRule.Idempotent);
		const { port } = await startServer(fixture);
		await openCallers(port, socket => {
			socket.destroy();
		});
		await waitForTurns(200);
		expect(fixture.flow.attempts.length).toBeLessThanOrEqual(1);
	});
});

describe('a caller that closes its connection', () => {
	// Guards against a target that goes on until the next turn of a slow event loop after the close has been read.
	it('has its running request cancelled in the turn that reads the close', async () => {
		const fixture = createHandlerFixture(RepeatRule.Idempotent);
		const { port } = await startServer(fixture);
		const accepted: Socket[] = [];
		const addAccepted = (message: unknown): void => {
			accepted.push((message as { socket: Socket }).socket);
		};
		subscribe('net.server.socket', addAccepted);
		const caller = connect(port, '127.0.0.1');
		owned.add(toDisposable(() => caller.destroy()));
		caller.write(
			'POST /v1/services/bookings/run HTTP/1.1\r\nhost: entry\r\n' +
				'anvilroad-organisation: harbour-hotel\r\ncontent-length: 4\r\n\r\nwork',
		);
		while (fixture.flow.attempts.length === 0) {
			await new Promise(resolve => setImmediate(resolve));
		}
		unsubscribe('net.server.socket', addAccepted);
		const attempt = fixture.flow.attempts[0]!;
		attempt.observer.noteHandedOver();
		const closeRead = once(accepted[0]!, 'end').then(async () => new Promise(setImmediate));
		caller.end();
		await closeRead;
		expect(attempt.cancelled).toBeDefined();
	});
});

describe('a request that is read by an entry that is two seconds behind', () => {
	// Guards against answers and runs long after the caller's deadline, which would be counted from the late reading.
	it('keeps the deadline of its caller', async () => {
		const fixture = createHandlerFixture(RepeatRule.Idempotent);
		const { timers } = fixture.flow;
		const loopLag = new LoopLagGate(new ImmediateTurnScheduler(), timers);
		const { url, agent } = await startServer(fixture, loopLag);
		const sentMs = timers.getNow();
		const timeLimitMs = 5_000;
		let deadlineMs = Number.POSITIVE_INFINITY;
		fixture.handler.accept = (call, sink) => {
			({ deadlineMs } = call);
			sink.end(AnswerEnd.Certain);
		};
		timers.advanceWithoutTimers(2_000);
		const answer = await request(`${url}/v1/services/bookings/run`, {
			dispatcher: agent,
			method: 'POST',
			headers: { 'anvilroad-organisation': 'harbour-hotel', 'anvilroad-deadline-ms': String(timeLimitMs) },
			body: 'work',
		});
		await answer.body.dump();
		// An answer may come half a second after the deadline.
		expect(deadlineMs).toBeLessThanOrEqual(sentMs + timeLimitMs + 500);
		expect(deadlineMs).toBeGreaterThanOrEqual(sentMs + timeLimitMs);
	});
});

describe('connections that wait for an entry that is two seconds behind', () => {
	// Guards against deadlines that are counted from a late reading for all but the first connection, since the runtime
	// accepts one in a turn.
	it('all keep the deadlines of their callers', async () => {
		const fixture = createHandlerFixture(RepeatRule.Idempotent);
		const { timers } = fixture.flow;
		const { port } = await startServer(fixture, new LoopLagGate(new ImmediateTurnScheduler(), timers));
		const connections = 20;
		const deadlines: number[] = [];
		fixture.handler.accept = (call, sink) => {
			deadlines.push(call.deadlineMs);
			sink.end(AnswerEnd.Certain);
		};
		const sentMs = timers.getNow();
		for (let index = 0; index < connections; index++) {
			const caller = connect(port, '127.0.0.1');
			owned.add(toDisposable(() => caller.destroy()));
			caller.write(
				'POST /v1/services/bookings/run HTTP/1.1\r\nhost: entry\r\nanvilroad-deadline-ms: 5000\r\n' +
					'anvilroad-organisation: harbour-hotel\r\ncontent-length: 4\r\n\r\nwork',
			);
		}
		timers.advanceWithoutTimers(2_000);
		timers.advance(0);
		while (deadlines.length < connections) {
			await new Promise(resolve => setImmediate(resolve));
		}
		expect(deadlines.filter(deadlineMs => deadlineMs > sentMs + 5_500)).toEqual([]);
	});
});

describe('a caller that does not finish its body', () => {
	// Guards against callers without any answer at their deadline, up to the two minutes that an upload may take.
	it('is refused as not run at its deadline', async () => {
		const fixture = createHandlerFixture(RepeatRule.Idempotent);
		const { port } = await startServer(fixture);
		let plannedHeads = 0;
		const { plan } = fixture.handler;
		fixture.handler.plan = head => {
			plannedHeads++;
			return plan.call(fixture.handler, head);
		};
		const caller = connect(port, '127.0.0.1');
		owned.add(toDisposable(() => caller.destroy()));
		caller.write(
			'POST /v1/services/bookings/run HTTP/1.1\r\nhost: entry\r\nanvilroad-deadline-ms: 1000\r\n' +
				'anvilroad-organisation: harbour-hotel\r\ncontent-length: 4\r\n\r\nwo',
		);
		while (plannedHeads === 0) {
			await new Promise(resolve => setImmediate(resolve));
		}
		await new Promise(resolve => setImmediate(resolve));
		const answered = once(caller, 'data');
		fixture.flow.timers.advance(1_000);
		const [answer] = (await answered) as [Buffer];
		expect(answer.toString()).toContain('"error":"deadline-unreachable","outcome":"not-run"');
		expect(fixture.heldBytes.getTotal()).toBe(0);
		expect(fixture.flow.attempts).toEqual([]);
	});
});
