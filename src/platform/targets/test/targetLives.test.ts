import fc from 'fast-check';
import { subscribeTo } from '../../../base/common/channel';
import type { IAuditTrail } from '../../audit/common/auditTrail';
import type { BootId, ManifestVersion, TargetId } from '../../ids/common/ids';
import type { ManifestTarget } from '../../manifest/common/manifest';
import { TargetIntent } from '../../manifest/common/manifest';
import type { ListedTarget } from '../common/targetLife';
import { LeavingSign, TargetLife, TargetState } from '../common/targetLife';
import { TargetLives } from '../common/targetLives';

const { Live, Leaving } = TargetIntent;

function createLife(): TargetLife {
	const life = new TargetLife(() => undefined);
	life.noteManifest(Live, 1 as ManifestVersion, 0);
	life.noteListed({ isLeaving: false, boot: 'b0' as BootId }, 0);
	return life;
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
	isSignSeen = false;
	isLeaving = false;
	private bootCount = 0;
	private version = 1;
	private readonly snapshots: ListedTarget[] = [];
	nowMs = 0;

	constructor(readonly life: TargetLife) {
		this.takeSnapshot();
	}

	take(event: (typeof events)[number]): void {
		switch (event) {
			case 'leave':
				this.isLeaving = true;
				break;
			case 'start':
				this.isLeaving = false;
				this.isSignSeen = false;
				this.bootCount++;
				break;
			case 'oldList':
				this.life.noteListed(this.snapshots[0], this.nowMs);
				return;
			case 'list':
				this.life.noteListed(this.snapshots.at(-1), this.nowMs);
				break;
			case 'manifestLive':
			case 'manifestLeaving':
				this.version++;
				this.life.noteManifest(
					event === 'manifestLive' ? Live : Leaving,
					this.version as ManifestVersion,
					this.nowMs,
				);
				break;
			case 'peer':
				if (this.isLeaving) {
					this.life.notePeerWord(this.nowMs);
				}
				break;
			case 'ask':
				this.ask();
				return;
		}
		this.isSignSeen ||= this.isLeaving && ['list', 'manifestLeaving', 'peer'].includes(event);
		this.takeSnapshot();
	}

	/** A request where the life allows one, and a probe where it asks for one. */
	ask(): void {
		const isTrial = this.life.startTrial(this.nowMs);
		if (!this.life.isUsable() && !isTrial) {
			return;
		}
		if (this.isLeaving) {
			this.life.noteOwnWord(this.nowMs);
			this.isSignSeen = true;
		} else if (isTrial) {
			this.life.noteTrialAnswered(false, this.nowMs);
		}
	}

	private takeSnapshot(): void {
		this.snapshots.push({ isLeaving: this.isLeaving, boot: `b${this.bootCount}` as BootId });
	}
}

function checkLeaving(createSubject: () => TargetLife): void {
	fc.assert(
		fc.property(steps, all => {
			const model = new TargetModel(createSubject());
			for (const { event, waitMs } of all) {
				model.nowMs += waitMs;
				model.take(event);
				expect(model.life.isUsable() && model.isLeaving && model.isSignSeen).toBe(false);
			}
			(['start', 'list', 'manifestLive'] as const).forEach(event => {
				model.take(event);
			});
			for (let round = 0; round < 100 && !model.life.isUsable(); round++) {
				model.nowMs += 10_000;
				model.ask();
			}
			expect(model.life.isUsable()).toBe(true);
		}),
		{ seed: 7, numRuns: 2_000 },
	);
}

/** Believes the list whenever it says `live`. */
class ListBelievingLife extends TargetLife {
	private isListedLive = false;

	override noteListed(listed: ListedTarget | undefined, nowMs: number): void {
		this.isListedLive = listed?.isLeaving === false;
		super.noteListed(listed, nowMs);
	}

	override isUsable(): boolean {
		return this.isListedLive || super.isUsable();
	}
}

/** Takes a target back after a time without asking it. */
class UnaskingLife extends TargetLife {
	override isUsable(): boolean {
		return super.isUsable() || this.getState() === TargetState.Suspect;
	}
}

describe('TargetLife', () => {
	// Signs arrive in any order and the list lags. A target that leaves and still gets requests resets their
	// connections when it stops; one that returned and gets none leaves the others to carry its part.
	it('gives no work to a leaving target once a sign came, and takes it back when it has returned', () => {
		checkLeaving(createLife);
	});

	it.each([ListBelievingLife, UnaskingLife])('is found wrong as %p', Life => {
		expect(() => {
			checkLeaving(() => {
				const life = new Life(() => undefined);
				life.noteManifest(Live, 1 as ManifestVersion, 0);
				return life;
			});
		}).toThrow('Property failed');
	});

	const signs: Readonly<Record<LeavingSign, (life: TargetLife) => void>> = {
		[LeavingSign.InstanceList]: life => {
			life.noteListed({ isLeaving: true, boot: 'b0' as BootId }, 0);
		},
		[LeavingSign.Manifest]: life => {
			life.noteManifest(Leaving, 2 as ManifestVersion, 0);
		},
		[LeavingSign.OwnWord]: life => {
			life.noteOwnWord(0);
		},
		[LeavingSign.PeerWord]: life => {
			life.notePeerWord(0);
		},
		[LeavingSign.ConnectionClose]: life => {
			life.noteAnswer(false, 0);
			life.noteAnswer(true, 0);
		},
	};

	// Only one of the signs gets through, and the list goes on saying that the target is live.
	it.each(Object.values(LeavingSign))(
		'leaves at once by the sign %s alone, whatever a late list says',
		sign => {
			const life = createLife();
			signs[sign](life);
			life.noteListed({ isLeaving: false, boot: 'b0' as BootId }, 1);
			expect([life.getState(), life.isUsable()]).toEqual([TargetState.Leaving, false]);
		},
	);

	// A server closes every connection because it was set up that way. Read as leaving, it would never be
	// used, and a service that has only such targets would refuse everything.
	it('does not read a close as leaving from a server that never kept a connection', () => {
		const life = createLife();
		life.noteAnswer(true, 0);
		expect(life.isUsable()).toBe(true);
	});

	it('asks a target that cannot be reached at growing intervals until it answers', () => {
		const life = createLife();
		[0, 1, 2].forEach(nowMs => {
			life.noteFailure(nowMs);
		});
		expect([life.getState(), life.getNextDueMs()]).toEqual([TargetState.Suspect, 502]);
		expect([life.startTrial(501), life.startTrial(502), life.startTrial(502)]).toEqual([false, true, false]);
		life.noteTrialFailed(600);
		expect([life.isUsable(), life.getNextDueMs()]).toEqual([false, 1_600]);
		expect(life.startTrial(1_600)).toBe(true);
		life.noteTrialAnswered(true, 1_700);
		expect(life.isUsable()).toBe(true);
	});

	it('waits longer each time that a target leaves again soon after it came back', () => {
		const life = createLife();
		const ends = [0, 1, 2].map(() => {
			const leftMs = life.getNextDueMs() ?? 0;
			life.noteOwnWord(leftMs);
			const quietMs = life.getNextDueMs()! - leftMs;
			expect(life.startTrial(leftMs + quietMs)).toBe(true);
			return quietMs;
		});
		expect(ends).toEqual([30_000, 60_000, 120_000]);
	});
});

describe('TargetLives', () => {
	it('follows the manifest, tells changes and passes on own words only', () => {
		const records: unknown[] = [];
		const lives = new TargetLives({
			record: (change: unknown) => records.push(change),
		} as unknown as IAuditTrail);
		const changed: string[] = [];
		subscribeTo(lives.onDidChange, id => changed.push(id));
		const [first, second] = ['t1', 't2'] as TargetId[];
		const targets = [first, second].map(id => ({ id, intent: Live }) as ManifestTarget);
		lives.setManifest(targets, 1 as ManifestVersion, 0);
		lives.findLife(first!)?.noteOwnWord(0);
		lives.notePeerWords([second!], 0);
		expect(lives.listLeavingByOwnWord()).toEqual([first]);
		expect([lives.startTrials(29_999), lives.startTrials(30_000)]).toEqual([[], [first, second]]);
		lives.setManifest(targets.slice(1), 2 as ManifestVersion, 30_000);
		expect([lives.findLife(first!), lives.isUsable(second!)]).toEqual([undefined, false]);
		expect(changed).toEqual(['t1', 't2', 't1', 't1', 't2', 't2', 't1']);
		expect(records[0]).toMatchObject({ subject: 't1', from: 'live', to: 'leaving', sign: 'own word' });
	});
});
