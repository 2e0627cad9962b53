/**
 * One payment sent again and again. The customer's bank sees every run, so the service's own count of runs
 * is the judge.
 */

import type { CallAnswer, CallQuestion } from '../caller';
import { describeAnswer, getErrorKind, getOutcome, isSameBody } from '../caller';
import { listTargetsOf } from '../deploymentAddresses';
import { fetchLookup } from '../lookup';
import { callIdHeader, organisations, regions, services } from '../names';
import type { IScene, Observation, Stage } from '../scene';
import { createServiceCall, getEntry } from '../scene';

/** What the scenes of one payment share. */
interface Payment {
	readonly callId: string;
	ticket: string | undefined;
	firstAnswer: CallAnswer | undefined;
}

interface PaymentSend {
	readonly callId: string;
	readonly ticket: string | undefined;
	readonly entryIndex: number;
	readonly amount: number;
}

function createPayment(stage: Stage, send: PaymentSend): CallQuestion {
	return createServiceCall(getEntry(stage, regions.kingston, send.entryIndex).callers, {
		service: services.bookings,
		path: '/run/payments/window-cleaning',
		organisation: organisations.kingston,
		headers: { [callIdHeader]: send.callId, 'content-type': 'application/json' },
		body: JSON.stringify({ amount: send.amount }),
		...(send.ticket === undefined ? {} : { ticket: send.ticket }),
	});
}

function sendPayment(stage: Stage, send: PaymentSend): Promise<CallAnswer> {
	return stage.caller.send(createPayment(stage, send));
}

async function fetchTicket(stage: Stage): Promise<string | undefined> {
	const lookup = await fetchLookup(stage, getEntry(stage, regions.kingston).callers, services.bookings);
	return lookup?.tickets[0];
}

async function countRuns(stage: Stage, callId: string): Promise<number> {
	const target = listTargetsOf(stage.addresses, services.bookings, regions.kingston)[0];
	return stage.admin.countRuns(target?.admin ?? '', callId);
}

const amount = 120;
const who = 'household, kingston';

class FirstPaymentScene implements IScene {
	readonly who = who;
	readonly asks = 'a payment with a ticket';
	readonly expects = 'answered, run once';

	constructor(private readonly payment: Payment) {}

	async run(stage: Stage): Promise<Observation> {
		this.payment.ticket = await fetchTicket(stage);
		const { callId, ticket } = this.payment;
		const answer = await sendPayment(stage, { callId, ticket, entryIndex: 0, amount });
		this.payment.firstAnswer = answer;
		const runs = await countRuns(stage, callId);
		return {
			isRight: getOutcome(answer) === 'answered' && answer.status === 200 && runs === 1,
			received: `${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

class ResentPaymentScene implements IScene {
	readonly who = who;
	readonly asks: string;
	readonly expects = 'the first answer again, still run once';

	constructor(
		private readonly payment: Payment,
		private readonly entryIndex: number,
	) {
		this.asks = `the same payment again at ${entryIndex === 0 ? 'the same' : 'another'} entry`;
	}

	async run(stage: Stage): Promise<Observation> {
		const { callId, ticket, firstAnswer } = this.payment;
		const answer = await sendPayment(stage, { callId, ticket, entryIndex: this.entryIndex, amount });
		const runs = await countRuns(stage, callId);
		const isSame = firstAnswer !== undefined && isSameBody(firstAnswer.body, answer.body);
		return {
			isRight: getOutcome(answer) === 'answered' && isSame && runs === 1,
			received: `${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

class ChangedPaymentScene implements IScene {
	readonly who = who;
	readonly asks = 'another amount with the spent ticket';
	readonly expects = '409 ticket-reused, not run again';

	constructor(private readonly payment: Payment) {}

	async run(stage: Stage): Promise<Observation> {
		const { callId, ticket } = this.payment;
		const answer = await sendPayment(stage, { callId, ticket, entryIndex: 0, amount: amount + 1 });
		const runs = await countRuns(stage, callId);
		return {
			isRight: answer.status === 409 && getErrorKind(answer) === 'ticket-reused' && runs === 1,
			received: `${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

class UnticketedPaymentScene implements IScene {
	readonly who = who;
	readonly asks = 'a payment without a ticket';
	readonly expects = '428 not-run, not run';

	async run(stage: Stage): Promise<Observation> {
		const callId = 'payment-without-ticket';
		const answer = await sendPayment(stage, { callId, ticket: undefined, entryIndex: 0, amount });
		const runs = await countRuns(stage, callId);
		return {
			isRight: answer.status === 428 && getOutcome(answer) === 'not-run' && runs === 0,
			received: `${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

class ForgedTicketScene implements IScene {
	readonly who = 'forger';
	readonly asks = 'a payment with a ticket of its own making';
	readonly expects = '400 ticket-forged, not run';

	async run(stage: Stage): Promise<Observation> {
		const callId = 'payment-with-forged-ticket';
		const ticket = (await fetchTicket(stage))?.replace(/.{4}$/, 'AAAA');
		const answer = await sendPayment(stage, { callId, ticket, entryIndex: 0, amount });
		const runs = await countRuns(stage, callId);
		return {
			isRight: getErrorKind(answer) === 'ticket-forged' && runs === 0,
			received: `${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

class ImpatientPayerScene implements IScene {
	readonly who = 'impatient payer, kingston';
	readonly asks = 'one payment six times at once, at three entries';
	readonly expects = 'the same answer six times, run once';

	async run(stage: Stage): Promise<Observation> {
		const callId = 'payment-at-once';
		const ticket = await fetchTicket(stage);
		const answers = await Promise.all(
			[0, 1, 2, 0, 1, 2].map(entryIndex => sendPayment(stage, { callId, ticket, entryIndex, amount })),
		);
		const runs = await countRuns(stage, callId);
		const first = answers[0]?.body ?? new Uint8Array();
		const same = answers.filter(
			answer => getOutcome(answer) === 'answered' && isSameBody(answer.body, first),
		);
		return {
			isRight: same.length === answers.length && runs === 1,
			received: `${same.length} the same answer, ${runs} run(s)`,
		};
	}
}

class BrokenUploadScene implements IScene {
	readonly who = 'payer on a bad line, kingston';
	readonly asks = 'a payment cut off in its body, then the same one whole';
	readonly expects = 'run by the whole one only';

	async run(stage: Stage): Promise<Observation> {
		const callId = 'payment-cut-off';
		const ticket = await fetchTicket(stage);
		const send = { callId, ticket, entryIndex: 0, amount };
		await stage.caller.cancelUpload(createPayment(stage, send));
		const runsBefore = await countRuns(stage, callId);
		const answer = await sendPayment(stage, send);
		const runs = await countRuns(stage, callId);
		return {
			isRight: runsBefore === 0 && getOutcome(answer) === 'answered' && runs === 1,
			received: `${runsBefore} run(s), then ${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

/** The scenes, in their order: the later ones resend what the first one sent. */
export function createPaymentScenes(): IScene[] {
	const payment: Payment = { callId: 'payment-1', ticket: undefined, firstAnswer: undefined };
	return [
		new FirstPaymentScene(payment),
		new ResentPaymentScene(payment, 0),
		new ResentPaymentScene(payment, 1),
		new ChangedPaymentScene(payment),
		new UnticketedPaymentScene(),
		new ForgedTicketScene(),
		new ImpatientPayerScene(),
		new BrokenUploadScene(),
	];
}
