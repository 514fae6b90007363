#ifndef COMMAND_LOAD_REPORT_H
#define COMMAND_LOAD_REPORT_H

/**
 * DOC: load reports in the answers of backend servers
 */

#include "core/state.h"

/**
 * load_report_observe() - keep the load report of an exchange that has ended
 * @state: routing state
 * @service: service of the exchange
 * @backend: backend server of the exchange, whose slot is still held
 * @evidence: end of the exchange; a request that was shed counts as a
 *	report of the highest load
 * @now: current time
 */
void load_report_observe(const struct state *state, struct service *service,
			 struct backend *backend,
			 const struct evidence *evidence, struct instant now);

#endif
