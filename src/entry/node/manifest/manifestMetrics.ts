/**
 * Maps the state of a submitted manifest to its metric label.
 */

import { ManifestState } from '../../../core/manifest/common/manifestHolder';
import { ManifestResult } from '../../../core/telemetry/common/entryMetricLabels';

/** Returns the result label for the state that a submitted manifest ended in. */
export function getManifestResult(state: ManifestState): ManifestResult {
	switch (state) {
		case ManifestState.InForce:
		case ManifestState.Replaced:
			return ManifestResult.Accepted;
		case ManifestState.Conflicting:
			return ManifestResult.Conflict;
		case ManifestState.PassedOver:
			return ManifestResult.Old;
		default:
			return ManifestResult.Refused;
	}
}
