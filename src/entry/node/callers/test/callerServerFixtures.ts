/**
 * Test fixtures: a caller server whose requests run at simulated targets, and a caller on a bare socket with a request that
 * has been sent to one.
 */

import type { Socket } from 'node:net';
import { SeededRandom } from '../../../../base/common/random';
import { RepeatRule } from '../../../../core/manifest/common/manifest';
import { NativeCallerDialect } from '../../../common/dialect/nativeCallerDialect';
import { noLoopLag } from '../../../common/intake/loopLagGate';
import { RequestIntake } from '../../../common/intake/requestIntake';
import { ImmediateTurnScheduler } from '../../immediateTurnScheduler';
import { createKeyDigests } from '../../keys/test/keyDigestFixtures';
import type { IAttemptObserver } from '../../targets/targetClient';
import type { HandlerFixture } from '../../test/callHandlerFixtures';
import { createHandlerFixture } from '../../test/callHandlerFixtures';
import { CallerServer } from '../callerServer';
import { openSocket } from './answerEndFixtures';

export function createCallerServer({ handler, heldBytes, flow: { timers } }: HandlerFixture): CallerServer {
	const scheduler = new ImmediateTurnScheduler();
	return new CallerServer(
		handler,
		new NativeCallerDialect(createKeyDigests()),
		heldBytes,
		{ maxHeadBytes: 2_048, maxBodyBytes: 100 },
		new RequestIntake(scheduler, timers, new SeededRandom(1), () => undefined),
		timers,
		noLoopLag,
	);
}

/** A request that its target has got. */
export interface SentRequest {
	readonly server: CallerServer;
	readonly fixture: HandlerFixture;
	/** The connection of the caller. */
	readonly socket: Socket;
	/** Receives the answer of the target. */
	readonly observer: IAttemptObserver;
}

/** @param connection What the caller asks for its connection. */
export async function sendToTarget(version: string, connection = 'keep-alive'): Promise<SentRequest> {
	const fixture = createHandlerFixture(RepeatRule.Idempotent);
	const server = createCallerServer(fixture);
	const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
	const socket = openSocket(port);
	socket.write(
		`POST /v1/services/bookings/run HTTP/${version}\r\nhost: entry\r\nconnection: ${connection}\r\n` +
			'anvilroad-organisation: harbour-hotel\r\ncontent-length: 4\r\n\r\nwork',
	);
	while (fixture.flow.attempts.length === 0) {
		await new Promise(resolve => setImmediate(resolve));
	}
	const { observer } = fixture.flow.attempts[0]!;
	observer.noteHandedOver();
	return { server, fixture, socket, observer };
}
