#ifndef COMMAND_CONFIGURE_H
#define COMMAND_CONFIGURE_H

/**
 * DOC: acceptance of service documents; a version only rises
 */

#include "core/state.h"

/**
 * configure_accept() - put a newer document in force
 * @state: the state
 * @command: what came; the caller keeps its reference
 * @now: the time
 * @out: gets audit records
 */
void configure_accept(struct state *state,
		      const struct accept_config_command *command,
		      struct instant now, struct event_list *out);

/**
 * configure_accept_routes() - put a routing table in force, if it is newer
 * @state: the state
 * @command: the table
 * @now: the time
 * @out: gets the audit records
 */
void configure_accept_routes(struct state *state,
			     const struct accept_routes_command *command,
			     struct instant now, struct event_list *out);

/**
 * configure_refuse() - record a document that did not parse
 * @state: the state
 * @command: what came
 * @now: the time
 * @out: gets audit records
 */
void configure_refuse(struct state *state,
		      const struct refuse_config_command *command,
		      struct instant now, struct event_list *out);

#endif
