/**
 * The interface that all stand-ins of a process implement.
 */

import type { Result } from 'neverthrow';
import type { IDisposable } from '../../base/common/lifecycle';
import type { FaultPatchIssue } from '../common/faultSwitches';
import type { StandinCounters } from './standinCounters';

/** A simulated component of the environment, with a listening port, fault switches and counters. */
export interface IStandin extends IDisposable {
	/** The name of the stand-in in the settings and on the admin port. */
	readonly name: string;
	/** Starts to listen. Returns the base URL of an HTTP server, or `host:port` of a link. */
	open(): Promise<string>;
	/** Applies a patch to the fault switches. Returns the new values of all switches. */
	applyFaults(patch: unknown): Result<object, readonly FaultPatchIssue[]>;
	/** Returns the counters since the start, and the current gauges. */
	getCounters(): StandinCounters;
}
