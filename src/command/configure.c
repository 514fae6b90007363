#include "command/configure.h"

#include "command/health.h"
#include "command/member.h"
#include "command/replace_document.h"
#include "command/start_record.h"
#include "query/listing.h"

#define REFUSAL_AUDIT_INTERVAL_US (60 * US_PER_S)
/*
 * Time for the documents that the first routing table names to arrive. A
 * service that nobody publishes must not keep an instance from being ready.
 */
#define DOCUMENTS_AWAITED_US (3 * US_PER_S)

static bool check_newer(struct state *state, const struct config_offer *offer,
			struct instant now, struct event_list *out);
static void audit_accepted(struct state *state,
			   const struct config_offer *offer, bool from_peer,
			   struct instant now, struct event_list *out);
static void gossip_document(struct state *state, const struct name *key);
static void put_in_force(struct state *state, struct service_doc *doc,
			 struct instant now, struct event_list *out);
static void index_hosts(struct state *state);
static int compare_services(gconstpointer a, gconstpointer b);
static void audit_refused(struct state *state, const struct config_offer *offer,
			  enum audit_cause cause, struct instant now,
			  struct event_list *out);
static uint64_t version_in_force(const struct state *state,
				 const struct name *key);

void configure_accept(struct state *state,
		      const struct accept_config_command *command,
		      struct instant now, struct event_list *out)
{
	struct service_doc *doc = command->doc;
	struct config_offer offer = {
		.key = doc->service,
		.version = doc->version,
		.hash = doc->hash,
	};

	if (configure_raise_version(state, &offer, command->from_peer, now,
				    out) ||
	    !check_newer(state, &offer, now, out))
		return;
	audit_accepted(state, &offer, command->from_peer, now, out);
	start_records_see_version(state, offer.version);
	put_in_force(state, doc, now, out);
	gossip_document(state, &offer.key);
}

void configure_accept_routes(struct state *state,
			     const struct accept_routes_command *command,
			     struct instant now, struct event_list *out)
{
	struct config_offer offer = {
		.version = command->table->version,
		.hash = command->table->hash,
	};

	g_strlcpy(offer.key.text, ROUTING_KEY, NAME_BYTES_MAX);
	if (configure_raise_version(state, &offer, command->from_peer, now,
				    out) ||
	    !check_newer(state, &offer, now, out))
		return;
	audit_accepted(state, &offer, command->from_peer, now, out);
	if (!state->routes)
		state->documents_awaited_until_us =
			now.mono_us + DOCUMENTS_AWAITED_US;
	routing_table_unref(state->routes);
	state->routes = routing_table_ref(command->table);
	gossip_document(state, &offer.key);
}

/*
 * An instance that begins to read the platform cannot know since when a
 * document is unchanged, so it may offer the same content as a newer version.
 */
bool configure_raise_version(struct state *state,
			     const struct config_offer *offer, bool from_peer,
			     struct instant now, struct event_list *out)
{
	struct config_offer held = { 0 };
	struct service *service = service_lookup(state, &offer->key);

	if (!offer_find(state, &offer->key, &held) ||
	    held.hash != offer->hash || held.version >= offer->version)
		return false;
	audit_accepted(state, offer, from_peer, now, out);
	if (service) {
		start_records_see_version(state, offer->version);
		service->doc->version = offer->version;
	} else {
		state->routes->version = offer->version;
	}
	gossip_document(state, &offer->key);
	return true;
}

void configure_refuse(struct state *state,
		      const struct refuse_config_command *command,
		      struct instant now, struct event_list *out)
{
	struct config_offer offer = {
		.key = command->key,
		.version = command->version,
		.hash = command->hash,
	};

	audit_refused(state, &offer, CAUSE_MALFORMED, now, out);
}

/*
 * Audits an offer of an older version, or of other content under the version in
 * force, as refused.
 *
 * Return: whether the offer is newer than the document in force, or the first
 * one of its key.
 */
static bool check_newer(struct state *state, const struct config_offer *offer,
			struct instant now, struct event_list *out)
{
	struct config_offer held;

	if (!offer_find(state, &offer->key, &held) ||
	    offer->version > held.version)
		return true;
	if (offer->version < held.version)
		audit_refused(state, offer, CAUSE_OLDER_VERSION, now, out);
	else if (offer->hash != held.hash)
		audit_refused(state, offer, CAUSE_SAME_VERSION_OTHER_CONTENT,
			      now, out);
	return false;
}

static void audit_accepted(struct state *state,
			   const struct config_offer *offer, bool from_peer,
			   struct instant now, struct event_list *out)
{
	struct audit_record record = {
		.kind = AUDIT_CONFIG_ACCEPTED,
		.cause = from_peer ? CAUSE_PEER : CAUSE_PLATFORM,
		.service = offer->key,
		.detail_kind = AUDIT_DETAIL_CONFIG,
		.config.version = offer->version,
		.config.in_force = version_in_force(state, &offer->key),
		.config.hash = offer->hash,
	};

	state_audit(state, &record, now, out);
}

static void gossip_document(struct state *state, const struct name *key)
{
	state->membership.config_digest = offers_digest(state);
	member_gossip_offer(state, key);
	state->membership.offers_due = true;
}

static void put_in_force(struct state *state, struct service_doc *doc,
			 struct instant now, struct event_list *out)
{
	struct service *service = service_lookup(state, &doc->service);

	if (service) {
		service_replace_document(state, service, doc, now, out);
	} else {
		service = service_new(doc);
		g_hash_table_insert(state->services,
				    g_strdup(doc->service.text), service);
		health_apply_document(state, service, NULL, now, out);
	}
	index_hosts(state);
	state->homes_dirty = true;
	state->probes_dirty = true;
}

/*
 * A host that two documents claim belongs to the service whose name sorts
 * first, so that all instances agree whatever order the documents arrive in.
 */
static void index_hosts(struct state *state)
{
	GList *services = g_hash_table_get_values(state->services);
	struct service *service;
	const char *host;
	GList *link;
	uint32_t i;

	services = g_list_sort(services, compare_services);
	g_hash_table_remove_all(state->by_host);
	for (link = services; link; link = link->next) {
		service = link->data;
		for (i = 0; i < service->doc->host_count; i++) {
			host = service->doc->hosts[i].text;
			if (!g_hash_table_contains(state->by_host, host))
				g_hash_table_insert(state->by_host,
						    g_strdup(host), service);
		}
	}
	g_list_free(services);
}

static int compare_services(gconstpointer a, gconstpointer b)
{
	const struct service *x = a;
	const struct service *y = b;

	return g_strcmp0(x->doc->service.text, y->doc->service.text);
}

/* Audits a refusal once a minute, however often the offer is repeated. */
static void audit_refused(struct state *state, const struct config_offer *offer,
			  enum audit_cause cause, struct instant now,
			  struct event_list *out)
{
	struct audit_record record = {
		.kind = AUDIT_CONFIG_REFUSED,
		.cause = cause,
		.service = offer->key,
		.detail_kind = AUDIT_DETAIL_CONFIG,
		.config.version = offer->version,
		.config.in_force = version_in_force(state, &offer->key),
		.config.hash = offer->hash,
	};

	if (!member_back_off_refused(
		    state, offer, now.mono_us + REFUSAL_AUDIT_INTERVAL_US, now))
		return;
	state_audit(state, &record, now, out);
}

static uint64_t version_in_force(const struct state *state,
				 const struct name *key)
{
	struct config_offer held;

	return offer_find(state, key, &held) ? held.version : 0;
}
