#include "command/configure.h"

#include "command/health.h"
#include "command/member.h"
#include "command/replace.h"
#include "query/listing.h"

#define REFUSAL_HOLD_US (60 * US_PER_S)

static void put_in_force(struct state *state, struct service_doc *doc,
			 struct instant now, struct event_list *out);
static void index_hosts(struct state *state);
static int compare_services(gconstpointer a, gconstpointer b);
static void audit_accepted(struct state *state,
			   const struct accept_config_command *command,
			   uint64_t in_force, struct instant now,
			   struct event_list *out);
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
	const struct service *service = service_lookup(state, &doc->service);
	uint64_t in_force = service ? service->doc->version : 0;

	if (service && doc->version < in_force) {
		audit_refused(state, &offer, CAUSE_OLDER_VERSION, now, out);
		return;
	}
	if (service && doc->version == in_force) {
		if (doc->hash != service->doc->hash)
			audit_refused(state, &offer,
				      CAUSE_SAME_VERSION_OTHER_CONTENT, now,
				      out);
		return;
	}
	audit_accepted(state, command, in_force, now, out);
	put_in_force(state, doc, now, out);
	state->membership.config_digest = offers_digest(state);
	member_spread_offer(state, &doc->service);
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

static void put_in_force(struct state *state, struct service_doc *doc,
			 struct instant now, struct event_list *out)
{
	struct service *service = service_lookup(state, &doc->service);

	if (service) {
		service_replace(state, service, doc, now, out);
	} else {
		service = service_new(doc);
		g_hash_table_insert(state->services,
				    g_strdup(doc->service.text), service);
		health_carry_over(state, service, NULL, 0, now, out);
	}
	index_hosts(state);
	state->homes_dirty = true;
	state->probes_dirty = true;
}

/*
 * A host that two documents claim belongs to the first service by name, on
 * every instance and in whatever order the documents came.
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

static void audit_accepted(struct state *state,
			   const struct accept_config_command *command,
			   uint64_t in_force, struct instant now,
			   struct event_list *out)
{
	struct audit_record record = {
		.kind = AUDIT_CONFIG_ACCEPTED,
		.cause = command->from_peer ? CAUSE_PEER : CAUSE_PLATFORM,
		.service = command->doc->service,
		.figures_kind = FIGURES_CONFIG,
		.config.version = command->doc->version,
		.config.in_force = in_force,
		.config.hash = command->doc->hash,
	};

	state_audit(state, &record, now, out);
}

/* The same refusal is told once a minute, however often it is offered. */
static void audit_refused(struct state *state, const struct config_offer *offer,
			  enum audit_cause cause, struct instant now,
			  struct event_list *out)
{
	struct audit_record record = {
		.kind = AUDIT_CONFIG_REFUSED,
		.cause = cause,
		.service = offer->key,
		.figures_kind = FIGURES_CONFIG,
		.config.version = offer->version,
		.config.in_force = version_in_force(state, &offer->key),
		.config.hash = offer->hash,
	};

	if (!member_hold_refused(state, offer, now.mono_us + REFUSAL_HOLD_US,
				 now))
		return;
	state_audit(state, &record, now, out);
}

static uint64_t version_in_force(const struct state *state,
				 const struct name *key)
{
	const struct service *service = service_lookup(state, key);

	return service ? service->doc->version : 0;
}
