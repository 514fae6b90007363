#include "codec/trace_text.h"

#include "codec/json_add.h"
#include "codec/time_text.h"

static void add_granted(struct json_object *out,
			const struct trace_grant *granted);
static void add_ended(struct json_object *out, const struct trace_end *ended);
static void add_refused(struct json_object *out,
			const struct trace_refusal *refused);
static void add_backend(struct json_object *out, struct net_addr backend,
			const struct name *instance);
static const char *kind_text(enum trace_kind kind);

char *trace_record_to_json(const struct trace_record *record)
{
	struct json_object *out = json_object_new_object();
	char *time = time_text(record->unix_ms);

	json_add_text(out, "time", time);
	json_add_text(out, "request", record->request_id);
	json_add_text(out, "decision", kind_text(record->kind));
	if (record->customer.text[0] != '\0')
		json_add_text(out, "customer", record->customer.text);
	json_add_text(out, "service", record->service.text);
	json_add_number(out, "routes_version", record->routes_version);
	json_add_number(out, "document_version", record->document_version);
	json_add_number(out, "left_us", record->left_us);
	json_add_number(out, "tries", record->tries);
	json_add_number(out, "waiting", record->waiting_requests);
	json_add_number(out, "running", record->running_requests);
	switch (record->kind) {
	case TRACE_GRANTED:
		add_granted(out, &record->granted);
		break;
	case TRACE_ENDED:
		add_ended(out, &record->ended);
		break;
	case TRACE_REFUSED:
		add_refused(out, &record->refused);
		break;
	}
	g_free(time);
	return json_unref_to_text(out);
}

static void add_granted(struct json_object *out,
			const struct trace_grant *granted)
{
	add_backend(out, granted->backend, &granted->instance);
	json_add_number(out, "own_slots", granted->own_slots);
	json_add_number(out, "in_use", granted->in_use_slots);
	json_add_flag(out, "borrowed", granted->borrowed);
	json_add_number(out, "waited_us", granted->waited_us);
	json_add_number(out, "trusted", granted->choice.trusted);
	json_add_number(out, "trial", granted->choice.trial);
	json_add_number(out, "avoided", granted->choice.avoided);
	json_add_number(out, "full", granted->choice.full);
	json_add_number(out, "closed", granted->choice.closed);
}

static void add_ended(struct json_object *out, const struct trace_end *ended)
{
	add_backend(out, ended->backend, &ended->instance);
	json_add_text(out, "evidence", evidence_kind_text(ended->kind));
	json_add_flag(out, "sent", ended->sent);
	json_add_number(out, "status", ended->status);
	json_add_number(out, "service_us", ended->service_us);
	json_add_number(out, "unsent_us", ended->unsent_us);
	json_add_number(out, "closed_us", ended->closed_us);
	json_add_text(out, "next", trace_follow_text(ended->follow));
}

static void add_refused(struct json_object *out,
			const struct trace_refusal *refused)
{
	json_add_text(out, "cause", refusal_cause_text(refused->cause));
	json_add_text(out, "outcome", outcome_text(refused->outcome));
	json_add_number(out, "retry_ms", refused->retry_ms);
}

static void add_backend(struct json_object *out, struct net_addr backend,
			const struct name *instance)
{
	json_add_addr(out, "backend", backend);
	if (instance->text[0] != '\0')
		json_add_text(out, "instance", instance->text);
}

static const char *kind_text(enum trace_kind kind)
{
	switch (kind) {
	case TRACE_GRANTED:
		return "granted";
	case TRACE_ENDED:
		return "ended";
	case TRACE_REFUSED:
		return "refused";
	}
	return "";
}
