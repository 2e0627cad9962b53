/**
 * State charts. The states and events of a life (of a request, a target, an order, a manifest, an
 * instance) stand in `charts/*.json`, in the form that xstate reads; this interpreter walks a flat table
 * made from the file once, since xstate's own pure transition costs tens of microseconds a step, which
 * the request path cannot spend. Tests hand the same files to xstate and compare the two.
 */

/** One state of a chart file: where each event leads, or that the state is final. */
export interface ChartStateFile {
	readonly type?: string;
	readonly on?: Readonly<Record<string, string>>;
}

/** A chart file, flat: no nesting, guards or actions. */
export interface ChartFile {
	readonly id: string;
	readonly initial: string;
	readonly states: Readonly<Record<string, ChartStateFile>>;
}

/** Thrown for an event that a state has no edge for: a fault of the program, never of its input. */
export class ChartError extends Error {}

/** The checked table of a chart; one is shared by every life that follows it. */
export class Chart {
	readonly id: string;
	readonly initial: string;
	private readonly table = new Map<string, ReadonlyMap<string, string>>();

	constructor(file: ChartFile) {
		this.id = file.id;
		this.initial = file.initial;
		for (const [state, { on }] of Object.entries(file.states)) {
			this.table.set(state, new Map(Object.entries(on ?? {})));
		}
		this.checkEdges();
	}

	listStates(): string[] {
		return [...this.table.keys()];
	}

	listEvents(state: string): string[] {
		return [...(this.table.get(state)?.keys() ?? [])];
	}

	/** The state that an event leads to, or undefined where the chart has no such edge. */
	findNext(state: string, event: string): string | undefined {
		return this.table.get(state)?.get(event);
	}

	isFinal(state: string): boolean {
		return this.table.get(state)?.size === 0;
	}

	private checkEdges(): void {
		if (!this.table.has(this.initial)) {
			throw new ChartError(`${this.id}: the initial state ${this.initial} is not a state`);
		}
		for (const [state, edges] of this.table) {
			for (const [event, next] of edges) {
				if (!this.table.has(next)) {
					throw new ChartError(`${this.id}: ${event} leads from ${state} to ${next}, which is not a state`);
				}
			}
		}
	}
}

/** One life on a chart. */
export class ChartWalk {
	private current: string;

	constructor(private readonly chart: Chart) {
		this.current = chart.initial;
	}

	getState(): string {
		return this.current;
	}

	isEnded(): boolean {
		return this.chart.isFinal(this.current);
	}

	/** Follows an event's edge and gives the new state; an event without an edge is a ChartError. */
	send(event: string): string {
		const next = this.chart.findNext(this.current, event);
		if (next === undefined) {
			throw new ChartError(`${this.chart.id}: no edge for ${event} in state ${this.current}`);
		}
		this.current = next;
		return next;
	}

	/** Follows an event's edge where there is one, and says whether there was. */
	accept(event: string): boolean {
		const next = this.chart.findNext(this.current, event);
		if (next === undefined) {
			return false;
		}
		this.current = next;
		return true;
	}
}
