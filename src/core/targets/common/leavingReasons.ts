/**
 * The signs that a target is leaving, as they stand. Some stand until the thing that they spoke of has
 * changed; words fall by themselves after a quiet time, so that the target is asked again. The quiet time
 * doubles whenever the target leaves soon after it came back: one that accepts probes and refuses requests
 * costs a refused request each time.
 */

/** Why a target is leaving. */
export enum LeavingReason {
	InstanceList = 'instance list',
	Manifest = 'manifest',
	/** The leaving header, on an answer or a refusal. */
	SelfReport = 'own word',
	/** `Connection: close` from a target that has kept connections open before. */
	ConnectionClose = 'connection close',
	PeerReport = 'peer word',
}

/**
 * How long a sign stands before the target is asked again, at first, in milliseconds; the others stand. In
 * a rolling restart in place the targets leave one after the other, and words that outlived the restart by
 * much would have all of them out together. Servers also close a connection after many requests; such a
 * target is asked again soon.
 */
const reasonLifetimes: ReadonlyMap<LeavingReason, number> = new Map([
	[LeavingReason.SelfReport, 5_000],
	[LeavingReason.PeerReport, 5_000],
	[LeavingReason.ConnectionClose, 1_000],
]);

const maxLifetimeMs = 30_000;

/** A target that leaves again within this time after it came back waits twice as long. */
const stableAfterMs = 60_000;

/** The standing signs of one target. */
export class LeavingReasons {
	/** Each with the time when it falls by itself, if it does. */
	private readonly active = new Map<LeavingReason, number | undefined>();
	private quickReturns = 0;
	private returnedMs = Number.NEGATIVE_INFINITY;

	has(reason: LeavingReason): boolean {
		return this.active.has(reason);
	}

	isEmpty(): boolean {
		return this.active.size === 0;
	}

	/** The first sign since the target was in use. */
	noteLeaving(nowMs: number): void {
		this.quickReturns = nowMs - this.returnedMs < stableAfterMs ? this.quickReturns + 1 : 0;
		this.returnedMs = Number.POSITIVE_INFINITY;
	}

	/** The target is in use again. */
	noteReturned(nowMs: number): void {
		this.returnedMs = nowMs;
	}

	/** A sign came, or came again. */
	add(reason: LeavingReason, nowMs: number): void {
		const lifetimeMs = reasonLifetimes.get(reason);
		const expiryMs =
			lifetimeMs === undefined
				? undefined
				: nowMs + Math.min(maxLifetimeMs, lifetimeMs * 2 ** this.quickReturns);
		this.active.set(reason, expiryMs);
	}

	clear(isCleared: (reason: LeavingReason) => boolean): void {
		for (const reason of [...this.active.keys()].filter(isCleared)) {
			this.active.delete(reason);
		}
	}

	/** Drops the words whose quiet time is over. */
	expire(nowMs: number): void {
		this.clear(reason => (this.active.get(reason) ?? Number.POSITIVE_INFINITY) <= nowMs);
	}

	/** When the last sign falls by itself, or undefined where one stands until something changes. */
	findExpiryMs(): number | undefined {
		const expiries = [...this.active.values()];
		const timed = expiries.filter(expiry => expiry !== undefined);
		return timed.length === expiries.length ? Math.max(...timed) : undefined;
	}
}
