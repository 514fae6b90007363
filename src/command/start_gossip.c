#include "command/start_gossip.h"

#include "command/health.h"
#include "command/member.h"
#include "command/member_gossip.h"
#include "command/recall.h"
#include "command/start_record.h"

#define TELL_INTERVAL_US (500 * US_PER_MS)

static void tell(struct state *state, struct net_addr to,
		 const struct peer_left_starts *told, struct event_list *out);
static void review_services(struct state *state, struct instant now,
			    struct event_list *out);
static GArray *list_left_starts(const struct state *state);
static void add_left_starts(const struct service *service, GArray *left);
static void draw_starts(struct state *state, const GArray *left,
			struct peer_left_starts *told);

void start_gossip_tick(struct state *state, struct instant now,
		       struct event_list *out)
{
	struct net_addr peers[MEMBER_DRAWN_PEERS];
	struct peer_left_starts told = { 0 };
	GArray *left;
	uint32_t count;
	uint32_t i;

	if (now.mono_us < state->left_starts_due_us)
		return;
	state->left_starts_due_us = now.mono_us + TELL_INTERVAL_US;
	left = list_left_starts(state);
	if (left->len > 0) {
		draw_starts(state, left, &told);
		count = member_draw_peers(state, peers);
		for (i = 0; i < count; i++)
			tell(state, peers[i], &told, out);
	}
	g_array_unref(left);
}

void start_gossip_handle(struct state *state, struct net_addr sender,
			 const struct peer_left_starts *heard,
			 struct instant now, struct event_list *out)
{
	const struct peer_left_starts none = { 0 };
	struct service *service;
	uint32_t i;

	if (start_records_see_version(state, heard->era_begun_version))
		review_services(state, now, out);
	for (i = 0; i < heard->start_count; i++) {
		service = service_lookup(state, &heard->starts[i].service);
		if (!service ||
		    !start_record_hear(state, service, &heard->starts[i]))
			continue;
		health_apply_document(state, service, NULL, now, out);
		recall_unsent(state, service, now, out);
	}
	/* The sender may hold for a copy's entry what was written since. */
	if (heard->start_count > 0 &&
	    state->era_begun_version != heard->era_begun_version)
		tell(state, sender, &none, out);
}

static void tell(struct state *state, struct net_addr to,
		 const struct peer_left_starts *told, struct event_list *out)
{
	struct peer_message *message = g_new0(struct peer_message, 1);

	message->kind = PEER_LEFT_STARTS;
	message->left_starts = *told;
	message->left_starts.era_begun_version = state->era_begun_version;
	member_send(state, to, message, out);
}

/* Puts back in use what is known to have been written in the newest era. */
static void review_services(struct state *state, struct instant now,
			    struct event_list *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (start_records_review(state, value))
			health_apply_document(state, value, NULL, now, out);
	}
}

/* Return: an owned array of struct left_start. */
static GArray *list_left_starts(const struct state *state)
{
	GArray *left = g_array_new(FALSE, TRUE, sizeof(struct left_start));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_left_starts(value, left);
	return left;
}

static void add_left_starts(const struct service *service, GArray *left)
{
	const struct start_record *record;
	struct left_start *added;
	uint32_t i;

	if (service->left_backends == 0)
		return;
	for (i = 0; i < service->doc->backend_count; i++) {
		record = start_record_left(service, &service->doc->backends[i]);
		if (!record)
			continue;
		g_array_set_size(left, left->len + 1);
		added = &g_array_index(left, struct left_start, left->len - 1);
		added->service = service->doc->service;
		added->start = record->start;
		added->version = record->version;
	}
}

/* Takes neighbours from a random place on, so that each has its turn. */
static void draw_starts(struct state *state, const GArray *left,
			struct peer_left_starts *told)
{
	guint at = (guint)g_rand_int_range(state->rand, 0, (gint32)left->len);
	uint32_t i;

	told->start_count = MIN(left->len, PEER_LEFT_STARTS_MAX);
	for (i = 0; i < told->start_count; i++)
		told->starts[i] = g_array_index(left, struct left_start,
						(at + i) % left->len);
}
