#include "duty/relay.h"

#include <string.h>

#include "codec/document_json.h"
#include "core/clock.h"
#include "ring/ring.h"

#define QUERY_TIMEOUT_US (500 * US_PER_MS)

static enum ring_result relay_routes(struct ring *dispatch,
				     const struct name *key, uint64_t version,
				     const char *text, size_t text_bytes,
				     bool from_peer);
static enum ring_result send_refusal(struct ring *dispatch,
				     const struct name *key, uint64_t version,
				     const char *text, size_t text_bytes,
				     GError *error);

enum ring_result relay_document(struct ring *dispatch, const struct name *key,
				uint64_t version, const char *text,
				size_t text_bytes, bool from_peer)
{
	struct command command = { .kind = COMMAND_ACCEPT_CONFIG };
	struct service_doc *doc;
	GError *error = NULL;
	enum ring_result result;

	if (strcmp(key->text, ROUTING_KEY) == 0)
		return relay_routes(dispatch, key, version, text, text_bytes,
				    from_peer);
	doc = service_doc_parse(key->text, text, text_bytes, version, &error);
	if (doc && !name_equal(&doc->service, key)) {
		g_set_error(&error, SETTINGS_ERROR, SETTINGS_ERROR_REFERENCE,
			    "%s: service: is %s; name it as its key", key->text,
			    doc->service.text);
		service_doc_unref(doc);
		doc = NULL;
	}
	if (!doc)
		return send_refusal(dispatch, key, version, text, text_bytes,
				    error);
	command.accept_config.doc = doc;
	command.accept_config.from_peer = from_peer;
	result = send_command(dispatch, &command);
	if (result != RING_OK)
		service_doc_unref(doc);
	return result;
}

static enum ring_result relay_routes(struct ring *dispatch,
				     const struct name *key, uint64_t version,
				     const char *text, size_t text_bytes,
				     bool from_peer)
{
	struct command command = { .kind = COMMAND_ACCEPT_ROUTES };
	GError *error = NULL;
	enum ring_result result;

	command.accept_routes.table = routing_table_parse(
		key->text, text, text_bytes, version, &error);
	command.accept_routes.from_peer = from_peer;
	if (!command.accept_routes.table)
		return send_refusal(dispatch, key, version, text, text_bytes,
				    error);
	result = send_command(dispatch, &command);
	if (result != RING_OK)
		command_clear(&command);
	return result;
}

enum ring_result relay_instances(struct ring *dispatch, const GArray *list,
				 bool from_peer)
{
	struct command command = { .kind = COMMAND_ACCEPT_INSTANCES };
	enum ring_result result;

	command.accept_instances.list =
		g_memdup2(list->data, list->len * sizeof(struct instance_doc));
	command.accept_instances.count = list->len;
	command.accept_instances.from_peer = from_peer;
	result = send_command(dispatch, &command);
	if (result != RING_OK)
		g_free(command.accept_instances.list);
	return result;
}

GArray *relay_query_offers(struct ring *dispatch)
{
	struct query query = { .kind = QUERY_OFFERS };
	struct query_reply reply;

	if (run_query(dispatch, &query, &reply,
		      clock_now_us() + QUERY_TIMEOUT_US) != RING_OK)
		return NULL;
	return reply.offers;
}

const struct config_offer *relay_find_offer(const GArray *offers,
					    const struct name *key)
{
	const struct config_offer *offer;
	guint i;

	for (i = 0; i < offers->len; i++) {
		offer = &g_array_index(offers, struct config_offer, i);
		if (name_equal(&offer->key, key))
			return offer;
	}
	return NULL;
}

bool relay_needs_fetch(const GArray *held, const struct config_offer *offer)
{
	const struct config_offer *held_offer =
		relay_find_offer(held, &offer->key);

	if (!held_offer)
		return true;
	return offer->version > held_offer->version ||
	       (offer->version == held_offer->version &&
		offer->hash != held_offer->hash);
}

/* Logs the error and reports the document as refused; frees @error. */
static enum ring_result send_refusal(struct ring *dispatch,
				     const struct name *key, uint64_t version,
				     const char *text, size_t text_bytes,
				     GError *error)
{
	struct command command = {
		.kind = COMMAND_REFUSE_CONFIG,
		.refuse_config.key = *key,
		.refuse_config.version = version,
		.refuse_config.hash = hash_bytes(text, text_bytes, 0),
	};

	g_warning("version %" G_GUINT64_FORMAT " refused: %s", version,
		  error->message);
	g_error_free(error);
	return send_command(dispatch, &command);
}
