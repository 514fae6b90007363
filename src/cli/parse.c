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
/* argp gives the type of its parsers. */
/* NOLINTNEXTLINE(readability-non-const-parameter) */
static error_t parse_check(int key, char *arg, struct argp_state *state);
static error_t parse_status(int key, char *arg, struct argp_state *state);
static error_t parse_audit(int key, char *arg, struct argp_state *state);
static error_t parse_entries(int key, char *arg, struct argp_state *state);
static void parse_command(struct argp_state *state, const char *word);
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
	{ "follow", KEY_FOLLOW, NULL, 0, "Go on with new records", 0 },
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
 * struct command_word - a subcommand
 * @word: as written
 * @argp: its parser
 */
struct command_word {
	const char *word;
	const struct argp *argp;
};

static const struct command_word command_words[] = {
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
	"Proxy for back ends with gray failures.\v"
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

void cli_parse(int argc, char **argv, struct cli_args *order)
{
	memset(order, 0, sizeof(*order));
	/* A wrong command line ends the process within argp. */
	argp_parse(&argp_top, argc, argv, ARGP_IN_ORDER, NULL, order);
}

static error_t parse_top(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case ARGP_KEY_ARG:
		parse_command(state, arg);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no command; name one");
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Hands the rest of the command line to the parser of the subcommand. */
static void parse_command(struct argp_state *state, const char *word)
{
	struct cli_args *order = state->input;
	int32_t argc = state->argc - state->next + 1;
	char **argv = &state->argv[state->next - 1];
	char *word_kept = argv[0];
	char name[64];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(command_words); i++) {
		if (strcmp(word, command_words[i].word) != 0)
			continue;
		order->kind = i;
		snprintf(name, sizeof(name), "nutmegcrank %s", word);
		argv[0] = name;
		argp_parse(command_words[i].argp, argc, argv, 0, NULL, order);
		argv[0] = word_kept;
		state->next = state->argc;
		return;
	}
	argp_error(state, "%s: unknown command; see --help", word);
}

static error_t parse_run(int key, char *arg, struct argp_state *state)
{
	struct cli_args *order = state->input;

	switch (key) {
	case KEY_SETTINGS:
		order->run.settings_path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!order->run.settings_path)
			argp_error(state, "no settings file; give -c FILE");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* NOLINTNEXTLINE(readability-non-const-parameter) */
static error_t parse_check(int key, char *arg, struct argp_state *state)
{
	struct cli_args *order = state->input;

	(void)arg;
	switch (key) {
	case ARGP_KEY_ARGS:
		order->check.paths = &state->argv[state->next];
		order->check.path_count = state->argc - state->next;
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
	struct cli_args *order = state->input;

	switch (key) {
	case KEY_JSON:
		order->status.json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0)
			read_addr(state, arg, &order->status.addr);
		else if (state->arg_num == 1)
			read_service(state, arg, &order->status.service);
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
	struct cli_args *order = state->input;

	switch (key) {
	case KEY_SINCE:
		read_sequence(state, arg, &order->audit.since_sequence);
		return 0;
	case KEY_FOLLOW:
		order->audit.follow = true;
		return 0;
	case KEY_JSON:
		order->audit.json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num > 0)
			argp_error(state, "%s: too many arguments", arg);
		read_addr(state, arg, &order->audit.addr);
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
	struct cli_args *order = state->input;

	switch (key) {
	case KEY_JSON:
		order->entries.json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0)
			read_addr(state, arg, &order->entries.addr);
		else if (state->arg_num == 1)
			read_service(state, arg, &order->entries.service);
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
			   "%s: no IPv4 address with a port; write it "
			   "as 192.0.2.1:8082",
			   arg);
}

static void read_service(struct argp_state *state, const char *arg,
			 struct name *service)
{
	if (!name_set(service, arg))
		argp_error(state,
			   "%s: no service name; letters, digits, '-', "
			   "'_' and '.' only",
			   arg);
}

static void read_sequence(struct argp_state *state, const char *arg,
			  uint64_t *sequence)
{
	if (!g_ascii_string_to_unsigned(arg, 10, 0, INT64_MAX, sequence, NULL))
		argp_error(state, "%s: no sequence; write an integer from 0",
			   arg);
}
