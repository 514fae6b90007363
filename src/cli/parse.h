#ifndef CLI_PARSE_H
#define CLI_PARSE_H

/**
 * DOC: the command line as a tagged union
 */

#include "core/ids.h"

enum cli_kind { CLI_RUN, CLI_CHECK, CLI_STATUS, CLI_AUDIT, CLI_ENTRIES };

/**
 * struct run_args - run one instance
 * @settings_path: its settings file
 */
struct run_args {
	char *settings_path;
};

/**
 * struct check_args - check files
 * @paths: settings files and service documents
 * @path_count: entries of @paths, at least one
 */
struct check_args {
	char **paths;
	int32_t path_count;
};

/**
 * struct status_args - show an instance's state
 * @addr: its operators' address
 * @service: one service, empty for all
 * @json: write the answer as it came
 */
struct status_args {
	struct net_addr addr;
	struct name service;
	bool json;
};

/**
 * struct audit_args - show an instance's audit trail
 * @addr: its operators' address
 * @since_sequence: records above it
 * @follow: go on with new ones
 * @json: write the records as they came
 */
struct audit_args {
	struct net_addr addr;
	uint64_t since_sequence;
	bool follow;
	bool json;
};

/**
 * struct entries_args - show which instances a caller of a service should use
 * @addr: an instance's callers' address
 * @service: the service
 * @json: write the answer as it came
 */
struct entries_args {
	struct net_addr addr;
	struct name service;
	bool json;
};

/**
 * struct cli_args - what the command line asks for
 * @kind: which member of the union holds
 * @run: with CLI_RUN
 * @check: with CLI_CHECK
 * @status: with CLI_STATUS
 * @audit: with CLI_AUDIT
 * @entries: with CLI_ENTRIES
 */
struct cli_args {
	enum cli_kind kind;
	union {
		struct run_args run;
		struct check_args check;
		struct status_args status;
		struct audit_args audit;
		struct entries_args entries;
	};
};

/**
 * cli_parse() - read the command line; a wrong one ends the process with 64
 * @argc: as of main()
 * @argv: as of main(); must outlive @order
 * @order: filled
 */
void cli_parse(int argc, char **argv, struct cli_args *order);

#endif
