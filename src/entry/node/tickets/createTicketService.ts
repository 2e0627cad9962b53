/**
 * Creates the ticket service for one process start of an entry from its settings.
 */

import { randomBytes } from 'node:crypto';
import type { BootId } from '../../../core/ids/common/ids';
import type { EntrySettings } from '../../../core/settings/common/entrySettings';
import { AtMostOnceLedger } from '../../common/atMostOnce/atMostOnceLedger';
import { TicketIssuer } from '../../common/tickets/ticketIssuer';
import type { IEntryDirectory } from '../../common/tickets/ticketRoute';
import { HmacTicketSigner } from './hmacTicketSigner';
import { TicketService } from './ticketService';

/** Limits the memory for used tickets to some 50 MB, at 256 bytes for each. */
const maxUsedTickets = 200_000;
const generatedKeyBytes = 32;

/** Limits the memory for answers that are kept to be replayed to resent calls. */
const maxCachedAnswerBytes = 33_554_432;

/** Creates the service. It has no record of tickets that earlier process starts issued. */
export function createTicketService(
	settings: EntrySettings,
	boot: BootId,
	directory: IEntryDirectory,
): TicketService {
	const { instance, tickets } = settings;
	const localBoot = { instance: instance.id, boot };
	// Without a shared key no tickets are issued. The random key keeps tickets of other processes from being accepted.
	const key = tickets.key ?? randomBytes(generatedKeyBytes).toString('hex');
	const signer = new HmacTicketSigner(key, tickets.previous_key);
	return new TicketService(
		{ own: localBoot, region: instance.region },
		signer,
		new TicketIssuer(localBoot, signer, tickets.lifetime_ms),
		new AtMostOnceLedger(localBoot, { maxAnswerBytes: maxCachedAnswerBytes, maxTickets: maxUsedTickets }),
		directory,
	);
}
