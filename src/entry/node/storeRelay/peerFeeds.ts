/**
 * Carries feeds of the store's changes between entries: opens those of others, and serves this entry's own.
 */

import { create } from '@bufbuild/protobuf';
import type { IDisposable } from '../../../base/common/lifecycle';
import { toDisposable } from '../../../base/common/lifecycle';
import type { InstanceId } from '../../../core/ids/common/ids';
import type { FollowStoreRequest, FollowStoreResponse } from '../../../gen/anvilroad/peer/v1/peer_pb';
import { FollowStoreRequestSchema, FollowStoreResponseSchema } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { FeedMessage, FeedRequest, IFeedObserver, IFeedOpener } from '../../common/storeRelay/storeFeed';
import type { PeerConnection } from '../peers/peerClients';

/** A reader that has not read this many messages is too slow, and its feed ends. */
const maxQueuedMessages = 64;

/** Begins a feed of this entry; disposing of the result ends it. */
export type AddReader = (request: FeedRequest, observer: IFeedObserver) => IDisposable;

/** Finds the connection to another entry. */
export type FindPeer = (instance: InstanceId) => PeerConnection | undefined;

/** Opens feeds over the connections to other entries. */
export class PeerFeedOpener implements IFeedOpener {
	constructor(private readonly findPeer: FindPeer) {}

	open(watcher: InstanceId, request: FeedRequest, observer: IFeedObserver): IDisposable {
		const abort = new AbortController();
		void this.read(watcher, request, observer, abort.signal);
		return toDisposable(() => {
			abort.abort();
		});
	}

	private async read(
		watcher: InstanceId,
		request: FeedRequest,
		observer: IFeedObserver,
		signal: AbortSignal,
	): Promise<void> {
		const reason = await this.readMessages(watcher, request, observer, signal);
		if (!signal.aborted) {
			observer.end(reason);
		}
	}

	private async readMessages(
		watcher: InstanceId,
		request: FeedRequest,
		observer: IFeedObserver,
		signal: AbortSignal,
	): Promise<string> {
		const peer = this.findPeer(watcher);
		if (peer === undefined) {
			return 'unknown entry';
		}
		try {
			for await (const message of peer.client.followStore(encodeRequest(request), { signal })) {
				observer.receive(decodeMessage(message));
			}
			return 'ended by the watcher';
		} catch (error) {
			return error instanceof Error ? error.message : String(error);
		}
	}
}

/** Keeps the messages of a feed until they are written. */
class FeedQueue implements IFeedObserver {
	private readonly messages: FeedMessage[] = [];
	private isEnded = false;
	private wake: (() => void) | undefined;

	receive(message: FeedMessage): void {
		this.messages.push(message);
		this.isEnded ||= this.messages.length > maxQueuedMessages;
		this.wake?.();
	}

	end(): void {
		this.isEnded = true;
		this.wake?.();
	}

	/** Waits for the next message; undefined once the feed has ended. */
	async take(): Promise<FeedMessage | undefined> {
		while (!this.isEnded && this.messages.length === 0) {
			await new Promise<void>(resolve => {
				this.wake = resolve;
			});
		}
		return this.isEnded ? undefined : this.messages.shift();
	}
}

/** Yields the messages of a feed until it ends or its reader leaves. */
export async function* serveFeed(
	request: FollowStoreRequest,
	add: AddReader,
	signal: AbortSignal,
): AsyncGenerator<FollowStoreResponse> {
	const queue = new FeedQueue();
	signal.addEventListener('abort', () => {
		queue.end();
	});
	const reader = add(decodeRequest(request), queue);
	try {
		for (let message = await queue.take(); message !== undefined; message = await queue.take()) {
			yield encodeMessage(message);
		}
	} finally {
		reader.dispose();
	}
}

function encodeRequest({ prefix, revision, era }: FeedRequest): FollowStoreRequest {
	return create(FollowStoreRequestSchema, {
		prefix,
		revision: BigInt(revision),
		...(era === undefined ? {} : { era: BigInt(era) }),
	});
}

function decodeRequest({ prefix, revision, era }: FollowStoreRequest): FeedRequest {
	return { prefix, revision: Number(revision), era: era === undefined ? undefined : Number(era) };
}

function encodeMessage({
	revision,
	era,
	ageMs,
	elapsedMs,
	isListing,
	written,
	removed,
}: FeedMessage): FollowStoreResponse {
	return create(FollowStoreResponseSchema, {
		revision: BigInt(revision),
		...(era === undefined ? {} : { era: BigInt(era) }),
		ageMs,
		...(elapsedMs === undefined ? {} : { elapsedMs: BigInt(elapsedMs) }),
		isListing,
		written: written.map(item => ({ key: item.key, value: item.value, revision: BigInt(item.revision) })),
		removed: [...removed],
	});
}

function decodeMessage(message: FollowStoreResponse): FeedMessage {
	const { revision, era, ageMs, elapsedMs, isListing, written, removed } = message;
	return {
		revision: Number(revision),
		era: era === undefined ? undefined : Number(era),
		ageMs,
		elapsedMs: elapsedMs === undefined ? undefined : Number(elapsedMs),
		isListing,
		written: written.map(item => ({ key: item.key, value: item.value, revision: Number(item.revision) })),
		removed,
	};
}
