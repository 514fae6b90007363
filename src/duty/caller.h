#ifndef DUTY_CALLER_H
#define DUTY_CALLER_H

/**
 * DOC: state machine of one caller's connection
 *
 * Runs in the front duty's thread, which reports socket events, entries of the
 * notify queue and expired deadlines. No function here blocks.
 */

#include "codec/http_answer.h"
#include "codec/http_reader.h"
#include "duty/exchange.h"

/*
 * Time limit for sending the rest of an answer, counted from when its last part
 * was taken from the answer ring, or from answer_deadline_us of struct caller
 * while parts are still expected. A caller that reads more slowly is
 * disconnected.
 */
#define CALLER_WRITE_TIMEOUT_US (3 * US_PER_S)

/**
 * enum caller_state - state of a connection
 * @CALLER_IDLE: no byte of the next request has been received
 * @CALLER_READING_HEAD: a request's head is being read
 * @CALLER_READING_BODY: a request's body is being read
 * @CALLER_AWAITING_REPLY: waits for the reply to a query
 * @CALLER_AWAITING_ANSWER: waits for the first part of an answer
 * @CALLER_SENDING_ANSWER: sends the parts of an answer as they arrive
 * @CALLER_FLUSHING: sends the last bytes of an answer
 * @CALLER_LINGERING: everything is sent and the write side is shut down. Bytes
 *	that the caller still sends are read and dropped: closing a socket with
 *	unread bytes sends a reset, upon which the caller's system discards the
 *	answer.
 * @CALLER_ENDED: to be freed
 */
enum caller_state {
	CALLER_IDLE,
	CALLER_READING_HEAD,
	CALLER_READING_BODY,
	CALLER_AWAITING_REPLY,
	CALLER_AWAITING_ANSWER,
	CALLER_SENDING_ANSWER,
	CALLER_FLUSHING,
	CALLER_LINGERING,
	CALLER_ENDED,
};

/**
 * struct caller_links - data shared by all connections of a front duty
 * @settings: not owned
 * @dispatch: ring of struct message, not owned
 * @exchange: gets EXCHANGE_OP_RESUME when a paused answer may continue
 * @notify: queue of the connections that have a reply or parts to take
 * @epoll_fd: epoll descriptor that watches the sockets
 * @close_after_answer: few connections are free or the front duty stops, so
 *	each connection is closed after its answer
 */
struct caller_links {
	const struct settings *settings;
	struct ring *dispatch;
	struct exchange_duty *exchange;
	struct notify_queue *notify;
	int32_t epoll_fd;
	bool close_after_answer;
};

/**
 * struct caller - one connection
 * @links: not owned
 * @id: number of the connection in the notify queue and in epoll
 * @fd: non-blocking socket, owned
 * @ip: text of the caller's address
 * @state: state of the connection
 * @deadline_us: time limit of @state
 * @watched_events: epoll events that are watched
 * @reader: parses requests, owned
 * @unread: bytes received but not parsed yet, owned
 * @out: bytes to send, owned
 * @out_sent: number of bytes of @out that are sent
 * @request: request being read or answered, carries a reference, or NULL
 * @facts: what the dispatch duty needs to know of @request
 * @reply_channel: with CALLER_AWAITING_REPLY, carries a reference
 * @service: with CALLER_AWAITING_REPLY, service whose entries are queried
 * @answer_deadline_us: time limit for the first part of the answer
 * @framing: with CALLER_SENDING_ANSWER, framing of the answer's body
 * @head_method: the request's method is HEAD
 * @close: the connection is closed after this answer
 * @body_received: a part of the answer's body has been received, so its head
 *	may be sent
 * @answer_started: bytes of the answer were sent
 */
struct caller {
	const struct caller_links *links;
	uint64_t id;
	int32_t fd;
	char ip[ADDR_TEXT_BYTES];
	enum caller_state state;
	uint64_t deadline_us;
	uint32_t watched_events;
	struct http_reader *reader;
	GByteArray *unread;
	GByteArray *out;
	size_t out_sent;
	struct request *request;
	struct request_facts facts;
	struct reply_channel *reply_channel;
	struct name service;
	uint64_t answer_deadline_us;
	enum http_framing framing;
	bool head_method;
	bool close;
	bool body_received;
	bool answer_started;
};

/**
 * caller_open() - start serving an accepted connection
 * @links: must outlive the connection
 * @id: number of the connection
 * @fd: non-blocking socket, taken over
 * @ip: text of the caller's address
 *
 * Return: the connection, or NULL when epoll cannot watch it; @fd is closed
 * then.
 */
struct caller *caller_open(const struct caller_links *links, uint64_t id,
			   int32_t fd, const char *ip);

/**
 * caller_free() - cancel the request of a connection, close and free it
 * @caller: the connection
 */
void caller_free(struct caller *caller);

/**
 * caller_handle_events() - handle events of a connection's socket
 * @caller: the connection
 * @events: events that epoll reported
 */
void caller_handle_events(struct caller *caller, uint32_t events);

/**
 * caller_handle_notification() - process a reply or parts of an answer
 * @caller: the connection, whose id was taken from the notify queue
 */
void caller_handle_notification(struct caller *caller);

/**
 * caller_handle_timeout() - handle an expired deadline
 * @caller: the connection
 */
void caller_handle_timeout(struct caller *caller);

/**
 * caller_abort() - cancel a connection's request and query and end it
 * @caller: the connection
 */
void caller_abort(struct caller *caller);

/**
 * caller_cancel() - drop a connection's request and send COMMAND_CANCEL for it
 * @caller: the connection
 */
void caller_cancel(struct caller *caller);

/**
 * caller_keep_alive_s() - idle time-out to announce with an answer
 * @caller: the connection
 *
 * Less than the time-out in force, because a request takes time to arrive.
 *
 * Return: whole seconds for the Keep-Alive field, 0 when the connection is
 * closed after this answer.
 */
uint32_t caller_keep_alive_s(const struct caller *caller);

/**
 * caller_set_state() - set the state and its time limit
 * @caller: the connection
 * @state: new state
 * @deadline_us: time limit of @state
 */
void caller_set_state(struct caller *caller, enum caller_state state,
		      uint64_t deadline_us);

/**
 * caller_flush() - send as many bytes as the socket takes
 * @caller: the connection
 *
 * Once an answer is sent completely, the connection becomes CALLER_IDLE, or
 * CALLER_LINGERING if it is to be closed.
 */
void caller_flush(struct caller *caller);

/**
 * caller_read_requests() - parse the received bytes and handle requests
 * @caller: the connection
 */
void caller_read_requests(struct caller *caller);

/**
 * caller_handle_reply() - answer with the reply to a query, if it has arrived
 * @caller: a connection in CALLER_AWAITING_REPLY
 */
void caller_handle_reply(struct caller *caller);

/**
 * caller_forward_answer() - send the parts of an answer that have arrived
 * @caller: a connection in CALLER_AWAITING_ANSWER or CALLER_SENDING_ANSWER
 */
void caller_forward_answer(struct caller *caller);

/**
 * caller_refuse() - answer with a refusal
 * @caller: the connection
 * @refusal: cause, outcome and time for a retry
 */
void caller_refuse(struct caller *caller, const struct refusal *refusal);

/**
 * caller_refuse_unsent() - refuse a request that the dispatch duty did not get
 * @caller: the connection
 * @cause: cause of the refusal; its outcome is OUTCOME_NOT_RUN
 */
void caller_refuse_unsent(struct caller *caller, enum refusal_cause cause);

/**
 * caller_finish() - append the last bytes of an answer and flush it
 * @caller: the connection
 * @text: last bytes, not owned
 */
void caller_finish(struct caller *caller, const GString *text);

#endif
