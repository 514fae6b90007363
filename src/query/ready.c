#include "query/ready.h"

static bool has_routes(const struct state *state, struct instant now);
static bool has_routed_services(const struct state *state);

void ready_answer(const struct state *state, struct instant now,
		  struct ready_reply *out)
{
	out->ready = !state->leaving && !state->stepped_back &&
		     state->membership.list_known &&
		     g_hash_table_size(state->services) > 0 &&
		     has_routes(state, now);
	out->leaving = state->leaving;
	out->idle = state->admitted_requests == 0;
}

/*
 * An instance gets its documents one by one when it starts. One that is ready
 * before it has them all refuses requests that its peers would serve.
 */
static bool has_routes(const struct state *state, struct instant now)
{
	if (!state->routes)
		return state->settings->platform_kind != PLATFORM_STORE;
	return now.mono_us >= state->documents_awaited_until_us ||
	       has_routed_services(state);
}

/* Return: whether the document of each service in the table is known. */
static bool has_routed_services(const struct state *state)
{
	const struct table_host *host;
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, state->routes->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		host = value;
		for (i = 0; i < host->services->len; i++) {
			if (!service_lookup(state,
					    &g_array_index(host->services,
							   struct name, i)))
				return false;
		}
	}
	return true;
}
