import { createRequestError, ErrorKind, getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import type { TypedChart } from '../../../../core/charts/common/typedChart';
import {
	getOutcomeOfState,
	requestChart,
	RequestEvent,
	RequestLifecycle,
	RequestState,
} from '../requestLifecycle';

type Transitions = Pick<TypedChart<RequestState, RequestEvent>, 'findNext'>;

const states = Object.values(RequestState);
const events = Object.values(RequestEvent);
const refusalEvents = [RequestEvent.TargetRefused, RequestEvent.PeerRefused, RequestEvent.RunRefused];

/**
 * Visits every reachable combination of a state and the history of the request: whether an attempt was
 * handed over without an explicit refusal yet, and whether an earlier attempt failed. Returns the paths that
 * reach an outcome of `not-run` although the request may have run.
 */
function findFalseNotRunPaths(chart: Transitions): string[] {
	const falsePaths: string[] = [];
	const seen = new Set<string>();
	const visit = (state: RequestState, isHandedOver: boolean, isInDoubt: boolean, path: string): void => {
		const key = `${state} ${isHandedOver} ${isInDoubt}`;
		if (seen.has(key)) {
			return;
		}
		seen.add(key);
		if (getOutcomeOfState(state) === Outcome.NotRun && (isHandedOver || isInDoubt)) {
			falsePaths.push(path);
		}
		for (const event of events) {
			const next = chart.findNext(state, event);
			if (next === undefined) {
				continue;
			}
			const isBegun = event === RequestEvent.HandOver || event === RequestEvent.Join;
			const isBroken = event === RequestEvent.Retry || event === RequestEvent.Fail;
			const isOver = isBroken || refusalEvents.includes(event);
			visit(next, isBegun || (isHandedOver && !isOver), isInDoubt || isBroken, `${path} ${event}`);
		}
	};
	visit(RequestState.Received, false, false, '');
	return falsePaths;
}

function createLifecycle(...path: RequestEvent[]): RequestLifecycle {
	const life = new RequestLifecycle();
	[RequestEvent.AcceptHead, RequestEvent.Enqueue, ...path].forEach(event => life.send(event));
	return life;
}

const attempt = [RequestEvent.Start, RequestEvent.HandOver];
const overloaded = createRequestError(ErrorKind.Overloaded, 'full');

describe('request chart', () => {
	it('has no path to not-run on which a request may have run', () => {
		expect(findFalseNotRunPaths(requestChart)).toEqual([]);
	});

	// The chart is edited by hand, and a wrong transition is easily added. A caller would then be told that its
	// payment was not run, and would pay again. The search above must find each of these transitions.
	it.each([
		[RequestState.HandedOver, RequestEvent.Fail, RequestState.NotRun],
		[RequestState.HandedOver, RequestEvent.Retry, RequestState.Queued],
		[RequestState.HandedOver, RequestEvent.CallerGone, RequestState.NotRun],
		[RequestState.HandedOverInDoubt, RequestEvent.TargetRefused, RequestState.Queued],
		[RequestState.QueuedInDoubt, RequestEvent.Refuse, RequestState.NotRun],
		[RequestState.Joined, RequestEvent.CallerGone, RequestState.NotRun],
	])('is reported as wrong with a transition from %s by %s to %s', (from, by, to) => {
		const broken: Transitions = {
			findNext: (state, event) => (state === from && event === by ? to : requestChart.findNext(state, event)),
		};
		expect(findFalseNotRunPaths(broken)).not.toEqual([]);
	});

	it('can end from every state that is not final', () => {
		const ends = [RequestState.Answered, RequestState.NotRun, RequestState.Unknown];
		for (const state of states.filter(candidate => !ends.includes(candidate))) {
			expect(ends).toContain(requestChart.findNext(state, RequestEvent.CallerGone));
		}
	});
});

describe('RequestLife', () => {
	// One target accepts the request and crashes. The next one is full and refuses the request without running
	// it. The refusal holds for the second target only, and a caller that was told not-run would run it twice.
	it('ends unknown when one attempt failed and another was refused, in either order', () => {
		const brokenFirst = createLifecycle(
			...attempt,
			RequestEvent.Retry,
			...attempt,
			RequestEvent.TargetRefused,
		);
		expect(getOutcomeOf(brokenFirst.refuse(overloaded))).toBe(Outcome.Unknown);
		const refusedFirst = createLifecycle(
			...attempt,
			RequestEvent.TargetRefused,
			...attempt,
			RequestEvent.Retry,
		);
		expect(getOutcomeOf(refusedFirst.refuse(overloaded))).toBe(Outcome.Unknown);
	});

	it('ends not-run when every target that was asked refused', () => {
		const life = createLifecycle(
			...attempt,
			RequestEvent.TargetRefused,
			...attempt,
			RequestEvent.TargetRefused,
		);
		expect(life.refuse(overloaded)).toEqual(overloaded);
		expect(life.getState()).toBe(RequestState.NotRun);
	});

	it('never changes an unknown outcome of the error kind to not-run', () => {
		const error = createRequestError(ErrorKind.Internal, 'an error before anything was sent');
		expect(getOutcomeOf(createLifecycle().refuse(error))).toBe(Outcome.Unknown);
	});

	it('keeps its final state when it is refused after the end', () => {
		const life = createLifecycle(...attempt, RequestEvent.FirstByte, RequestEvent.LastByte);
		life.refuse(overloaded);
		expect(life.getState()).toBe(RequestState.Answered);
	});
});
