/**
 * State charts whose states and events the compiler knows. The file in `charts/` stays the statement of
 * the life; the enums beside the code that follows it are compared with it when the program loads. Without
 * that comparison a state renamed in the file alone would be found by the first request that reaches it.
 */

import type { StateChartDefinition } from '../../../base/common/stateChart';
import { StateChart, StateChartError, StateChartInterpreter } from '../../../base/common/stateChart';

/** The values of a string enum. */
type EnumValues<TValue extends string> = Readonly<Record<string, TValue>>;

function checkNames(
	chartId: string,
	what: string,
	inFile: readonly string[],
	inCode: readonly string[],
): void {
	const unknown = inFile.filter(name => !inCode.includes(name));
	const missing = inCode.filter(name => !inFile.includes(name));
	if (unknown.length > 0 || missing.length > 0) {
		throw new StateChartError(
			`${chartId}: ${what} only in the file: ${unknown.join(' ')}; only in the code: ${missing.join(' ')}`,
		);
	}
}

/** A chart together with the enums of its states and events. */
export class TypedChart<TState extends string, TEvent extends string> {
	readonly chart: StateChart;

	/** Throws a ChartError where the file and the enums name different states or events. */
	constructor(file: StateChartDefinition, states: EnumValues<TState>, events: EnumValues<TEvent>) {
		this.chart = new StateChart(file);
		const fileStates = this.chart.listStates();
		const fileEvents = new Set(fileStates.flatMap(state => this.chart.listEvents(state)));
		checkNames(file.id, 'states', fileStates, Object.values(states));
		checkNames(file.id, 'events', [...fileEvents], Object.values(events));
	}

	/** The state that an event leads to, or undefined where the chart has no such edge. */
	findNext(state: TState, event: TEvent): TState | undefined {
		return this.chart.findNextState(state, event) as TState | undefined;
	}
}

/** One life on a typed chart. */
export class TypedWalk<TState extends string, TEvent extends string> {
	private readonly walk: StateChartInterpreter;

	constructor(chart: TypedChart<TState, TEvent>) {
		this.walk = new StateChartInterpreter(chart.chart);
	}

	getState(): TState {
		return this.walk.getState() as TState;
	}

	isEnded(): boolean {
		return this.walk.isEnded();
	}

	/** Follows an event's edge and gives the new state; an event without an edge is a ChartError. */
	send(event: TEvent): TState {
		return this.walk.send(event) as TState;
	}

	/** Follows an event's edge where there is one, and says whether there was. */
	accept(event: TEvent): boolean {
		return this.walk.accept(event);
	}
}
