import { SeededRandom } from '../../base/common/random';
import { Invariant } from '../common/invariants';
import {
	checkLimit,
	checkTrueRefusals,
	checkWithdrawnKeys,
	computeMaxRunsPerWindow,
} from '../common/organisationChecks';
import type { CampaignRecords } from '../common/invariants';
import { CallKind, Phase, SendOutcome } from '../common/sendRecord';
import { createRun, createSend } from './proveFixtures';

const refused = { phase: Phase.Faults, told: SendOutcome.NotRun, status: 401, errorKind: 'key-unknown' };

/** Creates records of an overloading organisation, of which `ranPerSecond` requests run for 20 s, at random times. */
function createOverload(ranPerSecond: number): CampaignRecords {
	const random = new SeededRandom(1);
	const durationMs = 20_000;
	const callIds = Array.from({ length: (ranPerSecond * durationMs) / 1_000 }, (_, index) => `call-${index}`);
	const sends = callIds.map(callId =>
		createSend({ callId, kind: CallKind.Overloading, startMs: random.pickBelow(durationMs) }),
	);
	return { sends, runs: callIds.map(callId => createRun({ callId })) };
}

describe('checkWithdrawnKeys', () => {
	// An entry forgets the check before one of its ways to a target. The withdrawn key still works there.
	test('reports a request of a withdrawn key that ran or was answered', () => {
		const answered = createSend({ kind: CallKind.Withdrawn });
		expect(checkWithdrawnKeys({ sends: [answered], runs: [] })).toMatchObject([
			{ invariant: Invariant.WithdrawnKeyNeverRuns },
		]);
		const ran = createSend({ kind: CallKind.Withdrawn, ...refused });
		expect(checkWithdrawnKeys({ sends: [ran], runs: [createRun()] })).toHaveLength(1);
		expect(checkWithdrawnKeys({ sends: [ran], runs: [] })).toEqual([]);
		expect(checkWithdrawnKeys({ sends: [createSend()], runs: [createRun()] })).toEqual([]);
	});
});

describe('checkLimit', () => {
	// Entries that lose their coordinator admit the whole limit each instead of their share of it.
	test('reports a window in which more ran than the bound allows', () => {
		expect(checkLimit(createOverload(30))).toEqual([]);
		expect(checkLimit(createOverload(60))).toMatchObject([{ invariant: Invariant.LimitHolds }]);
	});

	test('counts each window apart, and only what ran', () => {
		const sends = Array.from({ length: 2 * Math.floor(computeMaxRunsPerWindow()) }, (_, index) =>
			createSend({
				callId: `call-${index}`,
				kind: CallKind.Overloading,
				startMs: index % 2 === 0 ? 0 : 8_000,
			}),
		);
		const runs = sends.map(({ callId }) => createRun({ callId }));
		expect(checkLimit({ sends, runs })).toEqual([]);
		const together = sends.map(send => ({ ...send, startMs: 0 }));
		expect(checkLimit({ sends: together, runs })).toHaveLength(1);
		expect(checkLimit({ sends: together, runs: [] })).toEqual([]);
	});
});

describe('checkTrueRefusals', () => {
	// An entry that has lost its manifest, or looks at another organisation's limit, refuses callers that did nothing wrong.
	test('reports refusals of a valid key and of an organisation without a limit', () => {
		const limited = { ...refused, status: 429, errorKind: 'limit-reached' };
		const sends = [createSend(refused), createSend(limited)];
		expect(checkTrueRefusals({ sends, runs: [] }).map(({ invariant }) => invariant)).toEqual([
			Invariant.TrueRefusals,
			Invariant.TrueRefusals,
		]);
		const trueRefusals = [
			createSend({ kind: CallKind.Withdrawn, ...refused }),
			createSend({ kind: CallKind.Overloading, ...limited }),
		];
		expect(checkTrueRefusals({ sends: trueRefusals, runs: [] })).toEqual([]);
	});
});
