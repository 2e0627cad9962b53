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

/** A target as it is, beside the life that an entry keeps of it from late and partial signs. */
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
			ask: () => this.ask(),
		};
		actions[event]();
		this.isLeavingReported ||= this.isLeaving && ['list', 'manifestLeaving', 'peer'].includes(event);
		this.lists.push(createListed(this.bootCount, this.isLeaving));
	}

	/** A request where the life allows one, and a probe where it asks for one. */
	ask(): TargetState | undefined {
		const isTrial = this.lifecycle.startProbe(this.nowMs);
		if (!this.isLeaving) {
			return isTrial ? this.lifecycle.noteProbeAnswered(false, this.nowMs) : undefined;
		}
		const isAsked = isTrial || this.lifecycle.isUsable();
		this.isLeavingReported ||= isAsked;
		return isAsked ? this.lifecycle.noteSelfReport(this.nowMs) : undefined;
	}

	isViolated(): boolean {
		return this.lifecycle.isUsable() && this.isLeaving && this.isLeavingReported;
	}
}

/** What the property finds wrong with a life, or undefined where it holds. */
function findViolation(Lifecycle: typeof TargetLifecycle): string | undefined {
	const property = fc.property(steps, all => {
		const model = new TargetModel(createLifecycle(Lifecycle));
		for (const { event, waitMs } of all) {
			model.nowMs += waitMs;
			model.applyEvent(event);
			if (model.isViolated()) {
				throw new Error('work for a leaving target');
			}
		}
		(['start', 'list', 'manifestLive'] as const).forEach(event => {
			model.applyEvent(event);
		});
		for (let round = 0; round < 100; round++) {
			model.nowMs += 10_000;
			model.ask();
		}
		if (!model.lifecycle.isUsable()) {
			throw new Error('no work for a live target');
		}
	});
	const { failed, errorInstance } = fc.check(property, { seed: 7, numRuns: 2_000 });
	return failed ? String(errorInstance) : undefined;
}

/** Believes the list whenever it says `live`. */
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

/** Takes a target back without asking it. */
class ProbelessLifecycle extends TargetLifecycle {
	override isUsable(): boolean {
		return super.isUsable() || this.getState() === TargetState.Suspect;
	}
}

/** Never asks a target that left. */
class NeverProbingLifecycle extends TargetLifecycle {
	override startProbe(): boolean {
		return false;
	}
}

describe('TargetLife', () => {
	// Signs arrive in any order and the list lags. A target that leaves and still gets requests resets their
	// connections when it stops; one that returned and gets none leaves the others to carry its part.
	it('gives no work to a leaving target once a sign came, and takes it back when it has returned', () => {
		expect(findViolation(TargetLifecycle)).toBeUndefined();
	});

	it.each([
		[ListTrustingLifecycle, 'work for a leaving target'],
		[ProbelessLifecycle, 'work for a leaving target'],
		[NeverProbingLifecycle, 'no work for a live target'],
	])('is found wrong as %p', (Life, fault) => {
		expect(findViolation(Life)).toContain(`Error: ${fault}`);
	});

	const {
		InstanceList,
		Manifest,
		SelfReport: OwnWord,
		PeerReport: PeerWord,
		ConnectionClose,
	} = LeavingReason;
	const addReason: Readonly<Record<LeavingReason, (life: TargetLifecycle) => unknown>> = {
		[InstanceList]: life => life.noteListed(createListed(0, true), 0),
		[Manifest]: life => life.noteManifest(Leaving, v2, 0),
		[OwnWord]: life => life.noteSelfReport(0),
		[PeerWord]: life => life.notePeerReport(0),
		[ConnectionClose]: life => {
			life.noteAnswer(false, 0);
			life.noteAnswer(true, 0);
		},
	};

	// Only one of the signs gets through, and the list goes on saying that the target is live.
	it.each(Object.values(LeavingReason))(
		'leaves at once by the sign %s alone, whatever a late list says',
		sign => {
			const life = createLifecycle();
			addReason[sign](life);
			life.noteListed(createListed(0), 1);
			expect([life.getState(), life.startProbe(1)]).toEqual([TargetState.Leaving, false]);
		},
	);

	// What does not speak of the reason for leaving must not end it, or the target is asked, and may be
	// used, while it is still to be taken down.
	it.each<[string, LeavingReason, boolean, (life: TargetLifecycle) => unknown]>([
		['the same manifest again', OwnWord, false, life => life.noteManifest(Live, v1, 1)],
		['a newer manifest', OwnWord, true, life => life.noteManifest(Live, v2, 1)],
		['a newer manifest', InstanceList, false, life => life.noteManifest(Live, v2, 1)],
		['another boot on the list', InstanceList, true, life => life.noteListed(createListed(1), 1)],
		['another boot on the list', Manifest, false, life => life.noteListed(createListed(1), 1)],
		[
			'the list after a gap',
			InstanceList,
			true,
			life => {
				life.noteListed(undefined, 1);
				life.noteListed(createListed(0), 1);
			},
		],
	])('lets %s undo a leaving by the %s: %p', (_, sign, isAsked, note) => {
		const life = createLifecycle();
		addReason[sign](life);
		note(life);
		expect(life.startProbe(1)).toBe(isAsked);
	});

	// A server closes every connection because it was set up that way, from the start or from some day on.
	// Read as leaving for good, its service would refuse everything.
	it('does not take a habit of closing connections for leaving', () => {
		const life = createLifecycle();
		life.noteAnswer(true, 0);
		expect(life.isUsable()).toBe(true);
		addReason[ConnectionClose](life);
		for (let nowMs = 1_000; nowMs < 600_000; nowMs += 1_000) {
			if (life.startProbe(nowMs)) {
				life.noteProbeAnswered(true, nowMs);
			}
			expect(life.isUsable()).toBe(false);
		}
		expect(life.startProbe(900_000)).toBe(true);
		life.noteProbeAnswered(true, 900_000);
		expect(life.isUsable()).toBe(true);
	});

	it('asks a target that cannot be reached at growing intervals until it answers', () => {
		const life = createLifecycle();
		[0, 1].forEach(nowMs => {
			life.noteFailure(nowMs);
		});
		life.noteAnswer(false, 2);
		[3, 4, 5].forEach(nowMs => {
			expect(life.isUsable()).toBe(true);
			life.noteFailure(nowMs);
		});
		expect([life.getState(), life.getNextDueMs()]).toEqual([TargetState.Suspect, 505]);
		expect([504, 505, 505].map(nowMs => life.startProbe(nowMs))).toEqual([false, true, false]);
		life.noteProbeFailed(600);
		expect([life.isUsable(), life.getNextDueMs()]).toEqual([false, 1_600]);
		expect(life.startProbe(1_600)).toBe(true);
		life.noteProbeAnswered(true, 1_700);
		expect(life.isUsable()).toBe(true);
	});

	it('waits longer each time that a target leaves again soon after it came back', () => {
		const life = createLifecycle();
		const quietTimes = [0, 1, 2, 3, 4].map(() => {
			const leftMs = life.getNextDueMs() ?? 0;
			life.noteSelfReport(leftMs);
			const dueMs = life.getNextDueMs()!;
			expect(life.startProbe(dueMs)).toBe(true);
			return dueMs - leftMs;
		});
		expect(quietTimes).toEqual([5_000, 10_000, 20_000, 30_000, 30_000]);
	});
});

describe('TargetLives', () => {
	it('follows the manifest, tells changes and passes on own words only', () => {
		const records: unknown[] = [];
		const trail = { record: (change: unknown) => records.push(change) } as unknown as IAuditTrail;
		const lives = new TargetLifecycles(trail);
		const changed: string[] = [];
		subscribeTo(lives.onDidChange, id => changed.push(id));
		const [first, second] = ['t1', 't2'] as [TargetId, TargetId];
		const targets = [first, second].map(id => ({ id, intent: Live }) as ManifestTarget);
		lives.setManifest(targets, v1, 0);
		lives.findLifecycle(first)?.noteSelfReport(0);
		lives.noteLeavingReportedByPeer([second], 0);
		[false, true].forEach(isClosing => lives.findLifecycle(second)?.noteAnswer(isClosing, 0));
		expect(lives.listSelfReportedLeaving()).toEqual([first]);
		expect([lives.startDueProbes(4_999), lives.startDueProbes(5_000)]).toEqual([[], [first, second]]);
		lives.setManifest(targets.slice(1), v2, 5_000);
		expect([lives.findLifecycle(first), lives.isUsable(second)]).toEqual([undefined, false]);
		expect(changed).toEqual(['t1', 't2', 't1', 't1', 't2', 't2', 't1']);
		expect(records[0]).toMatchObject({ subject: 't1', from: 'live', to: 'leaving', sign: 'own word' });
	});
});
