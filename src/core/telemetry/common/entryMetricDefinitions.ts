/**
 * The names, help texts and labels of an entry's metrics. They are defined without the metrics library, so that
 * a test can compare them with docs/METRICS.md. Names follow the Prometheus conventions: base units, `_total`
 * for counters.
 *
 * Label values come from closed lists or from the manifest. No metric has the organisation as a label: 540
 * organisations times 7 models, classes and outcomes would create tens of thousands of time series per entry and
 * use memory that requests need. `anvilroadctl explain` shows single requests with their organisation.
 */

/** The parameters with which a metric is registered. */
export interface MetricDefinition<TLabel extends string = string> {
	readonly name: string;
	readonly help: string;
	readonly labelNames: readonly TLabel[];
}

/** A histogram with the upper bounds of its buckets. */
export interface HistogramDefinition<TLabel extends string = string> extends MetricDefinition<TLabel> {
	readonly buckets: readonly number[];
}

function createDefinition<TLabel extends string = never>(
	name: string,
	help: string,
	...labelNames: TLabel[]
): MetricDefinition<TLabel> {
	return { name: `anvilroad_${name}`, help, labelNames };
}

function withBuckets<TLabel extends string>(
	definition: MetricDefinition<TLabel>,
	buckets: readonly number[],
): HistogramDefinition<TLabel> {
	return { ...definition, buckets };
}

/** In seconds; dense around 0.61 s, the 95th percentile target for the time to the first token. */
const firstByteBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.61, 0.75, 1, 2, 5, 15, 60, 300];

/** In seconds; dense around 36 ms, the target for the time between two tokens. */
const gapBuckets = [0.005, 0.01, 0.02, 0.028, 0.036, 0.045, 0.06, 0.1, 0.25, 1, 5, 30];

/** In seconds; from short requests to drafts that run for many minutes. */
const answerBuckets = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60, 120, 300, 600];

/** In seconds; begins above the smallest lateness that is recorded. */
const eventLoopLateBuckets = [0.15, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 15];

export const counterDefinitions = {
	requests: createDefinition(
		'requests_total',
		'Requests that ended, by outcome and, where the answer is our own, by error kind.',
		'service',
		'class',
		'outcome',
		'error',
	),
	overdue: createDefinition(
		'overdue_requests_total',
		'Requests that nothing had ended by their deadline, by the state in which they were.',
		'service',
		'state',
	),
	attempts: createDefinition('attempts_total', 'Attempts at targets, by how they ended.', 'service', 'end'),
	answerEnds: createDefinition(
		'answer_ends_total',
		'Ends of answers that had begun, by what they showed to the caller.',
		'service',
		'end',
	),
	unreadableLoads: createDefinition(
		'unreadable_load_headers_total',
		'Answers of targets whose load header could not be read in whole.',
		'service',
	),
	sentAway: createDefinition(
		'sent_away_requests_total',
		'Requests sent to an entry of another region, by result.',
		'service',
		'region',
		'result',
	),
	linkBytes: createDefinition(
		'link_bytes_total',
		'Bytes of request and answer bodies carried to and from another region.',
		'region',
		'direction',
	),
	tickets: createDefinition('tickets_total', 'Tickets by what became of them.', 'result'),
	manifests: createDefinition('manifests_total', 'Manifests seen, by what was made of them.', 'result'),
	platformReads: createDefinition(
		'platform_reads_total',
		'Reads of the platform, waiting watches included.',
		'kind',
		'result',
	),
	peerExchanges: createDefinition('peer_exchanges_total', 'Exchanges of views with peers.', 'result'),
	peerBytes: createDefinition(
		'peer_bytes_total',
		'Bytes of views exchanged with peers, before framing.',
		'direction',
	),
	limitRequests: createDefinition(
		'limit_requests_total',
		'Requests of organisations with a limit, by what became of them.',
		'result',
	),
	limitMessages: createDefinition(
		'limit_messages_total',
		'Messages sent to share the limits of organisations, by result.',
		'kind',
		'result',
	),
	auditRecords: createDefinition('audit_records_total', 'Records of the audit trail.', 'kind'),
};

export const gaugeDefinitions = {
	info: createDefinition(
		'info',
		'Always 1; the labels tell the process.',
		'version',
		'instance',
		'region',
		'zone',
	),
	ready: createDefinition('ready', '1 when the entry takes requests, else 0.'),
	leaving: createDefinition('leaving', '1 when the entry is leaving, else 0.'),
	queued: createDefinition('queued_requests', 'Requests that wait for a target.', 'service'),
	running: createDefinition('running_requests', 'Requests that run at a target.', 'service'),
	longestWait: createDefinition(
		'longest_wait_seconds',
		'Time for which a request has waited without an attempt in progress, at the most.',
		'service',
	),
	pathsCut: createDefinition('paths_cut', '1 while no target of the service is reached, else 0.', 'service'),
	predictedWait: createDefinition(
		'predicted_wait_seconds',
		'Predicted wait of a normal request that arrives now.',
		'service',
	),
	targets: createDefinition('targets', 'Targets by state of their chart.', 'service', 'state'),
	peers: createDefinition('peers', 'Other entries in view by state.', 'state'),
	manifestVersion: createDefinition('manifest_version', 'Version of the manifest in force; 0 for none.'),
	platformLastRead: createDefinition(
		'platform_last_read_timestamp_seconds',
		'Unix time of the last good read of the platform.',
		'kind',
	),
	certificateExpiry: createDefinition(
		'certificate_expiry_timestamp_seconds',
		'Unix time at which the certificate in use expires; absent without TLS.',
	),
	keyKnowledgeAge: createDefinition(
		'key_knowledge_age_seconds',
		'Time since the keys were known to be those of the store; absent without a bound for withdrawn keys.',
	),
	limitedOrganisations: createDefinition(
		'limited_organisations',
		'Organisations whose requests are not all admitted here because of their limit.',
	),
	limitCoordinator: createDefinition(
		'limit_coordinator',
		'1 when the entry coordinates the limits of its zone, else 0.',
	),
	limitAnswerAge: createDefinition(
		'limit_answer_age_seconds',
		'Time since the last answer of the limit coordinator; absent without limits.',
	),
	heldBytes: createDefinition('held_body_bytes', 'Bytes of request bodies held in memory.'),
	ticketsOutstanding: createDefinition(
		'tickets_outstanding',
		'Tickets spent here and remembered until they expire.',
	),
};

export const histogramDefinitions = {
	firstByte: withBuckets(
		createDefinition(
			'first_byte_seconds',
			'From the arrival of the head to the first byte of the answer body.',
			'service',
			'class',
		),
		firstByteBuckets,
	),
	answer: withBuckets(
		createDefinition(
			'answer_seconds',
			'From the arrival of the head to the end of the whole answer.',
			'service',
			'class',
		),
		answerBuckets,
	),
	gap: withBuckets(
		createDefinition('answer_gap_seconds', 'Between two pieces of a streaming answer.', 'service', 'class'),
		gapBuckets,
	),
	startWait: withBuckets(
		createDefinition('start_wait_seconds', 'From the end of reading a request to its start or refusal.'),
		firstByteBuckets,
	),
	eventLoopLate: withBuckets(
		createDefinition(
			'event_loop_late_seconds',
			'By how much the check of the event loop every 250 ms was late, where it was over 0.1 s late.',
		),
		eventLoopLateBuckets,
	),
	queueWait: withBuckets(
		createDefinition('queue_wait_seconds', 'From submission to the start of an attempt.', 'service', 'class'),
		firstByteBuckets,
	),
};

/** Returns all metrics of an entry, except the default metrics of the process. */
export function listEntryMetrics(): MetricDefinition[] {
	return [
		...Object.values<MetricDefinition>(counterDefinitions),
		...Object.values<MetricDefinition>(gaugeDefinitions),
		...Object.values<MetricDefinition>(histogramDefinitions),
	];
}
