/**
 * Issues the tickets of one start of one instance.
 */

import type { InstanceBoot, ITicketSigner } from './ticket';
import { formatTicket } from './ticket';

/** Numbers and signs tickets; keeps nothing of a ticket until it is presented. */
export class TicketIssuer {
	private issued = 0;

	/** `lifetimeMs` bounds how long a spent number must be remembered. */
	constructor(
		readonly own: InstanceBoot,
		private readonly signer: ITicketSigner,
		private readonly lifetimeMs: number,
	) {}

	/** The text of a fresh ticket. */
	issue(nowMs: number): string {
		this.issued++;
		const ticket = {
			issuer: this.own,
			number: this.issued,
			expiresMs: Math.floor(nowMs + this.lifetimeMs),
		};
		return formatTicket(ticket, this.signer);
	}

	/** The texts of `count` fresh tickets. */
	issueBatch(count: number, nowMs: number): readonly string[] {
		return Array.from({ length: count }, () => this.issue(nowMs));
	}

	countIssued(): number {
		return this.issued;
	}
}
