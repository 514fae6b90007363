#include "command/start_gossip.h"

#include "command/health.h"
#include "command/member.h"
#include "command/member_gossip.h"
#include "command/recall.h"
#include "command/start_record.h"

#define TELL_INTERVAL_US (500 * US_PER_MS)

static GArray *list_left_starts(const struct state *state);
static void add_left_starts(const struct service *service, GArray *left);
static void draw_starts(struct state *state, const GArray *left,
			struct peer_left_starts *told);

void start_gossip_tick(struct state *state, struct instant now,
		       struct event_list *out)
{
	struct net_addr peers[MEMBER_DRAWN_PEERS];
	struct peer_left_starts told = { 0 };
	struct peer_message *message;
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
		for (i = 0; i < count; i++) {
			message = g_new0(struct peer_message, 1);
			message->kind = PEER_LEFT_STARTS;
			message->left_starts = told;
			member_send(state, peers[i], message, out);
		}
	}
	g_array_unref(left);
}

void start_gossip_handle(struct state *state,
			 const struct peer_left_starts *heard,
			 struct instant now, struct event_list *out)
{
	struct service *service;
	uint32_t i;

	for (i = 0; i < heard->start_count; i++) {
		service = service_lookup(state, &heard->starts[i].service);
		if (!service || !start_record_hear(service, &heard->starts[i]))
			continue;
		health_apply_document(state, service, NULL, now, out);
		recall_unsent(state, service, now, out);
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
		added->writes = record->writes;
		added->standing = record->standing;
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
