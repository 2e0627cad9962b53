/**
 * A check of keys whose knowledge is set by the test, with one known key.
 */

import type { RequestError } from '../../../../core/errors/common/errorKinds';
import type { KeyDigest, OrganisationName, RegionName } from '../../../../core/ids/common/ids';
import type { ManifestOrganisation } from '../../../../core/manifest/common/manifest';
import type { CallHead } from '../../callers/callHead';
import type { IKeyCheck } from '../keyConfirmation';
import { computeMaxKeyAgeMs, findKeyRefusal } from '../keyConfirmation';

export const knownKey = 'a1'.repeat(32) as KeyDigest;
export const withdrawnWithinMs = 5_000;

const owner: ManifestOrganisation = {
	name: 'harbour-hotel' as OrganisationName,
	home: 'kingston' as RegionName,
	weight: 1,
	keys: [knownKey],
	homes: [],
};

export class ScriptedKeys implements IKeyCheck {
	ageMs: number | undefined = 0;
	nextReadInMs = 250;
	isWithdrawn = false;
	checkCount = 0;

	findRefusal(head: Pick<CallHead, 'keyDigest'>): RequestError | undefined {
		this.checkCount++;
		return findKeyRefusal(
			head,
			{ findKeyOwner: digest => (digest === knownKey && !this.isWithdrawn ? owner : undefined) },
			{ ageMs: this.ageMs, nextReadInMs: this.nextReadInMs },
			computeMaxKeyAgeMs(withdrawnWithinMs),
		);
	}
}
