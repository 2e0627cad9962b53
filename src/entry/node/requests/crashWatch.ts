/**
 * Finds out whether a broken connection was a target's death, and if so puts the requests that were in
 * flight there under suspicion. Bodies are hashed only when there is a death or a suspicion to compare
 * with, so an ordinary day pays nothing for it.
 */

import { xxh3 } from '@node-rs/xxhash';
import type { ITimerService } from '../../../base/common/timerService';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import type { Fingerprint, TargetId } from '../../../core/ids/common/ids';
import { describeCall } from '../../common/atMostOnce/callFingerprint';
import type { Quarantine } from '../../common/quarantine/quarantine';
import type { AcceptedCall } from './requestRun';

/** Whether a new connection to the target is refused. */
export type ProbeDeath = (target: TargetId) => Promise<boolean>;

/** Tells the other entries of the region what was seen; ends when they have heard. */
export type TellRegion = () => Promise<void>;

const hexadecimal = 16;

/** An entry that has not answered by then is silent, and a caller is waiting. */
const mostTellMs = 500;

/** Hashes what makes two sends of one request alike. */
function createCrashFingerprint(call: AcceptedCall): Fingerprint {
	const { service, organisation, method, path } = call.head;
	const hash = xxh3.Xxh3.withSeed();
	hash.update(describeCall({ service, organisation, method, path }));
	hash.update(call.body);
	return hash.digest().toString(hexadecimal) as Fingerprint;
}

/** Judges deaths for the runners of all services. */
export class CrashWatch {
	private readonly checks = new Map<TargetId, Promise<void>>();
	/** A waiting call is asked about at each choice of a target; its body is hashed once. */
	private readonly fingerprints = new WeakMap<AcceptedCall, Fingerprint>();

	constructor(
		private readonly quarantine: Quarantine,
		private readonly probeDeath: ProbeDeath,
		private readonly tellRegion: TellRegion,
		private readonly timers: ITimerService,
	) {}

	/** The refusal of a call that was seen at too many deaths, or undefined. */
	findRefusal(call: AcceptedCall): RequestError | undefined {
		if (this.quarantine.countFingerprints() === 0) {
			return undefined;
		}
		return this.quarantine.findRefusal(this.getFingerprint(call), this.timers.getNow());
	}

	/** Whether a call was in flight at a death and must run apart from others of that kind. */
	isSighted(call: AcceptedCall): boolean {
		return this.quarantine.countFingerprints() > 0 && this.quarantine.isSuspect(this.getFingerprint(call));
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

	private getFingerprint(call: AcceptedCall): Fingerprint {
		const known = this.fingerprints.get(call);
		if (known !== undefined) {
			return known;
		}
		const fingerprint = createCrashFingerprint(call);
		this.fingerprints.set(call, fingerprint);
		return fingerprint;
	}

	private async noteIfDead(target: TargetId, inFlight: readonly AcceptedCall[]): Promise<void> {
		const isDead = await this.probeDeath(target);
		if (isDead) {
			const fingerprints = inFlight.map(call => this.getFingerprint(call));
			this.quarantine.noteTargetCrash(target, fingerprints, this.timers.getNow());
			await this.waitForRegion();
		}
	}

	/**
	 * The caller may send the request again, to another entry, the moment it is answered here. If that entry
	 * heard of the deaths only with the next exchange of views, a second later, it would give the request one
	 * more target to kill.
	 */
	private async waitForRegion(): Promise<void> {
		await new Promise<void>(resolve => {
			const limit = this.timers.schedule(mostTellMs, resolve);
			void this.tellRegion().then(() => {
				limit.dispose();
				resolve();
			});
		});
	}
}
