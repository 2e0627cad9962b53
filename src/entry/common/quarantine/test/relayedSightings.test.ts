import type { Fingerprint, TargetId } from '../../../../core/ids/common/ids';
import { Quarantine } from '../quarantine';

const fingerprint = 'request' as Fingerprint;
const target = 'engine' as TargetId;

/** Sends the sightings of one entry to another one, which reads them `lagMs` after they were sent. */
function share(from: Quarantine, to: Quarantine, sentMs: number, lagMs: number): void {
	for (const sighting of from.listCrashSightings(sentMs)) {
		to.noteCrashSighting(sighting, sentMs + lagMs);
	}
}

describe('a crash that is reported through entries that are behind', () => {
	// Guards against the refusal of requests that were in flight at one crash, after views that were each read late.
	it('counts once at the entry that saw it', () => {
		const lagMs = 800;
		const entries = Array.from({ length: 4 }, () => new Quarantine());
		entries[0]!.noteTargetCrash(target, [fingerprint], 0);
		let nowMs = 0;
		for (let hop = 0; hop < entries.length; hop++) {
			share(entries[hop]!, entries[(hop + 1) % entries.length]!, nowMs, lagMs);
			nowMs += lagMs;
		}
		expect(entries[0]!.findRefusal(fingerprint, nowMs)).toBeUndefined();
	});
});
