#ifndef COMMAND_READER_H
#define COMMAND_READER_H

/**
 * DOC: this instance's part in reading the platform
 *
 * Begins and ends its reader role, tells its successors whether the platform
 * answers it, and backs off while the platform does not. See query/readers.h for
 * the selection.
 */

#include "core/state.h"

/**
 * reader_start() - begin at the start of the process
 * @state: routing state
 * @at_once: do not wait for peers that may send the documents
 * @now: current time
 */
void reader_start(struct state *state, bool at_once, struct instant now);

/**
 * reader_restart_listening() - begin again after a pause of the process
 * @state: routing state
 * @now: current time
 *
 * In the pause nothing was heard of the readers, which proves nothing of them.
 */
void reader_restart_listening(struct state *state, struct instant now);

/**
 * reader_handle_message() - learn whether the sender reads the platform
 * @sender: sender of the message
 * @message: any message
 * @now: current time
 */
void reader_handle_message(struct member *sender,
			   const struct peer_message *message,
			   struct instant now);

/**
 * reader_set_platform_state() - process the result of the last platform call
 * @state: routing state
 * @reachable: whether the call succeeded
 * @now: current time
 */
void reader_set_platform_state(struct state *state, bool reachable,
			       struct instant now);

/**
 * reader_tick() - choose the reader role, notify the successors
 * @state: routing state
 * @now: current time
 * @out: receives EVENT_CONFIG_ROLE and datagrams
 */
void reader_tick(struct state *state, struct instant now,
		 struct event_list *out);

#endif
