import fc from 'fast-check';
import { subscribeTo } from '../../../base/common/channel';
import type { IAuditTrail } from '../../audit/common/auditTrail';
import type { BootId, ManifestVersion, TargetId } from '../../ids/common/ids';
import type { ManifestTarget } from '../../manifest/common/manifest';
import { TargetIntent } from '../../manifest/common/manifest';
import { LeavingReason } from '../common/leavingReasons';
import type { ListedTarget } from '../common/targetLifecycle';
import { TargetLifecycle, TargetState } from '../common/targetLifecycle';
import { TargetLifecycles } from '../common/targetLifecycles';

const { Live, Leaving } = TargetIntent;
const [v1, v2] = [1, 2] as [ManifestVersion, ManifestVersion];

function createListed(boot: number, isLeaving = false): ListedTarget {
	return { isLeaving, boot: `b${boot}` as BootId };
}

function createLifecycle(Lifecycle: typeof TargetLifecycle = TargetLifecycle): TargetLifecycle {
	const lifecycle = new Lifecycle(() => undefined);
	lifecycle.noteManifest(Live, v1, 0);
	lifecycle.noteListed(createListed(0), 0);
	return lifecycle;
}

const events = [
	'leave',
	'start',
	'list',
	'oldList',
	'manifestLive',
	'manifestLeaving',
	'peer',
	'ask',
] as const;
const steps = fc.array(
	fc.record({ event: fc.constantFrom(...events), waitMs: fc.constantFrom(0, 1_000, 20_000) }),
	{ maxLength: 30 },
);

/** The actual state of a target, together with the lifecycle that an entry derives from late and incomplete reports. */
class TargetModel {
	nowMs = 0;
	private isLeavingReported = false;
	private isLeaving = false;
	private bootCount = 0;
	private version = 1;
	private readonly lists = [createListed(0)];

	constructor(readonly lifecycle: TargetLifecycle) {}

	applyEvent(event: (typeof events)[number]): void {
		const actions: Record<typeof event, () => unknown> = {
			leave: () => (this.isLeaving = true),
			start: () => {
				this.isLeaving = this.isLeavingReported = false;
				this.bootCount++;
			},
			list: () => this.lifecycle.noteListed(createListed(this.bootCount, this.isLeaving), this.nowMs),
			oldList: () => this.lifecycle.noteListed(this.lists[this.lists.length >> 1], this.nowMs),
			manifestLive: () => this.lifecycle.noteManifest(Live, ++this.version as ManifestVersion, this.nowMs),
			manifestLeaving: () =>
				this.lifecycle.noteManifest(Leaving, ++this.version as ManifestVersion, this.nowMs),
			peer: () => this.isLeaving && this.lifecycle.notePeerReport(this.nowMs),
			ask: () => this.sendRequestOrProbe(),
		};
		actions[event]();
		this.isLeavingReported ||= this.isLeaving && ['list', 'manifestLeaving', 'peer'].includes(event);
		this.lists.push(createListed(this.bootCount, this.isLeaving));
	}

	/** Sends a request if the lifecycle allows it, and a probe if one is due. */
	sendRequestOrProbe(): TargetState | undefined {
		const isProbeDue = this.lifecycle.startProbe(this.nowMs);
		if (!this.isLeaving) {
			return isProbeDue ? this.lifecycle.noteProbeAnswered(false, this.nowMs) : undefined;
		}
		const isAsked = isProbeDue || this.lifecycle.isUsable();
		this.isLeavingReported ||= isAsked;
		return isAsked ? this.lifecycle.noteSelfReport(this.nowMs) : undefined;
	}

	isViolated(): boolean {
		return this.lifecycle.isUsable() && this.isLeaving && this.isLeavingReported;
	}
}

/** Returns the violation of the property that fast-check finds, or undefined. */
function findViolation(Lifecycle: typeof TargetLifecycle): string | undefined {
	const property = fc.property(steps, all => {
		const model = new TargetModel(createLifecycle(Lifecycle));
		for (const { event, waitMs } of all) {
			model.nowMs += waitMs;
			model.applyEvent(event);
			if (model.isViolated()) {
				throw new Error('leaving target is usable');
			}
		}
		(['start', 'list', 'manifestLive'] as const).forEach(event => {
			model.applyEvent(event);
		});
		for (let round = 0; round < 100; round++) {
			model.nowMs += 10_000;
			model.sendRequestOrProbe();
		}
		if (!model.lifecycle.isUsable()) {
			throw new Error('live target is not usable');
		}
	});
	const { failed, errorInstance } = fc.check(property, { seed: 7, numRuns: 2_000 });
	return failed ? String(errorInstance) : undefined;
}

/** Faulty implementation that uses a target whenever the list contains it as live. */
class ListTrustingLifecycle extends TargetLifecycle {
	private isListedLive = false;

	override noteListed(listed: ListedTarget | undefined, nowMs: number): TargetState {
		this.isListedLive = listed?.isLeaving === false;
		return super.noteListed(listed, nowMs);
	}

	override isUsable(): boolean {
		return this.isListedLive || super.isUsable();
	}
}

/** Faulty implementation that uses a target again without a probe. */
class ProbelessLifecycle extends TargetLifecycle {
	override isUsable(): boolean {
		return super.isUsable() || this.getState() === TargetState.Suspect;
	}
}

/** Faulty implementation that never probes a target. */
class NeverProbingLifecycle extends TargetLifecycle {
	override startProbe(): boolean {
		return false;
	}
}

describe('TargetLifecycle', () => {
	// Guards against two failures when reports arrive in any order and the list lags: requests to a leaving target end
	// with a connection reset when it stops, and a target that returned but receives none overloads the other targets.
	it('sends no requests to a target reported as leaving, and uses it again after its return', () => {
		expect(findViolation(TargetLifecycle)).toBeUndefined();
	});

	it.each([
		[ListTrustingLifecycle, 'leaving target is usable'],
		[ProbelessLifecycle, 'leaving target is usable'],
		[NeverProbingLifecycle, 'live target is not usable'],
	])('fails the property as %p', (Lifecycle, violation) => {
		expect(findViolation(Lifecycle)).toContain(`Error: ${violation}`);
	});

	const { InstanceList, Manifest, SelfReport, PeerReport, ConnectionClose } = LeavingReason;
	const addReason: Readonly<Record<LeavingReason, (lifecycle: TargetLifecycle) => unknown>> = {
		[InstanceList]: lifecycle => lifecycle.noteListed(createListed(0, true), 0),
		[Manifest]: lifecycle => lifecycle.noteManifest(Leaving, v2, 0),
		[SelfReport]: lifecycle => lifecycle.noteSelfReport(0),
		[PeerReport]: lifecycle => lifecycle.notePeerReport(0),
		[ConnectionClose]: lifecycle => {
			lifecycle.noteAnswer(false, 0);
			lifecycle.noteAnswer(true, 0);
		},
	};

	// Guards against using a leaving target if only one of the reasons is reported and the list still contains `live`.
	it.each(Object.values(LeavingReason))(
		'is leaving at once for the reason %s alone, even if an outdated list contains live',
		reason => {
			const lifecycle = createLifecycle();
			addReason[reason](lifecycle);
			lifecycle.noteListed(createListed(0), 1);
			expect([lifecycle.getState(), lifecycle.startProbe(1)]).toEqual([TargetState.Leaving, false]);
		},
	);

	// Guards against removing a reason because of unrelated information: the target would be probed and could be used
	// although it is about to be stopped.
	it.each<[string, LeavingReason, boolean, (lifecycle: TargetLifecycle) => unknown]>([
		['the same manifest again', SelfReport, false, lifecycle => lifecycle.noteManifest(Live, v1, 1)],
		['a newer manifest', SelfReport, true, lifecycle => lifecycle.noteManifest(Live, v2, 1)],
		['a newer manifest', InstanceList, false, lifecycle => lifecycle.noteManifest(Live, v2, 1)],
		['another boot on the list', InstanceList, true, lifecycle => lifecycle.noteListed(createListed(1), 1)],
		['another boot on the list', Manifest, false, lifecycle => lifecycle.noteListed(createListed(1), 1)],
		[
			'the list after a gap',
			InstanceList,
			true,
			lifecycle => {
				lifecycle.noteListed(undefined, 1);
				lifecycle.noteListed(createListed(0), 1);
			},
		],
	])('%s removes the reason %s: %p', (_, reason, isProbed, note) => {
		const lifecycle = createLifecycle();
		addReason[reason](lifecycle);
		note(lifecycle);
		expect(lifecycle.startProbe(1)).toBe(isProbed);
	});

	// Guards against a service without usable targets because its servers are configured to close every connection, from
	// the start or after a change.
	it('does not treat a server that always closes connections as leaving', () => {
		const lifecycle = createLifecycle();
		lifecycle.noteAnswer(true, 0);
		expect(lifecycle.isUsable()).toBe(true);
		addReason[ConnectionClose](lifecycle);
		for (let nowMs = 1_000; nowMs < 600_000; nowMs += 1_000) {
			if (lifecycle.startProbe(nowMs)) {
				lifecycle.noteProbeAnswered(true, nowMs);
			}
			expect(lifecycle.isUsable()).toBe(false);
		}
		expect(lifecycle.startProbe(900_000)).toBe(true);
		lifecycle.noteProbeAnswered(true, 900_000);
		expect(lifecycle.isUsable()).toBe(true);
	});

	it('probes an unreachable target at increasing intervals until it answers', () => {
		const lifecycle = createLifecycle();
		[0, 1].forEach(nowMs => {
			lifecycle.noteFailure(nowMs);
		});
		lifecycle.noteAnswer(false, 2);
		[3, 4, 5].forEach(nowMs => {
			expect(lifecycle.isUsable()).toBe(true);
			lifecycle.noteFailure(nowMs);
		});
		expect([lifecycle.getState(), lifecycle.getNextDueMs()]).toEqual([TargetState.Suspect, 505]);
		expect([504, 505, 505].map(nowMs => lifecycle.startProbe(nowMs))).toEqual([false, true, false]);
		lifecycle.noteProbeFailed(600);
		expect([lifecycle.isUsable(), lifecycle.getNextDueMs()]).toEqual([false, 1_600]);
		expect(lifecycle.startProbe(1_600)).toBe(true);
		lifecycle.noteProbeAnswered(true, 1_700);
		expect(lifecycle.isUsable()).toBe(true);
	});

	it('doubles the expiry time each time a target leaves soon after its return', () => {
		const lifecycle = createLifecycle();
		const expiryTimes = [0, 1, 2, 3, 4].map(() => {
			const leftMs = lifecycle.getNextDueMs() ?? 0;
			lifecycle.noteSelfReport(leftMs);
			const dueMs = lifecycle.getNextDueMs()!;
			expect(lifecycle.startProbe(dueMs)).toBe(true);
			return dueMs - leftMs;
		});
		expect(expiryTimes).toEqual([5_000, 10_000, 20_000, 30_000, 30_000]);
	});
});

describe('TargetLifecycles', () => {
	it('follows the manifest, emits changes and lists only self-reported targets as leaving', () => {
		const records: unknown[] = [];
		const trail = { record: (change: unknown) => records.push(change) } as unknown as IAuditTrail;
		const lifecycles = new TargetLifecycles(trail);
		const changed: string[] = [];
		subscribeTo(lifecycles.onDidChange, id => changed.push(id));
		const [first, second] = ['t1', 't2'] as [TargetId, TargetId];
		const targets = [first, second].map(id => ({ id, intent: Live }) as ManifestTarget);
		lifecycles.setManifest(targets, v1, 0);
		lifecycles.findLifecycle(first)?.noteSelfReport(0);
		lifecycles.noteLeavingReportedByPeer([second], 0);
		[false, true].forEach(isClosing => lifecycles.findLifecycle(second)?.noteAnswer(isClosing, 0));
		expect(lifecycles.listSelfReportedLeaving()).toEqual([first]);
		expect([lifecycles.startDueProbes(4_999), lifecycles.startDueProbes(5_000)]).toEqual([
			[],
			[first, second],
		]);
		lifecycles.setManifest(targets.slice(1), v2, 5_000);
		expect([lifecycles.findLifecycle(first), lifecycles.isUsable(second)]).toEqual([undefined, false]);
		expect(changed).toEqual(['t1', 't2', 't1', 't1', 't2', 't2', 't1']);
		expect(records[0]).toMatchObject({ subject: 't1', from: 'live', to: 'leaving', sign: 'own word' });
	});
});
