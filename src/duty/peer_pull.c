#include "duty/peer_pull.h"

#include <poll.h>
#include <pthread.h>
#include <string.h>

#include "core/clock.h"
#include "duty/pull_transfer.h"
#include "duty/relay.h"
#include "ring/ring.h"

#define RING_CAPACITY_EVENTS 256
#define TRANSFERS_MAX 16
/* Of these from one peer, which may be lost and let all of them time out. */
#define PEER_TRANSFERS_MAX 4
#define PENDING_CALLS_MAX 8192
/* One entry for the ring, one for peer_pull_stop(). */
#define NOTIFY_SUBJECTS_MAX 2

/*
 * Up to TRANSFERS_MAX transfers run at once, each with a deadline of its own, and
 * a few of them from one peer, so that one that does not answer does not block
 * pulls from other peers.
 */
struct peer_pull_duty {
	const struct settings *settings;
	struct ring *dispatch;
	struct ring *ring;
	pthread_t thread;
	struct notify_queue *notify;
	GQueue *pending; /* owned struct pending_call, in order of arrival */
	struct pull_transfer *transfers[TRANSFERS_MAX];
};

/**
 * struct pending_call - call that waits for a free transfer
 * @from: address of the peer to pull from
 * @call: call to send to the peer
 */
struct pending_call {
	struct net_addr from;
	struct peer_call call;
};

#define POLL_NOTIFY TRANSFERS_MAX
#define POLL_COUNT (TRANSFERS_MAX + 1)

static void *peer_pull_thread(void *data);
static bool take_events(struct peer_pull_duty *duty);
static void queue_call(struct peer_pull_duty *duty, struct net_addr from,
		       enum peer_call_kind kind,
		       const struct config_offer *offer);
static void begin_transfers(struct peer_pull_duty *duty);
static struct pending_call *take_call(struct peer_pull_duty *duty);
static uint32_t count_transfers(const struct peer_pull_duty *duty,
				struct net_addr from);
static int32_t prepare_poll(struct peer_pull_duty *duty, struct pollfd *fds);
static void advance_transfer(struct peer_pull_duty *duty, uint32_t index);
static void handle_reply(struct peer_pull_duty *duty,
			 const struct pull_transfer *transfer);
static void handle_document(struct peer_pull_duty *duty,
			    const struct pull_transfer *transfer);
static void handle_offers(struct peer_pull_duty *duty,
			  const struct pull_transfer *transfer);
static void handle_instances(struct peer_pull_duty *duty,
			     const struct pull_transfer *transfer);
static void log_failure(const struct pull_transfer *transfer, GError *error);
static void free_duty(struct peer_pull_duty *duty);

struct peer_pull_duty *peer_pull_start(const struct settings *settings,
				       struct ring *dispatch, GError **error)
{
	struct peer_pull_duty *duty = g_new0(struct peer_pull_duty, 1);

	duty->settings = settings;
	duty->dispatch = dispatch;
	duty->ring = ring_new(sizeof(struct config_pull_event),
			      RING_CAPACITY_EVENTS, 0);
	duty->pending = g_queue_new();
	duty->notify = notify_queue_new(NOTIFY_SUBJECTS_MAX);
	if (duty->notify)
		ring_set_notify_queue(duty->ring, duty->notify, 0);
	if (!duty->notify ||
	    pthread_create(&duty->thread, NULL, peer_pull_thread, duty) != 0) {
		g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
			    "peer_pull: cannot create its thread");
		free_duty(duty);
		return NULL;
	}
	return duty;
}

void peer_pull_stop(struct peer_pull_duty *duty)
{
	if (!duty)
		return;
	ring_close(duty->ring);
	notify_queue_push(duty->notify, 0);
	pthread_join(duty->thread, NULL);
	free_duty(duty);
}

enum ring_result peer_pull_send(struct peer_pull_duty *duty,
				const struct config_pull_event *event)
{
	return ring_push(duty->ring, event);
}

static void *peer_pull_thread(void *data)
{
	struct peer_pull_duty *duty = data;
	struct pollfd fds[POLL_COUNT];
	int32_t wait_ms;
	uint32_t i;

	while (take_events(duty)) {
		begin_transfers(duty);
		wait_ms = prepare_poll(duty, fds);
		if (poll(fds, POLL_COUNT, wait_ms) < 0)
			continue;
		if (fds[POLL_NOTIFY].revents)
			notify_queue_drain(duty->notify);
		for (i = 0; i < TRANSFERS_MAX; i++) {
			if (duty->transfers[i])
				advance_transfer(duty, i);
		}
	}
	return NULL;
}

/* Return: false when the ring was closed and the thread must end. */
static bool take_events(struct peer_pull_duty *duty)
{
	struct config_pull_event event;
	enum ring_result result;

	for (;;) {
		result = ring_pop(duty->ring, &event, 0);
		if (result != RING_OK)
			return result != RING_CLOSED;
		if (event.instances)
			queue_call(duty, event.from, PEER_CALL_INSTANCES, NULL);
		if (event.offer.key.text[0] == '\0')
			queue_call(duty, event.from, PEER_CALL_OFFERS, NULL);
		else
			queue_call(duty, event.from, PEER_CALL_DOCUMENT,
				   &event.offer);
	}
}

/*
 * Drops the call if the queue is full; the pull is repeated when later
 * datagrams show that the peer's documents still differ.
 */
static void queue_call(struct peer_pull_duty *duty, struct net_addr from,
		       enum peer_call_kind kind,
		       const struct config_offer *offer)
{
	struct pending_call *entry;

	if (duty->pending->length >= PENDING_CALLS_MAX)
		return;
	entry = g_new0(struct pending_call, 1);
	entry->from = from;
	entry->call.kind = kind;
	if (offer)
		entry->call.offer = *offer;
	g_queue_push_tail(duty->pending, entry);
}

static void begin_transfers(struct peer_pull_duty *duty)
{
	struct pending_call *entry;
	GError *error = NULL;
	uint32_t i;

	for (i = 0; i < TRANSFERS_MAX; i++) {
		while (!duty->transfers[i]) {
			entry = take_call(duty);
			if (!entry)
				return;
			duty->transfers[i] = pull_transfer_begin(
				duty->settings->peer_bind.ip, entry->from,
				&entry->call, &error);
			if (!duty->transfers[i])
				g_debug("peer_pull: %s", error->message);
			g_clear_error(&error);
			g_free(entry);
		}
	}
}

/* Return: the first call to a peer that has room for it, owned, or NULL. */
static struct pending_call *take_call(struct peer_pull_duty *duty)
{
	struct pending_call *entry;
	GList *link;

	for (link = duty->pending->head; link; link = link->next) {
		entry = link->data;
		if (count_transfers(duty, entry->from) >= PEER_TRANSFERS_MAX)
			continue;
		g_queue_delete_link(duty->pending, link);
		return entry;
	}
	return NULL;
}

static uint32_t count_transfers(const struct peer_pull_duty *duty,
				struct net_addr from)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < TRANSFERS_MAX; i++)
		count += duty->transfers[i] &&
			 addr_equal(duty->transfers[i]->from, from);
	return count;
}

/* Return: time-out for poll() in ms until the next deadline, -1 for none. */
static int32_t prepare_poll(struct peer_pull_duty *duty, struct pollfd *fds)
{
	uint64_t first_us = DEADLINE_NONE_US;
	const struct pull_transfer *transfer;
	uint32_t i;

	memset(fds, 0, POLL_COUNT * sizeof(*fds));
	fds[POLL_NOTIFY].fd = notify_queue_fd(duty->notify);
	fds[POLL_NOTIFY].events = POLLIN;
	for (i = 0; i < TRANSFERS_MAX; i++) {
		transfer = duty->transfers[i];
		fds[i].fd = transfer ? transfer->fd : -1;
		if (!transfer)
			continue;
		fds[i].events = pull_transfer_events(transfer);
		first_us = MIN(first_us, transfer->deadline_us);
	}
	if (first_us == DEADLINE_NONE_US)
		return -1;
	return clock_ms_left(first_us, clock_now_us());
}

static void advance_transfer(struct peer_pull_duty *duty, uint32_t index)
{
	struct pull_transfer *transfer = duty->transfers[index];
	GError *error = NULL;

	switch (pull_transfer_advance(transfer, clock_now_us(), &error)) {
	case PULL_RUNNING:
		return;
	case PULL_DONE:
		handle_reply(duty, transfer);
		break;
	case PULL_FAILED:
		log_failure(transfer, error);
		break;
	}
	duty->transfers[index] = NULL;
	pull_transfer_free(transfer);
}

static void handle_reply(struct peer_pull_duty *duty,
			 const struct pull_transfer *transfer)
{
	switch (transfer->call.kind) {
	case PEER_CALL_DOCUMENT:
		handle_document(duty, transfer);
		break;
	case PEER_CALL_OFFERS:
		handle_offers(duty, transfer);
		break;
	case PEER_CALL_INSTANCES:
		handle_instances(duty, transfer);
		break;
	}
}

static void handle_document(struct peer_pull_duty *duty,
			    const struct pull_transfer *transfer)
{
	const struct config_offer *offer = &transfer->call.offer;
	struct held_document document;
	GError *error = NULL;
	const char *text;
	gsize text_bytes;

	if (!peer_document_decode(transfer->in->data, transfer->in->len,
				  transfer->call.xid, &document, &error)) {
		log_failure(transfer, error);
		return;
	}
	text = g_bytes_get_data(document.text, &text_bytes);
	/* A text that was corrupted in transit must not be taken over. */
	if (hash_bytes(text, text_bytes, 0) == document.hash &&
	    document.version >= offer->version)
		relay_document(duty->dispatch, &offer->key, document.version,
			       text, text_bytes, true);
	else
		g_warning("peer_pull: %s: hash mismatch, or version older than "
			  "requested",
			  offer->key.text);
	g_bytes_unref(document.text);
}

/* Pulls documents that are newer, or differ in text at the same version. */
static void handle_offers(struct peer_pull_duty *duty,
			  const struct pull_transfer *transfer)
{
	GError *error = NULL;
	const struct config_offer *offer;
	GArray *offers;
	GArray *held;
	guint i;

	offers = peer_offers_decode(transfer->in->data, transfer->in->len,
				    transfer->call.xid, &error);
	if (!offers) {
		log_failure(transfer, error);
		return;
	}
	held = relay_query_offers(duty->dispatch);
	for (i = 0; held && i < offers->len; i++) {
		offer = &g_array_index(offers, struct config_offer, i);
		if (relay_needs_fetch(held, offer))
			queue_call(duty, transfer->from, PEER_CALL_DOCUMENT,
				   offer);
	}
	if (held)
		g_array_unref(held);
	g_array_unref(offers);
}

static void handle_instances(struct peer_pull_duty *duty,
			     const struct pull_transfer *transfer)
{
	GError *error = NULL;
	GArray *list;

	list = peer_instances_decode(transfer->in->data, transfer->in->len,
				     transfer->call.xid, &error);
	if (!list) {
		log_failure(transfer, error);
		return;
	}
	/* A peer that has not read the list yet sends an empty one. */
	if (list->len > 0)
		relay_instances(duty->dispatch, list, true);
	g_array_unref(list);
}

/* Takes ownership of @error. */
static void log_failure(const struct pull_transfer *transfer, GError *error)
{
	char text[ADDR_TEXT_BYTES];

	g_debug("peer_pull: %s: %s", addr_format(transfer->from, text),
		error->message);
	g_error_free(error);
}

static void free_duty(struct peer_pull_duty *duty)
{
	uint32_t i;

	for (i = 0; i < TRANSFERS_MAX; i++)
		pull_transfer_free(duty->transfers[i]);
	g_queue_free_full(duty->pending, g_free);
	ring_free(duty->ring);
	notify_queue_free(duty->notify);
	g_free(duty);
}
