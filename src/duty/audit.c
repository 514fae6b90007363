#include "duty/audit.h"

#include <pthread.h>

#include "codec/log_line.h"
#include "codec/report_text.h"
#include "codec/trace_text.h"
#include "core/clock.h"
#include "ring/ring.h"

#define LOG_RING_CAPACITY_ITEMS 1024
/* Reserved for audit records, so that a full ring drops trace records first. */
#define LOG_RING_RESERVED_ITEMS 512

/**
 * enum log_item_kind - tag of struct log_item
 * @LOG_ITEM_AUDIT: audit record, a change of the instance's state
 * @LOG_ITEM_TRACE: trace record, a decision on a request
 */
enum log_item_kind { LOG_ITEM_AUDIT, LOG_ITEM_TRACE };

/**
 * struct log_item - item of the audit duty's ring
 * @kind: which member of the union is valid
 * @audit: with LOG_ITEM_AUDIT
 * @trace: with LOG_ITEM_TRACE
 */
struct log_item {
	enum log_item_kind kind;
	union {
		struct audit_record audit;
		struct trace_record trace;
	};
};

struct audit_duty {
	struct ring *ring;
	pthread_t thread;
	uint64_t dropped_reported;
	uint64_t next_warning_us;
};

static void *audit_thread(void *data);
static void warn_dropped(struct audit_duty *duty);
static void log_audit(const struct audit_record *record);
static void log_trace(const struct trace_record *record);

struct audit_duty *audit_start(const struct settings *settings,
			       struct ring *dispatch, GError **error)
{
	struct audit_duty *duty = g_new0(struct audit_duty, 1);

	(void)settings;
	(void)dispatch;
	duty->ring = ring_new(sizeof(struct log_item), LOG_RING_CAPACITY_ITEMS,
			      LOG_RING_RESERVED_ITEMS);
	if (pthread_create(&duty->thread, NULL, audit_thread, duty) == 0)
		return duty;
	g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
		    "audit: cannot create its thread");
	ring_free(duty->ring);
	g_free(duty);
	return NULL;
}

void audit_stop(struct audit_duty *duty)
{
	if (!duty)
		return;
	ring_close(duty->ring);
	pthread_join(duty->thread, NULL);
	ring_free(duty->ring);
	g_free(duty);
}

enum ring_result audit_send(struct audit_duty *duty,
			    const struct audit_record *record)
{
	const struct log_item item = { .kind = LOG_ITEM_AUDIT,
				       .audit = *record };

	return ring_push_reserved(duty->ring, &item);
}

enum ring_result audit_send_trace(struct audit_duty *duty,
				  const struct trace_record *record)
{
	const struct log_item item = { .kind = LOG_ITEM_TRACE,
				       .trace = *record };

	return ring_push(duty->ring, &item);
}

static void *audit_thread(void *data)
{
	struct audit_duty *duty = data;
	struct log_item item;

	while (ring_pop(duty->ring, &item, DEADLINE_NONE_US) == RING_OK) {
		switch (item.kind) {
		case LOG_ITEM_AUDIT:
			log_audit(&item.audit);
			break;
		case LOG_ITEM_TRACE:
			log_trace(&item.trace);
			break;
		}
		warn_dropped(duty);
	}
	return NULL;
}

/* Warns once a second at most, so that a full ring does not fill the log. */
static void warn_dropped(struct audit_duty *duty)
{
	uint64_t dropped = ring_refused(duty->ring);
	uint64_t now_us = clock_now_us();

	if (dropped == duty->dropped_reported || now_us < duty->next_warning_us)
		return;
	g_warning("log: %" G_GUINT64_FORMAT
		  " lines dropped since the last such line: the ring was full",
		  dropped - duty->dropped_reported);
	duty->dropped_reported = dropped;
	duty->next_warning_us = now_us + US_PER_S;
}

static void log_audit(const struct audit_record *record)
{
	char *json = audit_record_to_json(record);

	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, LOG_FIELD_AUDIT,
			 json, "MESSAGE", "%s", "audit");
	g_free(json);
}

static void log_trace(const struct trace_record *record)
{
	char *json = trace_record_to_json(record);

	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, LOG_FIELD_TRACE,
			 json, "MESSAGE", "%s", "request");
	g_free(json);
}
