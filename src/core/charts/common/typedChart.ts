/**
 * State charts with typed states and events. The files in `charts/` define the states and transitions; the enums in the
 * code are compared with them when a module is loaded. Otherwise a state renamed only in the file would be detected only
 * by the first request that reaches it.
 */

import type { StateChartDefinition } from '../../../base/common/stateChart';
import { StateChart, StateChartError, StateChartInterpreter } from '../../../base/common/stateChart';

/** The values of a string enum. */
type EnumValues<TValue extends string> = Readonly<Record<string, TValue>>;

function checkNames(
	chartId: string,
	kind: string,
	inFile: readonly string[],
	inCode: readonly string[],
): void {
	const unknown = inFile.filter(name => !inCode.includes(name));
	const missing = inCode.filter(name => !inFile.includes(name));
	if (unknown.length > 0 || missing.length > 0) {
		throw new StateChartError(
			`${chartId}: ${kind} only in the file: ${unknown.join(' ')}; only in the code: ${missing.join(' ')}`,
		);
	}
}

/** A chart together with the enums of its states and events. */
export class TypedChart<TState extends string, TEvent extends string> {
	readonly chart: StateChart;

	/** Throws a StateChartError if the file and the enums define different states or events. */
	constructor(file: StateChartDefinition, states: EnumValues<TState>, events: EnumValues<TEvent>) {
		this.chart = new StateChart(file);
		const fileStates = this.chart.listStates();
		const fileEvents = new Set(fileStates.flatMap(state => this.chart.listEvents(state)));
		checkNames(file.id, 'states', fileStates, Object.values(states));
		checkNames(file.id, 'events', [...fileEvents], Object.values(events));
	}

	/** Returns the state after an event, or undefined if the chart has no such transition. */
	findNext(state: TState, event: TEvent): TState | undefined {
		return this.chart.findNextState(state, event) as TState | undefined;
	}
}

/** Current state on a typed chart. */
export class TypedStateMachine<TState extends string, TEvent extends string> {
	private readonly machine: StateChartInterpreter;

	constructor(chart: TypedChart<TState, TEvent>) {
		this.machine = new StateChartInterpreter(chart.chart);
	}

	getState(): TState {
		return this.machine.getState() as TState;
	}

	isEnded(): boolean {
		return this.machine.isEnded();
	}

	/** Makes the transition of an event and returns the new state; throws a ChartError if there is none. */
	send(event: TEvent): TState {
		return this.machine.send(event) as TState;
	}

	/** Makes the transition of an event if there is one, and returns whether there was. */
	accept(event: TEvent): boolean {
		return this.machine.accept(event);
	}
}
