#include "query/listing.h"

#include "query/health.h"
#include "query/shed_window.h"

static void copy_service(const struct service *service,
			 struct service_metrics *out, struct instant now);
static void count_caution(const struct backend *backend,
			  struct service_metrics *out, struct instant now);
static void count_members(const struct state *state,
			  struct metrics_report *report);

struct metrics_report *list_metrics(const struct state *state,
				    struct instant now)
{
	struct metrics_report *report = g_new0(struct metrics_report, 1);
	guint count = g_hash_table_size(state->services);
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	report->services = g_new0(struct service_metrics, count);
	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		copy_service(value, &report->services[report->service_count++],
			     now);
	for (i = 0; i < REFUSAL_COUNT; i++)
		report->refused_early[i] = state->refused_early[i];
	count_members(state, report);
	if (state->routes) {
		report->rejecting_routes = state->routes->rejecting_routes;
		report->left_out = state->routes->left_out;
	}
	report->quotas = state->quotas.counters;
	report->audit_records = state->audit_next - 1;
	return report;
}

static void copy_service(const struct service *service,
			 struct service_metrics *out, struct instant now)
{
	const struct service_doc *doc = service->doc;
	const struct backend *backend;
	uint32_t i;

	out->service = doc->service;
	out->version = doc->version;
	for (i = 0; i < doc->class_count; i++)
		out->classes[i] = doc->classes[i].name;
	out->class_count = doc->class_count;
	out->counters = service->counters;
	out->crossing = service->crossing;
	out->waiting_requests = service->waiting_requests;
	out->running_requests = service->running_requests;
	out->left_out_backends = doc->left_out_backends;
	out->shedding = shed_window_active(service, now);
	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		out->draining_backends += backend_draining(backend, now);
		out->paused_backends += backend_paused(backend, now);
		count_caution(backend, out, now);
	}
}

static void count_caution(const struct backend *backend,
			  struct service_metrics *out, struct instant now)
{
	switch (backend_caution(backend, now)) {
	case CAUTION_NONE:
		break;
	case CAUTION_TRIAL:
		out->trial_backends++;
		break;
	case CAUTION_AVOID:
		out->avoided_backends++;
		break;
	}
}

static void count_members(const struct state *state,
			  struct metrics_report *report)
{
	const GArray *members = state->membership.members;
	guint i;

	for (i = 0; i < members->len; i++) {
		switch (g_array_index(members, struct member, i).status) {
		case MEMBER_ALIVE:
			report->members_alive++;
			break;
		case MEMBER_SUSPECT:
			report->members_suspect++;
			break;
		case MEMBER_DEAD:
			report->members_dead++;
			break;
		case MEMBER_LEAVING:
			break;
		}
	}
}
