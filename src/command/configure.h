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
 * configure_raise_version() - a document that is held has a newer version
 * @state: the state
 * @offer: newer, with the hash of what is held
 * @from_peer: a peer told it
 * @now: the time
 * @out: gets audit events
 *
 * Return: false when something else is held.
 */
bool configure_raise_version(struct state *state,
			     const struct config_offer *offer, bool from_peer,
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
