/**
 * The simulated weight store. It streams the requested number of bytes, and all downloads share its bandwidth.
 */

import type { ServerResponse } from 'node:http';
import type { ITimerService } from '../../base/common/timerService';
import { SharedBandwidth } from '../common/sharedBandwidth';
import { waitFor } from '../common/waitFor';
import { waitForDrain } from './httpExchange';

const chunkBytes = 65_536;
const zeroChunk = Buffer.alloc(chunkBytes);

/** Downloads since the start, current and peak concurrency, and bytes sent. */
export interface WeightStoreCounters {
	readonly loads: number;
	readonly loadsRunning: number;
	readonly peakLoadsRunning: number;
	readonly bytes: number;
}

/** Serves downloads of weights. */
export class WeightStore {
	private readonly rate: SharedBandwidth;
	private loads = 0;
	private loadsRunning = 0;
	private peakLoadsRunning = 0;
	private bytes = 0;

	constructor(
		bytesPerSecond: number,
		private readonly timers: ITimerService,
	) {
		this.rate = new SharedBandwidth(bytesPerSecond);
	}

	getCounters(): WeightStoreCounters {
		const { loads, loadsRunning, peakLoadsRunning, bytes } = this;
		return { loads, loadsRunning, peakLoadsRunning, bytes };
	}

	/** Streams `totalBytes`. Stops early if the client disconnects. */
	async stream(totalBytes: number, response: ServerResponse): Promise<void> {
		this.loads++;
		this.loadsRunning++;
		this.peakLoadsRunning = Math.max(this.peakLoadsRunning, this.loadsRunning);
		try {
			response.writeHead(200, {
				'content-type': 'application/octet-stream',
				'content-length': totalBytes,
			});
			await this.sendChunks(totalBytes, response);
			response.end();
		} finally {
			this.loadsRunning--;
		}
	}

	private async sendChunks(totalBytes: number, response: ServerResponse): Promise<void> {
		let remainingBytes = totalBytes;
		while (remainingBytes > 0 && !response.destroyed) {
			const size = Math.min(remainingBytes, chunkBytes);
			await waitFor(this.timers, this.rate.reserve(size, this.timers.getNow()));
			if (!response.write(zeroChunk.subarray(0, size))) {
				await waitForDrain(response);
			}
			this.bytes += size;
			remainingBytes -= size;
		}
	}
}
