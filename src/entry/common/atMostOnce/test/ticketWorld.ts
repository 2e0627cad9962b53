/**
 * A small model of entries, callers and targets for the properties of tickets: three entries of one
 * region, a clock, messages that arrive in any order, and a count of what the target really ran.
 */

import { createRequestError, ErrorKind, getOutcomeOf } from '../../../../platform/errors/common/errorKinds';
import type { RequestError } from '../../../../platform/errors/common/errorKinds';
import { Outcome } from '../../../../platform/errors/common/outcome';
import type { BootId, Fingerprint, InstanceId, RegionName } from '../../../../platform/ids/common/ids';
import type { InstanceBoot, ITicketSigner, Ticket } from '../../tickets/ticket';
import { parseTicket } from '../../tickets/ticket';
import { TicketIssuer } from '../../tickets/ticketIssuer';
import { decideTicketRoute, refuseAsOther, TicketRouteKind } from '../../tickets/ticketRoute';
import type { IAtMostOnceLedger } from '../atMostOnceLedger';
import { AtMostOnceLedger, ReceiveKind } from '../atMostOnceLedger';
import type { RunEnd, TicketRun } from '../ticketRun';
import { RunEndKind } from '../ticketRun';

export const entryCount = 3;
const lifetimeMs = 1_000;
const region = 'kingston' as RegionName;

/** How the world's entries decide; a broken variant replaces one part. */
export interface Rules {
	createLedger(own: InstanceBoot): IAtMostOnceLedger;
	decideRoute: typeof decideTicketRoute;
	refuseAsOther(error: RequestError): RequestError;
}

export const soundRules: Rules = {
	createLedger: own => new AtMostOnceLedger(own, { mostAnswerBytes: 2_000, mostTickets: 20 }),
	decideRoute: decideTicketRoute,
	refuseAsOther,
};

/** How an attempt fares at the target. */
export enum Fate {
	Answered,
	RefusedByTarget,
	NotConnected,
	RunThenLost,
	LostThenRunLate,
}

export type Step =
	| { readonly do: 'send'; readonly ticket: number; readonly entry: number; readonly body: number }
	| { readonly do: 'end'; readonly entry: number; readonly fate: Fate }
	| { readonly do: 'refuseUnread' | 'forge'; readonly ticket: number; readonly entry: number }
	| { readonly do: 'restart' | 'freeze' | 'thaw'; readonly entry: number }
	| { readonly do: 'wait'; readonly ms: number };

interface Entry {
	readonly own: InstanceBoot;
	readonly ledger: IAtMostOnceLedger;
	readonly issuer: TicketIssuer;
	readonly running: { readonly text: string; readonly body: number; readonly run: TicketRun }[];
	inbox: (() => void)[] | undefined;
}

/** A keyed check good enough for a model: the sum of the characters, weighed by their place. */
const signer: ITicketSigner = {
	sign: text => String(Buffer.from(text).reduce((sum, byte, index) => sum + byte * (index + 7), 0)),
	verify: (text, check) => signer.sign(text) === check,
};

export class TicketWorld {
	readonly faults: string[] = [];
	readonly runs = new Map<string, number>();
	readonly told = new Map<string, Set<string>>();
	private readonly tickets: string[];
	private readonly entries: Entry[];
	private bootCount = 0;
	private nowMs = 0;

	constructor(private readonly rules: Rules) {
		this.entries = Array.from({ length: entryCount }, (_, index) => this.createEntry(index));
		this.tickets = this.entries.flatMap(entry => entry.issuer.issueBatch(2, 0));
	}

	take(step: Step): void {
		switch (step.do) {
			case 'send':
			case 'refuseUnread':
				this.receive(
					step.entry,
					this.getTicket(step.ticket),
					step.do === 'send' ? step.body : undefined,
					false,
				);
				return;
			case 'forge':
				this.submitForged(this.getTicket(step.ticket), step.entry);
				return;
			case 'end':
				this.end(this.entries[step.entry]!, step.fate);
				return;
			case 'restart':
				this.startAgain(step.entry);
				return;
			case 'freeze':
				this.entries[step.entry]!.inbox ??= [];
				return;
			case 'thaw':
				this.release(this.entries[step.entry]!);
				return;
			case 'wait':
				this.nowMs += step.ms;
		}
	}

	/** Lets every sleeper wake and every run end answered; then checks what callers were told. */
	finish(): void {
		this.entries.forEach(entry => {
			this.release(entry);
		});
		this.entries.forEach(entry => {
			while (entry.running.length > 0) {
				this.end(entry, Fate.Answered);
			}
		});
		for (const [text, count] of this.runs) {
			const isToldNotRun = this.told.get(text)?.has(Outcome.NotRun) === true;
			if (count > 1 || isToldNotRun) {
				this.faults.push(`${text} ran ${count} times, told not-run: ${isToldNotRun}`);
			}
		}
	}

	private createEntry(index: number): Entry {
		const boot = `boot${this.bootCount++}` as BootId;
		const own = { instance: `entry-${index}` as InstanceId, boot };
		const issuer = new TicketIssuer(own, signer, lifetimeMs);
		return { own, ledger: this.rules.createLedger(own), issuer, running: [], inbox: undefined };
	}

	private getTicket(index: number): string {
		return this.tickets[index % this.tickets.length]!;
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
		const directory = {
			findEntry: (instance: InstanceId) => {
				const found = this.entries.find(other => other.own.instance === instance);
				return found === undefined ? undefined : { own: found.own, region };
			},
		};
		const route = this.rules.decideRoute(ticket, { own: entry.own, region }, directory, isForwarded);
		if (route.kind === TicketRouteKind.Own) {
			this.decide(entry, ticket, text, body);
			return;
		}
		if (route.kind === TicketRouteKind.Refuse) {
			this.noteFault(text, this.rules.refuseAsOther(route.error));
			return;
		}
		this.forward(Number(route.to.slice(-1)), text, body);
	}

	/** A frozen issuer is given up on, and reads the message when it wakes. */
	private forward(to: number, text: string, body: number | undefined): void {
		if (this.entries[to]!.inbox !== undefined) {
			const unreachable = createRequestError(ErrorKind.PeerUnreachable, 'the issuer is silent');
			this.noteFault(text, this.rules.refuseAsOther(unreachable));
		}
		this.receive(to, text, body, true);
	}

	private decide(entry: Entry, ticket: Ticket, text: string, body: number | undefined): void {
		if (body === undefined) {
			const tooLarge = createRequestError(ErrorKind.BodyTooLarge, 'too large');
			this.noteFault(text, entry.ledger.refuseUnread(ticket, tooLarge, this.nowMs));
			return;
		}
		const decision = entry.ledger.receive(ticket, `body-${body}` as Fingerprint, this.nowMs);
		if (decision.kind === ReceiveKind.Refuse) {
			this.noteFault(text, decision.error);
			return;
		}
		if (decision.kind === ReceiveKind.Replay) {
			this.noteEnd(text, body, { kind: RunEndKind.Answered, answer: decision.answer });
			return;
		}
		if (decision.kind === ReceiveKind.Run) {
			entry.running.push({ text, body, run: decision.run });
		}
		decision.run.waitForEnd(end => {
			this.noteEnd(text, body, end);
		});
	}

	private noteEnd(text: string, body: number, end: RunEnd): void {
		if (end.kind === RunEndKind.Failed) {
			this.noteFault(text, end.error);
			return;
		}
		const said = new TextDecoder().decode(end.answer?.body);
		if (said !== `${text} ${body}`) {
			this.faults.push(`${text} with body ${body} was answered ${said}`);
		}
		this.note(text, Outcome.Answered);
	}

	private noteFault(text: string, error: RequestError): void {
		this.note(text, getOutcomeOf(error));
	}

	private note(text: string, outcome: Outcome): void {
		this.told.set(text, (this.told.get(text) ?? new Set()).add(outcome));
	}

	private end(entry: Entry, fate: Fate): void {
		const running = entry.inbox === undefined ? entry.running.shift() : undefined;
		if (running === undefined) {
			return;
		}
		const { text, body, run } = running;
		if (fate === Fate.Answered || fate === Fate.RunThenLost || fate === Fate.LostThenRunLate) {
			this.runs.set(text, (this.runs.get(text) ?? 0) + 1);
		}
		const bytes = new TextEncoder().encode(`${text} ${body}`);
		const answer = { status: 200, headers: [], body: bytes };
		run.end(
			fate === Fate.Answered
				? { kind: RunEndKind.Answered, answer }
				: { kind: RunEndKind.Failed, error: createRequestError(faultsOfFates[fate], 'the attempt') },
		);
	}

	/** What was running may have run; its callers hear nothing. */
	private startAgain(index: number): void {
		for (const { text } of this.entries[index]!.running) {
			this.runs.set(text, (this.runs.get(text) ?? 0) + 1);
		}
		this.entries[index] = this.createEntry(index);
	}

	private release(entry: Entry): void {
		const inbox = entry.inbox ?? [];
		entry.inbox = undefined;
		inbox.forEach(handle => {
			handle();
		});
	}

	private submitForged(text: string, entry: number): void {
		const { number } = parseTicket(text, signer)._unsafeUnwrap();
		const forged = text.replace(`:${number}:`, `:${number + 1}:`);
		if (parseTicket(forged, signer).isOk()) {
			this.faults.push(`entry ${entry} took the altered ticket ${forged}`);
		}
	}
}

const faultsOfFates: Readonly<Record<Exclude<Fate, Fate.Answered>, ErrorKind>> = {
	[Fate.RefusedByTarget]: ErrorKind.TargetRefused,
	[Fate.NotConnected]: ErrorKind.NoTarget,
	[Fate.RunThenLost]: ErrorKind.TargetFailed,
	[Fate.LostThenRunLate]: ErrorKind.TargetSilent,
};
