import { ManualTimerService } from '../../base/common/manualTimerService';
import { SeededRandom } from '../../base/common/random';
import { headers } from '../../core/headers/common/headers';
import type { CallAnswer, CallRequest, ICaller } from '../common/caller';
import type { DeploymentAddresses, EntryAddresses, TargetAddresses } from '../common/deploymentAddresses';
import { createInferenceBody, isCompleteStream } from '../common/engineAnswers';
import { organisations, regions, services } from '../common/exampleNames';
import { renderResults } from '../common/report';
import type { IScenario, DeploymentContext } from '../common/scenario';
import { createPaymentScenarios } from '../common/scenarios/paymentScenarios';
import { createSuccessScenarios } from '../common/scenarios/successScenarios';
import { StandinAdminClient } from '../common/standinAdminClient';

type Reply = (request: CallRequest) => Partial<CallAnswer>;

function createAnswer(body: Uint8Array | string, more: Partial<CallAnswer> = {}): CallAnswer {
	return {
		status: 200,
		headers: { [headers.outcome]: 'answered' },
		body: Buffer.from(body),
		fault: '',
		tookMs: 1,
		...more,
	};
}

function createEntry(region: string, index: number): EntryAddresses {
	const instance = `entry-${region}-${index}`;
	const url = `http://${instance}`;
	return { instance, region, zone: `${region}-a`, callers: url, peers: url, operators: url, pid: 1 };
}

function createTarget(region: string): TargetAddresses {
	const id = `bookings-${region}`;
	const url = `http://${id}`;
	return {
		id,
		service: services.bookings,
		region,
		zone: `${region}-a`,
		url,
		admin: `http://admin-${region}`,
	};
}

function createContext(reply: Reply): DeploymentContext {
	const caller: ICaller = {
		send: request => Promise.resolve({ ...createAnswer(''), ...reply(request) }),
		cancelAfter: () => Promise.resolve(0),
		cancelUpload: () => Promise.resolve(),
	};
	const addresses: DeploymentAddresses = {
		ready: true,
		entries: Object.values(regions).flatMap(region => [1, 2, 3].map(index => createEntry(region, index))),
		targets: Object.values(regions).map(createTarget),
		links: [],
		standins: [],
		platform: '',
		platformAdmin: '',
	};
	return {
		addresses,
		manifest: {
			regions: [],
			links: [],
			organisations: [],
			requiresKeys: false,
			models: [],
			services: [],
			targets: [],
			routes: [],
		},
		caller,
		admin: new StandinAdminClient(caller),
		timers: new ManualTimerService(),
		random: new SeededRandom(1),
		putManifest: () => Promise.resolve(),
	};
}

function createBank(runsOfCall: number): Reply {
	return ({ url }) => {
		if (url.includes('/v1/entries')) {
			return createAnswer(
				JSON.stringify({ service: services.bookings, validForMs: 1, entries: [], tickets: ['a'] }),
			);
		}
		if (url.endsWith('/v1/runs')) {
			const runs = Array.from({ length: runsOfCall }, () => ({}));
			return createAnswer(JSON.stringify({ services: [{ calls: [{ callId: 'payment-1', runs }] }] }));
		}
		return createAnswer('paid');
	};
}

function findScenario(scenarios: readonly IScenario[], request: string): IScenario {
	return scenarios.find(scenario => scenario.request.includes(request))!;
}

describe('demo scenarios', () => {
	// A caller that received no answer sends its payment again, and an entry runs it a second time. The answer
	// is the expected one, but the customer is charged twice. Only the run count of the service shows this.
	it('fail when a payment ran twice, although the answer is as expected', async () => {
		const payOnce = findScenario(createPaymentScenarios(), 'a payment with a ticket');
		expect((await payOnce.run(createContext(createBank(1)))).isRight).toBe(true);
		expect((await payOnce.run(createContext(createBank(2)))).isRight).toBe(false);
	});

	// One byte of a large body is lost or changed in transit. Status and outcome are those of a complete answer.
	it('fail when a single byte of a large body changed', async () => {
		const echo = findScenario(createSuccessScenarios(), 'an echo of 1 MiB');
		const sendBack: Reply = ({ body }) => createAnswer(body ?? '');
		const change: Reply = ({ body }) => {
			const changed = Buffer.from(body ?? '');
			changed[700_000] = 255 - (changed[700_000] ?? 0);
			return createAnswer(changed);
		};
		expect((await echo.run(createContext(sendBack))).isRight).toBe(true);
		expect((await echo.run(createContext(change))).isRight).toBe(false);
	});

	it('send the organisation and the request class', async () => {
		const seen: CallRequest[] = [];
		await findScenario(createSuccessScenarios(), 'urgent').run(
			createContext(request => {
				seen.push(request);
				return {};
			}),
		);
		expect(seen[0]?.headers).toMatchObject({
			[headers.organisation]: organisations.montego,
			[headers.requestClass]: 'urgent',
		});
		expect(seen[0]?.body).toBe(createInferenceBody('Which gate is open at the bay offices?', 8, false));
	});
});

describe('isCompleteStream', () => {
	const events = [0, 1].map(token => `data: {"token":${token},"text":" t${token}"}\n\n`);

	// A stream breaks off between two events, so each received event is complete. Without a check of the end
	// marker, the incomplete stream would pass as a complete answer.
	it('rejects incomplete streams', () => {
		const end = 'data: [DONE]\n\n';
		expect(isCompleteStream(createAnswer(events.join('') + end), 2)).toBe(true);
		expect(isCompleteStream(createAnswer(events.join('')), 2)).toBe(false);
		expect(isCompleteStream(createAnswer((events[0] ?? '') + end), 2)).toBe(false);
		expect(isCompleteStream(createAnswer(events.join('') + end, { fault: 'reset' }), 2)).toBe(false);
	});
});

describe('renderResults', () => {
	it('marks failed scenarios and prints their expected result', () => {
		const scenario = { caller: 'a', request: 'b', expects: 'c' };
		const results = [true, false].map(isRight => ({ scenario, observation: { isRight, received: 'd' } }));
		const renderTable = (_: readonly string[], rows: readonly (readonly string[])[]): string =>
			rows.map(row => row.join(' ')).join('\n');
		expect(renderResults(results, renderTable)).toBe('passed a b d\nFAILED a b d\nFAILED: a, b: expected c');
	});
});
