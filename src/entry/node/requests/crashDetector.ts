/**
 * Detects whether a broken connection means that the target crashed, and if so marks the requests that were in flight
 * there, and the parts of their prompts, as suspects. Bodies are hashed only after a crash or while there are
 * suspects to compare with, so there is no cost otherwise.
 */

import { xxh3 } from '@node-rs/xxhash';
import type { ITimerService } from '../../../base/common/timerService';
import { waitAtMost } from '../../../base/common/waitFor';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import type { Fingerprint, TargetId } from '../../../core/ids/common/ids';
import { encodeCallIdentity } from '../../common/atMostOnce/callFingerprint';
import type { ObservedCrash } from '../../common/quarantine/crashReporter';
import { listPartFingerprints } from '../../common/quarantine/promptPartQuarantine';
import type { Quarantine } from '../../common/quarantine/quarantine';
import type { AcceptedCall } from './requestRun';

/** Opens a new connection to the target to determine whether the target is down. */
export type ProbeForCrash = (target: TargetId) => Promise<boolean>;

/** Reports a crash to the other entries of the region; resolves when requests need not wait for the report any more. */
export type ShareCrash = (crash: ObservedCrash) => Promise<void>;

const hexRadix = 16;

/** Kept short because a caller is waiting. Entries that have not answered by then are not waited for. */
const maxShareWaitMs = 500;

/** Computes a hash that is equal for repeated sends of the same request. */
function createCrashFingerprint(call: AcceptedCall): Fingerprint {
	const { service, organisation, method, path } = call.head;
	const hash = xxh3.Xxh3.withSeed();
	hash.update(encodeCallIdentity({ service, organisation, method, path }));
	hash.update(call.body);
	return hash.digest().toString(hexRadix) as Fingerprint;
}

/** Lists the parts of the call's prompt that other calls may share. */
function listParts({ head }: AcceptedCall): readonly Fingerprint[] {
	return listPartFingerprints(head.service, head.routed?.prompt);
}

/** Detects crashed targets for the runners of all services. */
export class CrashDetector {
	private readonly pendingChecks = new Map<TargetId, Promise<boolean>>();
	/** Caches fingerprints, because a waiting call is checked each time a target is chosen. */
	private readonly fingerprints = new WeakMap<AcceptedCall, Fingerprint>();

	constructor(
		private readonly quarantine: Quarantine,
		private readonly probeForCrash: ProbeForCrash,
		private readonly shareCrash: ShareCrash,
		private readonly timers: ITimerService,
	) {}

	/** Returns the error for a call that was in flight at too many crashes, or undefined. */
	findRefusal(call: AcceptedCall): RequestError | undefined {
		const nowMs = this.timers.getNow();
		const { parts } = this.quarantine;
		const refusal = parts.hasSuspects() ? parts.findRefusal(listParts(call), nowMs) : undefined;
		if (refusal !== undefined || this.quarantine.countFingerprints() === 0) {
			return refusal;
		}
		return this.quarantine.findRefusal(this.getFingerprint(call), nowMs);
	}

	/** Records that a target answered a call, so that no part of its prompt crashes targets. */
	noteAnswered(call: AcceptedCall): void {
		this.quarantine.parts.noteAnswered(listParts(call), this.timers.getNow());
	}

	/** Whether a call was in flight at a crash, and must not run at the same target as another suspect. */
	isSuspected(call: AcceptedCall): boolean {
		return this.quarantine.countFingerprints() > 0 && this.quarantine.isSuspect(this.getFingerprint(call));
	}

	/**
	 * Checks whether the target crashed, after a connection broke while these calls were in flight. Resolves when
	 * the result is recorded, because an earlier retry could crash the next target before the first crash is
	 * recorded. A crash breaks all connections of a target, so concurrent checks of one target share one probe.
	 *
	 * @returns Whether the target crashed.
	 */
	async checkForCrash(target: TargetId, inFlight: readonly AcceptedCall[]): Promise<boolean> {
		const pending = this.pendingChecks.get(target);
		if (pending !== undefined) {
			return pending;
		}
		const check = this.noteIfCrashed(target, inFlight);
		this.pendingChecks.set(target, check);
		const hasCrashed = await check;
		this.pendingChecks.delete(target);
		return hasCrashed;
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

	private isRefused(fingerprint: Fingerprint, nowMs: number): boolean {
		return this.quarantine.findRefusal(fingerprint, nowMs) !== undefined;
	}

	private async noteIfCrashed(target: TargetId, inFlight: readonly AcceptedCall[]): Promise<boolean> {
		const hasCrashed = await this.probeForCrash(target);
		if (hasCrashed) {
			const fingerprints = inFlight.map(call => this.getFingerprint(call));
			const nowMs = this.timers.getNow();
			const accepted = fingerprints.filter(fingerprint => !this.isRefused(fingerprint, nowMs));
			this.quarantine.noteTargetCrash(target, fingerprints, nowMs);
			const promptParts = inFlight.map(call => listParts(call));
			const { suspected, isPartRefused } = this.quarantine.parts.noteTargetCrash(target, promptParts, nowMs);
			await this.waitForSharing({
				target,
				fingerprints: [...suspected, ...fingerprints],
				isRequestRefused: isPartRefused || accepted.some(fingerprint => this.isRefused(fingerprint, nowMs)),
			});
		}
		return hasCrashed;
	}

	/**
	 * Waits until the other entries have received the crash, or the time limit has passed. The caller may resend
	 * the request to another entry as soon as it is answered here. If that entry received the crash only with the
	 * next periodic exchange of views, a second later, the request could crash one more target.
	 */
	private async waitForSharing(crash: ObservedCrash): Promise<void> {
		await waitAtMost(this.timers, maxShareWaitMs, this.shareCrash(crash));
	}
}
