#include "query/answer.h"

#include "query/entries.h"
#include "query/listing.h"
#include "query/ready.h"

static struct held_document find_document(const struct state *state,
					  const struct name *key);

void query_answer(const struct state *state, const struct query *query,
		  struct instant now, struct query_reply *reply)
{
	reply->kind = query->kind;
	switch (query->kind) {
	case QUERY_ENTRIES:
		entries_answer(state, query, now, &reply->entries);
		break;
	case QUERY_STATUS:
		reply->status = list_status(state, &query->service, now);
		break;
	case QUERY_METRICS:
		reply->metrics = list_metrics(state, now);
		break;
	case QUERY_AUDIT:
		reply->records = list_audit(state, query->since_sequence);
		break;
	case QUERY_READY:
		ready_answer(state, now, &reply->ready);
		break;
	case QUERY_DOCUMENT:
		reply->document = find_document(state, &query->service);
		break;
	case QUERY_OFFERS:
		reply->offers = list_offers(state);
		break;
	case QUERY_INSTANCES:
		reply->instances = list_instances(state);
		break;
	}
}

static struct held_document find_document(const struct state *state,
					  const struct name *key)
{
	const struct service *service = service_lookup(state, key);
	struct held_document held = { 0 };
	struct config_offer offer;

	if (!offer_find(state, key, &offer))
		return held;
	held.version = offer.version;
	held.hash = offer.hash;
	if (service)
		held.text = g_bytes_new(service->doc->text,
					service->doc->text_bytes);
	else
		held.text = g_bytes_new(state->routes->text,
					state->routes->text_bytes);
	return held;
}
