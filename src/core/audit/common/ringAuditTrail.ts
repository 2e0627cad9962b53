/**
 * An in-memory audit trail: a ring buffer of fixed capacity, since an entry can record thousands of changes a day, such
 * as restarts and failing links. Older records are only in the log.
 */

import { Channel } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { AuditChange, AuditRecord, IAuditTrail } from './auditTrail';

/** Keeps the newest `capacity` records. The cost of recording does not depend on the number of records. */
export class RingAuditTrail extends Disposable implements IAuditTrail {
	private readonly records: AuditRecord[] = [];
	private readonly channel = this.register(new Channel<AuditRecord>());
	private lastSequence = 0;

	readonly onDidRecord = this.channel.stream;

	/**
	 * @param capacity The number of records kept; at least 1.
	 * @param wallClock Returns the time of day for records.
	 */
	constructor(
		private readonly capacity: number,
		private readonly wallClock: () => Date,
	) {
		super();
		if (!Number.isInteger(capacity) || capacity < 1) {
			throw new RangeError(`the capacity of an audit trail must be a positive integer, not ${capacity}`);
		}
	}

	record(change: AuditChange): void {
		this.lastSequence++;
		const record: AuditRecord = { ...change, sequence: this.lastSequence, at: this.wallClock() };
		this.records[this.computeSlot(this.lastSequence)] = record;
		this.channel.emit(record);
	}

	list(maxRecords = this.capacity): readonly AuditRecord[] {
		const count = Math.max(0, Math.min(maxRecords, this.records.length));
		const newest: AuditRecord[] = [];
		for (let sequence = this.lastSequence - count + 1; sequence <= this.lastSequence; sequence++) {
			const record = this.records[this.computeSlot(sequence)];
			if (record !== undefined) {
				newest.push(record);
			}
		}
		return newest;
	}

	private computeSlot(sequence: number): number {
		return (sequence - 1) % this.capacity;
	}
}
