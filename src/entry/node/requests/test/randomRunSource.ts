/**
 * Test fixture: hands out the random runs of an answer, and what each of them sent. Once they are used up, targets send
 * the whole rest of the stream.
 */

import { AnswerEnd } from '../../../common/callers/answerEnd';
import type { AnswerHead } from '../../../common/callers/answerSink';
import type { HeaderLine } from '../../../common/callers/callHead';
import type { SentRun } from './answerOracle';
import { runHeader } from './judgedSink';
import type { RandomAnswer, RandomRun, RunBody } from './randomRuns';
import { cutPieces, mark, plainStyle, RunDisorder, RunEnd, RunStart, RunWay, writeBody } from './randomRuns';

/** A run as it is played at one target or peer. */
export interface PlayedRun {
	readonly run: RandomRun;
	readonly head: AnswerHead;
	readonly pieces: readonly Buffer[];
	/** What the end shows, by the framing of the run. */
	readonly shownEnd: AnswerEnd;
}

const wholeRun: RandomRun = {
	way: RunWay.Direct,
	status: 200,
	type: 'text/event-stream',
	isUnframed: false,
	style: plainStyle,
	start: RunStart.Next,
	events: Number.POSITIVE_INFINITY,
	extraBytes: 0,
	isError: false,
	pieces: [],
	end: RunEnd.Regular,
	disorder: RunDisorder.None,
};

export class RandomRunSource {
	readonly sent: SentRun[] = [];

	constructor(private readonly answer: RandomAnswer) {}

	/** The way of the next run. */
	getNextWay(): RunWay {
		return this.getNext().way;
	}

	/** Takes the next run, which is asked for the events after this one. */
	take(way: RunWay, afterEvent: string | undefined): PlayedRun {
		const { stream } = this.answer;
		const run = { ...this.getNext(), way };
		const after = afterEvent === undefined ? 0 : stream.ids.indexOf(afterEvent) + 1;
		const body = writeBody(stream, run, after);
		const shownEnd = this.findShownEnd(run, body);
		const isStream = isStreamRun(run);
		const isWhole = body.isBetweenEvents || !isStream;
		this.sent.push({
			isStream,
			hasEvents: hasEvents(run),
			isUnframed: run.isUnframed,
			bytes: hasEvents(run) ? removeMark(body.bytes) : body.bytes,
			lastEvent: body.lastEvent,
			end: isWhole ? shownEnd : AnswerEnd.Cut,
		});
		return { run, head: this.createHead(run), pieces: cutPieces(body.bytes, run.pieces), shownEnd };
	}

	private getNext(): RandomRun {
		return this.answer.runs[this.sent.length] ?? wholeRun;
	}

	private createHead({ status, type, isUnframed }: RandomRun): AnswerHead {
		const lines: HeaderLine[] = [{ name: runHeader, value: String(this.sent.length - 1) }];
		if (type !== undefined) {
			lines.push({ name: 'content-type', value: type });
		}
		return { status, lines, endsWithConnection: isUnframed };
	}

	/** Another target confirms an end without framing to a peer only where it is one. */
	private findShownEnd({ end, isUnframed, way, disorder }: RandomRun, body: RunBody): AnswerEnd {
		const isEmpty = body.bytes.byteLength === 0;
		const isInOrder = disorder === RunDisorder.None || (disorder === RunDisorder.LateHead && isEmpty);
		if (way === RunWay.Forward && !isInOrder) {
			return AnswerEnd.Cut;
		}
		if (end !== RunEnd.Regular && end !== RunEnd.Confirmed) {
			return AnswerEnd.Cut;
		}
		const isWhole = body.isBetweenEvents && body.lastEvent === this.answer.stream.ids.length;
		const isConfirmed = end === RunEnd.Confirmed && way === RunWay.Forward && isWhole;
		return isConfirmed || !isUnframed ? AnswerEnd.Certain : AnswerEnd.Uncertain;
	}
}

function isStreamRun(run: RandomRun): boolean {
	return run.status === 200 && hasEvents(run);
}

function hasEvents({ type }: RandomRun): boolean {
	return type?.toLowerCase().startsWith('text/event-stream') === true;
}

/** Readers of events ignore the mark. */
function removeMark(bytes: Buffer): Buffer {
	const { byteLength } = Buffer.from(mark);
	return bytes.subarray(0, byteLength).equals(Buffer.from(mark)) ? bytes.subarray(byteLength) : bytes;
}
