#include "duty/peer_pull.h"

#include <poll.h>
#include <pthread.h>
#include <string.h>

#include "core/clock.h"
#include "duty/pull_transfer.h"
#include "duty/relay.h"
#include "ring/ring.h"

#define RING_ORDERS 256
#define TRANSFERS_MAX 8
#define WAITING_MAX 8192
/* One for the ring, one for the stop. */
#define BOARD_NOTICES 2

/*
 * A few transfers run at once, each with its own deadline, so that a silent
 * peer holds up nobody but itself.
 */
struct peer_pull_duty {
	const struct settings *settings;
	struct ring *dispatch;
	struct ring *ring;
	pthread_t thread;
	struct notify_queue *notify;
	GQueue *waiting; /* owned struct pull_order, first come first served */
	struct pull_transfer *transfers[TRANSFERS_MAX];
};

/**
 * struct pull_order - one call that is to be made
 * @from: to whom
 * @call: the call
 */
struct pull_order {
	struct net_addr from;
	struct peer_call call;
};

#define POLL_WAKE TRANSFERS_MAX
#define POLL_COUNT (TRANSFERS_MAX + 1)

static void *peer_pull_thread(void *data);
static bool take_orders(struct peer_pull_duty *duty);
static void queue_call(struct peer_pull_duty *duty, struct net_addr from,
		       enum peer_call_kind kind,
		       const struct config_offer *offer);
static void begin_transfers(struct peer_pull_duty *duty);
static int32_t watch(struct peer_pull_duty *duty, struct pollfd *fds);
static void go_on(struct peer_pull_duty *duty, uint32_t index);
static void take_reply(struct peer_pull_duty *duty,
		       const struct pull_transfer *transfer);
static void take_document(struct peer_pull_duty *duty,
			  const struct pull_transfer *transfer);
static void take_offers(struct peer_pull_duty *duty,
			const struct pull_transfer *transfer);
static void take_instances(struct peer_pull_duty *duty,
			   const struct pull_transfer *transfer);
static void log_failure(const struct pull_transfer *transfer, GError *error);
static void free_duty(struct peer_pull_duty *duty);

struct peer_pull_duty *peer_pull_start(const struct settings *settings,
				       struct ring *dispatch, GError **error)
{
	struct peer_pull_duty *duty = g_new0(struct peer_pull_duty, 1);

	duty->settings = settings;
	duty->dispatch = dispatch;
	duty->ring = ring_new(sizeof(struct config_pull_event), RING_ORDERS, 0);
	duty->waiting = g_queue_new();
	duty->notify = notify_queue_new(BOARD_NOTICES);
	if (duty->notify)
		ring_set_notify_queue(duty->ring, duty->notify, 0);
	if (!duty->notify ||
	    pthread_create(&duty->thread, NULL, peer_pull_thread, duty) != 0) {
		g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
			    "peer_pull: cannot make its thread");
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
				const struct config_pull_event *order)
{
	return ring_push(duty->ring, order);
}

static void *peer_pull_thread(void *data)
{
	struct peer_pull_duty *duty = data;
	struct pollfd fds[POLL_COUNT];
	int32_t wait_ms;
	uint32_t i;

	while (take_orders(duty)) {
		begin_transfers(duty);
		wait_ms = watch(duty, fds);
		if (poll(fds, POLL_COUNT, wait_ms) < 0)
			continue;
		if (fds[POLL_WAKE].revents)
			notify_queue_drain(duty->notify);
		for (i = 0; i < TRANSFERS_MAX; i++) {
			if (duty->transfers[i])
				go_on(duty, i);
		}
	}
	return NULL;
}

/* Return: false when the duty is to end. */
static bool take_orders(struct peer_pull_duty *duty)
{
	struct config_pull_event order;
	enum ring_result result;

	for (;;) {
		result = ring_pop(duty->ring, &order, 0);
		if (result != RING_OK)
			return result != RING_CLOSED;
		if (order.instances)
			queue_call(duty, order.from, PEER_CALL_INSTANCES, NULL);
		if (order.offer.key.text[0] == '\0')
			queue_call(duty, order.from, PEER_CALL_OFFERS, NULL);
		else
			queue_call(duty, order.from, PEER_CALL_DOCUMENT,
				   &order.offer);
	}
}

/* What finds no room is pulled again when the next datagrams differ. */
static void queue_call(struct peer_pull_duty *duty, struct net_addr from,
		       enum peer_call_kind kind,
		       const struct config_offer *offer)
{
	struct pull_order *order;

	if (duty->waiting->length >= WAITING_MAX)
		return;
	order = g_new0(struct pull_order, 1);
	order->from = from;
	order->call.kind = kind;
	if (offer)
		order->call.offer = *offer;
	g_queue_push_tail(duty->waiting, order);
}

static void begin_transfers(struct peer_pull_duty *duty)
{
	struct pull_order *order;
	GError *error = NULL;
	uint32_t i;

	for (i = 0; i < TRANSFERS_MAX; i++) {
		while (!duty->transfers[i]) {
			order = g_queue_pop_head(duty->waiting);
			if (!order)
				return;
			duty->transfers[i] = pull_transfer_begin(
				duty->settings->peer_bind.ip, order->from,
				&order->call, &error);
			if (!duty->transfers[i])
				g_debug("peer_pull: %s", error->message);
			g_clear_error(&error);
			g_free(order);
		}
	}
}

/* Return: milliseconds until the next deadline, -1 for none. */
static int32_t watch(struct peer_pull_duty *duty, struct pollfd *fds)
{
	uint64_t first_us = DEADLINE_NONE_US;
	const struct pull_transfer *transfer;
	uint32_t i;

	memset(fds, 0, POLL_COUNT * sizeof(*fds));
	fds[POLL_WAKE].fd = notify_queue_fd(duty->notify);
	fds[POLL_WAKE].events = POLLIN;
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

static void go_on(struct peer_pull_duty *duty, uint32_t index)
{
	struct pull_transfer *transfer = duty->transfers[index];
	GError *error = NULL;

	switch (pull_transfer_advance(transfer, clock_now_us(), &error)) {
	case PULL_RUNNING:
		return;
	case PULL_DONE:
		take_reply(duty, transfer);
		break;
	case PULL_FAILED:
		log_failure(transfer, error);
		break;
	}
	duty->transfers[index] = NULL;
	pull_transfer_free(transfer);
}

static void take_reply(struct peer_pull_duty *duty,
		       const struct pull_transfer *transfer)
{
	switch (transfer->call.kind) {
	case PEER_CALL_DOCUMENT:
		take_document(duty, transfer);
		break;
	case PEER_CALL_OFFERS:
		take_offers(duty, transfer);
		break;
	case PEER_CALL_INSTANCES:
		take_instances(duty, transfer);
		break;
	}
}

static void take_document(struct peer_pull_duty *duty,
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
	/* A text that was changed on its way is no document of the platform. */
	if (hash_bytes(text, text_bytes, 0) == document.hash &&
	    document.version >= offer->version)
		relay_document(duty->dispatch, &offer->key, document.version,
			       text, text_bytes, true);
	else
		g_warning("peer_pull: %s: its hash or version is another one",
			  offer->key.text);
	g_bytes_unref(document.text);
}

/* Fetches what is newer at the peer, or of the same version but other text. */
static void take_offers(struct peer_pull_duty *duty,
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

static void take_instances(struct peer_pull_duty *duty,
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
	/* A peer that has read no list has nothing to tell. */
	if (list->len > 0)
		relay_instances(duty->dispatch, list, true);
	g_array_unref(list);
}

/* Takes @error over. */
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
	g_queue_free_full(duty->waiting, g_free);
	ring_free(duty->ring);
	notify_queue_free(duty->notify);
	g_free(duty);
}
