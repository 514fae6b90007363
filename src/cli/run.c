#include "cli/run.h"

#include "core/clock.h"
#include "core/stop.h"
#include "duty/dispatch.h"
#include "duty/front.h"
#include "duty/operator.h"
#include "duty/peer_serve.h"
#include "duty/signal.h"
#include "platform/directory.h"

#include <signal.h>
#include <stdlib.h>

/* Grace time of the stop that follows a failed start. */
#define FAILED_START_STOP_MS 2000

/* All duties of one instance, in the order in which they start. */
struct instance {
	const char *settings_path;
	struct ring *dispatch_ring;
	struct ring *stopped_ring;
	struct signal_duty *signal;
	struct audit_duty *audit;
	struct exchange_duty *exchange;
	struct probe_duty *probe;
	struct peer_send_duty *peer_send;
	struct peer_pull_duty *peer_pull;
	struct config_duty *config;
	struct dispatch_duty *dispatch;
	struct peer_serve_duty *peer_serve;
	struct operator_duty *operator;
	struct front_duty *front;
	struct directory_duty *directory;
};

static bool start_duties(struct instance *instance,
			 const struct settings *settings, GError **error);
static bool start_event_handlers(struct instance *instance,
				 const struct settings *settings,
				 GError **error);
static bool start_dispatch(struct instance *instance,
			   const struct settings *settings, GError **error);
static bool start_listeners(struct instance *instance,
			    const struct settings *settings, GError **error);
static void wait_left(struct instance *instance, struct left_event *left);
static void stop_duties(struct instance *instance,
			const struct stop_times *stop);
static void free_queued_messages(struct ring *ring);

int run_main(const struct settings *settings, const char *settings_path,
	     uint64_t *ends_us)
{
	struct instance instance = { .settings_path = settings_path };
	GError *error = NULL;
	struct left_event left = { 0 };
	int status = EXIT_SUCCESS;

	/*
	 * A write to a connection closed by its peer must not end the process.
	 */
	if (signal(SIGPIPE, SIG_IGN) == SIG_ERR)
		return EXIT_FAILURE;
	if (start_duties(&instance, settings, &error)) {
		g_message("instance started");
		wait_left(&instance, &left);
	} else {
		g_critical("%s", error->message);
		g_clear_error(&error);
		status = EXIT_FAILURE;
		left.stop = stop_times(clock_now_us(), FAILED_START_STOP_MS);
	}
	*ends_us = left.stop.process_ends_us;
	stop_duties(&instance, &left.stop);
	return status;
}

static bool start_duties(struct instance *instance,
			 const struct settings *settings, GError **error)
{
	instance->dispatch_ring =
		message_ring_new(DISPATCH_RING_CAPACITY_MESSAGES,
				 DISPATCH_RING_RESERVED_MESSAGES);
	instance->stopped_ring = ring_new(sizeof(struct left_event), 1, 0);
	return start_event_handlers(instance, settings, error) &&
	       start_dispatch(instance, settings, error) &&
	       start_listeners(instance, settings, error);
}

static bool start_event_handlers(struct instance *instance,
				 const struct settings *settings,
				 GError **error)
{
	struct ring *ring = instance->dispatch_ring;

	/* Starts first: all later threads inherit the signal mask it sets. */
	instance->signal = signal_start(instance->settings_path, ring, error);
	if (!instance->signal)
		return false;
	instance->audit = audit_start(settings, ring, error);
	if (!instance->audit)
		return false;
	instance->exchange = exchange_start(settings, ring, error);
	if (!instance->exchange)
		return false;
	instance->probe = probe_start(settings, ring, error);
	if (!instance->probe)
		return false;
	instance->peer_send = peer_send_start(settings, ring, error);
	if (!instance->peer_send)
		return false;
	instance->peer_pull = peer_pull_start(settings, ring, error);
	if (!instance->peer_pull)
		return false;
	instance->config = config_start(settings, ring, error);
	return instance->config != NULL;
}

static bool start_dispatch(struct instance *instance,
			   const struct settings *settings, GError **error)
{
	struct dispatch_links links = {
		.exchange = instance->exchange,
		.audit = instance->audit,
		.config = instance->config,
		.probe = instance->probe,
		.peer_send = instance->peer_send,
		.peer_pull = instance->peer_pull,
		.left = instance->stopped_ring,
	};

	instance->dispatch = dispatch_start(settings, instance->dispatch_ring,
					    &links, error);
	return instance->dispatch != NULL;
}

static bool start_listeners(struct instance *instance,
			    const struct settings *settings, GError **error)
{
	struct ring *ring = instance->dispatch_ring;

	instance->peer_serve = peer_serve_start(settings, ring, error);
	if (!instance->peer_serve)
		return false;
	instance->operator= operator_start(settings, ring, error);
	if (!instance->operator)
		return false;
	instance->front =
		front_start(settings, ring, instance->exchange, error);
	if (!instance->front)
		return false;
	instance->directory = directory_start(settings, ring, error);
	return instance->directory != NULL;
}

static void wait_left(struct instance *instance, struct left_event *left)
{
	while (ring_pop(instance->stopped_ring, left, DEADLINE_NONE_US) !=
	       RING_OK)
		continue;
	g_message("planned stop done");
}

/*
 * Duties that send messages to the dispatch duty stop first, those that serve
 * callers before those that take long to stop; then the dispatch duty; last the
 * duties that carry out its events.
 */
static void stop_duties(struct instance *instance,
			const struct stop_times *stop)
{
	bool web_stopped;

	front_stop(instance->front, stop->callers_close_us);
	/* Stopped in any case, so no short-circuit. */
	web_stopped =
		directory_stop(instance->directory, stop->web_servers_end_us);
	web_stopped &=
		operator_stop(instance->operator, stop->web_servers_end_us);
	peer_serve_stop(instance->peer_serve);
	signal_stop(instance->signal);
	dispatch_stop(instance->dispatch);
	ring_close(instance->dispatch_ring);
	config_stop(instance->config);
	peer_pull_stop(instance->peer_pull);
	peer_send_stop(instance->peer_send);
	probe_stop(instance->probe);
	exchange_stop(instance->exchange);
	audit_stop(instance->audit);
	if (!web_stopped) {
		g_message("the process ends while web servers read");
		return;
	}
	free_queued_messages(instance->dispatch_ring);
	ring_free(instance->dispatch_ring);
	ring_free(instance->stopped_ring);
}

/* Frees the messages that the dispatch duty has not taken from its ring. */
static void free_queued_messages(struct ring *ring)
{
	struct message message;

	while (ring_pop(ring, &message, 0) == RING_OK) {
		switch (message.kind) {
		case MESSAGE_COMMAND:
			command_clear(&message.command);
			break;
		case MESSAGE_QUERY:
			reply_channel_unref(message.query.reply);
			break;
		}
	}
}
