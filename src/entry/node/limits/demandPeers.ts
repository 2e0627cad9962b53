/**
 * Carries the messages of shared limits between entries: sends this entry's, and serves those of others.
 */

import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { InstanceId } from '../../../core/ids/common/ids';
import { LimitMessageKind, LimitMessageResult } from '../../../core/telemetry/common/entryMetricLabels';
import type { ShareDemandRequest, ShareDemandResponse } from '../../../gen/anvilroad/peer/v1/peer_pb';
import { ShareDemandResponseSchema } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { DemandAnswer, DemandReport, ZoneSums } from '../../common/limits/limitMessages';
import type { SharedLimits } from '../../common/limits/sharedLimits';
import type { ILimitPeers, ObserveAnswer } from '../../common/limits/zoneDirectory';
import { PeerFailure } from '../../common/limits/zoneDirectory';
import type { FindPeer } from '../storeRelay/peerFeeds';
import {
	decodeAnswer,
	decodeReport,
	decodeSums,
	encodeAnswer,
	encodeReport,
	encodeSums,
} from './demandCodec';

/** Called with the end of each message that this entry sends. */
export type ObserveMessage = (kind: LimitMessageKind, result: LimitMessageResult) => void;

/** Receives the messages of other entries. */
export type DemandReceiver = Pick<SharedLimits, 'receiveReport' | 'receiveSums'>;

/** Above the times after which the senders stop waiting. */
const callTimeoutMs = 1_000;

/** Sends messages over the connections to other entries. */
export class DemandPeers implements ILimitPeers {
	constructor(
		private readonly findPeer: FindPeer,
		private readonly observeMessage: ObserveMessage,
	) {}

	sendReport(instance: InstanceId, report: DemandReport, observe: ObserveAnswer<DemandAnswer>): void {
		void this.send(LimitMessageKind.Report, instance, encodeReport(report), observe, decodeAnswer);
	}

	sendSums(instance: InstanceId, sums: ZoneSums, observe: ObserveAnswer<true>): void {
		void this.send(LimitMessageKind.Sums, instance, encodeSums(sums), observe, (): true => true);
	}

	private async send<TAnswer>(
		kind: LimitMessageKind,
		instance: InstanceId,
		request: ShareDemandRequest,
		observe: ObserveAnswer<TAnswer>,
		decode: (response: ShareDemandResponse) => TAnswer,
	): Promise<void> {
		const answer = await this.ask(instance, request);
		if (answer instanceof ConnectError) {
			const isUnsupported = answer.code === Code.Unimplemented;
			this.observeMessage(kind, isUnsupported ? LimitMessageResult.Unsupported : LimitMessageResult.Failed);
			observe(undefined, isUnsupported ? PeerFailure.Unsupported : PeerFailure.Unreachable);
			return;
		}
		this.observeMessage(kind, LimitMessageResult.Done);
		observe(decode(answer), undefined);
	}

	private async ask(
		instance: InstanceId,
		request: ShareDemandRequest,
	): Promise<ShareDemandResponse | ConnectError> {
		const peer = this.findPeer(instance);
		if (peer === undefined) {
			return new ConnectError('unknown entry', Code.Unavailable);
		}
		try {
			return await peer.client.shareDemand(request, { timeoutMs: callTimeoutMs });
		} catch (error) {
			return ConnectError.from(error);
		}
	}
}

/** Answers a message of another entry. */
export function serveDemand({ part }: ShareDemandRequest, receiver: DemandReceiver): ShareDemandResponse {
	if (part.case === 'zone') {
		receiver.receiveSums(decodeSums(part.value));
		return create(ShareDemandResponseSchema);
	}
	const answer = part.case === 'entry' ? receiver.receiveReport(decodeReport(part.value)) : undefined;
	if (answer === undefined) {
		throw new ConnectError('this entry has no limits of that zone', Code.FailedPrecondition);
	}
	return encodeAnswer(answer);
}
