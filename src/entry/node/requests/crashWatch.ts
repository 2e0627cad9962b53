/**
 * Finds out whether a broken connection was a target's death, and if so puts the requests that were in
 * flight there under suspicion. Bodies are hashed only when there is a death or a suspicion to compare
 * with, so an ordinary day pays nothing for it.
 */

import { xxh3 } from '@node-rs/xxhash';
import type { Stream } from 'most';
import { Channel } from '../../../base/common/channel';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../platform/errors/common/errorKinds';
import type { Fingerprint, TargetId } from '../../../platform/ids/common/ids';
import { describeCall } from '../../common/atMostOnce/callFingerprint';
import type { Quarantine } from '../../common/quarantine/quarantine';
import type { AcceptedCall } from './requestRun';

/** Whether a new connection to the target is refused. */
export type ProbeDeath = (target: TargetId) => Promise<boolean>;

const hexadecimal = 16;

/** Hashes what makes two sends of one request alike. */
export function createCrashFingerprint(call: AcceptedCall): Fingerprint {
	const { service, organisation, method, path } = call.head;
	const hash = xxh3.Xxh3.withSeed();
	hash.update(describeCall({ service, organisation, method, path }));
	hash.update(call.body);
	return hash.digest().toString(hexadecimal) as Fingerprint;
}

/** Judges deaths for the runners of all services. */
export class CrashWatch {
	private readonly checks = new Map<TargetId, Promise<void>>();
	private readonly quarantined = new Channel<Fingerprint>();

	/**
	 * A request was seen at so many deaths that it is refused from now on. Other entries must hear of it before
	 * its caller sends it to one of them: an entry that waits with the news for its next exchange of views
	 * lets the copy through, and it kills one target more.
	 */
	readonly onDidQuarantine: Stream<Fingerprint> = this.quarantined.stream;

	constructor(
		private readonly quarantine: Quarantine,
		private readonly probeDeath: ProbeDeath,
		private readonly timers: ITimerService,
	) {}

	/** The refusal of a call that was seen at too many deaths, or undefined. */
	findRefusal(call: AcceptedCall): RequestError | undefined {
		if (this.quarantine.countFingerprints() === 0) {
			return undefined;
		}
		return this.quarantine.findRefusal(createCrashFingerprint(call), this.timers.getNow());
	}

	/** Whether a call was in flight at a death and must run apart from others of that kind. */
	isSighted(call: AcceptedCall): boolean {
		return this.quarantine.countFingerprints() > 0 && this.quarantine.isSighted(createCrashFingerprint(call));
	}

	/**
	 * A connection to the target broke with these calls in flight. Ends when it is known whether the target
	 * died; a retry before that could kill the next target before the first death is noted. All connections
	 * of a target break at one death, so a check that comes while one is under way shares it.
	 */
	async checkDeath(target: TargetId, inFlight: readonly AcceptedCall[]): Promise<void> {
		const present = this.checks.get(target);
		if (present !== undefined) {
			await present;
			return;
		}
		const check = this.noteIfDead(target, inFlight);
		this.checks.set(target, check);
		await check;
		this.checks.delete(target);
	}

	private async noteIfDead(target: TargetId, inFlight: readonly AcceptedCall[]): Promise<void> {
		const isDead = await this.probeDeath(target);
		if (!isDead) {
			return;
		}
		const nowMs = this.timers.getNow();
		const fingerprints = inFlight.map(createCrashFingerprint);
		const allowed = fingerprints.filter(fingerprint => !this.isRefused(fingerprint, nowMs));
		this.quarantine.noteDeath(target, fingerprints, nowMs);
		for (const fingerprint of new Set(allowed)) {
			if (this.isRefused(fingerprint, nowMs)) {
				this.quarantined.emit(fingerprint);
			}
		}
	}

	private isRefused(fingerprint: Fingerprint, nowMs: number): boolean {
		return this.quarantine.findRefusal(fingerprint, nowMs) !== undefined;
	}
}
