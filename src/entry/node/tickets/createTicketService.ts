/**
 * Puts the ticket work of one start of one entry together, by its settings.
 */

import { randomBytes } from 'node:crypto';
import type { BootId } from '../../../core/ids/common/ids';
import type { EntrySettings } from '../../../core/settings/common/entrySettings';
import { AtMostOnceLedger } from '../../common/atMostOnce/atMostOnceLedger';
import { TicketIssuer } from '../../common/tickets/ticketIssuer';
import type { IEntryDirectory } from '../../common/tickets/ticketRoute';
import { HmacTicketSigner } from './hmacTicketSigner';
import { TicketService } from './ticketService';

/** At 256 bytes a spent ticket, some 50 MB at the most. */
const mostSpentTickets = 200_000;
const ownKeyBytes = 32;

/** Bytes of answers kept for resends. */
const mostKeptAnswerBytes = 33_554_432;

/** Makes the service; nothing of an earlier boot's tickets is known to it. */
export function createTicketService(
	settings: EntrySettings,
	boot: BootId,
	directory: IEntryDirectory,
): TicketService {
	const { instance, tickets } = settings;
	const own = { instance: instance.id, boot };
	// Where no key is shared no tickets are issued, and one of another boot must not be taken for its own.
	const key = tickets.key ?? randomBytes(ownKeyBytes).toString('hex');
	const signer = new HmacTicketSigner(key, tickets.previous_key);
	return new TicketService(
		{ own, region: instance.region },
		signer,
		new TicketIssuer(own, signer, tickets.lifetime_ms),
		new AtMostOnceLedger(own, { maxAnswerBytes: mostKeptAnswerBytes, maxTickets: mostSpentTickets }),
		directory,
	);
}
