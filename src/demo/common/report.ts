/**
 * The table of the demo: what each caller asked, had to receive and received.
 */

import type { IScene, Observation } from './scene';

/** A scene with what came of it. */
export interface SceneResult {
	readonly scene: Pick<IScene, 'who' | 'asks' | 'expects'>;
	readonly observation: Observation;
}

/** Renders a head and rows as columns of text. */
export type TableRenderer = (head: readonly string[], rows: readonly (readonly string[])[]) => string;

/** The table in the order of the scenes; below it, what those that went wrong had to receive. */
export function renderResults(results: readonly SceneResult[], renderTable: TableRenderer): string {
	const rows = results.map(({ scene, observation }) => [
		observation.isRight ? 'right' : 'WRONG',
		scene.who,
		scene.asks,
		observation.received,
	]);
	const wrong = results
		.filter(({ observation }) => !observation.isRight)
		.map(({ scene }) => `WRONG: ${scene.who}, ${scene.asks}: must receive ${scene.expects}`);
	return [renderTable(['', 'caller', 'asks', 'received'], rows), ...wrong].join('\n');
}
