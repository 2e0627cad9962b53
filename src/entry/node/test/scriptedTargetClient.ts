/**
 * Connections to one target on a virtual clock. Idle connections are used again. While the path is cut, connections hang, are
 * reset, live on while new ones are refused, or open and stay silent. While it is whole, the target answers each attempt as the test says.
 */

import type { ITimerService } from '../../../base/common/timerService';
import { headers } from '../../../core/headers/common/headers';
import type { RequestId } from '../../../core/ids/common/ids';
import type { HeaderLine } from '../../common/callers/callHead';
import type { AttemptRequest, IAttempt, IAttemptObserver, ITargetClient } from '../targets/targetClient';

/** What happens on a path that is cut. */
export enum CutMode {
	Hanging = 'hanging',
	Reset = 'reset',
	/** Open connections live on, new ones are refused. */
	LivingOn = 'living on',
	/** New connections open, as at a relay that is suspended, and nothing is answered on any. */
	Unanswered = 'unanswered',
}

/** How a target answers an attempt. */
export enum ReplyKind {
	Whole = 'whole',
	/** An answer without length or chunks, which ends with its connection. */
	Unframed = 'unframed',
	/** The connection is reset, before the head if no part is sent. */
	Reset = 'reset',
	/** Nothing is sent any more. */
	Silent = 'silent',
	/** The target reports that it did not run the request. */
	NotRun = 'not run',
	/** The target fails with a status of its own. */
	Error = 'error',
}

export interface Reply {
	readonly kind: ReplyKind;
	/** Time until the head of the answer. */
	readonly runMs: number;
	/** Whether a part of the answer is sent before it is reset or the target is silent. */
	readonly hasPart: boolean;
}

/** What a target needs of the site. */
export interface TargetScript {
	noteRun(request: RequestId): void;
	pickReply(): Reply;
	isStream(request: RequestId): boolean;
	/** The number of events that the caller of a stream has, after which the stream goes on. */
	countEvents(request: RequestId): number;
}

const connectMs = 1;
const runMs = 80;
export const wholeReply: Reply = { kind: ReplyKind.Whole, runMs, hasPart: false };
const streamEvents = 4;
const eventMs = 40;
const statusError = 500;
const statusUnavailable = 503;
const connectTimeoutMs = 2_000;
const attemptHeader = /^(request-\d+)/;

/** Runs a step of an attempt after a delay, unless the attempt has been cancelled. */
type ScheduleStep = (delayMs: number, step: () => void) => void;

/** A client whose target answers as the script says. */
export class ScriptedTargetClient implements ITargetClient {
	private idleConnections = 0;

	constructor(
		private readonly timers: ITimerService,
		private readonly isCut: () => boolean,
		private readonly mode: CutMode,
		private readonly script: TargetScript,
	) {}

	send(request: AttemptRequest, observer: IAttemptObserver): IAttempt {
		const state = { isCancelled: false };
		const isReused = this.idleConnections > 0;
		this.idleConnections -= isReused ? 1 : 0;
		const run: ScheduleStep = (delayMs, step) => {
			this.timers.schedule(delayMs, () => {
				if (!state.isCancelled) {
					step();
				}
			});
		};
		const isAnswered = !this.isCut() || (isReused && this.mode === CutMode.LivingOn);
		if (isAnswered) {
			run(isReused ? 0 : connectMs, () => {
				observer.noteHandedOver();
				this.answer(request, observer, (delayMs, step) => {
					run(delayMs, () => {
						this.runOnPath(observer, step);
					});
				});
			});
		} else {
			this.failOnCutPath(isReused, observer, run);
		}
		return {
			resume: () => undefined,
			release: () => undefined,
			cancel: () => {
				state.isCancelled = true;
			},
		};
	}

	renewConnections(): void {
		this.idleConnections = 0;
	}

	/** Runs a step of an answer, unless the path has been cut since the request was sent. */
	private runOnPath(observer: IAttemptObserver, step: () => void): void {
		if (!this.isCut() || this.mode === CutMode.LivingOn) {
			step();
		} else if (this.mode === CutMode.Reset) {
			observer.noteFailed(new Error('connection reset'));
		}
	}

	private failOnCutPath(isReused: boolean, observer: IAttemptObserver, run: ScheduleStep): void {
		if (isReused || this.mode === CutMode.Unanswered) {
			run(isReused ? 0 : connectMs, () => {
				observer.noteHandedOver();
			});
		}
		if (this.mode === CutMode.Unanswered) {
			return;
		}
		if (this.mode !== CutMode.Hanging) {
			run(connectMs, () => {
				observer.noteFailed(new Error('connection reset'));
			});
		} else if (!isReused) {
			run(connectTimeoutMs, () => {
				observer.noteFailed(new Error('connect timeout'));
			});
		}
	}

	private answer({ lines }: AttemptRequest, observer: IAttemptObserver, run: ScheduleStep): void {
		const attempt = lines.map(({ value }) => attemptHeader.exec(value)?.[1]).find(id => id !== undefined);
		const request = attempt as RequestId;
		const reply = this.script.pickReply();
		if (reply.kind === ReplyKind.NotRun) {
			const notRun = { name: headers.targetNotRun, value: '1' };
			run(reply.runMs, () => {
				observer.receiveHead({ status: statusUnavailable, lines: [notRun] });
			});
			return;
		}
		if (attempt !== undefined) {
			this.script.noteRun(request);
		}
		run(reply.runMs, () => {
			if (reply.kind === ReplyKind.Error) {
				observer.receiveHead({ status: statusError, lines: [] });
				observer.noteCompleted();
			} else if (reply.hasPart || reply.kind === ReplyKind.Whole || reply.kind === ReplyKind.Unframed) {
				this.sendBody(reply, request, lines, observer, run);
			} else if (reply.kind === ReplyKind.Reset) {
				observer.noteFailed(new Error('connection reset'));
			}
		});
	}

	private sendBody(
		{ kind }: Reply,
		request: RequestId,
		lines: readonly HeaderLine[],
		observer: IAttemptObserver,
		run: ScheduleStep,
	): void {
		const isStream = this.script.isStream(request);
		const type = isStream ? [{ name: 'content-type', value: 'text/event-stream' }] : [];
		const endsWithConnection = kind === ReplyKind.Unframed;
		observer.receiveHead({ status: 200, lines: [...lines, ...type], endsWithConnection });
		const first = isStream ? this.script.countEvents(request) : 0;
		const parts = isStream
			? Array.from({ length: streamEvents }, (_, index) => `id: ${index + 1}\ndata: done\n\n`).slice(first)
			: ['do', 'ne'];
		const isWhole = kind === ReplyKind.Whole || kind === ReplyKind.Unframed;
		const sent = isWhole ? parts : parts.slice(0, 1);
		const sendNext = (index: number): void => {
			const part = sent[index];
			if (part !== undefined) {
				observer.receiveData(Buffer.from(part));
				run(isStream ? eventMs : 0, () => {
					sendNext(index + 1);
				});
			} else if (isWhole) {
				observer.noteCompleted();
				this.idleConnections += endsWithConnection ? 0 : 1;
			} else if (kind === ReplyKind.Reset) {
				observer.noteFailed(new Error('connection reset'));
			}
		};
		sendNext(0);
	}
}
