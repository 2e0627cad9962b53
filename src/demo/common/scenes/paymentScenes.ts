/**
 * One payment sent again and again. The customer's bank sees every run, so the service's own count of runs
 * is the judge.
 */

import type { CallAnswer } from '../caller';
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

function sendPayment(stage: Stage, send: PaymentSend): Promise<CallAnswer> {
	return stage.caller.send(
		createServiceCall(getEntry(stage, regions.kingston, send.entryIndex).callers, {
			service: services.bookings,
			path: '/run/payments/window-cleaning',
			organisation: organisations.kingston,
			headers: { [callIdHeader]: send.callId, 'content-type': 'application/json' },
			body: JSON.stringify({ amount: send.amount }),
			...(send.ticket === undefined ? {} : { ticket: send.ticket }),
		}),
	);
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
		const lookup = await fetchLookup(stage, getEntry(stage, regions.kingston).callers, services.bookings);
		this.payment.ticket = lookup?.tickets[0];
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

/** The scenes, in their order: the later ones resend what the first one sent. */
export function createPaymentScenes(): IScene[] {
	const payment: Payment = { callId: 'payment-1', ticket: undefined, firstAnswer: undefined };
	return [
		new FirstPaymentScene(payment),
		new ResentPaymentScene(payment, 0),
		new ResentPaymentScene(payment, 1),
		new ChangedPaymentScene(payment),
		new UnticketedPaymentScene(),
	];
}
