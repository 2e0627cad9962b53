#!/usr/bin/env node
/**
 * `anvilroad-load`: a development tool that generates load and compares gateways.
 */

import { version } from '../../package.json';
import { runLoadProgram } from '../load/node/loadCommand';

void runLoadProgram(process.argv.slice(2), version);
