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

/** The rows of the table, in the order of the scenes. */
export function renderResults(results: readonly SceneResult[], renderTable: TableRenderer): string {
	const rows = results.map(({ scene, observation }) => [
		observation.isRight ? 'right' : 'WRONG',
		scene.who,
		scene.asks,
		scene.expects,
		observation.received,
	]);
	return renderTable(['', 'caller', 'asks', 'must receive', 'received'], rows);
}
