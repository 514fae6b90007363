#ifndef COMMAND_TICKET_H
#define COMMAND_TICKET_H

/**
 * DOC: the ticket table and the queues over it
 */

#include "core/state.h"

/**
 * ticket_new() - take a free ticket
 * @state: the state
 *
 * Return: its index, TICKET_NONE when all are in use.
 */
uint32_t ticket_new(struct state *state);

/**
 * ticket_open() - count a filled ticket in
 * @state: the state
 * @index: its index
 */
void ticket_open(struct state *state, uint32_t index);

/**
 * ticket_free() - count a ticket out and give it back, one that neither waits nor runs
 * @state: the state
 * @index: its index
 */
void ticket_free(struct state *state, uint32_t index);

/**
 * ticket_find() - find the ticket of an exchange
 * @state: the state
 * @exchange: the exchange
 *
 * Return: its index, TICKET_NONE when it is over.
 */
uint32_t ticket_find(const struct state *state, struct exchange_id exchange);

/**
 * ticket_enqueue() - let a ticket wait in its class
 * @state: the state
 * @index: its index
 * @now: the time
 */
void ticket_enqueue(struct state *state, uint32_t index, struct instant now);

/**
 * ticket_defer() - let a waiting ticket wait behind those that are in time
 * @state: the state
 * @index: its index
 */
void ticket_defer(struct state *state, uint32_t index);

/**
 * ticket_sort_key_us() - what orders tickets within a queue
 * @state: the state
 * @ticket: a waiting ticket
 *
 * Return: the least goes first.
 */
uint64_t ticket_sort_key_us(const struct state *state,
			    const struct ticket *ticket);

/**
 * ticket_dequeue() - take a waiting ticket out of its queue
 * @state: the state
 * @index: its index
 */
void ticket_dequeue(struct state *state, uint32_t index);

/**
 * ticket_refuse() - refuse a ticket that does not wait any more, and free it
 * @state: the state
 * @index: its index
 * @refusal: what to tell the caller
 * @now: the time
 * @out: gets EVENT_REFUSE
 */
void ticket_refuse(struct state *state, uint32_t index, struct refusal refusal,
		   struct instant now, struct event_list *out);

/**
 * ticket_queue() - the queue a ticket belongs to
 * @state: the state
 * @ticket: the ticket
 *
 * Return: array of ticket indices, first to go first.
 */
GArray *ticket_queue(const struct state *state, const struct ticket *ticket);

/**
 * ticket_can_meet_objective() - whether its work may still meet its objective
 * @ticket: a waiting ticket
 * @now: the time
 *
 * Return: false when the usual time on a slot would end after it.
 */
bool ticket_can_meet_objective(const struct ticket *ticket, struct instant now);

/**
 * ticket_misses_deadline() - whether work begun then would miss its deadline
 * @ticket: the ticket
 * @begin_us: when
 *
 * Return: true when the usual time does not fit any more; what was offered to a
 * backend server before uses all of its time.
 */
bool ticket_misses_deadline(const struct ticket *ticket, uint64_t begin_us);

/**
 * ticket_refuse_waiting() - take a waiting request out of its queue and refuse it
 * @state: the state
 * @index: the ticket
 * @refusal: cause and advice while nothing ran; else the caller is told that the
 *	deadline came, for the outcome is unknown
 * @now: the time
 * @out: gets EVENT_REFUSE
 */
void ticket_refuse_waiting(struct state *state, uint32_t index,
			   struct refusal refusal, struct instant now,
			   struct event_list *out);

/**
 * ticket_unsent_us() - how long its request waited for the send
 * @ticket: a running ticket
 * @evidence: end of its exchange
 *
 * Return: time from the choice of the backend server to the send; 0 when
 * nothing was sent.
 */
uint64_t ticket_unsent_us(const struct ticket *ticket,
			  const struct evidence *evidence);

/**
 * ticket_typical_us() - time its work usually takes on a slot
 * @ticket: the ticket
 *
 * Return: microseconds; 0 when nothing is known yet.
 */
uint64_t ticket_typical_us(const struct ticket *ticket);

/**
 * ticket_exceeds_typical() - whether its work takes longer than usual by now
 * @ticket: a running ticket
 * @permille: of the usual time
 * @least_us: at least this much longer, for the shortest work
 * @now: the time
 *
 * Return: false also when nothing is known yet.
 */
bool ticket_exceeds_typical(const struct ticket *ticket, uint32_t permille,
			    uint64_t least_us, struct instant now);

/**
 * ticket_exceeds_typical_at_us() - from when on running work takes longer than usual
 * @ticket: the work
 * @permille: of the usual time
 * @least_us: but at least so much longer
 *
 * Return: the time; DEADLINE_NONE_US while no usual time is known.
 */
uint64_t ticket_exceeds_typical_at_us(const struct ticket *ticket,
				      uint32_t permille, uint64_t least_us);

/**
 * retry_advice_unix_ms() - when a refused caller may come back
 * @state: the state
 * @service: whose request was refused, NULL when that does not matter
 * @now: the time
 *
 * Return: wall clock, spread by chance over the span that the settings give, but
 * not before one of the service's backend servers wants requests again.
 */
uint64_t retry_advice_unix_ms(struct state *state,
			      const struct service *service,
			      struct instant now);

#endif
