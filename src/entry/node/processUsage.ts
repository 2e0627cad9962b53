/**
 * Reads the processor time of this process and the idle time of its event loop.
 */

import { performance } from 'node:perf_hooks';
import type { ProcessUsage } from '../common/eventLoop/eventLoopMonitor';

const microsecondsPerMillisecond = 1_000;

export function readProcessUsage(): ProcessUsage {
	const { user, system } = process.cpuUsage();
	return {
		cpuMs: (user + system) / microsecondsPerMillisecond,
		idleMs: performance.nodeTiming.idleTime,
	};
}
