#ifndef DUTY_CALLER_H
#define DUTY_CALLER_H

/**
 * DOC: one caller's connection, as the front duty's thread serves it
 *
 * Nothing here waits: the front tells of readiness, notices and deadlines, and
 * the connection goes on as far as it can.
 */

#include "codec/http_answer.h"
#include "codec/http_reader.h"
#include "duty/exchange.h"

/* A caller that reads too slowly for this long is given up. */
#define CALLER_WRITE_TIMEOUT_US (3 * US_PER_S)

/**
 * enum caller_state - what a connection is at
 * @CALLER_IDLE: no byte of a next request has come
 * @CALLER_READING_HEAD: a head comes
 * @CALLER_READING_BODY: a body comes
 * @CALLER_AWAITING_REPLY: waits for the reply to a query
 * @CALLER_AWAITING_ANSWER: waits for the first part of an answer
 * @CALLER_SENDING_ANSWER: the answer goes out as its parts come
 * @CALLER_FLUSHING: the last bytes of an answer go out
 * @CALLER_LINGERING: all is sent; what the caller still sends is dropped, for
 *	unread bytes would make its system drop the answer
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
 * struct caller_links - what all connections of a front share
 * @settings: not owned
 * @dispatch: ring of struct message
 * @exchange: is told when a paused answer may go on
 * @notify: tells which connection has something to take
 * @epoll_fd: watches the sockets
 * @close_after_answer: connections run short, so answers end theirs
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
 * @id: its number with the front, on the board and in epoll
 * @fd: its socket, not blocking
 * @ip: text of the caller's address
 * @state: what it is at
 * @deadline_us: what it is at ends then
 * @watched: epoll events that are watched
 * @reader: reads requests
 * @unread: bytes that came and are not read yet
 * @out: bytes that go out
 * @out_sent: how many of @out are sent
 * @request: with CALLER_AWAITING_ANSWER and CALLER_SENDING_ANSWER, holds a reference
 * @facts: of the request that is read
 * @port: with CALLER_AWAITING_REPLY, holds a reference
 * @service: with CALLER_AWAITING_REPLY, whose entries are asked for
 * @until_us: the answer's last moment
 * @framing: with CALLER_SENDING_ANSWER
 * @head_method: the method is HEAD
 * @close: the connection ends after this answer
 * @body_begun: the answer's head goes out, for some of its body is there
 * @begun: bytes of an answer were sent
 */
struct caller {
	const struct caller_links *links;
	uint64_t id;
	int32_t fd;
	char ip[ADDR_TEXT_BYTES];
	enum caller_state state;
	uint64_t deadline_us;
	uint32_t watched;
	struct http_reader *reader;
	GByteArray *unread;
	GByteArray *out;
	size_t out_sent;
	struct request *request;
	struct request_facts facts;
	struct reply_channel *port;
	struct name service;
	uint64_t until_us;
	enum http_framing framing;
	bool head_method;
	bool close;
	bool body_begun;
	bool begun;
};

/**
 * caller_open() - begin to serve a connection
 * @links: must outlive the connection
 * @id: its number
 * @fd: its socket, taken over
 * @ip: text of the caller's address
 *
 * Return: the connection, or NULL when it cannot be watched.
 */
struct caller *caller_open(const struct caller_links *links, uint64_t id,
			   int32_t fd, const char *ip);

/**
 * caller_free() - end a connection; work for it is cancelled
 * @caller: the connection
 */
void caller_free(struct caller *caller);

/**
 * caller_handle_events() - its socket is ready
 * @caller: the connection
 * @events: epoll's word
 */
void caller_handle_events(struct caller *caller, uint32_t events);

/**
 * caller_handle_notice() - the board has a notice for it
 * @caller: the connection
 */
void caller_handle_notice(struct caller *caller);

/**
 * caller_handle_timeout() - its deadline is past
 * @caller: the connection
 */
void caller_handle_timeout(struct caller *caller);

/**
 * caller_gone() - the other side is gone: cancel its work and end
 * @caller: the connection
 */
void caller_gone(struct caller *caller);

/**
 * caller_cancel() - take no more of an answer and tell the decisions
 * @caller: the connection; gives its request up
 */
void caller_cancel(struct caller *caller);

/**
 * caller_keep_alive_s() - what the caller is told of its connection
 * @caller: the caller
 *
 * It is told less than it gets, for a request takes its time to come here.
 *
 * Return: whole seconds it may be idle after this answer; 0 when it is closed.
 */
uint32_t caller_keep_alive_s(const struct caller *caller);

/**
 * caller_set_state() - go to a state
 * @caller: the connection
 * @state: the state
 * @deadline_us: when it ends
 */
void caller_set_state(struct caller *caller, enum caller_state state,
		      uint64_t deadline_us);

/**
 * caller_flush() - send what the socket takes
 * @caller: the connection
 *
 * The connection goes on when the last bytes of an answer are sent.
 */
void caller_flush(struct caller *caller);

/**
 * caller_read_requests() - read requests from bytes that came
 * @caller: the connection
 */
void caller_read_requests(struct caller *caller);

/**
 * caller_handle_reply() - take the reply to a query, if it is there
 * @caller: a connection in CALLER_AWAITING_REPLY
 */
void caller_handle_reply(struct caller *caller);

/**
 * caller_forward_answer() - take the parts of an answer that are there
 * @caller: a connection in CALLER_AWAITING_ANSWER or CALLER_SENDING_ANSWER
 */
void caller_forward_answer(struct caller *caller);

/**
 * caller_refuse() - answer a refusal
 * @caller: the connection
 * @refusal: what to say
 */
void caller_refuse(struct caller *caller, const struct refusal *refusal);

/**
 * caller_refuse_unsent() - answer a request that was not handed on
 * @caller: the connection
 * @cause: why
 */
void caller_refuse_unsent(struct caller *caller, enum refusal_cause cause);

/**
 * caller_finish() - the answer is made: send the rest of it
 * @caller: the connection
 * @text: goes out last, not owned
 */
void caller_finish(struct caller *caller, const GString *text);

#endif
