#ifndef CORE_EVENT_H
#define CORE_EVENT_H

/**
 * DOC: what the decisions want done
 *
 * Commands append events to a list; the dispatch duty hands each to the duty
 * that carries it out. Events own what they point at.
 */

#include "core/audit.h"
#include "core/command.h"
#include "core/trace.h"

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
 * struct grant_event - send this request now
 * @exchange: names the exchange
 * @request: token; carries a reference
 * @backend: to whom
 * @instance: which start of it is meant, may be empty
 * @deadline_us: absolute end of the exchange
 * @send_before_us: not after this, for a slot may be lent by then
 * @hold_server_error: give a 5xx answer to the decisions first
 * @connections_max: connections this instance may hold to the backend server
 * @shed: the service's shed marker
 * @drain: the service's drain marker
 */
struct grant_event {
	struct exchange_id exchange;
	struct request *request;
	struct net_addr backend;
	struct name instance;
	uint64_t deadline_us;
	uint64_t send_before_us;
	bool hold_server_error;
	uint32_t connections_max;
	struct marker_doc shed;
	struct marker_doc drain;
};

/**
 * struct refuse_event - tell the caller
 * @request: token; carries a reference
 * @refusal: what to say
 */
struct refuse_event {
	struct request *request;
	struct refusal refusal;
};

/**
 * struct deliver_event - give a held answer to the caller
 * @request: token; carries a reference
 * @held: owned
 */
struct deliver_event {
	struct request *request;
	struct answer_held *held;
};

/**
 * enum cancel_cause - why an exchange is stopped
 * @CANCEL_CALLER_GONE: nobody waits for its answer
 * @CANCEL_TRY_TIMEOUT: it takes much longer than usual and shall be tried elsewhere
 * @CANCEL_RECALLED: its backend server wants no new work; what was sent goes on
 * @CANCEL_STOPPING: this instance's planned stop is over
 */
enum cancel_cause {
	CANCEL_CALLER_GONE,
	CANCEL_TRY_TIMEOUT,
	CANCEL_RECALLED,
	CANCEL_STOPPING,
};

/**
 * struct cancel_event - stop an exchange
 * @exchange: which
 * @cause: why
 */
struct cancel_event {
	struct exchange_id exchange;
	enum cancel_cause cause;
};

/**
 * struct recall_event - take a grant back unless it was sent
 * @exchange: which
 * @request: token; carries a reference
 */
struct recall_event {
	struct exchange_id exchange;
	struct request *request;
};

/**
 * struct peer_send_event - send a datagram
 * @to: peer address
 * @message: owned
 */
struct peer_send_event {
	struct net_addr to;
	struct peer_message *message;
};

/**
 * struct config_pull_event - fetch documents from a peer
 * @from: peer address
 * @offer: what to fetch; an empty key fetches the peer's list of offers and
 *	all that is newer
 * @instances: the list of instances too, for none is known here
 */
struct config_pull_event {
	struct net_addr from;
	struct config_offer offer;
	bool instances;
};

/**
 * enum reader_role - whether an instance reads the platform itself
 * @READER_NONE: no, it hears from peers
 * @READER_STANDBY: with a pause, for its failure domain may be cut off the others
 * @READER_FIRST: as soon as something changes
 */
enum reader_role { READER_NONE, READER_STANDBY, READER_FIRST };

/**
 * struct config_role_event - whether this instance reads the platform itself
 * @role: its role from now on
 */
struct config_role_event {
	enum reader_role role;
};

/**
 * struct probe_target - one backend server to probe
 * @service: of which service
 * @backend: which
 * @probe_path: health path, may be empty
 * @load_path: load report path, may be empty
 */
struct probe_target {
	struct name service;
	struct net_addr backend;
	char probe_path[PATH_BYTES_MAX];
	char load_path[PATH_BYTES_MAX];
};

/**
 * struct probe_plan_event - backend servers to probe from now on
 * @targets: owned array of struct probe_target, replaces the one before
 */
struct probe_plan_event {
	GArray *targets;
};

/**
 * struct event - tagged union
 * @kind: which member of the union holds
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
	};
};

/**
 * struct event_list - events of one message, in order
 * @events: array of struct event
 */
struct event_list {
	GArray *events;
};

/**
 * event_list_init() - make an empty list
 * @list: the list
 */
void event_list_init(struct event_list *list);

/**
 * event_list_clear() - free the list and what its events still own
 * @list: the list
 */
void event_list_clear(struct event_list *list);

/**
 * event_list_add() - append an event
 * @list: the list
 * @event: taken over
 */
void event_list_add(struct event_list *list, const struct event *event);

/**
 * event_clear() - free what an event owns
 * @event: the event
 */
void event_clear(struct event *event);

#endif
