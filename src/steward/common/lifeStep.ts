/**
 * What an engine's life asks its steward to do next, and when.
 */

/** What is to be done next for an engine. */
export enum LifeStepKind {
	ReadState,
	/** Ask the platform for the newest version. */
	Confirm,
	SendOrder,
	/** Nothing until a time, a grant or a new manifest. */
	Wait,
}

/** A step and the round that it belongs to; the result of an earlier round is dropped. */
export interface LifeStep {
	readonly kind: LifeStepKind;
	readonly round: number;
}

/** Times of a life, in milliseconds. */
export interface LifeTimes {
	/** Between two looks at an engine that does what it is to do. */
	readonly settledMs: number;
	/** Between two looks at an engine that loads, waits for leave, or has seen a newer version. */
	readonly pollMs: number;
	/** A load that takes longer is reported as slow and no longer keeps others from loading. */
	readonly slowLoadMs: number;
}

/** What the chart's states ask for; in the others the life waits. */
const stepKinds: ReadonlyMap<string, LifeStepKind> = new Map([
	['reading', LifeStepKind.ReadState],
	['rereading', LifeStepKind.ReadState],
	['readingBack', LifeStepKind.ReadState],
	['confirming', LifeStepKind.Confirm],
	['ordering', LifeStepKind.SendOrder],
]);

const granted: ReadonlySet<string> = new Set(['confirming', 'rereading', 'ordering', 'readingBack']);

/** What a state of charts/stewardOrder.json asks for. */
export function getStepKind(chartState: string): LifeStepKind {
	return stepKinds.get(chartState) ?? LifeStepKind.Wait;
}

/** Whether the engine has leave to load in a state, and may not show it yet. */
export function hasLeaveIn(chartState: string): boolean {
	return granted.has(chartState);
}
