/**
 * The manifest in force at one process, and the only place that changes it. Versions arrive from the
 * platform and from peers, late, twice and in any order: a platform that was restored from a backup offers
 * an old version after a new one, and an instance that was frozen offers what it held before. Only the
 * platform's version orders them, so an offer is taken if it parses, passes every check and is strictly
 * higher than what is in force; nothing else, arrival time least of all, can put an older one back.
 *
 * Two documents with one version mean that two pipelines published at once. Neither is newer; this process
 * keeps what it has, since changing to and fro between them would be worse than either, and reports it.
 * The next version ends the disagreement.
 */

import type { Stream } from 'most';
import chartFile from '../../../../charts/manifest.json';
import { Channel } from '../../../base/common/channel';
import { Disposable } from '../../../base/common/lifecycle';
import type { IAuditTrail } from '../../audit/common/auditTrail';
import { AuditKind } from '../../audit/common/auditTrail';
import { TypedChart, TypedStateMachine } from '../../charts/common/typedChart';
import type { ManifestVersion } from '../../ids/common/ids';
import type { ValidationIssue, Manifest } from './manifest';
import { parseManifest } from './manifest';

/** The life of one offered document. */
export enum ManifestState {
	Offered = 'offered',
	Checking = 'checking',
	InForce = 'inForce',
	Replaced = 'replaced',
	/** Not higher than what is in force. */
	PassedOver = 'passedOver',
	/** The version in force with another document. */
	Conflicting = 'conflicting',
	/** Higher, and faulty. */
	Invalid = 'invalid',
}

export enum ManifestEvent {
	Lower = 'Lower',
	Same = 'Same',
	Conflict = 'Conflict',
	/** The same document was found faulty before. */
	Known = 'Known',
	Higher = 'Higher',
	Pass = 'Pass',
	Fail = 'Fail',
	Replace = 'Replace',
}

export const manifestChart = new TypedChart(chartFile, ManifestState, ManifestEvent);

/** A document as the platform or a peer gives it; nothing in it is trusted. */
export interface ManifestOffer {
	readonly version: number;
	/** The document as the platform published it, byte for byte. */
	readonly document: string;
	/** Who gave it: `platform`, `peer entry-2`. */
	readonly source: string;
}

/** A manifest that is or was in force. */
export interface AcceptedManifest {
	readonly version: ManifestVersion;
	readonly digest: string;
	/** Kept to be given to peers unchanged. */
	readonly document: string;
	readonly manifest: Manifest;
	readonly source: string;
}

/** A hash of a document, equal on every instance. */
export type DigestFunction = (document: string) => string;

/** Gives the manifest in force and its changes. */
export interface IManifestHolder {
	readonly onDidAccept: Stream<AcceptedManifest>;
	getCurrent(): AcceptedManifest | undefined;
	submit(offer: ManifestOffer): ManifestState;
}

interface HeldManifest {
	readonly stateMachine: TypedStateMachine<ManifestState, ManifestEvent>;
	readonly accepted: AcceptedManifest;
}

/** Faulty and conflicting documents remembered, so that a repeat costs no parse and no audit record. */
const maxReportedDocuments = 64;

/** Faults written to the audit trail for one document; `anvilroadctl check` names them all. */
const maxRecordedIssues = 3;

function formatVersion(version: number | undefined): string {
	return version === undefined ? 'none' : `v${version}`;
}

function formatIssues(issues: readonly ValidationIssue[]): string {
	const listed = issues.slice(0, maxRecordedIssues).map(issue => `${issue.place} ${issue.problem}`.trim());
	return `${issues.length} faults: ${listed.join('; ')}`;
}

/** Holds the manifest in force. */
export class ManifestHolder extends Disposable implements IManifestHolder {
	private readonly channel = this.register(new Channel<AcceptedManifest>());
	private readonly counts = new Map<ManifestState, number>();
	private readonly reportedDocuments = new Set<string>();
	private current: HeldManifest | undefined;

	/** Each manifest that comes into force, once, in rising order of versions. */
	readonly onDidAccept = this.channel.stream;

	constructor(
		private readonly computeDigest: DigestFunction,
		private readonly auditTrail: IAuditTrail,
	) {
		super();
	}

	getCurrent(): AcceptedManifest | undefined {
		return this.current?.accepted;
	}

	/** Offers that ended in a state, since the start. */
	countOffers(state: ManifestState): number {
		return this.counts.get(state) ?? 0;
	}

	/** Takes a document that the platform or a peer gave, and says what became of it. */
	submit(offer: ManifestOffer): ManifestState {
		const stateMachine = new TypedStateMachine(manifestChart);
		const state = this.decide(stateMachine, offer);
		this.counts.set(state, this.countOffers(state) + 1);
		return state;
	}

	private decide(stateMachine: HeldManifest['stateMachine'], offer: ManifestOffer): ManifestState {
		const heldVersion = this.getCurrent()?.version;
		if (heldVersion !== undefined && offer.version < heldVersion) {
			return stateMachine.send(ManifestEvent.Lower);
		}
		const digest = this.computeDigest(offer.document);
		if (offer.version === heldVersion) {
			return this.compareWithCurrent(stateMachine, offer, digest);
		}
		if (this.reportedDocuments.has(createDocumentKey(offer.version, digest))) {
			return stateMachine.send(ManifestEvent.Known);
		}
		stateMachine.send(ManifestEvent.Higher);
		return this.check(stateMachine, offer, digest);
	}

	private compareWithCurrent(
		stateMachine: HeldManifest['stateMachine'],
		offer: ManifestOffer,
		digest: string,
	): ManifestState {
		if (digest === this.getCurrent()?.digest) {
			return stateMachine.send(ManifestEvent.Same);
		}
		this.recordRefusal(offer, digest, `another document with the version in force, digest ${digest}`);
		return stateMachine.send(ManifestEvent.Conflict);
	}

	private check(
		stateMachine: HeldManifest['stateMachine'],
		offer: ManifestOffer,
		digest: string,
	): ManifestState {
		if (!Number.isSafeInteger(offer.version) || offer.version < 1) {
			this.recordRefusal(offer, digest, 'the version is not a whole number above 0');
			return stateMachine.send(ManifestEvent.Fail);
		}
		const parsed = parseManifest(offer.document);
		if (parsed.isErr()) {
			this.recordRefusal(offer, digest, formatIssues(parsed.error));
			return stateMachine.send(ManifestEvent.Fail);
		}
		const state = stateMachine.send(ManifestEvent.Pass);
		this.setCurrent({
			stateMachine,
			accepted: { ...offer, version: offer.version as ManifestVersion, digest, manifest: parsed.value },
		});
		return state;
	}

	private setCurrent(next: HeldManifest): void {
		const previous = this.current;
		previous?.stateMachine.send(ManifestEvent.Replace);
		this.current = next;
		this.auditTrail.record({
			kind: AuditKind.Manifest,
			subject: 'manifest',
			from: formatVersion(previous?.accepted.version),
			to: formatVersion(next.accepted.version),
			sign: next.accepted.source,
			manifestVersion: next.accepted.version,
		});
		this.channel.emit(next.accepted);
	}

	private recordRefusal(offer: ManifestOffer, digest: string, problem: string): void {
		const key = createDocumentKey(offer.version, digest);
		if (this.reportedDocuments.has(key)) {
			return;
		}
		this.reportedDocuments.add(key);
		for (const oldest of this.reportedDocuments) {
			if (this.reportedDocuments.size <= maxReportedDocuments) {
				break;
			}
			this.reportedDocuments.delete(oldest);
		}
		const held = this.getCurrent()?.version;
		this.auditTrail.record({
			kind: AuditKind.Manifest,
			subject: `manifest ${formatVersion(offer.version)} refused`,
			from: formatVersion(held),
			to: formatVersion(held),
			sign: `${offer.source}: ${problem}`,
			manifestVersion: held,
		});
	}
}

function createDocumentKey(version: number, digest: string): string {
	return `${version} ${digest}`;
}
