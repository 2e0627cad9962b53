/**
 * `anvilroadctl check manifest`: runs the same validation as every entry and lists the changes from another file
 * or from the manifest in force at an entry.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { ValidationIssue, Manifest } from '../../core/manifest/common/manifest';
import { checkManifest, parseManifest } from '../../core/manifest/common/manifest';
import { ExitCode } from '../common/exitCode';
import { formatCount } from '../common/formatting';
import type { ManifestChange } from '../common/manifestDiff';
import { compareManifests, renderManifestChange } from '../common/manifestDiff';
import type { ICommand, ICommandOutput } from './command';
import { renderClientError, writeResult } from './command';
import type { OperatorsClient } from './operatorsClient';
import { readTextFile } from './textFile';

export interface CheckManifestOptions {
	readonly file: string;
	/** A file or the URL of the operators' port of an entry. */
	readonly against: string | undefined;
	readonly isJson: boolean;
}

/** The manifest to compare with, and its name in the output. */
interface Baseline {
	readonly name: string;
	readonly manifest: Manifest;
}

function formatDocumentFault(file: string, { place, problem }: ValidationIssue): string {
	return place === '' ? `${file}: ${problem}` : `${file}: ${place}: ${problem}`;
}

function formatContents(manifest: Manifest): string {
	const { services, targets, organisations, regions } = manifest;
	return [
		formatCount(regions.length, 'region'),
		formatCount(organisations.length, 'organisation'),
		formatCount(services.length, 'service'),
		formatCount(targets.length, 'target'),
	].join(', ');
}

export class CheckManifestCommand implements ICommand {
	constructor(
		private readonly client: OperatorsClient,
		private readonly output: ICommandOutput,
		private readonly options: CheckManifestOptions,
	) {}

	/**
	 * Returns `Failure` if the document has faults or the manifest to compare with is unavailable, and `BadUsage` if
	 * the file cannot be read.
	 */
	async run(): Promise<ExitCode> {
		const { file, against } = this.options;
		const text = readTextFile(file);
		if (text.isErr()) {
			this.output.writeError(text.error);
			return ExitCode.BadUsage;
		}
		const parsed = parseManifest(text.value);
		if (parsed.isErr()) {
			this.writeFaults(parsed.error);
			return ExitCode.Failure;
		}
		return against === undefined ? this.writeSuccess(parsed.value) : this.compare(parsed.value, against);
	}

	private async compare(manifest: Manifest, against: string): Promise<ExitCode> {
		const baseline = await this.fetchBaseline(against);
		if (baseline.isErr()) {
			this.writeSuccess(manifest);
			this.output.writeError(baseline.error);
			return ExitCode.Failure;
		}
		return this.writeSuccess(manifest, baseline.value);
	}

	private fetchBaseline(against: string): Promise<Result<Baseline, string>> {
		return /^https?:\/\//.test(against)
			? this.fetchManifestInForce(against.replace(/\/+$/, ''))
			: Promise.resolve(this.readBaseline(against));
	}

	private readBaseline(file: string): Result<Baseline, string> {
		return readTextFile(file).andThen(text =>
			parseManifest(text)
				.map(manifest => ({ name: file, manifest }))
				.mapErr(() => `${file}: is not a valid manifest; cannot compare`),
		);
	}

	private async fetchManifestInForce(entry: string): Promise<Result<Baseline, string>> {
		const fetched = await this.client.fetchManifest(entry);
		if (fetched.isErr()) {
			return err(renderClientError(entry, fetched.error));
		}
		const { version, document } = fetched.value.value;
		const checked = checkManifest(document);
		return checked.isOk()
			? ok({ name: `manifest ${version} in force at ${entry}`, manifest: checked.value })
			: err(
					`${entry}: the manifest in force fails the check of this program; the program versions may differ`,
				);
	}

	private writeFaults(faults: readonly ValidationIssue[]): void {
		const { file, isJson } = this.options;
		writeResult(this.output, isJson, { file, isRight: false, faults }, () =>
			faults.map(fault => formatDocumentFault(file, fault)),
		);
	}

	private writeSuccess(manifest: Manifest, baseline?: Baseline): ExitCode {
		const { file, isJson } = this.options;
		const changes = baseline && compareManifests(baseline.manifest, manifest);
		writeResult(this.output, isJson, { file, isRight: true, against: baseline?.name, changes }, () => [
			`${file}: right (${formatContents(manifest)})`,
			...(baseline && changes ? this.renderChanges(baseline, changes) : []),
		]);
		return ExitCode.Success;
	}

	private renderChanges(baseline: Baseline, changes: readonly ManifestChange[]): string[] {
		const heading =
			changes.length === 0
				? `no change against ${baseline.name}`
				: `${formatCount(changes.length, 'change')} against ${baseline.name}:`;
		return [heading, ...changes.map(renderManifestChange)];
	}
}
