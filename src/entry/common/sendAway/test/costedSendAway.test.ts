import { SeededRandom } from '../../../../base/common/random';
import type { InstanceId, RegionName } from '../../../../core/ids/common/ids';
import { defaultSendAwayParameters } from '../../scheduling/policy';
import { createRequest } from '../../scheduling/test/fixtures';
import { SendAwayPolicy } from '../costedSendAway';
import type { RemoteOffer, SendAwayQuestion } from '../sendAwayPolicy';

const megabitBytesPerMs = 125;

function createOffer(more: Partial<RemoteOffer> = {}): RemoteOffer {
	return {
		instance: 'erongo-1' as InstanceId,
		region: 'erongo' as RegionName,
		room: { waitMs: 0, freeSlots: 1_000, running: 0, queued: 0 },
		ageMs: 500,
		oneWayMs: 55,
		linkBytesPerMs: 100 * megabitBytesPerMs,
		...more,
	};
}

function createQuestion(waitMs: number, nowMs: number, offers: readonly RemoteOffer[]): SendAwayQuestion {
	return {
		request: createRequest('r', { arrivedMs: nowMs, deadlineMs: nowMs + 30_000, bodyBytes: 4_000 }),
		localRoom: { waitMs, freeSlots: 0, running: 64, queued: 100 },
		offers,
		isUnservedHere: false,
	};
}

/** Asks a hundred times a second; answers come after a second. Gives the sends in each second. */
function countSends(
	policy: SendAwayPolicy,
	seconds: number,
	createAsked: (nowMs: number, inFlight: number) => SendAwayQuestion,
	isAnswered = true,
): number[] {
	const sends: number[] = [];
	const inFlight: { readonly endMs: number; readonly to: InstanceId }[] = [];
	for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += 10) {
		while (inFlight[0] !== undefined && inFlight[0].endMs <= nowMs) {
			policy.noteEnd(inFlight.shift()!.to, isAnswered, 1_000, 8_000, nowMs);
		}
		const { sendTo } = policy.decide(createAsked(nowMs, inFlight.length), nowMs);
		const second = Math.floor(nowMs / 1_000);
		sends[second] = (sends[second] ?? 0) + (sendTo === undefined ? 0 : 1);
		if (sendTo !== undefined) {
			inFlight.push({ endMs: nowMs + 1_000, to: sendTo });
		}
	}
	return sends;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

describe('SendAwayPolicy', () => {
	it('stays while waiting here costs less than the way, the cold start and the margin', () => {
		const sends = countSends(new SendAwayPolicy(new SeededRandom(1)), 20, nowMs =>
			createQuestion(600, nowMs, [createOffer()]),
		);
		expect(sum(sends)).toBe(0);
	});

	// Offers lag by seconds. Were all requests sent as soon as it pays, the other region would be overrun before
	// its next offer says so, and all would turn back at once.
	it('raises the share slowly and takes it back slowly', () => {
		const figures = { ...defaultSendAwayParameters, firstStep: 10_000 };
		const sends = countSends(new SendAwayPolicy(new SeededRandom(1), figures), 40, nowMs =>
			createQuestion(nowMs < 20_000 ? 5_000 : 0, nowMs, [createOffer()]),
		);
		expect(sends[0]).toBeLessThan(15);
		expect(sends[4]).toBeLessThan(60);
		expect(sends[15]).toBeGreaterThan(90);
		expect(sum(sends.slice(20))).toBe(0);
	});

	// A region of eight slots is offered to several senders at once. If each used all of it, the requests would
	// queue there, and their callers would wait longer than at home. An offer leaves out what runs there for
	// the sender already; taken for all there is, it would leave half of the slots idle.
	it('uses a part of the room, what it uses there already included', () => {
		const mostInFlight: number[] = [];
		const sends = countSends(new SendAwayPolicy(new SeededRandom(1)), 30, (nowMs, inFlight) => {
			mostInFlight.push(inFlight);
			const room = { waitMs: 0, freeSlots: Math.max(0, 8 - inFlight), running: inFlight, queued: 0 };
			return createQuestion(5_000, nowMs, [createOffer({ room, ageMs: 0, oneWayMs: 0 })]);
		});
		expect(Math.max(...mostInFlight)).toBeLessThan(8);
		expect(sum(sends.slice(10)) / 20).toBeGreaterThan(5);
	});

	it('believes no offer that is older than the limit', () => {
		const sends = countSends(new SendAwayPolicy(new SeededRandom(1)), 20, nowMs =>
			createQuestion(5_000, nowMs, [createOffer({ ageMs: 6_000 })]),
		);
		expect(sum(sends)).toBe(0);
	});

	// A thin link carries ten requests a second. Without the cap every request would be put on it, and each
	// would wait for all those before it.
	it('keeps to the bytes that the link carries', () => {
		const bytesPerRequest = 12_000;
		const linkBytesPerMs = (10 * bytesPerRequest) / 1_000;
		const sends = countSends(new SendAwayPolicy(new SeededRandom(1)), 60, nowMs =>
			createQuestion(20_000, nowMs, [createOffer({ linkBytesPerMs })]),
		);
		expect(sum(sends.slice(30)) / 30).toBeLessThanOrEqual(10.5);
		expect(sum(sends.slice(30)) / 30).toBeGreaterThan(8);
	});

	// A region comes back with cold caches while every sender has a backlog. What it is sent must grow in
	// steps, or its first answers take so long that they are late for all.
	it('begins at the first step with a region that was away, and falls back when it fails', () => {
		const policy = new SendAwayPolicy(new SeededRandom(1));
		const sends = countSends(policy, 60, nowMs =>
			createQuestion(5_000, nowMs, nowMs < 20_000 || nowMs > 40_000 ? [createOffer()] : []),
		);
		expect(sends[18]).toBeGreaterThan(50);
		expect(sends[41]).toBeLessThanOrEqual(8);
		const failing = countSends(
			new SendAwayPolicy(new SeededRandom(1)),
			30,
			nowMs => createQuestion(5_000, nowMs, [createOffer()]),
			false,
		);
		expect(Math.max(...failing)).toBeLessThanOrEqual(8);
	});
});
