#include "duty/config.h"

#include <pthread.h>

#include "codec/document_json.h"
#include "core/clock.h"
#include "duty/config_fetch.h"
#include "duty/config_source.h"
#include "duty/config_watch.h"
#include "duty/relay.h"
#include "ring/ring.h"

#define RING_ROLES 8
#define FETCHES_AT_ONCE 4
#define RING_FULL_WAIT_US (100 * US_PER_MS)

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
	bool alone;
	bool platform_known;
	bool platform_reachable;
};

static void *config_thread(void *data);
static bool take_roles(struct config_duty *duty);
static void begin_reads(struct config_duty *duty);
static bool index_wanted(const struct config_duty *duty);
static void begin_watch(struct config_duty *duty, struct watch *watch,
			enum source_request_kind kind);
static void begin_fetches(struct config_duty *duty);
static void drop_relayed(struct config_duty *duty, uint64_t now_us);
static uint64_t next_due_us(const struct config_duty *duty);
static void take_answer(struct config_duty *duty, struct source_answer *answer);
static void take_index(struct config_duty *duty, struct source_answer *answer);
static uint64_t document_due_us(const struct config_duty *duty,
				const struct name *key, uint64_t now_us);
static void take_instances(struct config_duty *duty,
			   struct source_answer *answer);
static bool is_alone(const struct config_duty *duty, const GArray *list);
static void take_document(struct config_duty *duty,
			  const struct source_answer *answer);
static enum ring_result offer_document(struct config_duty *duty,
				       const struct source_answer *answer);
static void malformed(struct source_answer *answer, GError *error);
static void tell_platform(struct config_duty *duty,
			  const struct source_answer *answer);
static void free_duty(struct config_duty *duty);

struct config_duty *config_start(const struct settings *settings,
				 struct ring *dispatch, GError **error)
{
	struct config_duty *duty = g_new0(struct config_duty, 1);

	duty->settings = settings;
	duty->dispatch = dispatch;
	duty->ring = ring_new(sizeof(struct config_role_event), RING_ROLES, 0);
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
			    "config: cannot make its thread");
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

	while (take_roles(duty)) {
		begin_reads(duty);
		if (!config_source_wait(duty->source, next_due_us(duty),
					&answer))
			continue;
		take_answer(duty, &answer);
		source_answer_clear(&answer);
	}
	return NULL;
}

/* Return: false when the duty is to end. */
static bool take_roles(struct config_duty *duty)
{
	struct config_role_event role;
	enum ring_result result;

	for (;;) {
		result = ring_pop(duty->ring, &role, 0);
		if (result != RING_OK)
			return result != RING_CLOSED;
		if (role.role != READER_NONE && duty->role == READER_NONE) {
			duty->index.due_us = 0;
			duty->instances.due_us = 0;
			fetch_list_make_all_due(&duty->fetches);
		}
		/* Dispatch forgets it with the role. */
		if (role.role == READER_NONE)
			duty->platform_known = false;
		duty->role = role.role;
	}
}

static void begin_reads(struct config_duty *duty)
{
	if (settings_instance_list_published(duty->settings))
		begin_watch(duty, &duty->instances, SOURCE_INSTANCES);
	if (index_wanted(duty))
		begin_watch(duty, &duty->index, SOURCE_INDEX);
	begin_fetches(duty);
}

/*
 * A published list tells first whether there are peers to learn from. Without one
 * peers are known by what they say, and nobody but a reader need read.
 */
static bool index_wanted(const struct config_duty *duty)
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
	while (duty->fetches.running < FETCHES_AT_ONCE) {
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

/* What peers have brought meanwhile need not be read from the platform. */
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
	if (!duty->index.running && index_wanted(duty))
		due_us = MIN(due_us, duty->index.due_us);
	if (duty->fetches.running < FETCHES_AT_ONCE)
		due_us = MIN(due_us, fetch_list_due_us(&duty->fetches));
	return due_us;
}

static void take_answer(struct config_duty *duty, struct source_answer *answer)
{
	switch (answer->request.kind) {
	case SOURCE_INDEX:
		take_index(duty, answer);
		tell_platform(duty, answer);
		break;
	case SOURCE_INSTANCES:
		take_instances(duty, answer);
		tell_platform(duty, answer);
		break;
	case SOURCE_DOCUMENT:
		take_document(duty, answer);
		break;
	}
	if (answer->error)
		g_info("config: %s", answer->error->message);
}

static void take_index(struct config_duty *duty, struct source_answer *answer)
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
		malformed(answer, error);
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
	watch_record_answer(&duty->index, version, duty->role, duty->rand,
			    now_us);
}

/* What a reader knows nothing of, its peers may lack too. */
static uint64_t document_due_us(const struct config_duty *duty,
				const struct name *key, uint64_t now_us)
{
	if (duty->role == READER_STANDBY &&
	    !fetch_list_has_version(&duty->fetches, key))
		return now_us;
	return watch_document_due_us(duty->role, duty->alone, duty->rand,
				     now_us);
}

static void take_instances(struct config_duty *duty,
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
		malformed(answer, error);
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
	duty->instances.due_us = now_us + RING_FULL_WAIT_US;
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

static void take_document(struct config_duty *duty,
			  const struct source_answer *answer)
{
	struct fetch *fetch =
		fetch_list_end_run(&duty->fetches, &answer->request.key);
	uint64_t now_us = clock_now_us();

	if (!fetch)
		return;
	/* What is gone at the platform stays in force here. */
	if (!answer->error && !answer->found) {
		fetch_list_drop(&duty->fetches, fetch);
		return;
	}
	/* A lagging copy of the platform's data may still have the old one. */
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
	if (offer_document(duty, answer) != RING_OK) {
		fetch->due_us = now_us + RING_FULL_WAIT_US;
		return;
	}
	fetch_list_complete(&duty->fetches, fetch,
			    MAX(answer->version, fetch->version));
}

static enum ring_result offer_document(struct config_duty *duty,
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

/* Takes @error over. */
static void malformed(struct source_answer *answer, GError *error)
{
	answer->error = g_error_new_literal(
		PLATFORM_ERROR, PLATFORM_ERROR_MALFORMED, error->message);
	g_error_free(error);
}

static void tell_platform(struct config_duty *duty,
			  const struct source_answer *answer)
{
	struct command command = { .kind = COMMAND_PLATFORM_STATE };
	bool reachable = answer->error == NULL;

	if (duty->platform_known && reachable == duty->platform_reachable)
		return;
	command.platform_state.reachable = reachable;
	if (send_command(duty->dispatch, &command) != RING_OK)
		return;
	duty->platform_known = true;
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
