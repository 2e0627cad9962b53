/**
 * State charts. The states and events of requests, targets, manifests and instances are defined in `charts/*.json`, in
 * the format of xstate. The interpreter uses a flat transition table that is built once from the definition, because a
 * pure transition of xstate takes tens of microseconds, which is too slow for the request path. Tests load the same
 * files into xstate and compare the results.
 */

/** One state of a definition: the next state for each event, or `type: 'final'`. */
export interface StateDefinition {
	readonly type?: string;
	readonly on?: Readonly<Record<string, string>>;
}

/** A flat state chart: no nested states, guards or actions. */
export interface StateChartDefinition {
	readonly id: string;
	readonly initial: string;
	readonly states: Readonly<Record<string, StateDefinition>>;
}

/** Thrown for an invalid definition or transition. Indicates a bug in the program, never invalid input. */
export class StateChartError extends Error {}

/** The validated transition table of a state chart, shared by all its interpreters. */
export class StateChart {
	readonly id: string;
	readonly initial: string;
	private readonly transitions = new Map<string, ReadonlyMap<string, string>>();

	constructor(definition: StateChartDefinition) {
		this.id = definition.id;
		this.initial = definition.initial;
		for (const [state, { on }] of Object.entries(definition.states)) {
			this.transitions.set(state, new Map(Object.entries(on ?? {})));
		}
		this.checkTransitions();
	}

	listStates(): string[] {
		return [...this.transitions.keys()];
	}

	listEvents(state: string): string[] {
		return [...(this.transitions.get(state)?.keys() ?? [])];
	}

	/** Returns the state after an event, or undefined if the state has no transition for it. */
	findNextState(state: string, event: string): string | undefined {
		return this.transitions.get(state)?.get(event);
	}

	isFinal(state: string): boolean {
		return this.transitions.get(state)?.size === 0;
	}

	private checkTransitions(): void {
		if (!this.transitions.has(this.initial)) {
			throw new StateChartError(`${this.id}: the initial state ${this.initial} is not a state`);
		}
		for (const [state, stateTransitions] of this.transitions) {
			for (const [event, next] of stateTransitions) {
				if (!this.transitions.has(next)) {
					throw new StateChartError(
						`${this.id}: ${event} leads from ${state} to ${next}, which is not a state`,
					);
				}
			}
		}
	}
}

/** Holds the current state of one object that follows a state chart. */
export class StateChartInterpreter {
	private current: string;

	constructor(private readonly chart: StateChart) {
		this.current = chart.initial;
	}

	getState(): string {
		return this.current;
	}

	isEnded(): boolean {
		return this.chart.isFinal(this.current);
	}

	/** Applies an event and returns the new state. Throws a StateChartError if the state has no transition for it. */
	send(event: string): string {
		const next = this.chart.findNextState(this.current, event);
		if (next === undefined) {
			throw new StateChartError(`${this.chart.id}: no transition for ${event} in state ${this.current}`);
		}
		this.current = next;
		return next;
	}

	/** Applies an event if the state has a transition for it. Returns whether it has. */
	accept(event: string): boolean {
		const next = this.chart.findNextState(this.current, event);
		if (next === undefined) {
			return false;
		}
		this.current = next;
		return true;
	}
}
