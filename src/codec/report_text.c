/* Status, audit records, entries, readiness and refusals as JSON. */
#include "codec/report_text.h"

#include "codec/json_add.h"
#include "codec/time_text.h"

static struct json_object *service_json(const struct service_report *service);
static struct json_object *backend_json(const struct backend_report *backend);
static struct json_object *member_json(const struct member_report *member);
static struct json_object *quota_json(const struct quota_report *quota);
static struct json_object *record_json(const struct audit_record *record);
static void add_evidence(struct json_object *out,
			 const struct audit_evidence *evidence);
static void add_config(struct json_object *out,
		       const struct audit_config *config);
static void add_member(struct json_object *out,
		       const struct audit_member *member);
static void add_homes(struct json_object *out, const struct audit_homes *homes);
static void add_queue(struct json_object *out, const struct audit_queue *queue);
static void add_crossing(struct json_object *out,
			 const struct audit_crossing *crossing);
static const char *health_text(enum health_state state);
static const char *status_text(enum member_status status);
static void add_hash(struct json_object *out, const char *key, uint64_t hash);
static void add_time(struct json_object *out, const char *key,
		     uint64_t unix_ms);

char *status_to_json(const struct status_report *report)
{
	struct json_object *out = json_object_new_object();
	struct json_object *services = json_object_new_array();
	struct json_object *members = json_object_new_array();
	struct json_object *quotas = json_object_new_array();
	uint32_t i;

	for (i = 0; i < report->service_count; i++)
		json_object_array_add(services,
				      service_json(&report->services[i]));
	for (i = 0; i < report->member_count; i++)
		json_object_array_add(members,
				      member_json(&report->members[i]));
	json_add_addr(out, "instance", report->self);
	for (i = 0; i < report->quota_count; i++)
		json_object_array_add(quotas, quota_json(&report->quotas[i]));
	json_add_text(out, "failure_domain", report->domain.text);
	json_add_flag(out, "ready", report->ready);
	json_add_flag(out, "leaving", report->leaving);
	json_add_flag(out, "platform_reachable", report->platform_reachable);
	json_add_flag(out, "config_reader", report->config_reader);
	json_add_number(out, "customers", report->customers);
	json_add_number(out, "customer_keys", report->customer_keys);
	json_object_object_add(out, "services", services);
	json_object_object_add(out, "instances", members);
	if (report->quota_count > 0)
		json_object_object_add(out, "quotas", quotas);
	else
		json_object_put(quotas);
	return json_unref_to_text(out);
}

char *audit_to_json(const GArray *records)
{
	GString *text = g_string_new(NULL);
	const struct audit_record *record;
	char *line;
	guint i;

	for (i = 0; i < records->len; i++) {
		record = &g_array_index(records, struct audit_record, i);
		line = audit_record_to_json(record);
		g_string_append(text, line);
		g_string_append_c(text, '\n');
		g_free(line);
	}
	return g_string_free(text, FALSE);
}

char *audit_record_to_json(const struct audit_record *record)
{
	return json_unref_to_text(record_json(record));
}

char *entries_to_json(const struct name *service,
		      const struct entries_reply *reply)
{
	struct json_object *out = json_object_new_object();
	struct json_object *entries = json_object_new_array();
	struct json_object *entry;
	char ip[ADDR_TEXT_BYTES];
	uint32_t i;

	for (i = 0; i < reply->entry_count; i++) {
		entry = json_object_new_object();
		json_add_text(entry, "ip",
			      addr_ip_format(reply->entries[i].caller.ip, ip));
		json_add_number(entry, "port", reply->entries[i].caller.port);
		json_add_text(entry, "failure_domain",
			      reply->entries[i].domain.text);
		json_object_array_add(entries, entry);
	}
	json_add_text(out, "service", service->text);
	json_object_object_add(out, "entries", entries);
	json_add_number(out, "expires_unix_ms", reply->expires_unix_ms);
	return json_unref_to_text(out);
}

char *ready_to_json(const struct ready_reply *reply)
{
	struct json_object *out = json_object_new_object();

	json_add_flag(out, "ready", reply->ready);
	json_add_flag(out, "leaving", reply->leaving);
	json_add_flag(out, "idle", reply->idle);
	return json_unref_to_text(out);
}

char *refusal_to_json(const struct refusal *refusal)
{
	struct json_object *out = json_object_new_object();

	json_add_text(out, "error", refusal_cause_text(refusal->cause));
	json_add_text(out, "outcome", outcome_text(refusal->outcome));
	if (refusal->retry_at_unix_ms != 0)
		json_add_number(out, "retry_at_unix_ms",
				refusal->retry_at_unix_ms);
	return json_unref_to_text(out);
}

static struct json_object *service_json(const struct service_report *service)
{
	struct json_object *out = json_object_new_object();
	struct json_object *homes = json_object_new_array();
	struct json_object *backends = json_object_new_array();
	char text[ADDR_TEXT_BYTES];
	uint32_t i;

	for (i = 0; i < service->home_count; i++)
		json_object_array_add(homes, json_object_new_string(addr_format(
						     service->homes[i], text)));
	for (i = 0; i < service->backend_count; i++)
		json_object_array_add(backends,
				      backend_json(&service->backends[i]));
	json_add_text(out, "service", service->service.text);
	json_add_number(out, "version", service->version);
	add_hash(out, "hash", service->hash);
	json_add_flag(out, "home", service->home);
	json_add_flag(out, "overload", service->overload);
	json_add_number(out, "waiting_requests", service->waiting_requests);
	json_add_number(out, "running_requests", service->running_requests);
	json_add_number(out, "borrowed_slots", service->borrowed_slots);
	json_add_number(out, "lent_slots", service->lent_slots);
	json_add_number(out, "in_service_slots", service->in_service_slots);
	json_add_number(out, "floor_slots", service->floor_slots);
	json_object_object_add(out, "homes", homes);
	json_object_object_add(out, "backends", backends);
	return out;
}

static struct json_object *backend_json(const struct backend_report *backend)
{
	struct json_object *out = json_object_new_object();

	json_add_addr(out, "backend", backend->addr);
	json_add_text(out, "failure_domain", backend->domain.text);
	json_add_text(out, "state", health_text(backend->state));
	json_add_text(out, "cause", audit_cause_text(backend->state_cause));
	json_add_flag(out, "draining", backend->draining);
	json_add_flag(out, "paused", backend->paused);
	json_add_flag(out, "cold", backend->cold);
	json_add_number(out, "slots", backend->capacity_slots);
	json_add_number(out, "own_slots", backend->own_slots);
	json_add_number(out, "in_use_slots", backend->in_use_slots);
	json_add_number(out, "lent_slots", backend->lent_slots);
	json_add_number(out, "ok_requests", backend->ok_requests);
	json_add_number(out, "failed_requests", backend->failed_requests);
	json_add_number(out, "slow_requests", backend->slow_requests);
	return out;
}

static struct json_object *member_json(const struct member_report *member)
{
	struct json_object *out = json_object_new_object();

	json_add_addr(out, "peer", member->peer);
	json_add_addr(out, "caller", member->caller);
	json_add_text(out, "failure_domain", member->domain.text);
	json_add_text(out, "status", status_text(member->status));
	json_add_number(out, "incarnation", member->incarnation);
	json_add_flag(out, "in_list", member->in_list);
	return out;
}

static struct json_object *quota_json(const struct quota_report *quota)
{
	struct json_object *out = json_object_new_object();

	json_add_text(out, "customer", quota->customer.text);
	if (quota->owner.port != 0)
		json_add_addr(out, "owner", quota->owner);
	json_add_flag(out, "granting", quota->granting);
	if (quota->granting)
		json_add_number(out, "level_tokens", quota->level_tokens);
	json_add_number(out, "waiting_requests", quota->waiting_requests);
	return out;
}

static struct json_object *record_json(const struct audit_record *record)
{
	struct json_object *out = json_object_new_object();

	json_add_number(out, "sequence", record->sequence);
	add_time(out, "time", record->unix_ms);
	json_add_text(out, "kind", audit_kind_text(record->kind));
	json_add_text(out, "cause", audit_cause_text(record->cause));
	if (record->service.text[0])
		json_add_text(out, "service", record->service.text);
	if (record->subject.port != 0)
		json_add_addr(out, "subject", record->subject);
	switch (record->detail_kind) {
	case AUDIT_DETAIL_NONE:
		break;
	case AUDIT_DETAIL_EVIDENCE:
		add_evidence(out, &record->evidence);
		break;
	case AUDIT_DETAIL_CONFIG:
		add_config(out, &record->config);
		break;
	case AUDIT_DETAIL_MEMBER:
		add_member(out, &record->member);
		break;
	case AUDIT_DETAIL_HOMES:
		add_homes(out, &record->homes);
		break;
	case AUDIT_DETAIL_QUEUE:
		add_queue(out, &record->queue);
		break;
	case AUDIT_DETAIL_CROSSING:
		add_crossing(out, &record->crossing);
		break;
	}
	return out;
}

static void add_evidence(struct json_object *out,
			 const struct audit_evidence *evidence)
{
	json_add_number(out, "ok_requests", evidence->ok_requests);
	json_add_number(out, "failed_requests", evidence->failed_requests);
	json_add_number(out, "slow_requests", evidence->slow_requests);
	json_add_number(out, "observers", evidence->observers);
	json_add_number(out, "in_service_slots", evidence->in_service_slots);
	json_add_number(out, "floor_slots", evidence->floor_slots);
	if (evidence->until_unix_ms != 0)
		add_time(out, "until", evidence->until_unix_ms);
}

static void add_config(struct json_object *out,
		       const struct audit_config *config)
{
	json_add_number(out, "version", config->version);
	json_add_number(out, "in_force", config->in_force);
	add_hash(out, "hash", config->hash);
}

static void add_member(struct json_object *out,
		       const struct audit_member *member)
{
	json_add_text(out, "status", status_text(member->status));
	json_add_number(out, "incarnation", member->incarnation);
	if (member->aside)
		json_object_object_add(out, "aside",
				       json_object_new_boolean(true));
}

static void add_homes(struct json_object *out, const struct audit_homes *homes)
{
	json_object_object_add(out, "home",
			       json_object_new_boolean(homes->home));
	json_add_number(out, "home_count", homes->home_count);
}

static void add_queue(struct json_object *out, const struct audit_queue *queue)
{
	json_add_number(out, "queue_requests", queue->queue_requests);
	json_add_number(out, "slots_in_use", queue->slots_in_use);
	json_add_number(out, "refused_requests", queue->refused_requests);
}

static void add_crossing(struct json_object *out,
			 const struct audit_crossing *crossing)
{
	json_add_number(out, "queue_requests", crossing->queue_requests);
	json_add_number(out, "here_ms", crossing->here_ms);
	json_add_number(out, "there_ms", crossing->there_ms);
	json_add_number(out, "part_requests", crossing->part_requests);
}

static const char *health_text(enum health_state state)
{
	switch (state) {
	case HEALTH_IN_SERVICE:
		return "in_service";
	case HEALTH_EJECTED:
		return "ejected";
	case HEALTH_AVOIDED:
		return "avoided";
	case HEALTH_TRICKLE:
		return "trickle";
	case HEALTH_RAMP:
		return "ramp";
	}
	return "invalid";
}

static const char *status_text(enum member_status status)
{
	switch (status) {
	case MEMBER_ALIVE:
		return "alive";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_DEAD:
		return "dead";
	case MEMBER_LEAVING:
		return "leaving";
	}
	return "invalid";
}

/* Written as a string, as many JSON readers round integers of 64 bits. */
static void add_hash(struct json_object *out, const char *key, uint64_t hash)
{
	char text[17];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", hash);
	json_add_text(out, key, text);
}

static void add_time(struct json_object *out, const char *key, uint64_t unix_ms)
{
	char *text = time_text(unix_ms);

	json_add_text(out, key, text);
	g_free(text);
}
