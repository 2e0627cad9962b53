#!/usr/bin/env node
/**
 * Starts `anvilroad-load`, the development tool for load and comparisons.
 */

import { version } from '../../package.json';
import { runLoadProgram } from '../load/node/loadCommand';

void runLoadProgram(process.argv.slice(2), version);
