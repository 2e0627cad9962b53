/**
 * Sends requests with and without valid keys to a caller server, with the real call handler behind it.
 */

import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { DisposableStore, toDisposable } from '../../../../base/common/lifecycle';
import { SeededRandom } from '../../../../base/common/random';
import { checkManifest, RepeatRule } from '../../../../core/manifest/common/manifest';
import type { RequestId } from '../../../../core/ids/common/ids';
import { NativeCallerDialect } from '../../../common/dialect/nativeCallerDialect';
import { noLoopLag } from '../../../common/intake/loopLagGate';
import { RequestIntake } from '../../../common/intake/requestIntake';
import type { IKeyDigests } from '../../../common/keys/keyDigests';
import { ImmediateTurnScheduler } from '../../immediateTurnScheduler';
import { computeDigestOf, createKeyDigests } from '../../keys/test/keyDigestFixtures';
import { beginAnswer } from '../../requests/test/flowFixtures';
import type { HandlerFixture } from '../../test/callHandlerFixtures';
import { createHandlerFixture } from '../../test/callHandlerFixtures';
import { CallerServer } from '../callerServer';

const key = 'sk-hotel-Zq81';
/** More turns of the event loop than a request on loopback takes. */
const maxTurns = 20_000;
const owned = new DisposableStore();

afterAll(() => {
	owned.dispose();
});

interface Fixture {
	readonly handler: HandlerFixture;
	readonly intake: RequestIntake;
	readonly digests: IKeyDigests;
	/** Sends the head of a POST with the given lines and a declared body of four bytes. */
	send(lines: readonly string[], body: string): Promise<Socket>;
}

async function startFixture(): Promise<Fixture> {
	const manifest = checkManifest({
		regions: [{ name: 'kingston', zones: ['kingston-a'] }],
		organisations: [{ name: 'harbour-hotel', home: 'kingston', keys: [computeDigestOf(key)] }],
		requiresKeys: true,
		services: [{ name: 'bookings', kind: 'plain', residency: 'home', repeat: 'idempotent' }],
	})._unsafeUnwrap();
	const digests = createKeyDigests();
	const handler = createHandlerFixture(RepeatRule.Idempotent, 1_000, undefined, manifest, digests, 2);
	const { timers } = handler.flow;
	const intake = new RequestIntake(
		new ImmediateTurnScheduler(),
		timers,
		new SeededRandom(1),
		() => undefined,
	);
	const server = new CallerServer(
		handler.handler,
		new NativeCallerDialect(digests),
		handler.heldBytes,
		{ maxHeadBytes: 4_096, maxBodyBytes: 100 },
		intake,
		timers,
		noLoopLag,
	);
	const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
	owned.add(toDisposable(() => void server.close()));
	const send = async (lines: readonly string[], body: string): Promise<Socket> => {
		const socket = connect(port, '127.0.0.1');
		owned.add(toDisposable(() => socket.destroy()));
		await once(socket, 'connect');
		const head = ['POST /v1/services/bookings/run HTTP/1.1', 'Host: entry', 'Content-Length: 4', ...lines];
		socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
		return socket;
	};
	return { handler, intake, digests, send };
}

async function readAnswer(socket: Socket): Promise<string> {
	const [chunk] = (await once(socket, 'data')) as [Buffer];
	return chunk.toString();
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
	for (let turn = 0; turn < maxTurns && !isTrue(); turn++) {
		await new Promise(resolve => setImmediate(resolve));
	}
}

describe('a request with an unusable key', () => {
	// Guards against reading the bodies of callers that have no key. They could fill the memory of the entry.
	it.each([
		['no key', []],
		['an unknown key', ['Authorization: Bearer sk-unknown']],
		['the same header twice', [`Authorization: Bearer ${key}`, `authorization: Bearer ${key}`]],
		['a header folded over two lines', [`Authorization: Bearer`, ` ${key}`]],
		['an expectation to continue', ['Expect: 100-continue']],
	])('is answered with 401 before its body has been sent: %s', async (_, lines) => {
		const { handler, send } = await startFixture();
		const reserve = jest.spyOn(handler.heldBytes, 'reserve');
		const answer = await readAnswer(await send(lines, ''));
		expect(answer).toMatch(/^HTTP\/1\.1 (401 |400 malformed-header)/);
		if (!lines.some(line => line.startsWith(' '))) {
			expect(answer).toMatch(/^HTTP\/1\.1 401 /);
			expect(answer).toMatch(/^www-authenticate: Bearer\r$/im);
		}
		expect(reserve).not.toHaveBeenCalled();
		expect(handler.flow.attempts).toEqual([]);
	});

	// Guards against keys in the journal, which operators read, and in answers, which callers log.
	it('leaves no trace of the key in the answer or the journal', async () => {
		const { handler, send } = await startFixture();
		const answer = await readAnswer(await send(['Authorization: Bearer sk-unknown'], 'work'));
		const id = /anvilroad-request-id: (\S+)/i.exec(answer)?.[1] ?? '';
		const record = JSON.stringify(handler.journal.find(id as RequestId));
		expect(record).toContain('key-unknown');
		expect([answer, record].join()).not.toContain('sk-unknown');
	});
});

describe('a request with a valid key', () => {
	it.each(['Authorization', 'AUTHORIZATION', 'aUthorization'])(
		'is served without the header %s, and with the name of its organisation',
		async name => {
			const { handler, send } = await startFixture();
			await send([`${name}: bearer   ${key}  `], 'work');
			await waitUntil(() => handler.flow.attempts.length > 0);
			const { lines } = handler.flow.attempts[0]!.request;
			expect(lines).toContainEqual({ name: 'anvilroad-organisation', value: 'harbour-hotel' });
			expect(JSON.stringify(lines).toLowerCase()).not.toContain('authorization');
			expect(JSON.stringify(lines)).not.toContain(key);
		},
	);

	// Guards against a target that gets the key on a retry only.
	it('is sent in the same way at a retry', async () => {
		const { handler, send } = await startFixture();
		await send([`Authorization: Bearer ${key}`], 'work');
		await waitUntil(() => handler.flow.attempts.length > 0);
		handler.flow.attempts[0]!.observer.noteFailed(new Error('connect refused'));
		handler.flow.timers.advance(2_000);
		await waitUntil(() => handler.flow.attempts.length > 1);
		const { lines } = handler.flow.attempts[1]!.request;
		expect(lines).toContainEqual({ name: 'anvilroad-organisation', value: 'harbour-hotel' });
		expect(JSON.stringify(lines)).not.toContain(key);
	});
});

describe('a flood of unknown keys', () => {
	/** Counts the steps that one request takes, each of which costs time or memory. */
	async function countSteps(fixture: Fixture, line: string): Promise<Record<string, number>> {
		const { handler, intake, digests, send } = fixture;
		const { flow, heldBytes } = handler;
		const steps = {
			hash: jest.spyOn(digests, 'computeDigest'),
			plan: jest.spyOn(handler.handler, 'plan'),
			readBody: jest.spyOn(heldBytes, 'reserve'),
			admit: jest.spyOn(intake, 'admit'),
			accept: jest.spyOn(handler.handler, 'accept'),
			submit: jest.spyOn(flow.runner, 'submit'),
			record: jest.spyOn(handler.journal, 'addStep'),
		};
		const before = flow.attempts.length;
		const socket = await send([line], 'work');
		const answer = readAnswer(socket);
		if (line.endsWith(key)) {
			await waitUntil(() => flow.attempts.length > before);
			flow.attempts[before]!.observer.noteHandedOver();
			beginAnswer(flow.attempts[before]!, 'done', { lines: [{ name: 'content-length', value: '4' }] });
			flow.attempts[before]!.observer.noteCompleted();
		}
		await answer;
		const counts = Object.entries(steps).map(([name, spy]) => [name, spy.mock.calls.length] as const);
		jest.restoreAllMocks();
		return { ...Object.fromEntries(counts), targets: flow.attempts.length - before };
	}

	// Guards against an entry whose callers are served later, because refusing requests with unknown keys takes as much
	// work as serving theirs.
	it('takes fewer steps for each request than one that is served, and none for its body or a target', async () => {
		const fixture = await startFixture();
		const served = await countSteps(fixture, `Authorization: Bearer ${key}`);
		const refused = await countSteps(fixture, 'Authorization: Bearer sk-unknown');
		expect(refused).toEqual({
			hash: 1,
			plan: 0,
			readBody: 0,
			admit: 0,
			accept: 0,
			submit: 0,
			record: 3,
			targets: 0,
		});
		expect(served).toMatchObject({ hash: 1, plan: 1, admit: 1, accept: 1, submit: 1, targets: 1 });
		expect(served.readBody).toBeGreaterThan(0);
		for (const [name, count] of Object.entries(refused)) {
			expect({ name, isMore: count > (served[name] ?? 0) }).toEqual({ name, isMore: false });
		}
	});
});
