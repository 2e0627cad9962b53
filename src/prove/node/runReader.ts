/**
 * Reads the targets' records at the end of a campaign: the calls that each simulated service ran.
 */

import { z } from 'zod';
import { parseJson } from '../../demo/common/caller';
import type { DeploymentContext } from '../../demo/common/scenario';
import type { RunRecord } from '../common/invariants';

const runsSchema = z.object({
	services: z.array(
		z.object({
			name: z.string(),
			calls: z.array(z.object({ callId: z.string(), runs: z.array(z.unknown()) })),
		}),
	),
});

/** Reads the number of runs of each call at each simulated service that counts its runs. */
export async function readRuns(stage: DeploymentContext): Promise<RunRecord[]> {
	const regionsByTarget = new Map(stage.addresses.targets.map(({ id, region }) => [id, region]));
	const answers = await Promise.all(
		stage.addresses.standins.map(({ admin }) =>
			stage.caller.send({ method: 'GET', url: `${admin}/v1/runs` }),
		),
	);
	return answers
		.flatMap(answer => runsSchema.parse(parseJson(answer)).services)
		.flatMap(({ name, calls }) =>
			calls.map(({ callId, runs }) => ({
				callId,
				target: name,
				region: regionsByTarget.get(name) ?? '',
				runs: runs.length,
			})),
		);
}
