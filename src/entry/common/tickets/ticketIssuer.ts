/**
 * Issues the tickets of one boot of one instance.
 */

import type { InstanceBoot, ITicketSigner } from './ticket';
import { formatTicket } from './ticket';

/** Numbers and signs tickets. An issued ticket takes no memory until it is presented. */
export class TicketIssuer {
	private issued = 0;

	/** `lifetimeMs` limits how long the number of a spent ticket must stay recorded. */
	constructor(
		readonly own: InstanceBoot,
		private readonly signer: ITicketSigner,
		private readonly lifetimeMs: number,
	) {}

	/** The text of a new ticket. */
	issue(nowMs: number): string {
		this.issued++;
		const ticket = {
			issuer: this.own,
			number: this.issued,
			expiresMs: Math.floor(nowMs + this.lifetimeMs),
		};
		return formatTicket(ticket, this.signer);
	}

	/** The texts of `count` new tickets. */
	issueBatch(count: number, nowMs: number): readonly string[] {
		return Array.from({ length: count }, () => this.issue(nowMs));
	}

	countIssued(): number {
		return this.issued;
	}
}
