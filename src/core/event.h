#ifndef CORE_EVENT_H
#define CORE_EVENT_H

/**
 * DOC: events
 *
 * Commands append events to a list; the dispatch duty passes each event to the
 * duty that carries it out. An event owns what its pointers refer to.
 */

#include "core/audit.h"
#include "core/command.h"
#include "core/stop.h"
#include "core/trace.h"

/**
 * enum event_kind - kind of an event; each has a member in struct event
 */
enum event_kind {
	EVENT_GRANT,
	EVENT_REFUSE,
	EVENT_DELIVER,
	EVENT_CANCEL,
	EVENT_RECALL,
	EVENT_AUDIT,
	EVENT_TRACE,
	EVENT_PEER_SEND,
	EVENT_CONFIG_PULL,
	EVENT_CONFIG_ROLE,
	EVENT_PROBE_PLAN,
	EVENT_LEFT,
};

/**
 * struct grant_event - send a request to a backend server now
 * @exchange: identifies the exchange
 * @request: request to send; the event owns a reference
 * @backend: backend server to send it to
 * @instance: name of the start of the backend server that was chosen, may be
 *	empty
 * @customer: name of the customer, empty if none is known
 * @drop_credentials: the backend server must not get the credentials of the
 *	request
 * @deadline_us: boot-time deadline of the exchange
 * @send_before_us: the request is not sent after this time, as a borrowed slot
 *	goes back to its lender then
 * @hold_server_error: pass a 5xx answer to the dispatch duty before the caller
 *	sees it, so that the request can be retried
 * @keep_connection: the request may be repeated, so its connection may be kept
 * @use_kept: the request may be sent on a kept connection
 * @connections_max: connections that this instance may have open to the backend
 *	server
 * @shed: shed marker of the service
 * @drain: drain marker of the service
 */
struct grant_event {
	struct exchange_id exchange;
	struct request *request;
	struct net_addr backend;
	struct name instance;
	struct name customer;
	bool drop_credentials;
	uint64_t deadline_us;
	uint64_t send_before_us;
	bool hold_server_error;
	bool keep_connection;
	bool use_kept;
	uint32_t connections_max;
	struct marker_doc shed;
	struct marker_doc drain;
};

/**
 * struct refuse_event - refuse a request
 * @request: refused request; the event owns a reference
 * @refusal: reason and retry advice for the caller
 */
struct refuse_event {
	struct request *request;
	struct refusal refusal;
};

/**
 * struct deliver_event - pass a held answer on to the caller
 * @request: request that is answered; the event owns a reference
 * @held: complete answer, owned
 */
struct deliver_event {
	struct request *request;
	struct answer_held *held;
};

/**
 * enum cancel_cause - why an exchange is cancelled
 * @CANCEL_CALLER_GONE: the caller has disconnected
 * @CANCEL_TRY_TIMEOUT: the exchange takes much longer than is typical; the
 *	request is to be retried on another backend server
 * @CANCEL_RECALLED: the backend server accepts no new requests; cancelled only
 *	if the request has not been sent
 * @CANCEL_STOPPING: the planned stop of this instance has reached its deadline
 */
enum cancel_cause {
	CANCEL_CALLER_GONE,
	CANCEL_TRY_TIMEOUT,
	CANCEL_RECALLED,
	CANCEL_STOPPING,
};

/**
 * struct cancel_event - cancel an exchange
 * @exchange: exchange to cancel
 * @cause: why it is cancelled
 */
struct cancel_event {
	struct exchange_id exchange;
	enum cancel_cause cause;
};

/**
 * struct recall_event - cancel a grant whose request has not been sent yet
 * @exchange: exchange to cancel
 * @request: request of the grant; the event owns a reference
 */
struct recall_event {
	struct exchange_id exchange;
	struct request *request;
};

/**
 * struct peer_send_event - send a datagram to a peer
 * @to: peer address of the receiver
 * @message: message to send, owned
 */
struct peer_send_event {
	struct net_addr to;
	struct peer_message *message;
};

/**
 * struct config_pull_event - fetch documents from a peer
 * @from: peer address to fetch from
 * @offer: document to fetch; an empty key fetches the peer's list of documents
 *	and then every document that is newer than the one here
 * @instances: fetch the peer's list of instances as well, as none is known here
 *	or the peer's differs
 */
struct config_pull_event {
	struct net_addr from;
	struct config_offer offer;
	bool instances;
};

/**
 * enum reader_role - whether an instance reads the platform's configuration
 * @READER_NONE: no, it gets the configuration from peers
 * @READER_STANDBY: yes, with a delay, in case its failure domain is cut off
 *	from the instance that reads first
 * @READER_FIRST: yes, as soon as a version changes
 */
enum reader_role { READER_NONE, READER_STANDBY, READER_FIRST };

/**
 * struct config_role_event - change of this instance's reader role
 * @role: new role
 */
struct config_role_event {
	enum reader_role role;
};

/**
 * struct probe_target - one backend server to probe
 * @service: service of the backend server
 * @backend: address of the backend server
 * @probe_path: path of the health check, empty for none
 * @load_path: path of the load report, empty for none
 */
struct probe_target {
	struct name service;
	struct net_addr backend;
	char probe_path[PATH_BYTES_MAX];
	char load_path[PATH_BYTES_MAX];
};

/**
 * struct probe_plan_event - backend servers to probe from now on
 * @targets: array of struct probe_target, owned; replaces the previous plan
 */
struct probe_plan_event {
	GArray *targets;
};

/**
 * struct left_event - no request is in progress any more in a planned stop
 * @stop: deadlines of the planned stop
 */
struct left_event {
	struct stop_times stop;
};

/**
 * struct event - instruction for another duty, tagged union
 * @kind: which member of the union is valid
 */
struct event {
	enum event_kind kind;
	union {
		struct grant_event grant;
		struct refuse_event refuse;
		struct deliver_event deliver;
		struct cancel_event cancel;
		struct recall_event recall;
		struct audit_record audit;
		struct trace_record trace;
		struct peer_send_event peer_send;
		struct config_pull_event config_pull;
		struct config_role_event config_role;
		struct probe_plan_event probe_plan;
		struct left_event left;
	};
};

/**
 * struct event_list - events that one command caused, in order
 * @events: array of struct event, owned
 */
struct event_list {
	GArray *events;
};

/**
 * event_list_init() - initialize an empty list
 * @list: filled
 */
void event_list_init(struct event_list *list);

/**
 * event_list_clear() - free a list and what its events own
 * @list: list to free
 */
void event_list_clear(struct event_list *list);

/**
 * event_list_add() - append an event
 * @list: list to append to
 * @event: copied; the list takes ownership of what it refers to
 */
void event_list_add(struct event_list *list, const struct event *event);

/**
 * event_clear() - free what an event owns
 * @event: event to clear
 */
void event_clear(struct event *event);

#endif
