#ifndef COMMAND_TICKET_H
#define COMMAND_TICKET_H

/**
 * DOC: ticket table and the queues of waiting tickets
 *
 * A ticket stands for one admitted request.
 */

#include "core/state.h"

/**
 * ticket_new() - take a free ticket
 * @state: routing state
 *
 * Return: its index, TICKET_NONE when all are in use.
 */
uint32_t ticket_new(struct state *state);

/**
 * ticket_open() - count an initialized ticket as a request in progress
 * @state: routing state
 * @index: its index
 */
void ticket_open(struct state *state, uint32_t index);

/**
 * ticket_free() - end a request that neither waits nor runs and free its
 *	ticket; a token that it has not used is given back
 * @state: routing state
 * @index: its index
 * @now: current time
 */
void ticket_free(struct state *state, uint32_t index, struct instant now);

/**
 * ticket_find() - find the ticket of an exchange
 * @state: routing state
 * @exchange: the exchange
 *
 * Return: its index, TICKET_NONE when the request has ended.
 */
uint32_t ticket_find(const struct state *state, struct exchange_id exchange);

/**
 * ticket_enqueue() - insert a ticket into the queue of its class, by sort key
 * @state: routing state
 * @index: its index
 * @now: current time
 */
void ticket_enqueue(struct state *state, uint32_t index, struct instant now);

/**
 * ticket_defer() - move a waiting ticket to the queue of those that can no
 *	longer meet their objective
 * @state: routing state
 * @index: its index
 */
void ticket_defer(struct state *state, uint32_t index);

/**
 * ticket_sort_key_us() - sort key of a ticket within its queue
 * @state: routing state
 * @ticket: a waiting ticket
 *
 * Return: boot time; the ticket with the earliest one is granted first.
 */
uint64_t ticket_sort_key_us(const struct state *state,
			    const struct ticket *ticket);

/**
 * ticket_dequeue() - remove a waiting ticket from its queue
 * @state: routing state
 * @index: its index
 */
void ticket_dequeue(struct state *state, uint32_t index);

/**
 * ticket_refuse() - refuse a request that is in no queue, and free its ticket
 * @state: routing state
 * @index: its ticket
 * @refusal: answer for the caller
 * @now: current time
 * @out: receives EVENT_REFUSE
 */
void ticket_refuse(struct state *state, uint32_t index, struct refusal refusal,
		   struct instant now, struct event_list *out);

/**
 * ticket_queue() - queue that a waiting ticket belongs to
 * @state: routing state
 * @ticket: the ticket
 *
 * Return: array of ticket indices, next to be granted first.
 */
GArray *ticket_queue(const struct state *state, const struct ticket *ticket);

/**
 * ticket_can_meet_objective() - whether the work may still meet its objective
 * @ticket: a waiting ticket
 * @now: current time
 *
 * Return: false when work of typical duration that starts now would end after
 * the objective.
 */
bool ticket_can_meet_objective(const struct ticket *ticket, struct instant now);

/**
 * ticket_misses_deadline() - whether the work would miss its deadline
 * @ticket: the ticket
 * @begin_us: when the work would start
 *
 * Return: true when the typical duration no longer fits. A request that was
 * sent before, and not shed, may use all of the time to its deadline.
 */
bool ticket_misses_deadline(const struct ticket *ticket, uint64_t begin_us);

/**
 * ticket_refuse_waiting() - remove a waiting request from its queue and
 *	refuse it
 * @state: routing state
 * @index: its ticket
 * @refusal: cause and retry time, used if no try may have run; else the caller
 *	is told that the deadline passed and gets no retry time
 * @now: current time
 * @out: receives EVENT_REFUSE
 */
void ticket_refuse_waiting(struct state *state, uint32_t index,
			   struct refusal refusal, struct instant now,
			   struct event_list *out);

/**
 * ticket_unsent_us() - delay between grant and sending of a request
 * @ticket: a running ticket
 * @evidence: end of its exchange
 *
 * Return: microseconds from the choice of the backend server to the sending; 0
 * when the request was not sent.
 */
uint64_t ticket_unsent_us(const struct ticket *ticket,
			  const struct evidence *evidence);

/**
 * ticket_typical_us() - typical time that requests of its route hold a slot
 * @ticket: the ticket
 *
 * Return: microseconds; 0 when not known yet.
 */
uint64_t ticket_typical_us(const struct ticket *ticket);

/**
 * ticket_exceeds_typical() - whether the work takes longer than is typical
 * @ticket: a running ticket
 * @permille: threshold in thousandths of the typical duration
 * @min_excess_us: threshold is at least this much above the typical duration,
 *	for the shortest work
 * @now: current time
 *
 * Return: true when the threshold is exceeded; false also when the typical
 * duration is not known yet.
 */
bool ticket_exceeds_typical(const struct ticket *ticket, uint32_t permille,
			    uint64_t min_excess_us, struct instant now);

/**
 * ticket_exceeds_typical_at_us() - when running work will have taken longer
 *	than is typical
 * @ticket: a running ticket
 * @permille: threshold in thousandths of the typical duration
 * @min_excess_us: threshold is at least this much above the typical duration
 *
 * Return: boot time; DEADLINE_NONE_US while no typical duration is known.
 */
uint64_t ticket_exceeds_typical_at_us(const struct ticket *ticket,
				      uint32_t permille,
				      uint64_t min_excess_us);

/**
 * retry_advice_unix_ms() - when the caller of a refused request should retry
 * @state: routing state
 * @service: service of the request; NULL if its pauses do not matter, as
 *	another instance may serve the request or no service was found
 * @now: current time
 *
 * Return: wall-clock time, in the future by a random time between retry_min_ms
 * and retry_max_ms of the settings, but not before one of the backend servers
 * of @service accepts requests again.
 */
uint64_t retry_advice_unix_ms(struct state *state,
			      const struct service *service,
			      struct instant now);

#endif
