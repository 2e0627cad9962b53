/**
 * All load patterns, in the order of their tables.
 */

import type { Scenario } from '../scenario';
import { overloadScenarios } from './overload';

export const scenarios: readonly Scenario[] = [...overloadScenarios];
