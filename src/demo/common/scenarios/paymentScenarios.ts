/**
 * Scenarios that repeat a payment, which must run only once. Each run would charge the customer, so the
 * scenarios check the run count of the service and not only the answers.
 */

import type { CallAnswer, CallRequest } from '../caller';
import { describeAnswer, getErrorKind, getOutcome, isSameBody } from '../caller';
import { listTargetsInRegion } from '../deploymentAddresses';
import { fetchLookup } from '../lookup';
import { callIdHeader, organisations, regions, services } from '../exampleNames';
import type { IScenario, Observation, DeploymentContext } from '../scenario';
import { createServiceCall, getEntry } from '../scenario';

/** State shared by the scenarios that repeat one payment. */
interface Payment {
	readonly callId: string;
	ticket: string | undefined;
	firstAnswer: CallAnswer | undefined;
}

interface PaymentAttempt {
	readonly callId: string;
	readonly ticket: string | undefined;
	readonly entryIndex: number;
	readonly amount: number;
}

function createPaymentRequest(context: DeploymentContext, attempt: PaymentAttempt): CallRequest {
	return createServiceCall(getEntry(context, regions.kingston, attempt.entryIndex).callers, {
		service: services.bookings,
		path: '/run/payments/window-cleaning',
		organisation: organisations.kingston,
		headers: { [callIdHeader]: attempt.callId, 'content-type': 'application/json' },
		body: JSON.stringify({ amount: attempt.amount }),
		...(attempt.ticket === undefined ? {} : { ticket: attempt.ticket }),
	});
}

function sendPayment(context: DeploymentContext, attempt: PaymentAttempt): Promise<CallAnswer> {
	return context.caller.send(createPaymentRequest(context, attempt));
}

async function fetchTicket(context: DeploymentContext): Promise<string | undefined> {
	const lookup = await fetchLookup(context, getEntry(context, regions.kingston).callers, services.bookings);
	return lookup?.tickets[0];
}

async function countRuns(context: DeploymentContext, callId: string): Promise<number> {
	const target = listTargetsInRegion(context.addresses, services.bookings, regions.kingston)[0];
	return context.admin.countRuns(target?.admin ?? '', callId);
}

const amount = 120;
const caller = 'household, kingston';

class FirstPaymentScenario implements IScenario {
	readonly caller = caller;
	readonly request = 'a payment with a ticket';
	readonly expects = 'answered, run once';

	constructor(private readonly payment: Payment) {}

	async run(context: DeploymentContext): Promise<Observation> {
		this.payment.ticket = await fetchTicket(context);
		const { callId, ticket } = this.payment;
		const answer = await sendPayment(context, { callId, ticket, entryIndex: 0, amount });
		this.payment.firstAnswer = answer;
		const runs = await countRuns(context, callId);
		return {
			isRight: getOutcome(answer) === 'answered' && answer.status === 200 && runs === 1,
			received: `${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

class ResentPaymentScenario implements IScenario {
	readonly caller = caller;
	readonly request: string;
	readonly expects = 'the first answer again, run only once';

	constructor(
		private readonly payment: Payment,
		private readonly entryIndex: number,
	) {
		this.request = `the same payment again through ${entryIndex === 0 ? 'the same' : 'another'} entry`;
	}

	async run(context: DeploymentContext): Promise<Observation> {
		const { callId, ticket, firstAnswer } = this.payment;
		const answer = await sendPayment(context, { callId, ticket, entryIndex: this.entryIndex, amount });
		const runs = await countRuns(context, callId);
		const isSame = firstAnswer !== undefined && isSameBody(firstAnswer.body, answer.body);
		return {
			isRight: getOutcome(answer) === 'answered' && isSame && runs === 1,
			received: `${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

class ChangedPaymentScenario implements IScenario {
	readonly caller = caller;
	readonly request = 'another amount with the used ticket';
	readonly expects = '409 ticket-reused, not run again';

	constructor(private readonly payment: Payment) {}

	async run(context: DeploymentContext): Promise<Observation> {
		const { callId, ticket } = this.payment;
		const answer = await sendPayment(context, { callId, ticket, entryIndex: 0, amount: amount + 1 });
		const runs = await countRuns(context, callId);
		return {
			isRight: answer.status === 409 && getErrorKind(answer) === 'ticket-reused' && runs === 1,
			received: `${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

class UnticketedPaymentScenario implements IScenario {
	readonly caller = caller;
	readonly request = 'a payment without a ticket';
	readonly expects = '428 not-run, not run';

	async run(context: DeploymentContext): Promise<Observation> {
		const callId = 'payment-without-ticket';
		const answer = await sendPayment(context, { callId, ticket: undefined, entryIndex: 0, amount });
		const runs = await countRuns(context, callId);
		return {
			isRight: answer.status === 428 && getOutcome(answer) === 'not-run' && runs === 0,
			received: `${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

class ForgedTicketScenario implements IScenario {
	readonly caller = 'forger';
	readonly request = 'a payment with a forged ticket';
	readonly expects = '400 ticket-forged, not run';

	async run(context: DeploymentContext): Promise<Observation> {
		const callId = 'payment-with-forged-ticket';
		const ticket = (await fetchTicket(context))?.replace(/.{4}$/, 'AAAA');
		const answer = await sendPayment(context, { callId, ticket, entryIndex: 0, amount });
		const runs = await countRuns(context, callId);
		return {
			isRight: getErrorKind(answer) === 'ticket-forged' && runs === 0,
			received: `${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

class ConcurrentPaymentScenario implements IScenario {
	readonly caller = 'impatient payer, kingston';
	readonly request = 'one payment six times at once, through three entries';
	readonly expects = 'the same answer six times, run once';

	async run(context: DeploymentContext): Promise<Observation> {
		const callId = 'payment-at-once';
		const ticket = await fetchTicket(context);
		const answers = await Promise.all(
			[0, 1, 2, 0, 1, 2].map(entryIndex => sendPayment(context, { callId, ticket, entryIndex, amount })),
		);
		const runs = await countRuns(context, callId);
		const first = answers[0]?.body ?? new Uint8Array();
		const same = answers.filter(
			answer => getOutcome(answer) === 'answered' && isSameBody(answer.body, first),
		);
		return {
			isRight: same.length === answers.length && runs === 1,
			received: `${same.length} identical answers, ${runs} run(s)`,
		};
	}
}

class InterruptedUploadScenario implements IScenario {
	readonly caller = 'payer on a bad connection, kingston';
	readonly request = 'an upload of a payment that breaks off, then the complete payment';
	readonly expects = 'run only by the complete request';

	async run(context: DeploymentContext): Promise<Observation> {
		const callId = 'payment-cut-off';
		const ticket = await fetchTicket(context);
		const attempt = { callId, ticket, entryIndex: 0, amount };
		await context.caller.cancelUpload(createPaymentRequest(context, attempt));
		const runsBefore = await countRuns(context, callId);
		const answer = await sendPayment(context, attempt);
		const runs = await countRuns(context, callId);
		return {
			isRight: runsBefore === 0 && getOutcome(answer) === 'answered' && runs === 1,
			received: `${runsBefore} run(s), then ${describeAnswer(answer)}, ${runs} run(s)`,
		};
	}
}

/** Creates the scenarios in their order. Some of them repeat the payment of the first scenario. */
export function createPaymentScenarios(): IScenario[] {
	const payment: Payment = { callId: 'payment-1', ticket: undefined, firstAnswer: undefined };
	return [
		new FirstPaymentScenario(payment),
		new ResentPaymentScenario(payment, 0),
		new ResentPaymentScenario(payment, 1),
		new ChangedPaymentScenario(payment),
		new UnticketedPaymentScenario(),
		new ForgedTicketScenario(),
		new ConcurrentPaymentScenario(),
		new InterruptedUploadScenario(),
	];
}
