/**
 * All load patterns, in the order in which their tables are printed.
 */

import type { Scenario } from '../scenario';
import { herdingScenarios } from './herding';
import { hotOrganisationScenario } from './hotCaller';
import { longAmongShortScenarios } from './longAmongShort';
import { outageScenarios } from './outage';
import { overloadScenarios } from './overload';
import { prefixScenarios } from './prefixes';
import { regionScenarios } from './regions';
import { slowTargetScenarios } from './slowTarget';

export const scenarios: readonly Scenario[] = [
	...overloadScenarios,
	...longAmongShortScenarios,
	hotOrganisationScenario,
	...prefixScenarios,
	...slowTargetScenarios,
	...herdingScenarios,
	...outageScenarios,
	...regionScenarios,
];
