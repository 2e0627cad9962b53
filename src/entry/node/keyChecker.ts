/**
 * Checks the keys of requests against the manifest in force and the age of what is known, and reports when the knowledge
 * becomes too old and when it is confirmed again.
 */

import type { Logger } from 'pino';
import { subscribeTo } from '../../base/common/channel';
import { Disposable } from '../../base/common/lifecycle';
import type { ITimerService } from '../../base/common/timerService';
import type { RequestError } from '../../core/errors/common/errorKinds';
import type { CallHead } from '../common/callers/callHead';
import { checkIntervalMs } from '../common/intake/loopLagGate';
import type { IKeyCheck, KeyKnowledge } from '../common/keys/keyConfirmation';
import { computeMaxKeyAgeMs, findKeyRefusal, isConfirmed } from '../common/keys/keyConfirmation';
import type { ManifestKeeper } from './manifest/manifestKeeper';

/** Returns the age of what is known of the keys. */
export type GetKeyKnowledge = () => KeyKnowledge;

export class KeyChecker extends Disposable implements IKeyCheck {
	private readonly maxAgeMs: number;
	/** Since when the knowledge is too old; undefined while it is confirmed. */
	private unconfirmedSinceMs: number | undefined;

	/** @param withdrawnWithinMs The time after which a withdrawn key must no longer work. */
	constructor(
		withdrawnWithinMs: number,
		private readonly manifests: Pick<ManifestKeeper, 'getCurrent'>,
		private readonly getKnowledge: GetKeyKnowledge,
		private readonly timers: ITimerService,
		private readonly logger: Pick<Logger, 'info' | 'warn'>,
	) {
		super();
		this.maxAgeMs = computeMaxKeyAgeMs(withdrawnWithinMs);
		this.unconfirmedSinceMs = timers.getNow();
		this.register(
			subscribeTo(timers.watchTicks(checkIntervalMs), () => {
				this.noteKnowledge(this.getKnowledge());
			}),
		);
	}

	findRefusal(head: Pick<CallHead, 'keyDigest'>): RequestError | undefined {
		if (head.keyDigest === undefined) {
			return undefined;
		}
		const knowledge = this.getKnowledge();
		this.noteKnowledge(knowledge);
		return findKeyRefusal(head, this.manifests.getCurrent()?.index, knowledge, this.maxAgeMs);
	}

	/** Milliseconds since the keys were known to be those of the store; undefined before its first answer. */
	getAgeMs(): number | undefined {
		return this.getKnowledge().ageMs;
	}

	/** The age up to which keys are accepted, in milliseconds. */
	getMaxAgeMs(): number {
		return this.maxAgeMs;
	}

	private noteKnowledge(knowledge: KeyKnowledge): void {
		const isNowConfirmed = isConfirmed(knowledge, this.maxAgeMs);
		if (isNowConfirmed === (this.unconfirmedSinceMs === undefined)) {
			return;
		}
		const nowMs = this.timers.getNow();
		const ageMs = Math.round(knowledge.ageMs ?? 0);
		const maxAgeMs = Math.floor(this.maxAgeMs);
		if (this.unconfirmedSinceMs === undefined) {
			this.unconfirmedSinceMs = nowMs;
			this.logger.warn({ dependency: 'store', ageMs, maxAgeMs }, 'knowledge of keys too old');
			return;
		}
		const unconfirmedMs = Math.round(nowMs - this.unconfirmedSinceMs);
		this.unconfirmedSinceMs = undefined;
		this.logger.info({ dependency: 'store', ageMs, unconfirmedMs }, 'knowledge of keys confirmed');
	}
}
