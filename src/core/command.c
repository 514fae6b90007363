#include "core/command.h"

#include "core/clock.h"
#include "core/report.h"

static bool query_urgent(enum query_kind kind);

struct reply_channel *reply_channel_new(void)
{
	struct reply_channel *port = g_new0(struct reply_channel, 1);

	port->refs = 1;
	port->ring = ring_new(sizeof(struct query_reply), 1, 0);
	return port;
}

struct reply_channel *reply_channel_ref(struct reply_channel *port)
{
	g_atomic_int_inc(&port->refs);
	return port;
}

void reply_channel_unref(struct reply_channel *port)
{
	struct query_reply reply;

	if (!port || !g_atomic_int_dec_and_test(&port->refs))
		return;
	if (ring_pop(port->ring, &reply, 0) == RING_OK)
		query_reply_clear(&reply);
	ring_free(port->ring);
	g_free(port);
}

void query_reply_clear(struct query_reply *reply)
{
	switch (reply->kind) {
	case QUERY_ENTRIES:
	case QUERY_READY:
		break;
	case QUERY_STATUS:
		status_report_free(reply->status);
		break;
	case QUERY_METRICS:
		metrics_report_free(reply->metrics);
		break;
	case QUERY_AUDIT:
		g_array_unref(reply->records);
		break;
	case QUERY_DOCUMENT:
		g_clear_pointer(&reply->document.text, g_bytes_unref);
		break;
	case QUERY_OFFERS:
		g_array_unref(reply->offers);
		break;
	case QUERY_INSTANCES:
		g_array_unref(reply->instances);
		break;
	}
}

void command_clear(struct command *command)
{
	switch (command->kind) {
	case COMMAND_ADMIT:
		request_unref(command->admit.request);
		break;
	case COMMAND_FINISH:
		answer_held_free(command->finish.held);
		break;
	case COMMAND_CANCEL:
		request_unref(command->cancel.request);
		break;
	case COMMAND_ACCEPT_CONFIG:
		service_doc_unref(command->accept_config.doc);
		break;
	case COMMAND_ACCEPT_ROUTES:
		routing_table_unref(command->accept_routes.table);
		break;
	case COMMAND_ACCEPT_INSTANCES:
		g_free(command->accept_instances.list);
		break;
	case COMMAND_PEER_MESSAGE:
		g_free(command->peer_message);
		break;
	case COMMAND_OBSERVE_ANSWER_NOTICE:
	case COMMAND_TICK:
	case COMMAND_REFUSE_CONFIG:
	case COMMAND_PROBE_RESULT:
	case COMMAND_PLATFORM_STATE:
	case COMMAND_SEEDS:
	case COMMAND_LEAVE:
		break;
	}
}

struct ring *message_ring_new(uint32_t capacity_messages,
			      uint32_t reserved_messages)
{
	struct ring *ring = ring_new(sizeof(struct message), capacity_messages,
				     reserved_messages);

	ring_add_urgent(ring, MESSAGE_URGENT_MAX);
	return ring;
}

enum ring_result send_command(struct ring *dispatch,
			      const struct command *command)
{
	struct message message = {
		.kind = MESSAGE_COMMAND,
		.pushed_us = clock_now_us(),
		.command = *command,
	};

	switch (command->kind) {
	case COMMAND_FINISH:
	case COMMAND_CANCEL:
	case COMMAND_LEAVE:
		return ring_push_reserved(dispatch, &message);
	case COMMAND_OBSERVE_ANSWER_NOTICE:
	case COMMAND_ACCEPT_CONFIG:
	case COMMAND_ACCEPT_ROUTES:
	case COMMAND_ACCEPT_INSTANCES:
	case COMMAND_PEER_MESSAGE:
		return ring_push_urgent(dispatch, &message);
	case COMMAND_ADMIT:
	case COMMAND_TICK:
	case COMMAND_REFUSE_CONFIG:
	case COMMAND_PROBE_RESULT:
	case COMMAND_PLATFORM_STATE:
	case COMMAND_SEEDS:
		break;
	}
	return ring_push(dispatch, &message);
}

enum ring_result send_query(struct ring *dispatch, const struct query *query,
			    struct reply_channel *port)
{
	struct message message = {
		.kind = MESSAGE_QUERY,
		.pushed_us = clock_now_us(),
		.query = *query,
	};
	enum ring_result result;

	message.query.reply = reply_channel_ref(port);
	result = query_urgent(query->kind) ?
			 ring_push_urgent(dispatch, &message) :
			 ring_push(dispatch, &message);
	if (result != RING_OK)
		reply_channel_unref(port);
	return result;
}

enum ring_result run_query(struct ring *dispatch, const struct query *query,
			   struct query_reply *reply, uint64_t deadline_us)
{
	struct reply_channel *port = reply_channel_new();
	enum ring_result result = send_query(dispatch, query, port);

	if (result == RING_OK)
		result = ring_pop(port->ring, reply, deadline_us);
	reply_channel_unref(port);
	return result;
}

/* Without an answer in time no document is passed on or taken in. */
static bool query_urgent(enum query_kind kind)
{
	switch (kind) {
	case QUERY_DOCUMENT:
	case QUERY_OFFERS:
	case QUERY_INSTANCES:
		return true;
	case QUERY_ENTRIES:
	case QUERY_STATUS:
	case QUERY_METRICS:
	case QUERY_AUDIT:
	case QUERY_READY:
		return false;
	}
	return false;
}
