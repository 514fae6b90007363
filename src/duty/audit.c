#include "duty/audit.h"

#include <pthread.h>

#include "codec/log_line.h"
#include "codec/report_text.h"
#include "ring/ring.h"

#define AUDIT_RING_RECORDS 1024

struct audit_duty {
	struct ring *ring;
	pthread_t thread;
};

static void *audit_thread(void *data);
static void log_record(const struct audit_record *record);

struct audit_duty *audit_start(const struct settings *settings,
			       struct ring *dispatch, GError **error)
{
	struct audit_duty *duty = g_new0(struct audit_duty, 1);

	(void)settings;
	(void)dispatch;
	duty->ring =
		ring_new(sizeof(struct audit_record), AUDIT_RING_RECORDS, 0);
	if (pthread_create(&duty->thread, NULL, audit_thread, duty) == 0)
		return duty;
	g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
		    "audit: cannot make its thread");
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
	return ring_push(duty->ring, record);
}

static void *audit_thread(void *data)
{
	struct audit_duty *duty = data;
	struct audit_record record;

	while (ring_pop(duty->ring, &record, DEADLINE_NONE_US) == RING_OK)
		log_record(&record);
	return NULL;
}

static void log_record(const struct audit_record *record)
{
	char *json = audit_record_to_json(record);

	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, LOG_FIELD_AUDIT,
			 json, "MESSAGE", "%s", "audit");
	g_free(json);
}
