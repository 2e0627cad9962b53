/**
 * Types for load patterns and their reports: the figures of each scheduler under comparison, and the goals that the
 * product's scheduler has to meet.
 */

/** One measured figure. */
export interface Figure {
	readonly name: string;
	readonly value: number;
	readonly unit: string;
}

/** Cost of scheduling or routing decisions in one setting. */
export interface CostRow {
	readonly setting: string;
	readonly figures: readonly Figure[];
}

/** The figures of one scheduler under comparison. */
export interface ScenarioRow {
	readonly contender: string;
	readonly figures: readonly Figure[];
}

/** A goal that the product's scheduler has to meet. */
export interface ScenarioGoal {
	readonly text: string;
	readonly value: number;
	/** Upper bound of the value, or lower bound if `isLeast` is set. */
	readonly bound: number;
	readonly isLeast: boolean;
}

export interface ScenarioReport {
	readonly name: string;
	/** Description of the load for the report. */
	readonly pattern: string;
	readonly seed: number;
	readonly rows: readonly ScenarioRow[];
	readonly goals: readonly ScenarioGoal[];
}

/** A load pattern that can be run with a random seed. */
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
