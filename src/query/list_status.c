#include "query/listing.h"

#include <string.h>

#include "query/health.h"
#include "query/quota_owner.h"
#include "query/ready.h"

static void count_customers(const struct state *state,
			    struct status_report *report);
static void add_service(struct status_report *report,
			const struct service *service, struct instant now);
static void copy_service(const struct service *service,
			 struct service_report *out, struct instant now);
static void copy_backend(const struct backend *backend,
			 struct backend_report *out, struct instant now);
static void copy_members(const struct state *state,
			 struct status_report *report);
static void copy_quotas(const struct state *state,
			struct status_report *report);
static void fill_state_causes(const struct state *state,
			      struct status_report *report);
static void apply_cause(const struct audit_record *record,
			struct status_report *report);
static bool changes_backend_state(enum audit_kind kind);
static gint compare_services(gconstpointer a, gconstpointer b);

struct status_report *list_status(const struct state *state,
				  const struct name *service,
				  struct instant now)
{
	struct status_report *report = g_new0(struct status_report, 1);
	guint count = g_hash_table_size(state->services);
	struct ready_reply ready;
	GHashTableIter iter;
	gpointer value;

	ready_answer(state, now, &ready);
	report->self = state->membership.self.peer;
	report->domain = state->membership.self.domain;
	report->ready = ready.ready;
	report->leaving = ready.leaving;
	report->platform_reachable = state->platform_reachable;
	report->config_reader = state->reader_role != READER_NONE;
	count_customers(state, report);
	report->services = g_new0(struct service_report, count);
	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *found = value;

		if (!service->text[0] ||
		    name_equal(&found->doc->service, service))
			add_service(report, found, now);
	}
	if (report->service_count > 1)
		qsort(report->services, report->service_count,
		      sizeof(*report->services), compare_services);
	copy_members(state, report);
	copy_quotas(state, report);
	fill_state_causes(state, report);
	return report;
}

static void count_customers(const struct state *state,
			    struct status_report *report)
{
	const struct customer_table *customers =
		state->routes ? state->routes->customers : NULL;

	if (!customers)
		return;
	report->customers = g_hash_table_size(customers->by_name);
	report->customer_keys = g_hash_table_size(customers->by_key);
}

static void add_service(struct status_report *report,
			const struct service *service, struct instant now)
{
	copy_service(service, &report->services[report->service_count], now);
	report->service_count++;
}

static void copy_service(const struct service *service,
			 struct service_report *out, struct instant now)
{
	uint32_t i;

	out->service = service->doc->service;
	out->version = service->doc->version;
	out->hash = service->doc->hash;
	out->home = service->self_home < service->home_count;
	out->overload = service->overload;
	out->waiting_requests = service->waiting_requests;
	out->running_requests = service->running_requests;
	out->floor_slots = service_doc_floor_slots(service->doc);
	out->in_service_slots = service_in_service_slots(service, now);
	for (i = 0; i < service->home_count; i++)
		out->homes[i] = service->homes[i].peer;
	out->home_count = service->home_count;
	for (i = 0; i < BORROWED_MAX; i++) {
		if (service->borrowed[i].lender.port != 0)
			out->borrowed_slots += service->borrowed[i].slots;
	}
	out->backends = g_new0(struct backend_report, service->backend_count);
	out->backend_count = service->backend_count;
	for (i = 0; i < service->backend_count; i++) {
		copy_backend(&service->backends[i], &out->backends[i], now);
		out->lent_slots += service->backends[i].lent_slots;
	}
}

static void copy_backend(const struct backend *backend,
			 struct backend_report *out, struct instant now)
{
	struct health_bucket window = health_window(backend, now);

	out->addr = backend->addr;
	out->domain = backend->domain;
	out->state = backend->health.state;
	out->capacity_slots = backend->capacity_slots;
	out->own_slots = backend->own_slots;
	out->in_use_slots = backend->in_use_slots;
	out->lent_slots = backend->lent_slots;
	out->ok_requests = window.ok_requests;
	out->failed_requests = window.failed_requests;
	out->slow_requests = window.slow_requests;
	out->draining = backend_draining(backend, now);
	out->paused = backend_paused(backend, now);
	out->cold = backend->cold;
}

static void copy_members(const struct state *state,
			 struct status_report *report)
{
	const GArray *members = state->membership.members;
	const struct member *member;
	struct member_report *out;
	guint i;

	report->members = g_new0(struct member_report, members->len);
	report->member_count = members->len;
	for (i = 0; i < members->len; i++) {
		member = &g_array_index(members, struct member, i);
		out = &report->members[i];
		out->peer = member->listed.peer;
		out->caller = member->listed.caller;
		out->domain = member->listed.domain;
		out->status = member->status;
		out->incarnation = member->incarnation;
		out->in_list = member->in_list;
	}
}

static void copy_quotas(const struct state *state, struct status_report *report)
{
	guint count = g_hash_table_size(state->quotas.customers);
	const struct customer_quota *quota;
	const struct customer *customer;
	struct quota_report *out;
	GHashTableIter iter;
	gpointer value;

	report->quotas = g_new0(struct quota_report, count);
	g_hash_table_iter_init(&iter, state->quotas.customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		quota = value;
		customer = quota_customer(state, quota->customer_hash);
		if (!customer)
			continue;
		out = &report->quotas[report->quota_count++];
		out->customer = customer->name;
		out->owner = quota->owner;
		out->granting = quota->bucket.until_us == DEADLINE_NONE_US;
		if (out->granting)
			out->level_tokens =
				(uint32_t)(quota->bucket.level_milli /
					   PERMILLE_ONE);
		out->waiting_requests = quota->waiting->len;
	}
}

/* The state of a backend server is explained by its latest audit record. */
static void fill_state_causes(const struct state *state,
			      struct status_report *report)
{
	uint64_t sequence = state->audit_next;
	uint64_t oldest = 1;

	if (sequence > AUDIT_KEPT_RECORDS)
		oldest = sequence - AUDIT_KEPT_RECORDS;
	while (sequence > oldest) {
		sequence--;
		apply_cause(&state->audit[sequence % AUDIT_KEPT_RECORDS],
			    report);
	}
}

static void apply_cause(const struct audit_record *record,
			struct status_report *report)
{
	struct service_report *service;
	struct backend_report *backend;
	uint32_t i;
	uint32_t j;

	if (!changes_backend_state(record->kind))
		return;
	for (i = 0; i < report->service_count; i++) {
		service = &report->services[i];
		if (!name_equal(&service->service, &record->service))
			continue;
		for (j = 0; j < service->backend_count; j++) {
			backend = &service->backends[j];
			if (backend->state_cause == CAUSE_NONE &&
			    addr_equal(backend->addr, record->subject))
				backend->state_cause = record->cause;
		}
	}
}

static bool changes_backend_state(enum audit_kind kind)
{
	switch (kind) {
	case AUDIT_EJECTED:
	case AUDIT_PATH_AVOIDED:
	case AUDIT_TRICKLE:
	case AUDIT_RAMP:
	case AUDIT_READMITTED:
	case AUDIT_DRAIN_BEGUN:
	case AUDIT_DRAIN_ENDED:
	case AUDIT_PAUSE_BEGUN:
	case AUDIT_PAUSE_ENDED:
		return true;
	case AUDIT_STARTED:
	case AUDIT_CONFIG_ACCEPTED:
	case AUDIT_CONFIG_REFUSED:
	case AUDIT_EJECTION_WITHHELD:
	case AUDIT_MEMBER:
	case AUDIT_HOME_SET:
	case AUDIT_LEASE_REFUSED:
	case AUDIT_OVERLOAD_BEGUN:
	case AUDIT_OVERLOAD_ENDED:
	case AUDIT_CROSSING_BEGUN:
	case AUDIT_CROSSING_ENDED:
	case AUDIT_STEPPED_BACK:
	case AUDIT_STEPPED_IN:
	case AUDIT_LEAVING:
	case AUDIT_KIND_COUNT:
		return false;
	}
	return false;
}

static gint compare_services(gconstpointer a, gconstpointer b)
{
	const struct service_report *left = a;
	const struct service_report *right = b;

	return strcmp(left->service.text, right->service.text);
}
