import { createRequestError, ErrorKind, getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import type { BootId, InstanceId, RegionName } from '../../../../core/ids/common/ids';
import { decideTicketRoute, withUnknownOutcome, TicketRouteKind } from '../ticketRoute';

const [kingston, ocho] = ['kingston', 'ocho'] as [RegionName, RegionName];

function createEntry(
	instance: string,
	region = kingston,
): { own: { instance: InstanceId; boot: BootId }; region: RegionName } {
	return { own: { instance: instance as InstanceId, boot: 'b1' as BootId }, region };
}

const own = createEntry('entry-1');
const knownEntries = [own, createEntry('entry-2'), createEntry('entry-3', ocho)];
const directory = {
	findEntry: (instance: InstanceId) => knownEntries.find(other => other.own.instance === instance),
};

describe('decideTicketRoute', () => {
	it.each([
		['its own ticket', 'entry-1', 'b1', false, { kind: TicketRouteKind.Own }],
		['its own ticket forwarded', 'entry-1', 'b1', true, { kind: TicketRouteKind.Own }],
		['a ticket of a peer', 'entry-2', 'b1', false, { kind: TicketRouteKind.Forward, to: 'entry-2' }],
		[
			'a ticket of a boot that is not in the fleet view',
			'entry-2',
			'b9',
			false,
			{ kind: TicketRouteKind.Forward, to: 'entry-2' },
		],
	])('accepts or forwards %s', (_, instance, boot, isForwarded, route) => {
		const issuer = { instance: instance as InstanceId, boot: boot as BootId };
		expect(decideTicketRoute({ issuer, number: 1, expiresMs: 1 }, own, directory, isForwarded)).toEqual(
			route,
		);
	});

	// The only entry that has a record of the call cannot be reached. On another entry the call could run a
	// second time, and the caller must not be told that it did not run.
	it.each([
		['of its own earlier boot', 'entry-1', 'b0', false],
		['that was forwarded to the wrong entry', 'entry-2', 'b1', true],
		['of another region', 'entry-3', 'b1', false],
		['of an entry that is not in the fleet view', 'entry-4', 'b1', false],
	])('refuses a ticket %s as unknown', (_, instance, boot, isForwarded) => {
		const issuer = { instance: instance as InstanceId, boot: boot as BootId };
		const route = decideTicketRoute({ issuer, number: 1, expiresMs: 1 }, own, directory, isForwarded);
		expect(route).toMatchObject({ error: { kind: ErrorKind.TicketIssuerGone, isOutcomeUnknown: true } });
	});

	it('gives a refusal the outcome unknown at an entry that did not issue the ticket', () => {
		expect(getOutcomeOf(withUnknownOutcome(createRequestError(ErrorKind.Overloaded, '')))).toBe(
			Outcome.Unknown,
		);
	});
});
