#include "command/apply.h"

#include <string.h>

#include "command/admit.h"
#include "command/configure.h"
#include "command/finish.h"
#include "command/health.h"
#include "command/home.h"
#include "command/leave.h"
#include "command/lease.h"
#include "command/member.h"
#include "command/member_join.h"
#include "command/quota.h"
#include "command/reader.h"
#include "command/recall.h"
#include "command/schedule.h"
#include "command/start_gossip.h"
#include "command/tick.h"

static void accept_instances(struct state *state,
			     const struct accept_instances_command *command,
			     struct instant now, struct event_list *out);
static void accept_seeds(struct membership *membership,
			 const struct seeds_command *command);
static void apply_peer_message(struct state *state,
			       const struct peer_message *message,
			       struct instant now, struct event_list *out);
static void apply_digest(struct state *state,
			 const struct peer_message *message, struct instant now,
			 struct event_list *out);
static void apply_probe(struct state *state, const struct probe_result *result,
			struct instant now, struct event_list *out);

void command_apply(struct state *state, struct command *command,
		   struct instant now, struct event_list *out)
{
	switch (command->kind) {
	case COMMAND_ADMIT:
		admit(state, &command->admit, now, out);
		break;
	case COMMAND_FINISH:
		finish(state, &command->finish, now, out);
		break;
	case COMMAND_OBSERVE_ANSWER_NOTICE:
		observe_answer_notice(state, &command->observe_answer_notice,
				      now, out);
		break;
	case COMMAND_CANCEL:
		cancel(state, &command->cancel, now, out);
		break;
	case COMMAND_TICK:
		tick(state, now, out);
		break;
	case COMMAND_ACCEPT_CONFIG:
		configure_accept(state, &command->accept_config, now, out);
		break;
	case COMMAND_ACCEPT_ROUTES:
		configure_accept_routes(state, &command->accept_routes, now,
					out);
		break;
	case COMMAND_REFUSE_CONFIG:
		configure_refuse(state, &command->refuse_config, now, out);
		break;
	case COMMAND_ACCEPT_INSTANCES:
		accept_instances(state, &command->accept_instances, now, out);
		break;
	case COMMAND_PEER_MESSAGE:
		apply_peer_message(state, command->peer_message, now, out);
		break;
	case COMMAND_PROBE_RESULT:
		apply_probe(state, &command->probe_result, now, out);
		break;
	case COMMAND_PLATFORM_STATE:
		reader_set_platform_state(
			state, command->platform_state.reachable, now);
		break;
	case COMMAND_SEEDS:
		accept_seeds(&state->membership, &command->seeds);
		break;
	case COMMAND_LEAVE:
		leave(state, &command->leave, now, out);
		break;
	}
	if (state->homes_dirty)
		home_refresh(state, now, out);
	command_clear(command);
}

static void accept_instances(struct state *state,
			     const struct accept_instances_command *command,
			     struct instant now, struct event_list *out)
{
	if (state->membership.seed_discovery) {
		member_merge_list(state, command->list, command->count, now,
				  out);
		return;
	}
	/* A relayed list may be older than one that came from the platform. */
	if (command->from_peer && state->membership.list_known)
		return;
	member_accept_list(state, command->list, command->count, now, out);
}

/* Seed discovery is not switched on or off while a process runs. */
static void accept_seeds(struct membership *membership,
			 const struct seeds_command *command)
{
	if (!membership->seed_discovery)
		return;
	memcpy(membership->seeds, command->seeds, sizeof(command->seeds));
	membership->seed_count = command->count;
	membership->seed_due_us = 0;
}

static void apply_peer_message(struct state *state,
			       const struct peer_message *message,
			       struct instant now, struct event_list *out)
{
	member_handle_message(state, message, now, out);
	switch (message->kind) {
	case PEER_DIGEST:
		apply_digest(state, message, now, out);
		break;
	case PEER_LEASE_REQUEST:
	case PEER_LEASE_GRANT:
	case PEER_LEASE_RETURN:
		lease_handle_message(state, message, now, out);
		break;
	case PEER_QUOTA_REQUEST:
	case PEER_QUOTA_GRANT:
		quota_handle_message(state, message, now, out);
		break;
	case PEER_LEFT_STARTS:
		start_gossip_handle(state, message->sender,
				    &message->left_starts, now, out);
		break;
	case PEER_PING:
	case PEER_ACK:
	case PEER_PING_REQUEST:
		break;
	}
}

static void apply_digest(struct state *state,
			 const struct peer_message *message, struct instant now,
			 struct event_list *out)
{
	struct service *service =
		service_lookup(state, &message->digest.service);

	if (!service)
		return;
	home_observe_digest(service, message->sender, &message->digest, now);
	health_observe_digest(state, service, message->sender, &message->digest,
			      now, out);
}

static void apply_probe(struct state *state, const struct probe_result *result,
			struct instant now, struct event_list *out)
{
	struct service *service = service_lookup(state, &result->service);
	struct backend *backend;

	if (!service)
		return;
	backend = service_backend(service, result->backend);
	if (!backend)
		return;
	health_observe_probe(state, service, backend, result, now, out);
	if (result->draining)
		recall_unsent(state, service, now, out);
}
