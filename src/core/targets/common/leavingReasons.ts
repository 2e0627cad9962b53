/**
 * The reasons for which a target counts as leaving at present. Some apply until the manifest or the instance list
 * changes; reports of the target or a peer and closed connections expire after a time without a repetition, so that the
 * target is probed again. This time doubles each time the target leaves soon after it returned: a target that accepts
 * probes but refuses requests costs a refused request each time.
 */

/** Why a target is leaving. */
export enum LeavingReason {
	InstanceList = 'instance list',
	Manifest = 'manifest',
	/** The target sent the leaving header with an answer or a refusal. */
	SelfReport = 'own word',
	/** `Connection: close` from a target that has kept connections open before. */
	ConnectionClose = 'connection close',
	/** A peer reported that it received the leaving header from the target. */
	PeerReport = 'peer word',
}

/**
 * Initial time after which a reason expires if it is not repeated, in milliseconds; other reasons do not expire. In a
 * rolling restart in place, the targets leave one after the other. If their reports applied for much longer than a
 * restart takes, all targets would be unavailable at the same time. Servers also close a connection after a number of
 * requests, so that reason expires sooner.
 */
const reasonLifetimes: ReadonlyMap<LeavingReason, number> = new Map([
	[LeavingReason.SelfReport, 5_000],
	[LeavingReason.PeerReport, 5_000],
	[LeavingReason.ConnectionClose, 1_000],
]);

const maxLifetimeMs = 30_000;

/** The expiry time doubles if a target leaves again within this time after its return. */
const stableAfterMs = 60_000;

/** The reasons that apply to one target. */
export class LeavingReasons {
	/** Each reason with the time when it expires, or undefined if it does not expire. */
	private readonly active = new Map<LeavingReason, number | undefined>();
	private quickReturns = 0;
	private returnedMs = Number.NEGATIVE_INFINITY;

	has(reason: LeavingReason): boolean {
		return this.active.has(reason);
	}

	isEmpty(): boolean {
		return this.active.size === 0;
	}

	/** Records that the target starts leaving. */
	noteLeaving(nowMs: number): void {
		this.quickReturns = nowMs - this.returnedMs < stableAfterMs ? this.quickReturns + 1 : 0;
		this.returnedMs = Number.POSITIVE_INFINITY;
	}

	/** Records that the target is in use again. */
	noteReturned(nowMs: number): void {
		this.returnedMs = nowMs;
	}

	/** Adds a reason, or renews its expiry time. */
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

	/** Removes the reasons that have expired. */
	expire(nowMs: number): void {
		this.clear(reason => (this.active.get(reason) ?? Number.POSITIVE_INFINITY) <= nowMs);
	}

	/** Returns when the last reason expires, or undefined if a reason does not expire. */
	findExpiryMs(): number | undefined {
		const expiries = [...this.active.values()];
		const timed = expiries.filter(expiry => expiry !== undefined);
		return timed.length === expiries.length ? Math.max(...timed) : undefined;
	}
}
