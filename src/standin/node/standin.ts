/**
 * What the host of a process knows of each stand-in that it runs.
 */

import type { Result } from 'neverthrow';
import type { IDisposable } from '../../base/common/lifecycle';
import type { SwitchFault } from '../common/faultBoard';
import type { StandinCounters } from './standinCounters';

/** One stand-in: it listens, has fault switches and counts what it met. */
export interface IStandin extends IDisposable {
	/** Names it in the settings and on the admin port. */
	readonly name: string;
	/** Listens and gives the address, as a base URL for HTTP and as `host:port` for a link. */
	open(): Promise<string>;
	/** Merges a patch into the fault switches and gives all of them as they then stand. */
	applyFaults(patch: unknown): Result<object, readonly SwitchFault[]>;
	/** What it counted since its start, and what it holds now. */
	getCounters(): StandinCounters;
}
