#include "duty/config.h"

#include <pthread.h>

#include "codec/document_json.h"
#include "core/clock.h"
#include "duty/config_fetch.h"
#include "duty/config_source.h"
#include "duty/config_watch.h"
#include "duty/relay.h"
#include "ring/ring.h"

#define ROLE_RING_CAPACITY_EVENTS 8
#define FETCHES_RUNNING_MAX 4
#define RING_FULL_RETRY_US (100 * US_PER_MS)

/**
 * struct config_duty - state of the config duty
 * @settings: not owned
 * @dispatch: ring of struct message to the dispatch duty, not owned
 * @ring: ring of struct config_role_event from the dispatch duty
 * @thread: reads from the platform
 * @rand: for jitter
 * @source: client of the platform, owned
 * @index: reads of the index of documents
 * @instances: reads of the published instance list
 * @fetches: documents to be fetched
 * @role: reader role of this instance
 * @role_is_new: the index has not been read since the role was gained
 * @alone: the published list names no other live instance
 * @platform_reported: @platform_reachable was sent to the dispatch duty, which
 *	has not reset it since
 * @platform_reachable: state reported last: a read of a list succeeded
 */
struct config_duty {
	const struct settings *settings;
	struct ring *dispatch;
	struct ring *ring;
	pthread_t thread;
	GRand *rand;
	struct config_source *source;
	struct watch index;
	struct watch instances;
	struct fetch_list fetches;
	enum reader_role role;
	bool role_is_new;
	bool alone;
	bool platform_reported;
	bool platform_reachable;
};

static void *config_thread(void *data);
static bool apply_roles(struct config_duty *duty);
static void begin_reads(struct config_duty *duty);
static bool should_read_index(const struct config_duty *duty);
static void begin_watch(struct config_duty *duty, struct watch *watch,
			enum source_request_kind kind);
static void begin_fetches(struct config_duty *duty);
static void drop_relayed(struct config_duty *duty, uint64_t now_us);
static uint64_t next_due_us(const struct config_duty *duty);
static void handle_answer(struct config_duty *duty,
			  struct source_answer *answer);
static void handle_index(struct config_duty *duty,
			 struct source_answer *answer);
static void restate_overruled(struct config_duty *duty);
static uint64_t document_due_us(const struct config_duty *duty,
				const struct name *key, uint64_t now_us);
static void handle_instances(struct config_duty *duty,
			     struct source_answer *answer);
static bool is_alone(const struct config_duty *duty, const GArray *list);
static void handle_document(struct config_duty *duty,
			    const struct source_answer *answer);
static enum ring_result send_document(struct config_duty *duty,
				      const struct source_answer *answer);
static void set_malformed(struct source_answer *answer, GError *error);
static void report_platform_state(struct config_duty *duty,
				  const struct source_answer *answer);
static void free_duty(struct config_duty *duty);

struct config_duty *config_start(const struct settings *settings,
				 struct ring *dispatch, GError **error)
{
	struct config_duty *duty = g_new0(struct config_duty, 1);

	duty->settings = settings;
	duty->dispatch = dispatch;
	duty->ring = ring_new(sizeof(struct config_role_event),
			      ROLE_RING_CAPACITY_EVENTS, 0);
	duty->rand = settings->random_seed ?
			     g_rand_new_with_seed(settings->random_seed) :
			     g_rand_new();
	duty->index.kind = WATCH_INDEX;
	duty->instances.kind = WATCH_INSTANCES;
	duty->index.poll_ms = settings->platform_poll_ms;
	duty->instances.poll_ms = settings->platform_poll_ms;
	fetch_list_init(&duty->fetches);
	duty->source = config_source_new(settings, error);
	if (!duty->source) {
		free_duty(duty);
		return NULL;
	}
	if (pthread_create(&duty->thread, NULL, config_thread, duty) != 0) {
		g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
			    "config: cannot create its thread");
		free_duty(duty);
		return NULL;
	}
	return duty;
}

void config_stop(struct config_duty *duty)
{
	if (!duty)
		return;
	ring_close(duty->ring);
	config_source_wake(duty->source);
	pthread_join(duty->thread, NULL);
	free_duty(duty);
}

enum ring_result config_send(struct config_duty *duty,
			     const struct config_role_event *role)
{
	enum ring_result result = ring_push(duty->ring, role);

	if (result == RING_OK)
		config_source_wake(duty->source);
	return result;
}

static void *config_thread(void *data)
{
	struct config_duty *duty = data;
	struct source_answer answer;

	while (apply_roles(duty)) {
		begin_reads(duty);
		if (!config_source_wait(duty->source, next_due_us(duty),
					&answer))
			continue;
		handle_answer(duty, &answer);
		source_answer_clear(&answer);
	}
	return NULL;
}

/* Return: false when the ring was closed and the thread must end. */
static bool apply_roles(struct config_duty *duty)
{
	struct config_role_event event;
	enum ring_result result;

	for (;;) {
		result = ring_pop(duty->ring, &event, 0);
		if (result != RING_OK)
			return result != RING_CLOSED;
		if (event.role != READER_NONE && duty->role == READER_NONE) {
			duty->index.due_us = 0;
			duty->instances.due_us = 0;
			fetch_list_make_all_due(&duty->fetches);
			duty->role_is_new = true;
		}
		/*
		 * The dispatch duty resets the platform's state when this
		 * instance loses its reader role, and ignores results until it
		 * has a role again, so the state is reported again.
		 */
		if (event.role == READER_NONE || duty->role == READER_NONE)
			duty->platform_reported = false;
		duty->role = event.role;
	}
}

static void begin_reads(struct config_duty *duty)
{
	if (settings_instance_list_published(duty->settings))
		begin_watch(duty, &duty->instances, SOURCE_INSTANCES);
	if (should_read_index(duty))
		begin_watch(duty, &duty->index, SOURCE_INDEX);
	begin_fetches(duty);
}

/*
 * With a published instance list, the index is read after the first read of the
 * list has ended, which tells whether there are peers that relay documents.
 * Without a published list, peers are known from their messages, and only
 * readers read the index.
 */
static bool should_read_index(const struct config_duty *duty)
{
	if (settings_instance_list_published(duty->settings))
		return watch_has_ended_read(&duty->instances);
	return duty->role != READER_NONE;
}

static void begin_watch(struct config_duty *duty, struct watch *watch,
			enum source_request_kind kind)
{
	uint64_t now_us = clock_now_us();
	struct source_request request = {
		.kind = kind,
		.watch.after = watch->after,
		.watch.wait_ms = watch_wait_ms(watch, duty->role),
	};

	/* Until the first answer this instance counts as no reader. */
	if (duty->role_is_new && kind == SOURCE_INDEX)
		request.watch.wait_ms = 0;

	if (watch->running || now_us < watch->due_us)
		return;
	watch->began_us = now_us;
	watch->running = config_source_begin(duty->source, &request);
	if (!watch->running)
		watch_record_failure(watch, duty->rand, now_us);
}

static void begin_fetches(struct config_duty *duty)
{
	struct source_request request = { .kind = SOURCE_DOCUMENT };
	uint64_t now_us = clock_now_us();
	struct fetch *fetch;

	if (duty->role != READER_FIRST &&
	    fetch_list_due_us(&duty->fetches) <= now_us)
		drop_relayed(duty, now_us);
	while (duty->fetches.running < FETCHES_RUNNING_MAX) {
		fetch = fetch_list_next(&duty->fetches, now_us);
		if (!fetch)
			return;
		request.key = fetch->key;
		if (config_source_begin(duty->source, &request))
			fetch_list_mark_running(&duty->fetches, fetch);
		else
			fetch->due_us = watch_retry_us(++fetch->failures,
						       duty->rand, now_us);
	}
}

/* Drops due fetches of documents that peers have relayed in the meantime. */
static void drop_relayed(struct config_duty *duty, uint64_t now_us)
{
	GArray *held = relay_query_offers(duty->dispatch);

	if (!held)
		return;
	fetch_list_drop_held(&duty->fetches, held, now_us);
	g_array_unref(held);
}

static uint64_t next_due_us(const struct config_duty *duty)
{
	uint64_t due_us = DEADLINE_NONE_US;

	if (settings_instance_list_published(duty->settings) &&
	    !duty->instances.running)
		due_us = duty->instances.due_us;
	if (!duty->index.running && should_read_index(duty))
		due_us = MIN(due_us, duty->index.due_us);
	if (duty->fetches.running < FETCHES_RUNNING_MAX)
		due_us = MIN(due_us, fetch_list_due_us(&duty->fetches));
	return due_us;
}

static void handle_answer(struct config_duty *duty,
			  struct source_answer *answer)
{
	bool first;

	switch (answer->request.kind) {
	case SOURCE_INDEX:
		/* The first answer after the role was gained is urgent. */
		first = duty->role_is_new;
		handle_index(duty, answer);
		report_platform_state(duty, answer);
		if (!first && !answer->error && duty->role != READER_NONE)
			restate_overruled(duty);
		break;
	case SOURCE_INSTANCES:
		handle_instances(duty, answer);
		report_platform_state(duty, answer);
		break;
	case SOURCE_DOCUMENT:
		handle_document(duty, answer);
		break;
	}
	if (answer->error)
		g_info("config: %s", answer->error->message);
}

static void handle_index(struct config_duty *duty, struct source_answer *answer)
{
	uint64_t now_us = clock_now_us();
	const struct index_entry *entry;
	GError *error = NULL;
	GArray *list;
	uint64_t version;
	guint i;

	if (!answer->error &&
	    !index_parse((const char *)answer->text->data, answer->text->len,
			 &version, &list, &error))
		set_malformed(answer, error);
	if (answer->error) {
		watch_record_failure(&duty->index, duty->rand, now_us);
		return;
	}
	for (i = 0; i < list->len; i++) {
		entry = &g_array_index(list, struct index_entry, i);
		fetch_list_add(&duty->fetches, &entry->key, entry->version,
			       document_due_us(duty, &entry->key, now_us));
	}
	g_array_unref(list);
	if (answer->partial)
		return;
	duty->role_is_new = false;
	watch_record_answer(&duty->index, version, duty->role, duty->rand,
			    now_us);
}

/*
 * Publishes documents again whose text has not changed, but which other texts
 * have replaced since.
 */
static void restate_overruled(struct config_duty *duty)
{
	GArray *held = relay_query_offers(duty->dispatch);
	const struct config_offer *offer;
	uint64_t version;
	guint i;

	if (!held)
		return;
	for (i = 0; i < held->len; i++) {
		offer = &g_array_index(held, struct config_offer, i);
		version = config_source_restate(duty->source, offer);
		if (version != 0)
			fetch_list_add(&duty->fetches, &offer->key, version,
				       clock_now_us());
	}
	g_array_unref(held);
}

/*
 * A standby fetches an unknown document now: its peers may lack it too. So it
 * does with all when it has just begun to read: readers were missing.
 */
static uint64_t document_due_us(const struct config_duty *duty,
				const struct name *key, uint64_t now_us)
{
	if (duty->role == READER_STANDBY &&
	    (duty->role_is_new || !fetch_list_has_version(&duty->fetches, key)))
		return now_us;
	return watch_document_due_us(duty->role, duty->alone, duty->rand,
				     now_us);
}

static void handle_instances(struct config_duty *duty,
			     struct source_answer *answer)
{
	uint64_t now_us = clock_now_us();
	enum ring_result result = RING_OK;
	GError *error = NULL;
	uint64_t version;
	GArray *list;

	if (!answer->error &&
	    !instances_parse((const char *)answer->text->data,
			     answer->text->len, &version, &list, &error))
		set_malformed(answer, error);
	if (answer->error) {
		watch_record_failure(&duty->instances, duty->rand, now_us);
		return;
	}
	duty->alone = is_alone(duty, list);
	if (!duty->instances.known || version != duty->instances.after)
		result = relay_instances(duty->dispatch, list, false);
	g_array_unref(list);
	if (result == RING_OK) {
		watch_record_answer(&duty->instances, version, duty->role,
				    duty->rand, now_us);
		return;
	}
	duty->instances.running = false;
	duty->instances.due_us = now_us + RING_FULL_RETRY_US;
}

static bool is_alone(const struct config_duty *duty, const GArray *list)
{
	const struct instance_doc *instance;
	guint i;

	for (i = 0; i < list->len; i++) {
		instance = &g_array_index(list, struct instance_doc, i);
		if (instance->status == INSTANCE_LIVE &&
		    !addr_equal(instance->peer, duty->settings->peer_listen))
			return false;
	}
	return true;
}

static void handle_document(struct config_duty *duty,
			    const struct source_answer *answer)
{
	struct fetch *fetch =
		fetch_list_end_run(&duty->fetches, &answer->request.key);
	uint64_t now_us = clock_now_us();

	if (!fetch)
		return;
	/* A document that the platform has lost stays in force here. */
	if (!answer->error && !answer->found) {
		fetch_list_drop(&duty->fetches, fetch);
		return;
	}
	/* A lagging replica of the platform may still return the old one. */
	if (!answer->error && answer->version < fetch->version) {
		fetch->due_us =
			watch_retry_us(++fetch->failures, duty->rand, now_us);
		return;
	}
	if (answer->error && !g_error_matches(answer->error, PLATFORM_ERROR,
					      PLATFORM_ERROR_TOO_LARGE)) {
		fetch->due_us =
			watch_retry_us(++fetch->failures, duty->rand, now_us);
		return;
	}
	if (send_document(duty, answer) != RING_OK) {
		fetch->due_us = now_us + RING_FULL_RETRY_US;
		return;
	}
	fetch_list_complete(&duty->fetches, fetch,
			    MAX(answer->version, fetch->version));
}

static enum ring_result send_document(struct config_duty *duty,
				      const struct source_answer *answer)
{
	struct command command = {
		.kind = COMMAND_REFUSE_CONFIG,
		.refuse_config.key = answer->request.key,
		.refuse_config.version = answer->version,
	};

	if (answer->error)
		return send_command(duty->dispatch, &command);
	return relay_document(duty->dispatch, &answer->request.key,
			      answer->version, (const char *)answer->text->data,
			      answer->text->len, false);
}

/* Takes ownership of @error. */
static void set_malformed(struct source_answer *answer, GError *error)
{
	answer->error = g_error_new_literal(
		PLATFORM_ERROR, PLATFORM_ERROR_MALFORMED, error->message);
	g_error_free(error);
}

static void report_platform_state(struct config_duty *duty,
				  const struct source_answer *answer)
{
	struct command command = { .kind = COMMAND_PLATFORM_STATE };
	bool reachable = answer->error == NULL;

	if (duty->platform_reported && reachable == duty->platform_reachable)
		return;
	command.platform_state.reachable = reachable;
	if (send_command(duty->dispatch, &command) != RING_OK)
		return;
	duty->platform_reported = true;
	duty->platform_reachable = reachable;
	if (reachable)
		g_message("config: the platform answers");
	else
		g_warning("config: %s", answer->error->message);
}

static void free_duty(struct config_duty *duty)
{
	config_source_free(duty->source);
	fetch_list_clear(&duty->fetches);
	g_rand_free(duty->rand);
	ring_free(duty->ring);
	g_free(duty);
}
