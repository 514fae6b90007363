#ifndef COMMAND_CONFIGURE_H
#define COMMAND_CONFIGURE_H

/**
 * DOC: acceptance of service documents and of the routing table
 *
 * The version in force never goes down.
 */

#include "core/state.h"

/**
 * configure_accept() - put a service document in force if it is newer
 * @state: routing state
 * @command: the document; the caller keeps its reference
 * @now: current time
 * @out: receives audit records
 */
void configure_accept(struct state *state,
		      const struct accept_config_command *command,
		      struct instant now, struct event_list *out);

/**
 * configure_accept_routes() - put a routing table in force if it is newer
 * @state: routing state
 * @command: the routing table; the caller keeps its reference
 * @now: current time
 * @out: receives audit records
 */
void configure_accept_routes(struct state *state,
			     const struct accept_routes_command *command,
			     struct instant now, struct event_list *out);

/**
 * configure_raise_version() - take over a newer version of unchanged content
 * @state: routing state
 * @offer: newer version, with the hash of its content
 * @from_peer: whether a peer offered it rather than the platform
 * @now: current time
 * @out: receives audit records
 *
 * Return: true when the held content is the same and its version was raised.
 */
bool configure_raise_version(struct state *state,
			     const struct config_offer *offer, bool from_peer,
			     struct instant now, struct event_list *out);

/**
 * configure_refuse() - audit a document that could not be parsed
 * @state: routing state
 * @command: service, version and hash of the document
 * @now: current time
 * @out: receives audit records
 */
void configure_refuse(struct state *state,
		      const struct refuse_config_command *command,
		      struct instant now, struct event_list *out);

#endif
