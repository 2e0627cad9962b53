/**
 * All load patterns, in the order of their tables.
 */

import type { Scenario } from '../scenario';
import { herdingScenarios } from './herding';
import { hotCaller } from './hotCaller';
import { longAmongShortScenarios } from './longAmongShort';
import { outageScenarios } from './outage';
import { overloadScenarios } from './overload';
import { prefixScenarios } from './prefixes';
import { regionScenarios } from './regions';
import { slowTargetScenarios } from './slowTarget';

export const scenarios: readonly Scenario[] = [
	...overloadScenarios,
	...longAmongShortScenarios,
	hotCaller,
	...prefixScenarios,
	...slowTargetScenarios,
	...herdingScenarios,
	...outageScenarios,
	...regionScenarios,
];
