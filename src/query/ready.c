#include "query/ready.h"

void ready_answer(const struct state *state, struct ready_reply *out)
{
	out->ready = !state->leaving && !state->stepped_back &&
		     state->membership.list_known &&
		     g_hash_table_size(state->services) > 0 &&
		     (state->settings->platform_kind != PLATFORM_STORE ||
		      state->routes);
	out->leaving = state->leaving;
	out->idle = state->admitted_requests == 0;
}
