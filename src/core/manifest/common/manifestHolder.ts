/**
 * Holds the manifest in force in this process, and is the only code that changes it. Versions arrive from the platform
 * and from peers late, repeatedly and in any order: a platform that was restored from a backup offers an old version
 * after a new one, and an instance that was frozen offers the version that it had before. Only the platform's version
 * number determines the order. An offered document comes into force if it is valid and its version is strictly higher
 * than the one in force. The time of arrival has no influence, so an older version never replaces a newer one.
 *
 * Two documents with the same version mean that two pipelines published at the same time. Neither is newer. This process
 * keeps the one that it has, since alternating between them would be worse than either, and reports the conflict. The
 * next version resolves it.
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

/** States of an offered document. */
export enum ManifestState {
	Offered = 'offered',
	Checking = 'checking',
	InForce = 'inForce',
	Replaced = 'replaced',
	/** The version is lower than the one in force, or the document is in force already. */
	PassedOver = 'passedOver',
	/** The version is in force with another document. */
	Conflicting = 'conflicting',
	/** The version is higher, but the document or its version is not valid. */
	Invalid = 'invalid',
}

export enum ManifestEvent {
	Lower = 'Lower',
	Same = 'Same',
	Conflict = 'Conflict',
	/** The same document was rejected before. */
	Known = 'Known',
	Higher = 'Higher',
	Pass = 'Pass',
	Fail = 'Fail',
	Replace = 'Replace',
}

export const manifestChart = new TypedChart(chartFile, ManifestState, ManifestEvent);

/** A document received from the platform or a peer, not yet validated. */
export interface ManifestOffer {
	readonly version: number;
	/** The document exactly as the platform published it. */
	readonly document: string;
	/** Sender of the document, such as `platform` or `peer entry-2`. */
	readonly source: string;
}

/** A manifest that is or was in force. */
export interface AcceptedManifest {
	readonly version: ManifestVersion;
	readonly digest: string;
	/** The original document, which is sent to peers unchanged. */
	readonly document: string;
	readonly manifest: Manifest;
	readonly source: string;
}

/** Computes a hash of a document that is the same on every instance. */
export type DigestFunction = (document: string) => string;

/** Provides the manifest in force and its changes. */
export interface IManifestHolder {
	readonly onDidAccept: Stream<AcceptedManifest>;
	getCurrent(): AcceptedManifest | undefined;
	submit(offer: ManifestOffer): ManifestState;
}

interface HeldManifest {
	readonly stateMachine: TypedStateMachine<ManifestState, ManifestEvent>;
	readonly accepted: AcceptedManifest;
}

/** Maximum number of rejected documents that are kept, so that repeated offers are not parsed and audited again. */
const maxReportedDocuments = 64;

/** Maximum number of errors of a document in its audit record; `anvilroadctl check` prints all of them. */
const maxRecordedIssues = 3;

function formatVersion(version: number | undefined): string {
	return version === undefined ? 'none' : `v${version}`;
}

function formatIssues(issues: readonly ValidationIssue[]): string {
	const listed = issues.slice(0, maxRecordedIssues).map(issue => `${issue.place} ${issue.problem}`.trim());
	return `${issues.length} faults: ${listed.join('; ')}`;
}

/** Holds the manifest in force and the state machine of its document. */
export class ManifestHolder extends Disposable implements IManifestHolder {
	private readonly channel = this.register(new Channel<AcceptedManifest>());
	private readonly counts = new Map<ManifestState, number>();
	private readonly reportedDocuments = new Set<string>();
	private current: HeldManifest | undefined;

	/** Emits each manifest that comes into force once, in ascending order of versions. */
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

	/** Returns the number of offers since the start for which `submit` returned `state`. */
	countOffers(state: ManifestState): number {
		return this.counts.get(state) ?? 0;
	}

	/** Checks an offered document, puts it in force if it is valid and newer, and returns its state. */
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
