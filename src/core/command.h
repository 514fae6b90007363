#ifndef CORE_COMMAND_H
#define CORE_COMMAND_H

/**
 * DOC: messages to the dispatch duty
 *
 * A message is a command, which may change the routing state, or a query,
 * which only reads it. Both are tagged unions handled by one switch each.
 */

#include "core/evidence.h"
#include "core/peer.h"
#include "core/request.h"
#include "core/routing.h"

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
 * struct admit_command - a caller's request
 * @facts: what the decisions need
 * @request: token; the command carries a reference
 */
struct admit_command {
	struct request_facts facts;
	struct request *request;
};

/**
 * struct finish_command - an exchange has ended
 * @exchange: which
 * @backend: with whom
 * @evidence: what it showed
 * @held: a whole answer that was not given to the caller yet, owned, or NULL
 */
struct finish_command {
	struct exchange_id exchange;
	struct net_addr backend;
	struct evidence evidence;
	struct answer_held *held;
};

/**
 * struct observe_answer_notice_command - an answer's head says something of its server
 * @exchange: which; it goes on
 * @notice: what
 */
struct observe_answer_notice_command {
	struct exchange_id exchange;
	struct backend_notice notice;
};

/**
 * struct cancel_command - a caller is gone
 * @request: token, compared only; carries a reference
 */
struct cancel_command {
	struct request *request;
};

/**
 * struct accept_config_command - a parsed document from platform or peer
 * @doc: carries a reference
 * @from_peer: a peer relayed it
 */
struct accept_config_command {
	struct service_doc *doc;
	bool from_peer;
};

/**
 * struct accept_routes_command - a parsed routing table from platform or peer
 * @table: carries a reference
 * @from_peer: a peer relayed it
 */
struct accept_routes_command {
	struct routing_table *table;
	bool from_peer;
};

/**
 * struct refuse_config_command - a document that did not parse
 * @key: service
 * @version: version offered
 * @hash: hash of its text
 */
struct refuse_config_command {
	struct name key;
	uint64_t version;
	uint64_t hash;
};

/**
 * struct accept_instances_command - the platform's list of instances
 * @list: owned array
 * @count: entries of @list
 * @from_peer: a peer relayed it; it counts only while none is known
 */
struct accept_instances_command {
	struct instance_doc *list;
	uint32_t count;
	bool from_peer;
};

/**
 * struct probe_result - a backend server's own word on itself; it may mislead
 * @service: of which service
 * @backend: which
 * @answered: it answered in time
 * @healthy: its health path said so
 * @draining: its load report said so
 * @cold: its load report said so
 * @busy_slots: its load report said so
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
 * struct platform_state_command - how the last call to the platform went
 * @reachable: it answered
 */
struct platform_state_command {
	bool reachable;
};

/**
 * struct seeds_command - the settings name other seeds now
 * @seeds: the seeds
 * @count: used entries of @seeds
 */
struct seeds_command {
	struct net_addr seeds[SEEDS_MAX];
	uint32_t count;
};

/**
 * struct leave_command - planned stop
 * @hurry: do not wait for answers to entries to expire
 */
struct leave_command {
	bool hurry;
};

/**
 * struct command - tagged union
 * @kind: which member of the union holds
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
 * struct query - tagged union; the answer goes to @reply
 * @kind: which member of the union holds
 * @host: with QUERY_ENTRIES, names the services by a host of the routing table;
 *	empty when @service names one
 * @service: with QUERY_ENTRIES, QUERY_STATUS (empty for all), QUERY_DOCUMENT
 * @caller_hash: with QUERY_ENTRIES, shuffles the answer
 * @caller_domain: with QUERY_ENTRIES, may be empty
 * @since_sequence: with QUERY_AUDIT
 * @reply: ring of struct query_reply; the query carries a reference
 */
struct query {
	enum query_kind kind;
	struct name host;
	struct name service;
	uint64_t caller_hash;
	struct name caller_domain;
	uint64_t since_sequence;
	struct reply_channel *reply;
};

#define ENTRIES_MAX 64

/**
 * struct entry - one instance a caller may use
 * @caller: where to connect
 * @domain: its failure domain
 */
struct entry {
	struct net_addr caller;
	struct name domain;
};

/**
 * struct entries_reply - which instances to use and until when
 * @known: the service exists
 * @entries: best first
 * @entry_count: used entries
 * @expires_unix_ms: drop the answer then
 */
struct entries_reply {
	bool known;
	struct entry entries[ENTRIES_MAX];
	uint32_t entry_count;
	uint64_t expires_unix_ms;
};

/**
 * struct ready_reply - whether callers should come here
 * @ready: documents are known and the instance is not leaving
 * @leaving: a planned stop is under way
 * @idle: nothing is in progress
 */
struct ready_reply {
	bool ready;
	bool leaving;
	bool idle;
};

/**
 * struct query_reply - tagged like its query
 * @kind: which member of the union holds
 * @entries: with QUERY_ENTRIES
 * @ready: with QUERY_READY
 * @status: with QUERY_STATUS, owned (core/report.h)
 * @metrics: with QUERY_METRICS, owned (core/report.h)
 * @records: with QUERY_AUDIT, owned array of struct audit_record
 * @document: with QUERY_DOCUMENT, owned, its text is NULL when absent
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
 * struct reply_channel - where one asker waits for one reply
 * @refs: reference count, atomic
 * @ring: ring of struct query_reply, room for one
 */
struct reply_channel {
	gint refs;
	struct ring *ring;
};

/**
 * reply_channel_new() - make a port
 *
 * Return: a port with one reference.
 */
struct reply_channel *reply_channel_new(void);

/**
 * reply_channel_ref() - take a reference
 * @port: the port
 *
 * Return: @port.
 */
struct reply_channel *reply_channel_ref(struct reply_channel *port);

/**
 * reply_channel_unref() - give a reference back; the last one frees the port and
 *	a reply nobody took
 * @port: the port, or NULL
 */
void reply_channel_unref(struct reply_channel *port);

/**
 * query_reply_clear() - free what a reply holds
 * @reply: the reply
 */
void query_reply_clear(struct query_reply *reply);

/**
 * command_clear() - free what a command holds
 * @command: the command
 */
void command_clear(struct command *command);

/* Urgent messages that may wait for the dispatch thread. */
#define MESSAGE_URGENT_MAX 256

enum message_kind { MESSAGE_COMMAND, MESSAGE_QUERY };

/**
 * struct message - item of the dispatch ring
 * @kind: which member of the union holds
 * @pushed_us: since when it waits for the dispatch duty
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
 * message_ring_new() - make the dispatch duty's ring
 * @capacity_messages: how many messages fit that are not urgent
 * @reserved_messages: part of it for ends, cancellations and stops
 *
 * Return: a ring to be freed with ring_free().
 */
struct ring *message_ring_new(uint32_t capacity_messages,
			      uint32_t reserved_messages);

/**
 * send_command() - give a command to the dispatch duty
 * @dispatch: its ring
 * @command: taken over on success, untouched otherwise
 *
 * What the decisions must know goes before the requests that they are about.
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED. COMMAND_FINISH, COMMAND_CANCEL and
 * COMMAND_LEAVE may use the ring's reserve.
 */
enum ring_result send_command(struct ring *dispatch,
			      const struct command *command);

/**
 * send_query() - put a query to the dispatch duty
 * @dispatch: its ring
 * @query: everything but its reply port
 * @port: where the reply comes; the query takes a reference of its own
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result send_query(struct ring *dispatch, const struct query *query,
			    struct reply_channel *port);

/**
 * run_query() - put a query to the dispatch duty and wait for its reply
 * @dispatch: its ring
 * @query: everything but its reply port
 * @reply: filled on success; clear it with query_reply_clear()
 * @deadline_us: boot-time deadline
 *
 * Return: RING_OK, RING_FULL, RING_TIMEOUT or RING_CLOSED.
 */
enum ring_result run_query(struct ring *dispatch, const struct query *query,
			   struct query_reply *reply, uint64_t deadline_us);

#endif
