/* Parsing of the settings of an instance. */
#include "codec/document_json.h"

#include <string.h>

#include "codec/json_error.h"
#include "codec/json_fields.h"
#include "codec/json_text.h"
#include "core/stop.h"

#define SETTINGS_BYTES_MAX UINT32_C(65536)
#define LOG_MASK_ERROR (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)
#define LOG_MASK_WARNING (LOG_MASK_ERROR | G_LOG_LEVEL_WARNING)
#define LOG_MASK_MESSAGE (LOG_MASK_WARNING | G_LOG_LEVEL_MESSAGE)
#define LOG_MASK_INFO (LOG_MASK_MESSAGE | G_LOG_LEVEL_INFO)
#define LOG_MASK_DEBUG (LOG_MASK_INFO | G_LOG_LEVEL_DEBUG)

#define AT(member) .offset_bytes = offsetof(struct settings, member)

static const struct field_choice log_formats[] = {
	{ "text", LOG_TEXT },
	{ "json", LOG_JSON },
};

static const struct field_choice log_levels[] = {
	{ "error", LOG_MASK_ERROR },	 { "warning", LOG_MASK_WARNING },
	{ "message", LOG_MASK_MESSAGE }, { "info", LOG_MASK_INFO },
	{ "debug", LOG_MASK_DEBUG },
};

static const struct field_choice log_requests[] = {
	{ "none", LOG_REQUESTS_NONE },
	{ "failed", LOG_REQUESTS_FAILED },
	{ "all", LOG_REQUESTS_ALL },
};

static const struct field_choice policies[] = {
	{ "leased", POLICY_LEASED },	 { "domain", POLICY_DOMAIN },
	{ "fixed", POLICY_FIXED },	 { "open", POLICY_OPEN },
	{ "baseline", POLICY_BASELINE },
};

static const struct field_choice platform_kinds[] = {
	{ "documents", PLATFORM_DOCUMENTS },
	{ "store", PLATFORM_STORE },
};

static const struct json_field header_fields[] = {
	{ "request_id", FIELD_TOKEN, false, AT(headers.request_id) },
	{ "time_left_ms", FIELD_TOKEN, false, AT(headers.time_left_ms) },
	{ "instance", FIELD_TOKEN, false, AT(headers.instance) },
	{ "signature", FIELD_TOKEN, false, AT(headers.signature) },
	{ "customer", FIELD_TOKEN, false, AT(headers.customer) },
	{ "load", FIELD_TOKEN, false, AT(headers.load) },
};

static const struct json_field log_fields[] = {
	{ "format", FIELD_CHOICE, false, AT(log_format),
	  .choices = { log_formats, G_N_ELEMENTS(log_formats), LOG_TEXT } },
	{ "requests", FIELD_CHOICE, false, AT(log_requests),
	  .choices = { log_requests, G_N_ELEMENTS(log_requests),
		       LOG_REQUESTS_FAILED } },
	{ "level", FIELD_CHOICE, false, AT(log_level),
	  .choices = { log_levels, G_N_ELEMENTS(log_levels), LOG_MASK_INFO } },
};

static const struct json_field settings_fields[] = {
	{ "callers", FIELD_ADDR, true, AT(caller_listen) },
	{ "peers", FIELD_ADDR, true, AT(peer_listen) },
	{ "peers_bind", FIELD_ADDR, false, AT(peer_bind) },
	{ "operators", FIELD_ADDR, true, AT(operator_listen) },
	{ "failure_domain", FIELD_NAME, true, AT(domain) },
	{ "platform", FIELD_ADDR, true, AT(platform) },
	{ "platform_kind", FIELD_CHOICE, false, AT(platform_kind),
	  .choices = { platform_kinds, G_N_ELEMENTS(platform_kinds),
		       PLATFORM_DOCUMENTS } },
	{ "platform_poll_ms", FIELD_U32, false, AT(platform_poll_ms),
	  .range = { 100, 60000, 4000 } },
	{ "platform_answer_ms", FIELD_U32, false, AT(platform_answer_ms),
	  .range = { 100, 60000, 3000 } },
	{ "platform_value_bytes", FIELD_U32, false, AT(platform_value_bytes),
	  .range = { 1024, 1073741824, 1048576 } },
	{ "directory", FIELD_ADDR, false, AT(directory_listen) },
	{ "ready", FIELD_ADDR, false, AT(ready_listen) },
	{ .key = "seeds", .kind = FIELD_CUSTOM },
	{ "headers", FIELD_OBJECT, false,
	  .table = { header_fields, G_N_ELEMENTS(header_fields) } },
	{ "not_run_is_503", FIELD_BOOL, false, AT(not_run_is_503) },
	{ "answer_margin_ms", FIELD_U32, false, AT(answer_margin_ms),
	  .range = { 0, 1000, 0 } },
	{ "close_ends_answer", FIELD_BOOL, false, AT(close_ends_answer) },
	{ "retry_min_ms", FIELD_U32, false, AT(retry_min_ms),
	  .range = { 1, 60000, 1000 } },
	{ "retry_max_ms", FIELD_U32, false, AT(retry_max_ms),
	  .range = { 2, 120000, 3000 } },
	{ "retry_share", FIELD_PERMILLE, false, AT(retry_earned_permille),
	  .range = { 0, 1000, 100 } },
	{ "retry_allowance", FIELD_PERMILLE, false,
	  AT(retry_allowance_permille), .range = { 0, 1000000000, 0 } },
	{ "retry_window", FIELD_DURATION, false, AT(retry_window_ms),
	  .range = { 1000, 600000, 10000 } },
	{ "healthy_floor", FIELD_PERMILLE, false, AT(healthy_floor_permille),
	  .range = { 10, 1000, 700 } },
	{ "reduce_cross_domain_traffic", FIELD_BOOL, false,
	  AT(reduce_cross_domain_traffic) },
	{ "cross_domain_cost_ms", FIELD_U32, false, AT(cross_domain_cost_ms),
	  .range = { 0, 60000, 0 } },
	{ "quota_window", FIELD_DURATION, false, AT(quota_window_ms),
	  .range = { 100, 600000, 0 } },
	{ "quota_overshoot", FIELD_PERMILLE, false,
	  AT(quota_overshoot_permille), .range = { 0, 10000, 0 } },
	{ "quota_slack_requests", FIELD_U32, false, AT(quota_slack_requests),
	  .range = { 0, 1000000, 0 } },
	{ "cpu_share", FIELD_PERMILLE, false, AT(cpu_share_permille),
	  .range = { 1, 1000, 1000 } },
	{ "cpu_speed", FIELD_PERMILLE, false, AT(cpu_speed_permille),
	  .range = { 1, 1000000, 1000 } },
	{ "idle_max_ms", FIELD_U32, false, AT(idle_max_ms),
	  .range = { 1000, 600000, 2000 } },
	/*
	 * Limits the requests in progress. The key keeps its name from when
	 * the front duty had several threads.
	 */
	{ "worker_threads", FIELD_U32, false, AT(requests_max),
	  .range = { 4, 4096, 64 } },
	{ "connections_max", FIELD_U32, false, AT(connections_max),
	  .range = { 16, 65536, 1024 } },
	{ "backend_keep_max", FIELD_U32, false, AT(backend_keep_max),
	  .range = { 0, 64, 0 } },
	{ "body_max_bytes", FIELD_U32, false, AT(body_max_bytes),
	  .range = { 1024, 67108864, 1048576 } },
	{ "head_max_bytes", FIELD_U32, false, AT(head_max_bytes),
	  .range = { 1024, 65536, 16384 } },
	{ "hold_max_bytes", FIELD_U32, false, AT(hold_max_bytes),
	  .range = { 0, 4194304, 65536 } },
	{ "entries_ttl_ms", FIELD_U32, false, AT(entries_ttl_ms),
	  .range = { 500, 60000, 5000 } },
	{ "stop_grace", FIELD_DURATION, false, AT(stop_grace_ms),
	  .range = { 1000, 600000, 30000 } },
	{ "log", FIELD_OBJECT, false,
	  .table = { log_fields, G_N_ELEMENTS(log_fields) } },
	{ "random_seed", FIELD_U32, false, AT(random_seed),
	  .range = { 0, UINT32_MAX, 0 } },
	{ "policy", FIELD_CHOICE, false, AT(policy),
	  .choices = { policies, G_N_ELEMENTS(policies), POLICY_LEASED } },
};

static const struct field_table settings_table = {
	settings_fields,
	G_N_ELEMENTS(settings_fields),
};

static bool read_seeds(const struct json_node *node, struct settings *settings,
		       GError **error);
static bool check_settings(const struct json_node *node,
			   const struct settings *settings, GError **error);

bool settings_parse(const char *label, const char *text, size_t text_bytes,
		    struct settings *out, GError **error)
{
	struct json_node node = { .label = label };
	struct settings settings = { 0 };
	bool ok;

	node.value = json_text_parse(label, text, text_bytes,
				     SETTINGS_BYTES_MAX, error);
	if (!node.value)
		return false;
	node.path = g_string_new(NULL);
	ok = json_read_fields(&node, settings_table, &settings, error) &&
	     read_seeds(&node, &settings, error) &&
	     check_settings(&node, &settings, error);
	if (settings.peer_bind.port == 0)
		settings.peer_bind = settings.peer_listen;
	g_string_free(node.path, TRUE);
	json_object_put(node.value);
	if (ok)
		*out = settings;
	return ok;
}

bool settings_load(const char *path, struct settings *out, GError **error)
{
	GError *cause = NULL;
	gsize text_bytes;
	char *text;
	bool ok;

	if (!g_file_get_contents(path, &text, &text_bytes, &cause)) {
		json_error_set(error, SETTINGS_ERROR_IO, path, "",
			       "%s; name a readable file", cause->message);
		g_error_free(cause);
		return false;
	}
	ok = settings_parse(path, text, text_bytes, out, error);
	g_free(text);
	return ok;
}

static bool read_seeds(const struct json_node *node, struct settings *settings,
		       GError **error)
{
	const struct json_list list = { .key = "seeds",
					.max_items = SEEDS_MAX };
	struct json_list_iter iter;

	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	while (json_list_iter_next(&iter)) {
		if (!json_read_addr(&iter.item, &settings->seeds[iter.index],
				    error))
			return false;
		settings->seed_count = iter.index + 1;
	}
	return true;
}

static bool check_settings(const struct json_node *node,
			   const struct settings *settings, GError **error)
{
	struct stop_times stop = stop_times(0, settings->stop_grace_ms);

	if (settings->retry_min_ms >= settings->retry_max_ms)
		return json_fail(node, "retry_max_ms", SETTINGS_ERROR_RANGE,
				 error,
				 "%u is not above retry_min_ms, %u; write more",
				 settings->retry_max_ms,
				 settings->retry_min_ms);
	if (addr_equal(settings->peer_listen, settings->caller_listen))
		return json_fail(node, "peers", SETTINGS_ERROR_DUPLICATE, error,
				 "same address as callers; choose another "
				 "port");
	if (addr_equal(settings->operator_listen, settings->caller_listen) ||
	    addr_equal(settings->operator_listen, settings->peer_listen))
		return json_fail(node, "operators", SETTINGS_ERROR_DUPLICATE,
				 error,
				 "same address as callers or peers; choose "
				 "another port");
	if (stop.work_ends_us <= settings->entries_ttl_ms * US_PER_MS)
		return json_fail(node, "stop_grace", SETTINGS_ERROR_RANGE,
				 error,
				 "%" G_GUINT64_FORMAT " ms of %u ms are for "
				 "requests, not above entries_ttl_ms, %u; a "
				 "planned stop must outlast the entries that "
				 "were handed out, so write more",
				 stop.work_ends_us / US_PER_MS,
				 settings->stop_grace_ms,
				 settings->entries_ttl_ms);
	return true;
}
