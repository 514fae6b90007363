#include "query/answer.h"

#include "query/entries.h"
#include "query/listing.h"

static void answer_ready(const struct state *state, struct ready_reply *out);
static struct service_doc *find_document(const struct state *state,
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
		answer_ready(state, &reply->ready);
		break;
	case QUERY_DOCUMENT:
		reply->doc = find_document(state, &query->service);
		break;
	case QUERY_OFFERS:
		reply->offers = list_offers(state);
		break;
	}
}

static void answer_ready(const struct state *state, struct ready_reply *out)
{
	out->ready = !state->leaving && !state->stepped_back &&
		     state->membership.list_known &&
		     g_hash_table_size(state->services) > 0;
	out->leaving = state->leaving;
	out->idle = state->admitted_requests == 0;
}

static struct service_doc *find_document(const struct state *state,
					 const struct name *key)
{
	struct service *service = service_lookup(state, key);

	return service ? service_doc_ref(service->doc) : NULL;
}
