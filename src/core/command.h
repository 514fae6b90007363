#ifndef CORE_COMMAND_H
#define CORE_COMMAND_H

/**
 * DOC: messages to the dispatch duty
 *
 * A message is a command, which may change the routing state, or a query,
 * which only reads it. Each is a tagged union that is handled by one switch.
 */

#include "core/evidence.h"
#include "core/peer.h"
#include "core/request.h"
#include "core/routing.h"

/**
 * enum command_kind - kind of a command; all have a member in struct command
 *	but COMMAND_TICK, which has no data
 */
enum command_kind {
	COMMAND_ADMIT,
	COMMAND_FINISH,
	COMMAND_OBSERVE_ANSWER_NOTICE,
	COMMAND_CANCEL,
	COMMAND_TICK,
	COMMAND_ACCEPT_CONFIG,
	COMMAND_ACCEPT_ROUTES,
	COMMAND_REFUSE_CONFIG,
	COMMAND_ACCEPT_INSTANCES,
	COMMAND_PEER_MESSAGE,
	COMMAND_PROBE_RESULT,
	COMMAND_PLATFORM_STATE,
	COMMAND_SEEDS,
	COMMAND_LEAVE,
};

/**
 * struct admit_command - a new request of a caller
 * @facts: properties of the request that routing depends on
 * @request: the request; the command owns a reference
 */
struct admit_command {
	struct request_facts facts;
	struct request *request;
};

/**
 * struct finish_command - an exchange has ended
 * @exchange: exchange that ended
 * @backend: backend server of the exchange
 * @evidence: result of the exchange
 * @held: complete answer that the caller has not been given yet, owned, or NULL
 */
struct finish_command {
	struct exchange_id exchange;
	struct net_addr backend;
	struct evidence evidence;
	struct answer_held *held;
};

/**
 * struct observe_answer_notice_command - drain or pause notice in the
 *	head of an answer
 * @exchange: exchange of the answer, still running
 * @notice: notice in the head
 */
struct observe_answer_notice_command {
	struct exchange_id exchange;
	struct backend_notice notice;
};

/**
 * struct cancel_command - a caller has disconnected
 * @request: request of the caller, only compared with those in progress; the
 *	command owns a reference
 */
struct cancel_command {
	struct request *request;
};

/**
 * struct accept_config_command - a service document from the platform or a peer
 * @doc: parsed document; the command owns a reference
 * @from_peer: received from a peer
 */
struct accept_config_command {
	struct service_doc *doc;
	bool from_peer;
};

/**
 * struct accept_routes_command - a routing table from the platform or a peer
 * @table: parsed table; the command owns a reference
 * @from_peer: received from a peer
 */
struct accept_routes_command {
	struct routing_table *table;
	bool from_peer;
};

/**
 * struct refuse_config_command - a document could not be parsed
 * @key: service of the document, or ROUTING_KEY
 * @version: version of the document
 * @hash: hash of its text
 */
struct refuse_config_command {
	struct name key;
	uint64_t version;
	uint64_t hash;
};

/**
 * struct accept_instances_command - the platform's list of instances
 * @list: array of instances, owned
 * @count: number of entries of @list
 * @from_peer: received from a peer; used only while no list is known
 */
struct accept_instances_command {
	struct instance_doc *list;
	uint32_t count;
	bool from_peer;
};

/**
 * struct probe_result - result of probing a backend server; it may be wrong
 * @service: service of the backend server
 * @backend: address of the backend server
 * @answered: it answered in time
 * @healthy: its health check succeeded
 * @draining: its load report says that it drains
 * @cold: its load report says that it has just started and is still slow
 * @busy_slots: slots in use according to its load report
 */
struct probe_result {
	struct name service;
	struct net_addr backend;
	bool answered;
	bool healthy;
	bool draining;
	bool cold;
	uint32_t busy_slots;
};

/**
 * struct platform_state_command - result of the last call to the platform
 * @reachable: the platform answered
 */
struct platform_state_command {
	bool reachable;
};

/**
 * struct seeds_command - the seeds in the settings have changed
 * @seeds: peer addresses of the new seeds
 * @count: used entries of @seeds
 */
struct seeds_command {
	struct net_addr seeds[SEEDS_MAX];
	uint32_t count;
};

/**
 * struct leave_command - start of a planned stop
 * @signalled_us: boot time of the signal
 * @hurry: do not wait until the answers to entries that name this instance have
 *	expired
 */
struct leave_command {
	uint64_t signalled_us;
	bool hurry;
};

/**
 * struct command - change of the routing state, tagged union
 * @kind: which member of the union is valid
 */
struct command {
	enum command_kind kind;
	union {
		struct admit_command admit;
		struct finish_command finish;
		struct observe_answer_notice_command observe_answer_notice;
		struct cancel_command cancel;
		struct accept_config_command accept_config;
		struct accept_routes_command accept_routes;
		struct refuse_config_command refuse_config;
		struct accept_instances_command accept_instances;
		struct peer_message *peer_message; /* owned */
		struct probe_result probe_result;
		struct platform_state_command platform_state;
		struct seeds_command seeds;
		struct leave_command leave;
	};
};

enum query_kind {
	QUERY_ENTRIES,
	QUERY_STATUS,
	QUERY_METRICS,
	QUERY_AUDIT,
	QUERY_READY,
	QUERY_DOCUMENT,
	QUERY_OFFERS,
	QUERY_INSTANCES,
};

/**
 * struct query - read of the routing state
 * @kind: kind of the query
 * @host: with QUERY_ENTRIES, host of the routing table whose services are
 *	queried; empty if @service names the service
 * @service: with QUERY_ENTRIES, QUERY_STATUS (empty for all) and
 *	QUERY_DOCUMENT, name of the service
 * @caller_hash: with QUERY_ENTRIES, determines the order of equal entries
 * @caller_domain: with QUERY_ENTRIES, failure domain of the caller, may be
 *	empty
 * @since_sequence: with QUERY_AUDIT, only records after this sequence number
 * @reply: channel for the reply; the query owns a reference
 */
struct query {
	enum query_kind kind;
	struct host_name host;
	struct name service;
	uint64_t caller_hash;
	struct name caller_domain;
	uint64_t since_sequence;
	struct reply_channel *reply;
};

#define ENTRIES_MAX 64

/**
 * struct entry - one instance that a caller may connect to
 * @caller: address to connect to
 * @domain: failure domain of the instance
 */
struct entry {
	struct net_addr caller;
	struct name domain;
};

/**
 * struct entries_reply - instances that a caller may use, and for how long
 * @known: the service exists
 * @entries: instances, best first
 * @entry_count: used entries of @entries
 * @expires_unix_ms: wall-clock time at which the reply becomes invalid
 */
struct entries_reply {
	bool known;
	struct entry entries[ENTRIES_MAX];
	uint32_t entry_count;
	uint64_t expires_unix_ms;
};

/**
 * struct ready_reply - whether this instance accepts requests
 * @ready: the list of instances and the documents are known, and the instance
 *	is neither leaving nor without contact (stepped_back in struct state)
 * @leaving: a planned stop is in progress
 * @idle: no request is in progress
 */
struct ready_reply {
	bool ready;
	bool leaving;
	bool idle;
};

/**
 * struct query_reply - reply to a query, tagged union
 * @kind: kind of the query; says which member of the union is valid
 * @entries: with QUERY_ENTRIES
 * @ready: with QUERY_READY
 * @status: with QUERY_STATUS, owned (core/report.h)
 * @metrics: with QUERY_METRICS, owned (core/report.h)
 * @records: with QUERY_AUDIT, owned array of struct audit_record
 * @document: with QUERY_DOCUMENT, owned; its text is NULL if there is none
 * @offers: with QUERY_OFFERS, owned array of struct config_offer
 * @instances: with QUERY_INSTANCES, owned array of struct instance_doc
 */
struct query_reply {
	enum query_kind kind;
	union {
		struct entries_reply entries;
		struct ready_reply ready;
		struct status_report *status;
		struct metrics_report *metrics;
		GArray *records;
		struct held_document document;
		GArray *offers;
		GArray *instances;
	};
};

/**
 * struct reply_channel - carries one reply back to the thread that sent a query
 * @refs: reference count, atomic
 * @ring: ring of struct query_reply with a capacity of one
 */
struct reply_channel {
	gint refs;
	struct ring *ring;
};

/**
 * reply_channel_new() - create a reply channel
 *
 * Return: a channel with one reference.
 */
struct reply_channel *reply_channel_new(void);

/**
 * reply_channel_ref() - take a reference
 * @channel: reply channel
 *
 * Return: @channel.
 */
struct reply_channel *reply_channel_ref(struct reply_channel *channel);

/**
 * reply_channel_unref() - drop a reference; the last one frees the channel and
 *	a reply that was not read
 * @channel: reply channel, or NULL
 */
void reply_channel_unref(struct reply_channel *channel);

/**
 * query_reply_clear() - free what a reply owns
 * @reply: reply to clear
 */
void query_reply_clear(struct query_reply *reply);

/**
 * command_clear() - free what a command owns
 * @command: command to clear
 */
void command_clear(struct command *command);

/* Capacity of the dispatch ring for urgent messages. */
#define MESSAGE_URGENT_MAX 256

enum message_kind { MESSAGE_COMMAND, MESSAGE_QUERY };

/**
 * struct message - item of the dispatch ring
 * @kind: which member of the union is valid
 * @pushed_us: boot time at which it was put into the ring
 * @command: with MESSAGE_COMMAND
 * @query: with MESSAGE_QUERY
 */
struct message {
	enum message_kind kind;
	uint64_t pushed_us;
	union {
		struct command command;
		struct query query;
	};
};

/**
 * message_ring_new() - create the ring of the dispatch duty
 * @capacity_messages: capacity for messages that are not urgent
 * @reserved_messages: part of it reserved for COMMAND_FINISH, COMMAND_CANCEL
 *	and COMMAND_LEAVE
 *
 * Return: a ring to be freed with ring_free().
 */
struct ring *message_ring_new(uint32_t capacity_messages,
			      uint32_t reserved_messages);

/**
 * send_command() - send a command to the dispatch duty
 * @dispatch: ring of the dispatch duty
 * @command: command to send; the ring takes ownership on success only
 *
 * Commands that bring configuration, peer messages or notices of backend
 * servers are urgent: they overtake waiting requests, which depend on them.
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED. COMMAND_FINISH, COMMAND_CANCEL and
 * COMMAND_LEAVE may use the ring's reserve.
 */
enum ring_result send_command(struct ring *dispatch,
			      const struct command *command);

/**
 * send_query() - send a query to the dispatch duty
 * @dispatch: ring of the dispatch duty
 * @query: query to send, all fields set but @reply
 * @channel: channel for the reply; the query takes a reference of its own
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result send_query(struct ring *dispatch, const struct query *query,
			    struct reply_channel *channel);

/**
 * run_query() - send a query to the dispatch duty and wait for the reply
 * @dispatch: ring of the dispatch duty
 * @query: query to send, all fields set but @reply
 * @reply: filled on success, to be cleared with query_reply_clear()
 * @deadline_us: boot-time deadline
 *
 * Return: RING_OK, RING_FULL, RING_TIMEOUT or RING_CLOSED.
 */
enum ring_result run_query(struct ring *dispatch, const struct query *query,
			   struct query_reply *reply, uint64_t deadline_us);

#endif
