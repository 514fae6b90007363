/* The audit trail and the documents held; status and metrics are apart. */
#include "query/listing.h"

#include <string.h>

static uint64_t offer_hash(const struct service_doc *doc);
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
	g_array_sort(offers, compare_offers);
	return offers;
}

/* A sum, so that the order of the table does not matter. */
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
		if (member->in_list)
			g_array_append_val(out, member->listed);
	}
	return out;
}

uint64_t offers_digest(const struct state *state)
{
	uint64_t digest = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		digest += offer_hash(((const struct service *)value)->doc);
	return digest;
}

static uint64_t offer_hash(const struct service_doc *doc)
{
	uint64_t key_hash =
		hash_bytes(doc->service.text, strlen(doc->service.text), 0);
	uint64_t words[3] = { key_hash, doc->version, doc->hash };

	return hash_bytes(words, sizeof(words), 0);
}

static gint compare_offers(gconstpointer a, gconstpointer b)
{
	const struct config_offer *left = a;
	const struct config_offer *right = b;

	return strcmp(left->key.text, right->key.text);
}
