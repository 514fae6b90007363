/* Metrics in the text exposition format of Prometheus. */
#include "codec/report_text.h"

/**
 * enum metric_kind - source and type of a metric
 * @METRIC_CLASS_COUNTER: counter, uint64_t in struct class_counters
 * @METRIC_CLASS_CAUSES: counters by refusal cause, uint64_t array in struct
 *	class_counters
 * @METRIC_CLASS_OUTCOMES: counters by outcome, uint64_t array in struct
 *	class_counters
 * @METRIC_CLASS_HISTOGRAM: struct histogram in struct class_counters
 * @METRIC_SERVICE_COUNTER: counter, uint64_t in struct service_metrics
 * @METRIC_SERVICE_CROSSING: counters by failure domain and reason, struct
 *	crossing in struct service_metrics
 * @METRIC_SERVICE_VERSION: gauge, uint64_t in struct service_metrics
 * @METRIC_SERVICE_GAUGE: gauge, uint32_t in struct service_metrics
 * @METRIC_CAUSES: counters by refusal cause, uint64_t array in struct
 *	metrics_report
 * @METRIC_DROPS: counters by cause of a dropped connection, uint64_t array in
 *	struct metrics_report
 * @METRIC_COUNTER: counter, uint64_t in struct metrics_report
 * @METRIC_GAUGE: gauge, uint32_t in struct metrics_report
 * @METRIC_HISTOGRAM: struct histogram in struct metrics_report
 */
enum metric_kind {
	METRIC_CLASS_COUNTER,
	METRIC_CLASS_CAUSES,
	METRIC_CLASS_OUTCOMES,
	METRIC_CLASS_HISTOGRAM,
	METRIC_SERVICE_COUNTER,
	METRIC_SERVICE_CROSSING,
	METRIC_SERVICE_VERSION,
	METRIC_SERVICE_GAUGE,
	METRIC_CAUSES,
	METRIC_DROPS,
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
};

/**
 * struct metric - description of a metric family
 * @name: name without the prefix "nutmegcrank_"
 * @help: text of the HELP line
 * @kind: struct and type of the value
 * @offset_bytes: offset of the value in the struct of its kind
 */
struct metric {
	const char *name;
	const char *help;
	enum metric_kind kind;
	uint32_t offset_bytes;
};

#define IN_CLASS(member) offsetof(struct class_counters, member)
#define IN_SERVICE(member) offsetof(struct service_metrics, member)
#define IN_REPORT(member) offsetof(struct metrics_report, member)

static const struct metric metrics[] = {
	{ "admitted_requests_total", "Requests admitted.", METRIC_CLASS_COUNTER,
	  IN_CLASS(admitted_requests) },
	{ "refused_requests_total", "Requests refused, by cause.",
	  METRIC_CLASS_CAUSES, IN_CLASS(refused_requests) },
	{ "outcome_requests_total", "Requests ended, by outcome.",
	  METRIC_CLASS_OUTCOMES, IN_CLASS(outcome_requests) },
	{ "queue_seconds", "Time that requests spent in the queue.",
	  METRIC_CLASS_HISTOGRAM, IN_CLASS(queue_us) },
	{ "slot_seconds", "Time that requests held a slot of a backend server.",
	  METRIC_CLASS_HISTOGRAM, IN_CLASS(slot_us) },
	{ "unsent_seconds",
	  "Time from choosing a backend server to sending the request.",
	  METRIC_CLASS_HISTOGRAM, IN_CLASS(unsent_us) },
	{ "retries_total", "Retries on another backend server.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.retries) },
	{ "retries_denied_total",
	  "Retries not made because of overload or lack of retry budget.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.retries_denied) },
	{ "idle_backend_requests_total",
	  "Requests to backend servers that had been left without work.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.idle_requests) },
	{ "ejections_total", "Ejections of backend servers.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.ejections) },
	{ "ejections_withheld_total",
	  "Ejections withheld because of the healthy floor.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.ejections_withheld) },
	{ "leases_asked_total",
	  "Lease requests for slots sent to other instances.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.leases_requested) },
	{ "leased_slots_total", "Slots borrowed from other instances.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.leased_slots) },
	{ "sent_closed_requests_total",
	  "Requests sent to a backend server known to be draining or paused.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.sent_closed_requests) },
	{ "shed_answers_total",
	  "Answers of backend servers that shed a request for overload.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.shed_answers) },
	{ "shed_refused_requests_total",
	  "Requests not admitted while most arrivals were shed.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.shed_refused) },
	{ "load_reports_total",
	  "Load reports in answers of backend servers that were used.",
	  METRIC_SERVICE_COUNTER, IN_SERVICE(counters.load_reports) },
	{ "crossed_requests_total",
	  "Requests sent to another failure domain, by domain and reason.",
	  METRIC_SERVICE_CROSSING, IN_SERVICE(crossing) },
	{ "config_version", "Version of the service document in force.",
	  METRIC_SERVICE_VERSION, IN_SERVICE(version) },
	{ "waiting_requests", "Requests currently queued.",
	  METRIC_SERVICE_GAUGE, IN_SERVICE(waiting_requests) },
	{ "running_requests", "Requests currently holding a slot.",
	  METRIC_SERVICE_GAUGE, IN_SERVICE(running_requests) },
	{ "draining_backends",
	  "Backend servers that are draining and accept no new requests.",
	  METRIC_SERVICE_GAUGE, IN_SERVICE(draining_backends) },
	{ "paused_backends",
	  "Backend servers that are paused and temporarily accept no requests.",
	  METRIC_SERVICE_GAUGE, IN_SERVICE(paused_backends) },
	{ "trial_backends",
	  "Backend servers on trial, as they failed or hung a short while ago.",
	  METRIC_SERVICE_GAUGE, IN_SERVICE(trial_backends) },
	{ "avoided_backends",
	  "Backend servers avoided, as they failed just now or hang.",
	  METRIC_SERVICE_GAUGE, IN_SERVICE(avoided_backends) },
	{ "left_out_backends",
	  "Backend servers of the platform for which the document has no room.",
	  METRIC_SERVICE_GAUGE, IN_SERVICE(left_out_backends) },
	{ "shedding",
	  "1 while most arrivals are shed and admission is limited, else 0.",
	  METRIC_SERVICE_GAUGE, IN_SERVICE(shedding) },
	{ "refused_early_requests_total",
	  "Requests refused before their class was known, by cause.",
	  METRIC_CAUSES, IN_REPORT(refused_early) },
	{ "rejecting_routes",
	  "Routes that reject requests, as they cannot be used as configured.",
	  METRIC_GAUGE, IN_REPORT(rejecting_routes) },
	{ "configuration_left_out",
	  "Items of the configuration that have no effect.", METRIC_GAUGE,
	  IN_REPORT(left_out) },
	{ "dispatch_ring_refused_total",
	  "Messages refused because the dispatch ring was full.",
	  METRIC_COUNTER, IN_REPORT(dispatch_ring_refused) },
	{ "dispatch_wait_seconds",
	  "Time that messages waited for the dispatch duty.", METRIC_HISTOGRAM,
	  IN_REPORT(dispatch_wait_us) },
	{ "quota_asks_total", "Datagrams that asked for tokens of customers.",
	  METRIC_COUNTER, IN_REPORT(quotas.asks) },
	{ "quota_granted_tokens_total",
	  "Tokens of customers received from other instances.", METRIC_COUNTER,
	  IN_REPORT(quotas.granted_tokens) },
	{ "quota_lent_tokens_total",
	  "Tokens of customers granted to other instances.", METRIC_COUNTER,
	  IN_REPORT(quotas.lent_tokens) },
	{ "quota_own_tokens_total",
	  "Tokens of customers taken from buckets of this instance.",
	  METRIC_COUNTER, IN_REPORT(quotas.own_tokens) },
	{ "quota_refused_asks_total",
	  "Asks of other instances answered with fewer tokens than wanted.",
	  METRIC_COUNTER, IN_REPORT(quotas.empty_answers) },
	{ "quota_reserve_tokens_total",
	  "Tokens taken from the reserve without owner and standby.",
	  METRIC_COUNTER, IN_REPORT(quotas.reserve_tokens) },
	{ "quota_owner_changes_total",
	  "Changes of the owner or the standby of a customer in use.",
	  METRIC_COUNTER, IN_REPORT(quotas.owner_changes) },
	{ "quota_wait_seconds", "Time that requests waited for tokens.",
	  METRIC_HISTOGRAM, IN_REPORT(quotas.wait_us) },
	{ "backend_connections_opened_total",
	  "Connections opened to backend servers.", METRIC_COUNTER,
	  IN_REPORT(connections.opened) },
	{ "backend_connections_reused_total",
	  "Requests sent on a kept connection to a backend server.",
	  METRIC_COUNTER, IN_REPORT(connections.reused) },
	{ "backend_connections_dropped_total",
	  "Connections to backend servers closed instead of kept, by cause.",
	  METRIC_DROPS, IN_REPORT(connections.dropped) },
	{ "audit_records_total", "State changes recorded in the audit trail.",
	  METRIC_COUNTER, IN_REPORT(audit_records) },
	{ "instances_alive", "Other instances considered alive.", METRIC_GAUGE,
	  IN_REPORT(members_alive) },
	{ "instances_suspect",
	  "Other instances suspected dead after unanswered probes.",
	  METRIC_GAUGE, IN_REPORT(members_suspect) },
	{ "instances_dead", "Other instances considered dead.", METRIC_GAUGE,
	  IN_REPORT(members_dead) },
};

static void write_family(GString *out, const struct metric *metric,
			 const struct metrics_report *report);
static void write_service(GString *out, const struct metric *metric,
			  const struct service_metrics *service);
static void write_crossing(GString *out, const struct metric *metric,
			   const struct name *service,
			   const struct crossing *crossing);
static void write_class(GString *out, const struct metric *metric,
			const char *labels,
			const struct class_counters *counters);
static void write_causes(GString *out, const struct metric *metric,
			 const char *labels, const uint64_t *counts);
static void write_drops(GString *out, const struct metric *metric,
			const uint64_t *counts);
static void write_outcomes(GString *out, const struct metric *metric,
			   const char *labels, const uint64_t *counts);
static void write_histogram(GString *out, const struct metric *metric,
			    const char *labels,
			    const struct histogram *histogram);
static void write_sample(GString *out, const struct metric *metric,
			 const char *suffix, const char *labels,
			 uint64_t value);
static const char *type_text(enum metric_kind kind);
static void append_seconds(GString *out, uint64_t time_us);

char *metrics_to_text(const struct metrics_report *report)
{
	GString *out = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(metrics); i++)
		write_family(out, &metrics[i], report);
	return g_string_free(out, FALSE);
}

static void write_family(GString *out, const struct metric *metric,
			 const struct metrics_report *report)
{
	const char *field = (const char *)report + metric->offset_bytes;
	uint32_t i;

	g_string_append_printf(out, "# HELP nutmegcrank_%s %s\n", metric->name,
			       metric->help);
	g_string_append_printf(out, "# TYPE nutmegcrank_%s %s\n", metric->name,
			       type_text(metric->kind));
	switch (metric->kind) {
	case METRIC_CLASS_COUNTER:
	case METRIC_CLASS_CAUSES:
	case METRIC_CLASS_OUTCOMES:
	case METRIC_CLASS_HISTOGRAM:
	case METRIC_SERVICE_COUNTER:
	case METRIC_SERVICE_CROSSING:
	case METRIC_SERVICE_VERSION:
	case METRIC_SERVICE_GAUGE:
		for (i = 0; i < report->service_count; i++)
			write_service(out, metric, &report->services[i]);
		break;
	case METRIC_CAUSES:
		write_causes(out, metric, "", (const uint64_t *)field);
		break;
	case METRIC_DROPS:
		write_drops(out, metric, (const uint64_t *)field);
		break;
	case METRIC_COUNTER:
		write_sample(out, metric, "", "", *(const uint64_t *)field);
		break;
	case METRIC_GAUGE:
		write_sample(out, metric, "", "", *(const uint32_t *)field);
		break;
	case METRIC_HISTOGRAM:
		write_histogram(out, metric, "",
				(const struct histogram *)field);
		break;
	}
}

static void write_service(GString *out, const struct metric *metric,
			  const struct service_metrics *service)
{
	const char *field = (const char *)service + metric->offset_bytes;
	char *labels;
	uint32_t i;

	switch (metric->kind) {
	case METRIC_CLASS_COUNTER:
	case METRIC_CLASS_CAUSES:
	case METRIC_CLASS_OUTCOMES:
	case METRIC_CLASS_HISTOGRAM:
		for (i = 0; i < service->class_count; i++) {
			labels = g_strdup_printf("service=\"%s\",class=\"%s\"",
						 service->service.text,
						 service->classes[i].text);
			write_class(out, metric, labels,
				    &service->counters.classes[i]);
			g_free(labels);
		}
		return;
	case METRIC_SERVICE_CROSSING:
		write_crossing(out, metric, &service->service,
			       (const struct crossing *)field);
		return;
	case METRIC_SERVICE_COUNTER:
	case METRIC_SERVICE_VERSION:
	case METRIC_SERVICE_GAUGE:
		labels = g_strdup_printf("service=\"%s\"",
					 service->service.text);
		write_sample(out, metric, "", labels,
			     metric->kind == METRIC_SERVICE_GAUGE ?
				     *(const uint32_t *)field :
				     *(const uint64_t *)field);
		g_free(labels);
		return;
	case METRIC_CAUSES:
	case METRIC_DROPS:
	case METRIC_COUNTER:
	case METRIC_GAUGE:
	case METRIC_HISTOGRAM:
		return;
	}
}

static void write_crossing(GString *out, const struct metric *metric,
			   const struct name *service,
			   const struct crossing *crossing)
{
	const struct crossing_domain *domain;
	char *labels;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < crossing->domain_count; i++) {
		domain = &crossing->domains[i];
		for (j = CROSSING_NO_SERVER; j < CROSSING_REASON_COUNT; j++) {
			labels = g_strdup_printf(
				"service=\"%s\",domain=\"%s\",reason=\"%s\"",
				service->text, domain->name.text,
				crossing_reason_text(j));
			write_sample(out, metric, "", labels,
				     domain->requests[j]);
			g_free(labels);
		}
	}
}

static void write_class(GString *out, const struct metric *metric,
			const char *labels,
			const struct class_counters *counters)
{
	const char *field = (const char *)counters + metric->offset_bytes;

	switch (metric->kind) {
	case METRIC_CLASS_COUNTER:
		write_sample(out, metric, "", labels, *(const uint64_t *)field);
		return;
	case METRIC_CLASS_CAUSES:
		write_causes(out, metric, labels, (const uint64_t *)field);
		return;
	case METRIC_CLASS_OUTCOMES:
		write_outcomes(out, metric, labels, (const uint64_t *)field);
		return;
	case METRIC_CLASS_HISTOGRAM:
		write_histogram(out, metric, labels,
				(const struct histogram *)field);
		return;
	case METRIC_SERVICE_COUNTER:
	case METRIC_SERVICE_CROSSING:
	case METRIC_SERVICE_VERSION:
	case METRIC_SERVICE_GAUGE:
	case METRIC_CAUSES:
	case METRIC_DROPS:
	case METRIC_COUNTER:
	case METRIC_GAUGE:
	case METRIC_HISTOGRAM:
		return;
	}
}

/* Causes with a count of 0 are omitted. */
static void write_causes(GString *out, const struct metric *metric,
			 const char *labels, const uint64_t *counts)
{
	char *all_labels;
	uint32_t i;

	for (i = 0; i < REFUSAL_COUNT; i++) {
		if (counts[i] == 0)
			continue;
		all_labels = g_strdup_printf("%s%scause=\"%s\"", labels,
					     *labels ? "," : "",
					     refusal_cause_text(i));
		write_sample(out, metric, "", all_labels, counts[i]);
		g_free(all_labels);
	}
}

static void write_drops(GString *out, const struct metric *metric,
			const uint64_t *counts)
{
	char label[32];
	uint32_t i;

	for (i = 0; i < CONNECTION_DROP_COUNT; i++) {
		g_snprintf(label, sizeof(label), "cause=\"%s\"",
			   connection_drop_text(i));
		write_sample(out, metric, "", label, counts[i]);
	}
}

static void write_outcomes(GString *out, const struct metric *metric,
			   const char *labels, const uint64_t *counts)
{
	char *all_labels;
	uint32_t i;

	for (i = OUTCOME_COMPLETE; i <= OUTCOME_UNKNOWN; i++) {
		all_labels = g_strdup_printf("%s,outcome=\"%s\"", labels,
					     outcome_text(i));
		write_sample(out, metric, "", all_labels, counts[i]);
		g_free(all_labels);
	}
}

static void write_histogram(GString *out, const struct metric *metric,
			    const char *labels,
			    const struct histogram *histogram)
{
	uint64_t total = 0;
	GString *all_labels;
	uint32_t i;

	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		total += histogram->count[i];
		all_labels = g_string_new(labels);
		g_string_append(all_labels, *labels ? ",le=\"" : "le=\"");
		if (i + 1 < HISTOGRAM_BUCKETS)
			append_seconds(all_labels, histogram_bound_us(i));
		else
			g_string_append(all_labels, "+Inf");
		g_string_append_c(all_labels, '"');
		write_sample(out, metric, "_bucket", all_labels->str, total);
		g_string_free(all_labels, TRUE);
	}
	g_string_append_printf(out, "nutmegcrank_%s_sum", metric->name);
	if (*labels)
		g_string_append_printf(out, "{%s}", labels);
	g_string_append_c(out, ' ');
	append_seconds(out, histogram->sum_us);
	g_string_append_c(out, '\n');
	write_sample(out, metric, "_count", labels, total);
}

static void write_sample(GString *out, const struct metric *metric,
			 const char *suffix, const char *labels, uint64_t value)
{
	g_string_append_printf(out, "nutmegcrank_%s%s", metric->name, suffix);
	if (*labels)
		g_string_append_printf(out, "{%s}", labels);
	g_string_append_printf(out, " %" G_GUINT64_FORMAT "\n", value);
}

static const char *type_text(enum metric_kind kind)
{
	switch (kind) {
	case METRIC_CLASS_COUNTER:
	case METRIC_CLASS_CAUSES:
	case METRIC_CLASS_OUTCOMES:
	case METRIC_SERVICE_COUNTER:
	case METRIC_SERVICE_CROSSING:
	case METRIC_CAUSES:
	case METRIC_DROPS:
	case METRIC_COUNTER:
		return "counter";
	case METRIC_CLASS_HISTOGRAM:
	case METRIC_HISTOGRAM:
		return "histogram";
	case METRIC_SERVICE_VERSION:
	case METRIC_SERVICE_GAUGE:
	case METRIC_GAUGE:
		return "gauge";
	}
	return "untyped";
}

static void append_seconds(GString *out, uint64_t time_us)
{
	g_string_append_printf(out,
			       "%" G_GUINT64_FORMAT ".%06" G_GUINT64_FORMAT,
			       time_us / US_PER_S, time_us % US_PER_S);
}
