/*
 * Audit records, document offers and the instance list. list_status.c and
 * list_metrics.c implement the other functions of listing.h.
 */
#include "query/listing.h"

#include <string.h>

static bool routing_table_offer(const struct state *state,
				struct config_offer *offer);
static uint64_t offer_hash(const struct config_offer *offer);
static gint compare_offers(gconstpointer a, gconstpointer b);

GArray *list_audit(const struct state *state, uint64_t since_sequence)
{
	GArray *records =
		g_array_new(FALSE, FALSE, sizeof(struct audit_record));
	uint64_t sequence = since_sequence + 1;

	if (since_sequence >= state->audit_next)
		return records;
	if (state->audit_next - sequence > AUDIT_KEPT_RECORDS)
		sequence = state->audit_next - AUDIT_KEPT_RECORDS;
	for (; sequence < state->audit_next; sequence++)
		g_array_append_vals(
			records, &state->audit[sequence % AUDIT_KEPT_RECORDS],
			1);
	return records;
}

GArray *list_offers(const struct state *state)
{
	GArray *offers = g_array_new(FALSE, TRUE, sizeof(struct config_offer));
	struct config_offer offer;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *service = value;

		memset(&offer, 0, sizeof(offer));
		offer.key = service->doc->service;
		offer.version = service->doc->version;
		offer.hash = service->doc->hash;
		g_array_append_val(offers, offer);
	}
	if (routing_table_offer(state, &offer))
		g_array_append_val(offers, offer);
	g_array_sort(offers, compare_offers);
	return offers;
}

bool offer_find(const struct state *state, const struct name *key,
		struct config_offer *offer)
{
	const struct service *service = service_lookup(state, key);

	if (!service)
		return g_strcmp0(key->text, ROUTING_KEY) == 0 &&
		       routing_table_offer(state, offer);
	memset(offer, 0, sizeof(*offer));
	offer->key = *key;
	offer->version = service->doc->version;
	offer->hash = service->doc->hash;
	return true;
}

GArray *list_instances(const struct state *state)
{
	const struct membership *membership = &state->membership;
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct instance_doc));
	const struct member *member;
	guint i;

	if (membership->self_listed)
		g_array_append_val(out, membership->self);
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (member->in_list && !(membership->seed_discovery &&
					 member->status == MEMBER_LEAVING))
			g_array_append_val(out, member->listed);
	}
	return out;
}

/* The sum does not depend on the order of the members. */
uint64_t members_digest(const struct state *state)
{
	const struct membership *membership = &state->membership;
	const struct net_addr none = { 0, 0 };
	const struct member *member;
	uint64_t digest = 0;
	guint i;

	if (!state->leaving)
		digest += hash_pair(membership->self.peer, none, 0);
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (member->status == MEMBER_ALIVE ||
		    member->status == MEMBER_SUSPECT)
			digest += hash_pair(member->listed.peer, none, 0);
	}
	return digest;
}

uint64_t offers_digest(const struct state *state)
{
	GArray *offers = list_offers(state);
	uint64_t digest = 0;
	guint i;

	for (i = 0; i < offers->len; i++)
		digest += offer_hash(
			&g_array_index(offers, struct config_offer, i));
	g_array_unref(offers);
	return digest;
}

static bool routing_table_offer(const struct state *state,
				struct config_offer *offer)
{
	if (!state->routes)
		return false;
	memset(offer, 0, sizeof(*offer));
	g_strlcpy(offer->key.text, ROUTING_KEY, NAME_BYTES_MAX);
	offer->version = state->routes->version;
	offer->hash = state->routes->hash;
	return true;
}

static uint64_t offer_hash(const struct config_offer *offer)
{
	uint64_t key_hash =
		hash_bytes(offer->key.text, strlen(offer->key.text), 0);
	uint64_t words[3] = { key_hash, offer->version, offer->hash };

	return hash_bytes(words, sizeof(words), 0);
}

static gint compare_offers(gconstpointer a, gconstpointer b)
{
	const struct config_offer *left = a;
	const struct config_offer *right = b;

	return strcmp(left->key.text, right->key.text);
}
