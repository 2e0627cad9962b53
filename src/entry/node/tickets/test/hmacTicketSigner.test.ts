import fc from 'fast-check';
import { getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import type { BootId, InstanceId } from '../../../../core/ids/common/ids';
import { formatTicket, parseTicket } from '../../../common/tickets/ticket';
import { TicketIssuer } from '../../../common/tickets/ticketIssuer';
import { HmacTicketSigner } from '../hmacTicketSigner';

const own = { instance: 'entry-1.kingston' as InstanceId, boot: 'b_-9' as BootId };
const signer = new HmacTicketSigner('a key of today');

describe('tickets with HmacTicketSigner', () => {
	it('are parsed as they were issued, numbered from 1, with an expiry by the clock of the issuer', () => {
		const issuer = new TicketIssuer(own, signer, 120_000);
		const texts = issuer.issueBatch(2, 5.7);
		expect(texts.map(text => parseTicket(text, signer)._unsafeUnwrap())).toEqual([
			{ issuer: own, number: 1, expiresMs: 120_005 },
			{ issuer: own, number: 2, expiresMs: 120_005 },
		]);
	});

	// A caller alters a used ticket to make it look unused. If it were accepted, the call would run a second time.
	it('are refused after any change of a character', () => {
		const text = new TicketIssuer(own, signer, 120_000).issue(0);
		const change = fc.record({ at: fc.nat(text.length - 1), to: fc.string({ minLength: 0, maxLength: 2 }) });
		fc.assert(
			fc.property(change, ({ at, to }) => {
				const altered = text.slice(0, at) + to + text.slice(at + 1);
				return altered === text || parseTicket(altered, signer).isErr();
			}),
			{ seed: 4, numRuns: 2_000 },
		);
	});

	it('are refused when another key signed them, and when their text is not canonical', () => {
		const ticket = { issuer: own, number: 7, expiresMs: 9 };
		expect(parseTicket(formatTicket(ticket, new HmacTicketSigner('another key')), signer).isErr()).toBe(true);
		for (const text of ['1:entry:b:07:9', '1:entry:b:7:-9', '2:entry:b:7:9', '1:entry:b:0:9', '1:e:b:7:9:']) {
			expect(parseTicket(`${text}:${signer.sign(text)}`, signer).isErr()).toBe(true);
		}
	});

	// Entries switch to a new key one after another, and an entry without the new key cannot verify a valid ticket.
	// With the outcome not-run, the caller would pay again although the issuer may have run the call.
	it('remain valid after one key change, and have the outcome unknown at an entry without the key', () => {
		const text = new TicketIssuer(own, signer, 120_000).issue(0);
		expect(parseTicket(text, new HmacTicketSigner('of tomorrow', 'a key of today')).isOk()).toBe(true);
		const error = parseTicket(text, new HmacTicketSigner('of later', 'of tomorrow'))._unsafeUnwrapErr();
		expect(getOutcomeOf(error)).toBe(Outcome.Unknown);
	});
});
