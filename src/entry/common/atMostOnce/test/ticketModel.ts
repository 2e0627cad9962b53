/**
 * A small model of entries, callers and targets for property-based tests of tickets: three entries of one
 * region, a clock, requests that arrive in any order, and a count of the calls that the target really ran.
 */

import type { RequestError } from '../../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind, getOutcomeOf } from '../../../../core/errors/common/errorKinds';
import { Outcome } from '../../../../core/errors/common/outcome';
import type { BootId, Fingerprint, InstanceId, RegionName } from '../../../../core/ids/common/ids';
import type { InstanceBoot, ITicketSigner, Ticket } from '../../tickets/ticket';
import { parseTicket } from '../../tickets/ticket';
import { TicketIssuer } from '../../tickets/ticketIssuer';
import type { IEntryDirectory } from '../../tickets/ticketRoute';
import { decideTicketRoute, withUnknownOutcome, TicketRouteKind } from '../../tickets/ticketRoute';
import type { IAtMostOnceLedger } from '../atMostOnceLedger';
import { AtMostOnceLedger, ReceiveKind } from '../atMostOnceLedger';
import type { RunResult, TicketRun } from '../ticketRun';
import { RunResultKind } from '../ticketRun';

export const entryCount = 3;
export const ticketsPerEntry = 2;
const lifetimeMs = 1_000;
const region = 'kingston' as RegionName;

/** How the entries of the model decide. A broken variant replaces one part. */
export interface DecisionRules {
	createLedger(own: InstanceBoot): IAtMostOnceLedger;
	decideRoute: typeof decideTicketRoute;
	withUnknownOutcome: typeof withUnknownOutcome;
}

export const correctRules: DecisionRules = {
	createLedger: own => new AtMostOnceLedger(own, { maxAnswerBytes: 2_000, maxTickets: 20 }),
	decideRoute: decideTicketRoute,
	withUnknownOutcome,
};

/** The ways in which an attempt fails: the error kind for the caller, and whether the target ran the call. */
export const failures = [
	{ kind: ErrorKind.TargetRefused, isRun: false },
	{ kind: ErrorKind.NoTarget, isRun: false },
	{ kind: ErrorKind.TargetFailed, isRun: true },
	{ kind: ErrorKind.TargetSilent, isRun: true },
];

export type Action =
	'send' | 'sendUnread' | 'forge' | 'answer' | 'fail' | 'restart' | 'freeze' | 'wake' | 'wait';

/** One step of a model run. Each action uses only the fields that it needs. */
export interface Step {
	readonly action: Action;
	readonly entry: number;
	readonly ticket: number;
	readonly body: number;
	readonly failure: number;
	readonly waitMs: number;
}

interface Entry {
	readonly own: InstanceBoot;
	readonly ledger: IAtMostOnceLedger;
	readonly issuer: TicketIssuer;
	readonly running: { readonly text: string; readonly body: number; readonly run: TicketRun }[];
	/** Messages that arrived while the process was suspended, or undefined while it runs. */
	inbox: (() => void)[] | undefined;
}

/**
 * A checksum instead of a signature, which is enough for a model: the sum of the bytes, weighted by
 * position.
 */
const signer: ITicketSigner = {
	sign: text => String(Buffer.from(text).reduce((sum, byte, index) => sum + byte * (index + 7), 0)),
	verify: (text, check) => signer.sign(text) === check,
};

export class TicketModel {
	readonly faults: string[] = [];
	readonly runs = new Map<string, number>();
	readonly told = new Map<string, Set<string>>();
	private bootCount = 0;
	private nowMs = 0;
	private readonly entries: Entry[];
	private readonly tickets: readonly string[];
	private readonly directory: IEntryDirectory = {
		findEntry: instance => ({ own: this.entries[Number(instance)]!.own, region }),
	};

	constructor(private readonly rules: DecisionRules) {
		this.entries = Array.from({ length: entryCount }, (_, index) => this.createEntry(index));
		this.tickets = this.entries.flatMap(({ issuer }) => issuer.issueBatch(ticketsPerEntry, 0));
	}

	applyStep({ action, entry: index, ticket, body, failure, waitMs }: Step): void {
		const entry = this.entries[index]!;
		const text = this.tickets[ticket]!;
		const actions: Record<Action, () => void> = {
			send: () => {
				this.receive(index, text, body, false);
			},
			sendUnread: () => {
				this.receive(index, text, undefined, false);
			},
			forge: () => {
				this.submitForged(text);
			},
			answer: () => {
				this.end(entry, undefined);
			},
			fail: () => {
				this.end(entry, failures[failure]);
			},
			restart: () => {
				entry.running.forEach(running => {
					this.countRun(running.text);
				});
				this.entries[index] = this.createEntry(index);
			},
			freeze: () => (entry.inbox ??= []),
			wake: () => {
				this.resumeEntry(entry);
			},
			wait: () => (this.nowMs += waitMs),
		};
		actions[action]();
	}

	/**
	 * Resumes every suspended entry, answers every run, and compares the outcomes that callers got with the
	 * runs.
	 */
	finish(): void {
		this.entries.forEach(entry => {
			this.resumeEntry(entry);
		});
		for (const entry of this.entries) {
			while (entry.running.length > 0) {
				this.end(entry, undefined);
			}
		}
		for (const [text, count] of this.runs) {
			if (count > 1 || this.told.get(text)?.has(Outcome.NotRun) === true) {
				this.faults.push(`${text} ran ${count} times, callers were told ${[...this.told.get(text)!].join()}`);
			}
		}
	}

	private createEntry(index: number): Entry {
		const own = { instance: String(index) as InstanceId, boot: `boot${this.bootCount++}` as BootId };
		const issuer = new TicketIssuer(own, signer, lifetimeMs);
		return { own, ledger: this.rules.createLedger(own), issuer, running: [], inbox: undefined };
	}

	private receive(to: number, text: string, body: number | undefined, isForwarded: boolean): void {
		const entry = this.entries[to]!;
		const handle = (): void => {
			this.handle(entry, text, body, isForwarded);
		};
		if (entry.inbox === undefined) {
			handle();
		} else {
			entry.inbox.push(handle);
		}
	}

	private handle(entry: Entry, text: string, body: number | undefined, isForwarded: boolean): void {
		const ticket = parseTicket(text, signer)._unsafeUnwrap();
		const route = this.rules.decideRoute(ticket, { own: entry.own, region }, this.directory, isForwarded);
		if (route.kind === TicketRouteKind.Own) {
			this.handleOwnTicket(entry, ticket, text, body);
		} else if (route.kind === TicketRouteKind.Refuse) {
			this.recordOutcome(text, this.rules.withUnknownOutcome(route.error));
		} else {
			this.forward(Number(route.to), text, body);
		}
	}

	/** A suspended issuer times out for the caller, and handles the message when it resumes. */
	private forward(to: number, text: string, body: number | undefined): void {
		if (this.entries[to]!.inbox !== undefined) {
			const silent = createRequestError(ErrorKind.PeerUnreachable, 'the issuer does not respond');
			this.recordOutcome(text, this.rules.withUnknownOutcome(silent));
		}
		this.receive(to, text, body, true);
	}

	private handleOwnTicket(entry: Entry, ticket: Ticket, text: string, body: number | undefined): void {
		if (body === undefined) {
			const tooLarge = createRequestError(ErrorKind.BodyTooLarge, 'too large');
			this.recordOutcome(text, entry.ledger.refuseUnreadCall(ticket, tooLarge, this.nowMs));
			return;
		}
		const decision = entry.ledger.receive(ticket, `body-${body}` as Fingerprint, this.nowMs);
		if (decision.kind === ReceiveKind.Refuse) {
			this.recordOutcome(text, decision.error);
			return;
		}
		if (decision.kind === ReceiveKind.Replay) {
			this.recordResult(text, body, { kind: RunResultKind.Answered, answer: decision.answer });
			return;
		}
		if (decision.kind === ReceiveKind.Run) {
			entry.running.push({ text, body, run: decision.run });
		}
		decision.run.waitForEnd(end => {
			this.recordResult(text, body, end);
		});
	}

	private recordResult(text: string, body: number, result: RunResult): void {
		if (result.kind === RunResultKind.Failed) {
			this.recordOutcome(text, result.error);
			return;
		}
		const answer = new TextDecoder().decode(result.answer?.body);
		if (answer !== `${text} ${body}`) {
			this.faults.push(`${text} with body ${body} was answered ${answer}`);
		}
		this.recordOutcome(text, undefined);
	}

	private recordOutcome(text: string, error: RequestError | undefined): void {
		const outcome = error === undefined ? Outcome.Answered : getOutcomeOf(error);
		this.told.set(text, (this.told.get(text) ?? new Set()).add(outcome));
	}

	private countRun(text: string): void {
		this.runs.set(text, (this.runs.get(text) ?? 0) + 1);
	}

	/** Ends the oldest run of an entry that is not suspended, with an answer unless a failure is given. */
	private end(entry: Entry, failure: (typeof failures)[number] | undefined): void {
		const running = entry.inbox === undefined ? entry.running.shift() : undefined;
		if (running === undefined) {
			return;
		}
		const { text, body, run } = running;
		if (failure?.isRun !== false) {
			this.countRun(text);
		}
		const encoded = new TextEncoder().encode(`${text} ${body}`);
		const answer = { status: 200, headers: [], body: encoded, endsWithConnection: false };
		run.end(
			failure === undefined
				? { kind: RunResultKind.Answered, answer }
				: { kind: RunResultKind.Failed, error: createRequestError(failure.kind, 'the attempt') },
		);
	}

	private resumeEntry(entry: Entry): void {
		const inbox = entry.inbox ?? [];
		entry.inbox = undefined;
		inbox.forEach(handle => {
			handle();
		});
	}

	private submitForged(text: string): void {
		const { number } = parseTicket(text, signer)._unsafeUnwrap();
		const forged = text.replace(`:${number}:`, `:${number + 1}:`);
		if (parseTicket(forged, signer).isOk()) {
			this.faults.push(`${forged} was accepted`);
		}
	}
}
