#include "cli/parse.h"

#include <argp.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define KEY_JSON 'j'
#define KEY_SETTINGS 'c'
#define KEY_SINCE 's'
#define KEY_FOLLOW 'f'

const char *argp_program_version = "nutmegcrank 0.1.0";

static error_t parse_top(int key, char *arg, struct argp_state *state);
static error_t parse_run(int key, char *arg, struct argp_state *state);
/* The parameter types are those of argp_parser_t. */
/* NOLINTNEXTLINE(readability-non-const-parameter) */
static error_t parse_check(int key, char *arg, struct argp_state *state);
static error_t parse_status(int key, char *arg, struct argp_state *state);
static error_t parse_audit(int key, char *arg, struct argp_state *state);
static error_t parse_entries(int key, char *arg, struct argp_state *state);
static void parse_subcommand(struct argp_state *state, const char *name);
static void read_addr(struct argp_state *state, const char *arg,
		      struct net_addr *addr);
static void read_service(struct argp_state *state, const char *arg,
			 struct name *service);
static void read_sequence(struct argp_state *state, const char *arg,
			  uint64_t *sequence);

static const struct argp_option run_options[] = {
	{ "config", KEY_SETTINGS, "FILE", 0, "Settings file (required)", 0 },
	{ 0 },
};

static const struct argp_option json_options[] = {
	{ "json", KEY_JSON, NULL, 0, "Write JSON", 0 },
	{ 0 },
};

static const struct argp_option audit_options[] = {
	{ "since", KEY_SINCE, "SEQ", 0, "Only records after this sequence", 0 },
	{ "follow", KEY_FOLLOW, NULL, 0, "Keep waiting for new records", 0 },
	{ "json", KEY_JSON, NULL, 0, "Write JSON, one record a line", 0 },
	{ 0 },
};

static const struct argp argp_run = {
	run_options,
	parse_run,
	NULL,
	"Run one entry instance in the foreground. SIGTERM begins a planned "
	"stop, a second one hurries it.",
	NULL,
	NULL,
	NULL,
};

static const struct argp argp_check = {
	NULL,	   parse_check,
	"FILE...", "Check settings files and service documents as run does.",
	NULL,	   NULL,
	NULL,
};

static const struct argp argp_status = {
	json_options,
	parse_status,
	"ADDR [SERVICE]",
	"Show services, backend servers and instances as the instance with "
	"operators' address ADDR (ip:port) sees them.",
	NULL,
	NULL,
	NULL,
};

static const struct argp argp_audit = {
	audit_options,
	parse_audit,
	"ADDR",
	"Show the audit trail of the instance with operators' address ADDR "
	"(ip:port), oldest record first.",
	NULL,
	NULL,
	NULL,
};

static const struct argp argp_entries = {
	json_options,
	parse_entries,
	"ADDR SERVICE",
	"Show which instances a caller of SERVICE should use, as the instance "
	"with callers' address ADDR (ip:port) answers.",
	NULL,
	NULL,
	NULL,
};

/**
 * struct subcommand - a subcommand
 * @name: name on the command line
 * @argp: parser for its options and arguments
 */
struct subcommand {
	const char *name;
	const struct argp *argp;
};

static const struct subcommand subcommands[] = {
	[CLI_RUN] = { "run", &argp_run },
	[CLI_CHECK] = { "check", &argp_check },
	[CLI_STATUS] = { "status", &argp_status },
	[CLI_AUDIT] = { "audit", &argp_audit },
	[CLI_ENTRIES] = { "entries", &argp_entries },
};

static const struct argp argp_top = {
	NULL,
	parse_top,
	"COMMAND [ARG...]",
	"Proxy for backend servers with gray failures.\v"
	"Commands:\n"
	"  run -c FILE            run one entry instance\n"
	"  check FILE...          check settings files and service documents\n"
	"  status ADDR [SERVICE]  show an instance's state\n"
	"  audit ADDR             show an instance's audit trail\n"
	"  entries ADDR SERVICE   show which instances a caller should use\n\n"
	"Each takes --help.",
	NULL,
	NULL,
	NULL,
};

void cli_parse(int argc, char **argv, struct cli_args *args)
{
	memset(args, 0, sizeof(*args));
	/* argp ends the process when the command line is wrong. */
	argp_parse(&argp_top, argc, argv, ARGP_IN_ORDER, NULL, args);
}

static error_t parse_top(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case ARGP_KEY_ARG:
		parse_subcommand(state, arg);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no command; name one");
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Parses the rest of the command line with the parser of subcommand @name. */
static void parse_subcommand(struct argp_state *state, const char *name)
{
	struct cli_args *args = state->input;
	int32_t argc = state->argc - state->next + 1;
	char **argv = &state->argv[state->next - 1];
	char *saved_argv0 = argv[0];
	char program_name[64];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(subcommands); i++) {
		if (strcmp(name, subcommands[i].name) != 0)
			continue;
		args->kind = i;
		snprintf(program_name, sizeof(program_name), "nutmegcrank %s",
			 name);
		argv[0] = program_name;
		argp_parse(subcommands[i].argp, argc, argv, 0, NULL, args);
		argv[0] = saved_argv0;
		state->next = state->argc;
		return;
	}
	argp_error(state, "%s: unknown command; see --help", name);
}

static error_t parse_run(int key, char *arg, struct argp_state *state)
{
	struct cli_args *args = state->input;

	switch (key) {
	case KEY_SETTINGS:
		args->run.settings_path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!args->run.settings_path)
			argp_error(state, "no settings file; give -c FILE");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* NOLINTNEXTLINE(readability-non-const-parameter) */
static error_t parse_check(int key, char *arg, struct argp_state *state)
{
	struct cli_args *args = state->input;

	(void)arg;
	switch (key) {
	case ARGP_KEY_ARGS:
		args->check.paths = &state->argv[state->next];
		args->check.path_count = state->argc - state->next;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no file; name one or more");
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_status(int key, char *arg, struct argp_state *state)
{
	struct cli_args *args = state->input;

	switch (key) {
	case KEY_JSON:
		args->status.json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0)
			read_addr(state, arg, &args->status.addr);
		else if (state->arg_num == 1)
			read_service(state, arg, &args->status.service);
		else
			argp_error(state, "%s: too many arguments", arg);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no address; give ip:port");
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_audit(int key, char *arg, struct argp_state *state)
{
	struct cli_args *args = state->input;

	switch (key) {
	case KEY_SINCE:
		read_sequence(state, arg, &args->audit.since_sequence);
		return 0;
	case KEY_FOLLOW:
		args->audit.follow = true;
		return 0;
	case KEY_JSON:
		args->audit.json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num > 0)
			argp_error(state, "%s: too many arguments", arg);
		read_addr(state, arg, &args->audit.addr);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no address; give ip:port");
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_entries(int key, char *arg, struct argp_state *state)
{
	struct cli_args *args = state->input;

	switch (key) {
	case KEY_JSON:
		args->entries.json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0)
			read_addr(state, arg, &args->entries.addr);
		else if (state->arg_num == 1)
			read_service(state, arg, &args->entries.service);
		else
			argp_error(state, "%s: too many arguments", arg);
		return 0;
	case ARGP_KEY_END:
		if (state->arg_num < 2)
			argp_error(state, "give ip:port and a service");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void read_addr(struct argp_state *state, const char *arg,
		      struct net_addr *addr)
{
	if (!addr_parse(arg, addr))
		argp_error(state,
			   "%s: not an IPv4 address with a port; write it "
			   "as 192.0.2.1:8082",
			   arg);
}

static void read_service(struct argp_state *state, const char *arg,
			 struct name *service)
{
	if (!name_set(service, arg))
		argp_error(
			state,
			"%s: not a service name; write letters, digits, '-', "
			"'_' and '.' only",
			arg);
}

static void read_sequence(struct argp_state *state, const char *arg,
			  uint64_t *sequence)
{
	if (!g_ascii_string_to_unsigned(arg, 10, 0, INT64_MAX, sequence, NULL))
		argp_error(state,
			   "%s: not a sequence number; write an integer from 0",
			   arg);
}
