/**
 * A channel is the source of a `most` stream: its owner emits values to any number of subscribers. Values are not
 * buffered for later subscribers. Channels carry values that change over time, such as ticks, manifests, instance lists,
 * views of peers and audit events. They do not carry the bytes of requests and answers, since `most` has no
 * backpressure.
 */

import { Stream } from 'most';
import type { Scheduler, Sink, Stream as MostStream } from 'most';
import type { IDisposable } from './lifecycle';
import { toDisposable } from './lifecycle';

/** Emits values to a multicast stream. */
export class Channel<TValue> implements IDisposable {
	private readonly sinks = new Map<Sink<TValue>, Scheduler>();

	/** The stream of emitted values. */
	readonly stream: MostStream<TValue> = new Stream<TValue>({
		run: (sink: Sink<TValue>, scheduler: Scheduler) => {
			this.sinks.set(sink, scheduler);
			return {
				dispose: () => {
					this.sinks.delete(sink);
				},
			};
		},
	});

	/** Delivers a value to every current subscriber, in the order of their subscription. */
	emit(value: TValue): void {
		for (const [sink, scheduler] of [...this.sinks]) {
			sink.event(scheduler.now(), value);
		}
	}

	/** Ends the stream for every subscriber. */
	dispose(): void {
		for (const [sink, scheduler] of [...this.sinks]) {
			sink.end(scheduler.now());
		}
		this.sinks.clear();
	}
}

/** Subscribes a callback to a stream until the returned disposable is disposed of. */
export function subscribeTo<TValue>(
	stream: MostStream<TValue>,
	observe: (value: TValue) => void,
): IDisposable {
	const subscription = stream.subscribe({
		next: observe,
		error: (error: Error) => {
			throw error;
		},
		complete: () => undefined,
	});
	return toDisposable(() => {
		subscription.unsubscribe();
	});
}
