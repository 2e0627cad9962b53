/**
 * Counts the load headers of targets that can't be read, and logs the first one of each target. Targets send a header
 * with each answer, so a line for each would fill the log after an update of their software.
 */

import { LRUCache } from 'lru-cache';
import type { ServiceName, TargetId } from '../../../core/ids/common/ids';

/** Receives the load headers that can't be read in whole. */
export interface ILoadHeaderObserver {
	noteUnreadable(service: ServiceName, target: TargetId, text: string): void;
}

/** The counter of such headers. */
export interface IUnreadableLoadCounter {
	noteUnreadableLoad(service: string): void;
}

/** Bounds the memory; with more targets, some are logged again. */
const maxLoggedTargets = 2_000;

/** A header comes from outside, and is logged up to this length. */
const maxLoggedCharacters = 64;

export class UnreadableLoads implements ILoadHeaderObserver {
	private readonly logged = new LRUCache<string, true>({ max: maxLoggedTargets });

	constructor(
		private readonly counter: IUnreadableLoadCounter,
		private readonly writeWarning: (fields: object, message: string) => void,
	) {}

	noteUnreadable(service: ServiceName, target: TargetId, text: string): void {
		this.counter.noteUnreadableLoad(service);
		const key = `${service}/${target}`;
		if (this.logged.get(key) === undefined) {
			this.logged.set(key, true);
			this.writeWarning(
				{ service, target, load: text.slice(0, maxLoggedCharacters) },
				'load header of a target not readable',
			);
		}
	}
}

/** Ignores what it is told. */
export const ignoredLoadHeaders: ILoadHeaderObserver = { noteUnreadable: () => undefined };
