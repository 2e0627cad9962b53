/**
 * The sink of a forwarded request: a bounded queue of answer messages, read by the stream to the forwarding entry at
 * its own pace.
 */

import { create } from '@bufbuild/protobuf';
import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { ForwardRequestResponse } from '../../../gen/anvilroad/peer/v1/peer_pb';
import { ForwardRequestResponseSchema } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { AttemptHistory } from '../../common/requests/attemptHistory';
import { noAttempts } from '../../common/requests/attemptHistory';
import type { StreamOrigin } from '../../common/streams/streamOrigin';
import { AnswerEnd } from '../../common/callers/answerEnd';
import type { AnswerHead, IAnswerSink } from '../../common/callers/answerSink';
import { encodeOrigin } from '../streams/originCodec';
import { encodeHistory } from './attemptHistoryCodec';

const maxQueuedBytes = 262_144;

/** Creates the last message for a forwarded request without a complete answer. */
export function createFaultMessage(error: RequestError, history: AttemptHistory): ForwardRequestResponse {
	return create(ForwardRequestResponseSchema, {
		part: {
			case: 'fault',
			value: {
				errorKind: error.kind,
				detail: error.detail,
				retryAfterMs: Math.ceil(error.retryAfterMs ?? 0),
				isOutcomeUnknown: error.isOutcomeUnknown ?? false,
				attempts: encodeHistory(history),
			},
		},
	});
}

/** Queues the messages of an answer until the stream reads them. */
export class PeerSink implements IAnswerSink {
	private readonly messages: ForwardRequestResponse[] = [];
	private queuedBytes = 0;
	private isEnded = false;
	private isAbandoned = false;
	private history = noAttempts;
	private notifyReader: (() => void) | undefined;
	private resumeWriter: (() => void) | undefined;
	private notifyAbandoned: (() => void) | undefined;

	begin(head: AnswerHead): void {
		this.push(
			create(ForwardRequestResponseSchema, {
				part: {
					case: 'head',
					value: {
						status: head.status,
						headers: head.lines.map(({ name, value }) => ({ name, value })),
						endsWithConnection: head.endsWithConnection ?? false,
					},
				},
			}),
		);
	}

	write(chunk: Uint8Array): boolean {
		this.queuedBytes += chunk.byteLength;
		this.push(create(ForwardRequestResponseSchema, { part: { case: 'body', value: chunk } }));
		return this.queuedBytes < maxQueuedBytes;
	}

	noteOrigin(origin: StreamOrigin): void {
		const part = { case: 'origin' as const, value: encodeOrigin(origin) };
		this.push(create(ForwardRequestResponseSchema, { part }));
	}

	noteAttempts(history: AttemptHistory): void {
		this.history = history;
	}

	waitForDrain(resume: () => void): void {
		this.resumeWriter = resume;
	}

	end(end: AnswerEnd): void {
		const value = { isConfirmed: end === AnswerEnd.Certain };
		this.pushLast(create(ForwardRequestResponseSchema, { part: { case: 'end', value } }));
	}

	/** Only the forwarding entry knows what its caller reads. */
	isCutHidden(): boolean {
		return true;
	}

	cut(): void {
		const error = createRequestError(ErrorKind.TargetFailed, 'the answer is incomplete');
		this.pushLast(createFaultMessage(error, this.history));
	}

	refuse(error: RequestError): void {
		this.pushLast(createFaultMessage(error, this.history));
	}

	watchAbandoned(notify: () => void): void {
		this.notifyAbandoned = notify;
	}

	/** Handles the failure of the stream to the forwarding entry, or its cancellation by that entry. */
	abandon(): void {
		if (this.isEnded || this.isAbandoned) {
			return;
		}
		this.isAbandoned = true;
		this.notifyAbandoned?.();
		this.notifyReader?.();
	}

	/** Yields the messages in order, up to the last one. */
	async *takeMessages(): AsyncGenerator<ForwardRequestResponse> {
		for (;;) {
			const message = this.messages.shift();
			if (message !== undefined) {
				this.releaseBytes(message);
				yield message;
				continue;
			}
			if (this.isEnded || this.isAbandoned) {
				return;
			}
			await new Promise<void>(resolve => {
				this.notifyReader = resolve;
			});
		}
	}

	private releaseBytes(message: ForwardRequestResponse): void {
		if (message.part.case !== 'body') {
			return;
		}
		this.queuedBytes -= message.part.value.byteLength;
		if (this.queuedBytes < maxQueuedBytes) {
			const resume = this.resumeWriter;
			this.resumeWriter = undefined;
			resume?.();
		}
	}

	private pushLast(message: ForwardRequestResponse): void {
		this.isEnded = true;
		this.push(message);
	}

	private push(message: ForwardRequestResponse): void {
		this.messages.push(message);
		this.notifyReader?.();
	}
}
