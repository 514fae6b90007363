#include "query/answer.h"

#include "query/entries.h"
#include "query/listing.h"
#include "query/ready.h"

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
		ready_answer(state, &reply->ready);
		break;
	case QUERY_DOCUMENT:
		reply->doc = find_document(state, &query->service);
		break;
	case QUERY_OFFERS:
		reply->offers = list_offers(state);
		break;
	case QUERY_INSTANCES:
		reply->instances = list_instances(state);
		break;
	}
}

static struct service_doc *find_document(const struct state *state,
					 const struct name *key)
{
	struct service *service = service_lookup(state, key);

	return service ? service_doc_ref(service->doc) : NULL;
}
