/**
 * Scenarios with invalid requests. Each is refused with an error kind of the fixed list and the
 * outcome "not-run", which guarantees that no target ran the request.
 */

import { headers } from '../../../core/headers/common/headers';
import { describeAnswer, getErrorKind, getOutcome, parseJson } from '../caller';
import { parseAdvertisedEntries } from '../lookup';
import { organisations, regions, services } from '../exampleNames';
import type { IScenario, Observation, ServiceCall, DeploymentContext } from '../scenario';
import { createServiceCall, getEntry } from '../scenario';

/** A request that must be refused with one status and error kind. */
class RefusalScenario implements IScenario {
	readonly caller = 'careless program, kingston';
	readonly expects: string;

	constructor(
		readonly request: string,
		private readonly call: ServiceCall,
		private readonly status: number,
		private readonly errorKind: string,
	) {
		this.expects = `${status} not-run ${errorKind}`;
	}

	async run(context: DeploymentContext): Promise<Observation> {
		const { callers } = getEntry(context, regions.kingston);
		const answer = await context.caller.send(createServiceCall(callers, this.call));
		const isRight =
			answer.status === this.status &&
			getOutcome(answer) === 'not-run' &&
			getErrorKind(answer) === this.errorKind;
		return { isRight, received: describeAnswer(answer) };
	}
}

class WrongRegionScenario implements IScenario {
	readonly caller = 'office of montego, calling ocho';
	readonly request = 'a read for an organisation whose home is montego';
	readonly expects = '421 with the entries of montego, then an answer from one of them';

	async run(context: DeploymentContext): Promise<Observation> {
		const call = { service: services.bookings, path: '/bytes?n=100', organisation: organisations.montego };
		const refusal = await context.caller.send(
			createServiceCall(getEntry(context, regions.ocho).callers, call),
		);
		const advertised = parseAdvertisedEntries(parseJson(refusal));
		const isRightRegion =
			advertised.length > 0 && advertised.every(entry => entry.region === regions.montego);
		if (refusal.status !== 421 || !isRightRegion) {
			return { isRight: false, received: `${describeAnswer(refusal)}, ${advertised.length} entries listed` };
		}
		const answer = await context.caller.send(createServiceCall(advertised[0]?.url ?? '', call));
		return {
			isRight: getOutcome(answer) === 'answered' && answer.body.length === 100,
			received: `${refusal.status}, then at ${advertised[0]?.instance ?? ''} ${describeAnswer(answer)}`,
		};
	}
}

/** One byte above the default limit of an entry for request bodies. */
const oversizedBodyBytes = 8 * 1_048_576 + 1;
const oversizedHeader = 'x'.repeat(20_000);

/** Creates the scenarios in their order. */
export function createRefusalScenarios(): IScenario[] {
	const read = { service: services.bookings, path: '/bytes?n=1', organisation: organisations.kingston };
	return [
		new WrongRegionScenario(),
		new RefusalScenario(
			'a service that does not exist',
			{ ...read, service: 'window-dreams' },
			404,
			'unknown-service',
		),
		new RefusalScenario(
			'a deadline of "soon"',
			{ ...read, headers: { [headers.deadlineMs]: 'soon' } },
			400,
			'malformed-deadline',
		),
		new RefusalScenario(
			'no organisation',
			{ service: read.service, path: read.path },
			400,
			'organisation-missing',
		),
		new RefusalScenario(
			'an organisation that does not exist',
			{ ...read, organisation: 'no-such-hotel' },
			403,
			'organisation-unknown',
		),
		new RefusalScenario(
			'a head of 20 kB',
			{ ...read, headers: { 'x-oversized': oversizedHeader } },
			431,
			'head-too-large',
		),
		new RefusalScenario(
			'a body of more than 8 MiB',
			{ ...read, path: '/echo', body: new Uint8Array(oversizedBodyBytes) },
			413,
			'body-too-large',
		),
	];
}
