/**
 * The weight store: streams as many bytes as were asked for, all loads together at one rate.
 */

import type { ServerResponse } from 'node:http';
import type { ITimerService } from '../../base/common/timerService';
import { SharedRate } from '../common/sharedRate';
import { waitFor } from '../common/waitFor';
import { waitForDrain } from './httpExchange';

const pieceBytes = 65_536;
const piece = Buffer.alloc(pieceBytes);

/** What the weight store counts. */
export interface WeightStoreCounters {
	readonly loads: number;
	readonly loadsRunning: number;
	readonly peakLoadsRunning: number;
	readonly bytes: number;
}

/** Answers loads. */
export class WeightStore {
	private readonly rate: SharedRate;
	private loads = 0;
	private loadsRunning = 0;
	private peakLoadsRunning = 0;
	private bytes = 0;

	constructor(
		bytesPerSecond: number,
		private readonly timers: ITimerService,
	) {
		this.rate = new SharedRate(bytesPerSecond);
	}

	getCounters(): WeightStoreCounters {
		const { loads, loadsRunning, peakLoadsRunning, bytes } = this;
		return { loads, loadsRunning, peakLoadsRunning, bytes };
	}

	/** Streams `totalBytes` until they are sent or the reader goes away. */
	async stream(totalBytes: number, response: ServerResponse): Promise<void> {
		this.loads++;
		this.loadsRunning++;
		this.peakLoadsRunning = Math.max(this.peakLoadsRunning, this.loadsRunning);
		try {
			response.writeHead(200, {
				'content-type': 'application/octet-stream',
				'content-length': totalBytes,
			});
			await this.sendPieces(totalBytes, response);
			response.end();
		} finally {
			this.loadsRunning--;
		}
	}

	private async sendPieces(totalBytes: number, response: ServerResponse): Promise<void> {
		let left = totalBytes;
		while (left > 0 && !response.destroyed) {
			const size = Math.min(left, pieceBytes);
			await waitFor(this.timers, this.rate.reserve(size, this.timers.getNow()));
			if (!response.write(piece.subarray(0, size))) {
				await waitForDrain(response);
			}
			this.bytes += size;
			left -= size;
		}
	}
}
