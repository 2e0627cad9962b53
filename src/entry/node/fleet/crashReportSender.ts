/**
 * Sends reports of crashed targets to other entries. Those that cannot be reached, or do not know the call, receive the
 * sightings with the next views.
 */

import { create } from '@bufbuild/protobuf';
import type { RegionName } from '../../../core/ids/common/ids';
import type { ShareCrashesRequest } from '../../../gen/anvilroad/peer/v1/peer_pb';
import { ShareCrashesRequestSchema } from '../../../gen/anvilroad/peer/v1/peer_pb';
import type { CrashSightingView } from '../../common/fleetView/entryView';
import { isPartFingerprint } from '../../common/quarantine/promptPartQuarantine';
import type { PeerClients } from '../peers/peerClients';
import type { ExchangeContact } from './peerContacts';
import { encodeSighting } from './viewCodec';

/** The live entries that reports are sent to. */
export interface IReportRecipients {
	listLiveRegions(): readonly RegionName[];
	listContactsIn(region: RegionName): readonly ExchangeContact[];
	orderRandomly(contacts: readonly ExchangeContact[]): readonly ExchangeContact[];
}

const reportTimeoutMs = 2_000;

/** Number of entries of each other region that receive a report of crashes; one alone may be about to end. */
const maxReportedElsewhere = 3;

export class CrashReportSender {
	constructor(
		private readonly recipients: IReportRecipients,
		private readonly peers: PeerClients,
	) {}

	/**
	 * Reports crashes to the live entries of the region of their targets, and those under parts of prompts to some entries
	 * of each other region as well; resolves when those of the region have answered.
	 */
	async send(region: RegionName, sightings: readonly CrashSightingView[]): Promise<void> {
		const ofParts = sightings.filter(({ fingerprint }) => isPartFingerprint(fingerprint));
		if (ofParts.length > 0) {
			this.sendElsewhere(region, ofParts);
		}
		await this.sendWithin(region, sightings);
	}

	/** Reports crashes to the live entries of a region alone; resolves when these have answered. */
	async sendWithin(region: RegionName, sightings: readonly CrashSightingView[]): Promise<void> {
		const report = createReport(region, sightings);
		await Promise.all(this.recipients.listContactsIn(region).map(contact => this.sendTo(contact, report)));
	}

	/** Those that receive the report pass it on in their region if it makes them refuse a part. */
	private sendElsewhere(ownRegion: RegionName, sightings: readonly CrashSightingView[]): void {
		const report = createReport(ownRegion, sightings);
		for (const region of this.recipients.listLiveRegions().filter(name => name !== ownRegion)) {
			const contacts = this.recipients.orderRandomly(this.recipients.listContactsIn(region));
			for (const contact of contacts.slice(0, maxReportedElsewhere)) {
				void this.sendTo(contact, report);
			}
		}
	}

	private async sendTo({ peerUrl }: ExchangeContact, report: ShareCrashesRequest): Promise<void> {
		try {
			await this.peers.open(peerUrl).client.shareCrashes(report, { timeoutMs: reportTimeoutMs });
		} catch {
			// The exchanges of views detect unreachable peers.
		}
	}
}

function createReport(region: RegionName, sightings: readonly CrashSightingView[]): ShareCrashesRequest {
	return create(ShareCrashesRequestSchema, { region, crashSightings: sightings.map(encodeSighting) });
}
