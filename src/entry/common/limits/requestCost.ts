/**
 * The cost of a request in the unit of its organisation's limit. It is known from the head, so that a request beyond the
 * limit is refused before its body is read.
 */

import type { OrganisationLimit } from '../../../core/manifest/common/organisations';
import { LimitUnit } from '../../../core/manifest/common/organisations';
import type { PromptShape } from '../prompts/promptShape';

/** Returns the units that a request counts as. */
export function computeRequestCost(limit: OrganisationLimit, prompt: PromptShape | undefined): number {
	if (limit.unit === LimitUnit.Requests) {
		return 1;
	}
	return prompt === undefined ? limit.plainTokens : prompt.promptTokens + prompt.maxOutputTokens;
}
