import fc from 'fast-check';
import { ErrorKind } from '../../../../core/errors/common/errorKinds';
import type { Fingerprint, TargetId } from '../../../../core/ids/common/ids';
import { defaultQuarantineLimits, Quarantine } from '../quarantine';

const targets = ['t1', 't2', 't3', 't4', 't5'] as TargetId[];
const crashingRequest = 'crashing-request' as Fingerprint;
const [first, second] = ['f1', 'f2'] as [Fingerprint, Fingerprint];

/** A request sent by a caller: the entry, the request (0 crashes targets) and the preferred target. */
const send = fc.record({
	entry: fc.nat(2),
	request: fc.oneof(fc.constant(0), fc.nat(8)),
	preferred: fc.nat(targets.length - 1),
	waitMs: fc.integer({ min: 2_000, max: 60_000 }),
});

type Send = typeof send extends fc.Arbitrary<infer TSend> ? TSend : never;

/** Model of a region whose entries exchange sightings after each crash. Requests run until their target crashes. */
class RegionModel {
	crashCount = 0;
	readonly refused = new Set<Fingerprint>();
	private readonly running = new Map<TargetId, Map<Fingerprint, number>>();
	private nowMs = 0;

	constructor(private readonly entries: readonly Quarantine[]) {}

	submit({ entry, request, preferred, waitMs }: Send): void {
		this.nowMs += waitMs;
		const fingerprint = request === 0 ? crashingRequest : (`request-${request}` as Fingerprint);
		this.start(entry % this.entries.length, fingerprint, preferred);
	}

	private start(entry: number, fingerprint: Fingerprint, preferred: number): void {
		const quarantine = this.entries[entry]!;
		if (quarantine.findRefusal(fingerprint, this.nowMs) !== undefined) {
			this.refused.add(fingerprint);
			return;
		}
		const order = [...targets.slice(preferred), ...targets.slice(0, preferred)];
		const target = order.find(id => quarantine.isAllowedAlongside(fingerprint, this.listOwn(id, entry)));
		if (target === undefined) {
			return;
		}
		const beside = this.running.get(target) ?? new Map<Fingerprint, number>();
		this.running.set(target, beside.set(fingerprint, entry));
		if (fingerprint === crashingRequest) {
			this.killTarget(target, beside);
		}
	}

	/** Each entry records its own requests, the entries exchange sightings, and the requests are retried. */
	private killTarget(target: TargetId, inFlight: ReadonlyMap<Fingerprint, number>): void {
		this.crashCount++;
		this.entries.forEach((quarantine, entry) => {
			quarantine.noteTargetCrash(target, this.listOwn(target, entry), this.nowMs);
		});
		this.running.delete(target);
		this.exchangeSightings();
		this.nowMs += defaultQuarantineLimits.sameCrashWindowMs;
		for (const [fingerprint, entry] of inFlight) {
			this.start(entry, fingerprint, targets.indexOf(target));
		}
	}

	/** Lists the requests of one entry that run on a target. */
	private listOwn(target: TargetId, entry: number): Fingerprint[] {
		const running = [...(this.running.get(target) ?? [])];
		return running.filter(([, from]) => from === entry).map(([fingerprint]) => fingerprint);
	}

	private exchangeSightings(): void {
		for (const from of this.entries) {
			for (const sighting of from.listCrashSightings(this.nowMs)) {
				this.entries.forEach(to => {
					to.noteCrashSighting({ ...sighting, ageMs: sighting.ageMs + 100 }, this.nowMs + 100);
				});
			}
		}
	}
}

function createEntries(count: number, Kind = Quarantine): Quarantine[] {
	const limits = { ...defaultQuarantineLimits, refuseForMs: 1e9, retentionMs: 2e9 };
	return Array.from({ length: count }, () => new Kind(limits));
}

/** Returns a violation of the property found in random runs, or undefined. */
function findViolation(createSubjects: () => readonly Quarantine[]): string | undefined {
	const property = fc.property(fc.array(send, { maxLength: 30 }), sends => {
		const subjects = createSubjects();
		const region = new RegionModel(subjects);
		sends.forEach(one => {
			region.submit(one);
		});
		const bystanders = [...region.refused].filter(fingerprint => fingerprint !== crashingRequest);
		if (region.crashCount > 2) {
			throw new Error(`${region.crashCount} deaths`);
		}
		if (subjects.length === 1 && bystanders.length > 0) {
			throw new Error(`${bystanders.length} bystanders refused`);
		}
	});
	const { failed, errorInstance } = fc.check(property, { seed: 5, numRuns: 500 });
	return failed ? String(errorInstance) : undefined;
}

/** Faulty variant that retries suspects on the same target. */
class UnseparatedQuarantine extends Quarantine {
	override isAllowedAlongside(): boolean {
		return true;
	}
}

/** Faulty variant that does not share its sightings. */
class UnsharedQuarantine extends Quarantine {
	override listCrashSightings(): readonly [] {
		return [];
	}
}

describe('Quarantine', () => {
	// Guards against restarts of one target after the other: a request crashes every target that runs it, and its
	// caller sends it repeatedly to any entry.
	it('lets a request crash at most two targets of a region whose entries exchange sightings', () => {
		expect(findViolation(() => createEntries(3))).toBeUndefined();
	});

	// Guards against refusing requests for minutes only because they were running on a target that crashed.
	it('refuses no bystander if all requests of a target come from one entry', () => {
		expect(findViolation(() => createEntries(1))).toBeUndefined();
	});

	it('violates the properties if bystanders are retried together or sightings are not shared', () => {
		expect(findViolation(() => createEntries(1, UnseparatedQuarantine))).toMatch(/bystanders refused/);
		expect(findViolation(() => createEntries(3, UnsharedQuarantine))).toMatch(/\d deaths/);
	});

	it('returns a retry delay with a refusal, and accepts the request after that delay', () => {
		const quarantine = new Quarantine();
		quarantine.noteTargetCrash(targets[0]!, [first], 0);
		expect(quarantine.findRefusal(first, 0)).toBeUndefined();
		quarantine.noteTargetCrash(targets[1]!, [first], 10_000);
		expect(quarantine.findRefusal(first, 10_000)).toMatchObject({
			kind: ErrorKind.Quarantined,
			retryAfterMs: 300_000,
		});
		expect(quarantine.findRefusal(first, 310_000)).toBeUndefined();
		quarantine.noteTargetCrash(targets[0]!, [first], 320_000);
		expect(quarantine.findRefusal(first, 320_000)).toBeDefined();
	});

	it('counts a crash once even if peers report it too', () => {
		const quarantine = new Quarantine();
		quarantine.noteTargetCrash(targets[0]!, [first], 1_000);
		quarantine.noteCrashSighting({ fingerprint: first, target: targets[0]!, ageMs: 900 }, 1_500);
		expect(quarantine.findRefusal(first, 1_500)).toBeUndefined();
	});

	it('counts two crashes of one target if they are ten seconds apart, and one if they are closer', () => {
		const quarantine = new Quarantine();
		quarantine.noteTargetCrash(targets[0]!, [first, second], 0);
		quarantine.noteTargetCrash(targets[0]!, [first], 9_999);
		quarantine.noteTargetCrash(targets[0]!, [second], 10_000);
		expect(quarantine.findRefusal(first, 10_000)).toBeUndefined();
		expect(quarantine.findRefusal(second, 10_000)).toBeDefined();
	});

	it('returns the requests that a report makes refused, but not those that were refused before', () => {
		const quarantine = new Quarantine();
		quarantine.noteTargetCrash(targets[0]!, [first, second], 0);
		const report = [{ fingerprint: first, target: targets[1]!, ageMs: 0 }];
		expect([...quarantine.noteCrashSightings(report, 100)]).toEqual([first]);
		expect([...quarantine.noteCrashSightings(report, 200)]).toEqual([]);
		const next = [{ fingerprint: first, target: targets[2]!, ageMs: 0 }];
		expect([...quarantine.noteCrashSightings(next, 300)]).toEqual([]);
	});

	it('keeps a bounded number of fingerprints, evicts no refused one for bystanders, and expires them', () => {
		const quarantine = new Quarantine({
			...defaultQuarantineLimits,
			maxFingerprints: 3,
			maxSharedSightings: 4,
		});
		quarantine.noteTargetCrash(targets[0]!, [crashingRequest], 0);
		quarantine.noteTargetCrash(targets[1]!, [crashingRequest], 0);
		const flood = Array.from({ length: 9 }, (_, index) => `f${index}` as Fingerprint);
		quarantine.noteTargetCrash(targets[2]!, flood, 0);
		expect([quarantine.countFingerprints(), quarantine.isSuspect(second)]).toEqual([4, false]);
		expect(quarantine.findRefusal(crashingRequest, 0)).toBeDefined();
		expect(quarantine.listCrashSightings(0)).toHaveLength(4);
		expect(quarantine.listCrashSightings(20_000).map(sighting => sighting.fingerprint)).toEqual([
			crashingRequest,
			crashingRequest,
		]);
		quarantine.expire(600_000);
		expect(quarantine.countFingerprints()).toBe(0);
	});

	// Guards against a restarted entry that forwards a refused request to another target, because the sightings of many
	// bystanders displaced those of the request.
	it('shares the sightings of refused requests before those of newer bystanders', () => {
		const quarantine = new Quarantine();
		quarantine.noteTargetCrash(targets[0]!, [crashingRequest], 0);
		quarantine.noteTargetCrash(targets[1]!, [crashingRequest], 3_000);
		const { maxSharedSightings } = defaultQuarantineLimits;
		const flood = Array.from({ length: maxSharedSightings }, (_, index) => `f${index}` as Fingerprint);
		quarantine.noteTargetCrash(targets[2]!, flood.slice(1), 5_000);
		quarantine.noteTargetCrash(targets[3]!, flood.slice(0, 1), 6_000);
		const restarted = new Quarantine();
		const sightings = quarantine.listCrashSightings(6_000);
		for (const sighting of sightings) {
			restarted.noteCrashSighting(sighting, 6_000);
		}
		expect(sightings).toHaveLength(maxSharedSightings);
		expect(restarted.findRefusal(crashingRequest, 6_000)).toBeDefined();
		expect(sightings[2]?.fingerprint).toBe(flood[0]);
	});
});
