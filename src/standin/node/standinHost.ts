/**
 * Runs all stand-ins of a settings file in one process.
 */

import { Disposable } from '../../base/common/lifecycle';
import { SeededRandom } from '../../base/common/random';
import type { ITimerService } from '../../base/common/timerService';
import type { StandinSettings } from '../common/standinSettings';
import { AdminServer } from './adminServer';
import { EngineServer } from './engineServer';
import { LinkRelay } from './linkRelay';
import { PlainServer } from './plainServer';
import { PlatformServer } from './platformServer';
import type { IStandin } from './standin';

/** Seed for the random loss of cache events, so that a test run can be reproduced. */
const cacheEventSeed = 7;

/** The listening addresses of all stand-ins and of the admin port. */
export interface StandinAddresses {
	readonly ready: true;
	readonly addresses: Readonly<Record<string, string>>;
	readonly admin: string;
}

/** Owns the stand-ins and their admin port. */
export class StandinHost extends Disposable {
	private readonly standins: readonly IStandin[];
	private readonly admin: AdminServer;

	constructor(settings: StandinSettings, timers: ITimerService) {
		super();
		const random = new SeededRandom(cacheEventSeed);
		this.standins = [
			...(settings.platform === undefined ? [] : [new PlatformServer(settings.platform, timers)]),
			...Object.entries(settings.engine).map(
				([name, section]) => new EngineServer(name, section, timers, random),
			),
			...Object.entries(settings.plain).map(([name, section]) => new PlainServer(name, section, timers)),
			...Object.entries(settings.link).map(([name, section]) => new LinkRelay(name, section, timers)),
		];
		for (const standin of this.standins) {
			this.register(standin);
		}
		this.admin = this.register(new AdminServer(settings.admin.listen, this.standins));
	}

	/** Opens all ports. Resolves when all of them are listening. */
	async open(): Promise<StandinAddresses> {
		const addresses: Record<string, string> = {};
		for (const standin of this.standins) {
			addresses[standin.name] = await standin.open();
		}
		return { ready: true, addresses, admin: await this.admin.open() };
	}
}
