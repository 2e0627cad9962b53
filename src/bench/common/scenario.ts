/**
 * A load pattern as the bench runs and tells it: figures for each contender, and the goals that ours is
 * held against.
 */

/** One measured figure. */
export interface Figure {
	readonly name: string;
	readonly value: number;
	readonly unit: string;
}

/** What a decision costs in one setting. */
export interface CostRow {
	readonly setting: string;
	readonly figures: readonly Figure[];
}

/** The figures of one contender. */
export interface ScenarioRow {
	readonly contender: string;
	readonly figures: readonly Figure[];
}

/** What ours has to reach. */
export interface ScenarioGoal {
	readonly text: string;
	readonly value: number;
	/** At most this value, or at least where `isLeast`. */
	readonly bound: number;
	readonly isLeast: boolean;
}

export interface ScenarioReport {
	readonly name: string;
	/** The load, in words. */
	readonly pattern: string;
	readonly seed: number;
	readonly rows: readonly ScenarioRow[];
	readonly goals: readonly ScenarioGoal[];
}

/** A load pattern. */
export interface Scenario {
	readonly name: string;
	run(seed: number): ScenarioReport;
}

export function isMet({ value, bound, isLeast }: ScenarioGoal): boolean {
	return isLeast ? value >= bound : value <= bound;
}

export function createFigure(name: string, value: number, unit: string): Figure {
	return { name, value, unit };
}
