#include "codec/trace_text.h"

#include <json-c/json.h>

#include "codec/time_text.h"

static void add_granted(struct json_object *out,
			const struct trace_grant *granted);
static void add_ended(struct json_object *out, const struct trace_end *ended);
static void add_refused(struct json_object *out,
			const struct trace_refusal *refused);
static void add_backend(struct json_object *out, struct net_addr backend,
			const struct name *instance);
static void add_text(struct json_object *out, const char *key,
		     const char *text);
static void add_number(struct json_object *out, const char *key,
		       uint64_t number);
static const char *kind_text(enum trace_kind kind);

char *trace_record_to_json(const struct trace_record *record)
{
	struct json_object *out = json_object_new_object();
	char *time = time_text(record->unix_ms);
	char *json;

	add_text(out, "time", time);
	add_text(out, "request", record->request_id);
	add_text(out, "decision", kind_text(record->kind));
	add_text(out, "service", record->service.text);
	add_number(out, "routes_version", record->routes_version);
	add_number(out, "document_version", record->document_version);
	add_number(out, "left_us", record->left_us);
	add_number(out, "tries", record->tries);
	add_number(out, "waiting", record->waiting_requests);
	add_number(out, "running", record->running_requests);
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
	json = g_strdup(json_object_to_json_string_ext(
		out, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(out);
	g_free(time);
	return json;
}

static void add_granted(struct json_object *out,
			const struct trace_grant *granted)
{
	add_backend(out, granted->backend, &granted->instance);
	add_number(out, "own_slots", granted->own_slots);
	add_number(out, "in_use", granted->in_use_slots);
	json_object_object_add(out, "borrowed",
			       json_object_new_boolean(granted->borrowed));
	add_number(out, "waited_us", granted->waited_us);
	add_number(out, "trusted", granted->choice.trusted);
	add_number(out, "trial", granted->choice.trial);
	add_number(out, "avoided", granted->choice.avoided);
	add_number(out, "full", granted->choice.full);
	add_number(out, "closed", granted->choice.closed);
}

static void add_ended(struct json_object *out, const struct trace_end *ended)
{
	add_backend(out, ended->backend, &ended->instance);
	add_text(out, "evidence", evidence_kind_text(ended->kind));
	json_object_object_add(out, "sent",
			       json_object_new_boolean(ended->sent));
	add_number(out, "status", ended->status);
	add_number(out, "service_us", ended->service_us);
	add_text(out, "next", trace_follow_text(ended->follow));
}

static void add_refused(struct json_object *out,
			const struct trace_refusal *refused)
{
	add_text(out, "cause", refusal_cause_text(refused->cause));
	add_text(out, "outcome", outcome_text(refused->outcome));
	add_number(out, "retry_ms", refused->retry_ms);
}

static void add_backend(struct json_object *out, struct net_addr backend,
			const struct name *instance)
{
	char text[ADDR_TEXT_BYTES];

	add_text(out, "backend", addr_format(backend, text));
	if (instance->text[0] != '\0')
		add_text(out, "instance", instance->text);
}

static void add_text(struct json_object *out, const char *key, const char *text)
{
	json_object_object_add(out, key, json_object_new_string(text));
}

static void add_number(struct json_object *out, const char *key,
		       uint64_t number)
{
	json_object_object_add(out, key,
			       json_object_new_int64((int64_t)number));
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
