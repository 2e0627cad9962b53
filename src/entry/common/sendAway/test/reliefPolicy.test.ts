import { SeededRandom } from '../../../../base/common/random';
import type { InstanceId, OrganisationName, RegionName, RequestId } from '../../../../core/ids/common/ids';
import { RequestClass } from '../../../../core/requests/common/requestClass';
import { ReliefPolicy } from '../reliefPolicy';
import type { RemoteOffer, SendAwayQuestion } from '../sendAwayPolicy';

const montego = 'montego' as RegionName;

function createOffer(instance: string, waitMs: number, ageMs = 500): RemoteOffer {
	return {
		instance: instance as InstanceId,
		region: montego,
		room: { waitMs, freeSlots: 4, running: 0, queued: 0 },
		ageMs,
		oneWayMs: 55,
		linkBytesPerMs: 1_000,
	};
}

function createQuestion(waitMs: number, change: Partial<SendAwayQuestion> = {}): SendAwayQuestion {
	return {
		request: {
			id: 'r-1' as RequestId,
			organisation: 'callers' as OrganisationName,
			requestClass: RequestClass.Normal,
			arrivedMs: 0,
			deadlineMs: 5_000,
			prefixKey: undefined,
			bodyBytes: 800,
			isRepeatable: false,
			work: { dueMs: 600, urgency: 0, prompt: undefined, maxAttempts: 1, isResumable: false },
		},
		localRoom: { waitMs, freeSlots: 0, running: 0, queued: 0, unloadedMs: 80 },
		offers: [createOffer('montego-1', 10)],
		isUnservedHere: false,
		...change,
	};
}

function createPolicy(): ReliefPolicy {
	return new ReliefPolicy(new SeededRandom(1));
}

describe('ReliefPolicy', () => {
	it('keeps a request that can be in time here', () => {
		expect(createPolicy().decide(createQuestion(300), 0).sendTo).toBeUndefined();
	});

	// One region is at its peak while the other idles. Kept, the request would be late though it could be in time.
	it('sends a request that would be late here to where it can be in time', () => {
		expect(createPolicy().decide(createQuestion(900), 0).sendTo).toBe('montego-1');
	});

	it('keeps a request that would be late there as well', () => {
		const question = createQuestion(900, { offers: [createOffer('montego-1', 700)] });
		expect(createPolicy().decide(question, 0).sendTo).toBeUndefined();
	});

	// All targets of the region are evacuated. Whatever another region offers is better than a refusal.
	it('sends a request that nothing here may serve, late or not', () => {
		const question = createQuestion(0, { isUnservedHere: true, offers: [createOffer('montego-1', 3_000)] });
		expect(createPolicy().decide(question, 0).sendTo).toBe('montego-1');
	});

	// Two entries offered room a second ago. If nothing were added for what was sent since, a burst would all go
	// to the one that looked emptier.
	it('spreads a burst over what was offered', () => {
		const policy = createPolicy();
		const offers = [createOffer('montego-1', 10), createOffer('montego-2', 20)];
		const sent = Array.from({ length: 12 }, () => policy.decide(createQuestion(900, { offers }), 0).sendTo);
		expect(sent.filter(to => to === 'montego-1').length).toBeGreaterThan(2);
		expect(sent.filter(to => to === 'montego-2').length).toBeGreaterThan(2);
	});

	it('leaves out a peer that could not be reached, for a while', () => {
		const policy = createPolicy();
		const question = createQuestion(900);
		policy.decide(question, 0);
		policy.noteEnd('montego-1' as InstanceId, false, 30, 0, 100);
		expect(policy.decide(question, 200).sendTo).toBeUndefined();
		const work = { ...question.request.work!, dueMs: 2_900 };
		const later = { ...question, request: { ...question.request, work } };
		expect(policy.decide(later, 2_200).sendTo).toBe('montego-1');
	});

	// Fifty long parts, read once in each of three regions, fill three times the memory and are read three times.
	it('sends a long shared part to the region that it belongs to, unless it is held here', () => {
		const owner = { region: montego, isOwn: false, tokens: 13_000 };
		const question = createQuestion(200, { owner });
		expect(createPolicy().decide(question, 0).sendTo).toBe('montego-1');
		const held = { ...question, localRoom: { ...question.localRoom, holdsSharedPart: true } };
		expect(createPolicy().decide(held, 0).sendTo).toBeUndefined();
		const small = createQuestion(200, { owner: { ...owner, tokens: 100 } });
		expect(createPolicy().decide(small, 0).sendTo).toBeUndefined();
	});

	// A region's engines answer many short questions when a long prompt comes that would begin in time there. While
	// it is read all these answers crawl, and callers who had their first words in time wait for the rest.
	it('sends a long prompt to where it delays fewer answers', () => {
		const localRoom = { waitMs: 300, freeSlots: 9, running: 9, queued: 0, unloadedMs: 250, readingMs: 200 };
		const question = createQuestion(300, { request: createPrompted(), localRoom });
		expect(createPolicy().decide(question, 0).sendTo).toBeUndefined();
		const busy = { ...question, localRoom: { ...localRoom, runningPerTarget: 20 } };
		expect(createPolicy().decide(busy, 0).sendTo).toBe('montego-1');
		const offers = [createOffer('montego-1', 10)].map(offer => ({
			...offer,
			room: { ...offer.room, runningPerTarget: 20 },
		}));
		expect(createPolicy().decide({ ...busy, offers }, 0).sendTo).toBeUndefined();
	});
});

function createPrompted(): SendAwayQuestion['request'] {
	const { request } = createQuestion(0);
	const prompt = {
		parts: [{ id: 'own', tokens: 7_000 }],
		promptTokens: 7_000,
		mostOutputTokens: 50,
		hintedOutputTokens: undefined,
	};
	return { ...request, work: { ...request.work!, dueMs: 1_000, prompt } };
}
