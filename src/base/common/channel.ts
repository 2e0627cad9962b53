/**
 * A channel is the source end of a `most` stream: its owner emits values, any number of subscribers
 * observe them, and nothing is buffered for those that come later. Values that change over time (ticks,
 * manifests, instance lists, views of peers, audit events) travel on channels; bytes of requests and
 * answers do not, since `most` knows no backpressure.
 */

import { Stream } from 'most';
import type { Scheduler, Sink, Stream as MostStream } from 'most';
import type { IDisposable } from './lifecycle';
import { toDisposable } from './lifecycle';

/** An owner's handle on a multicast stream. */
export class Channel<TValue> implements IDisposable {
	private readonly sinks = new Map<Sink<TValue>, Scheduler>();

	/** The values as `most` sees them. */
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

	/** Delivers a value to every present subscriber, in the order of their subscription. */
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

/** Subscribes a callback to a stream until the returned disposable is released. */
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
