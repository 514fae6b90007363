#ifndef CLI_PARSE_H
#define CLI_PARSE_H

/**
 * DOC: parser that turns the command line into a tagged union
 */

#include "core/ids.h"

enum cli_kind { CLI_RUN, CLI_CHECK, CLI_STATUS, CLI_AUDIT, CLI_ENTRIES };

/**
 * struct run_args - arguments of the subcommand run
 * @settings_path: path of the settings file
 */
struct run_args {
	char *settings_path;
};

/**
 * struct check_args - arguments of the subcommand check
 * @paths: paths of settings files and service documents, not owned
 * @path_count: number of @paths, at least 1
 */
struct check_args {
	char **paths;
	int32_t path_count;
};

/**
 * struct status_args - arguments of the subcommand status
 * @addr: operators' address of the instance
 * @service: service to show, empty for all
 * @json: print the answer as received
 */
struct status_args {
	struct net_addr addr;
	struct name service;
	bool json;
};

/**
 * struct audit_args - arguments of the subcommand audit
 * @addr: operators' address of the instance
 * @since_sequence: show records with a higher sequence only
 * @follow: keep waiting for new records
 * @json: print the records as received
 */
struct audit_args {
	struct net_addr addr;
	uint64_t since_sequence;
	bool follow;
	bool json;
};

/**
 * struct entries_args - arguments of the subcommand entries
 * @addr: callers' address of the instance
 * @service: service that the caller wants to reach
 * @json: print the answer as received
 */
struct entries_args {
	struct net_addr addr;
	struct name service;
	bool json;
};

/**
 * struct cli_args - the command line
 * @kind: the subcommand; selects the member of the union
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
 * cli_parse() - parse the command line; end the process with status 64 if it is
 *	invalid
 * @argc: as of main()
 * @argv: as of main(); must outlive @args
 * @args: filled
 */
void cli_parse(int argc, char **argv, struct cli_args *args);

#endif
