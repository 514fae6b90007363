#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "core/clock.h"
#include "fault_rule.h"
#include "fault_tcp.h"
#include "fault_udp.h"
#include "http.h"
#include "ring/ring.h"
#include "standin.h"

#define ADMIN_THREADS 4
#define REQUEST_RING_ITEMS 64
#define REPLY_TIMEOUT_US (5 * US_PER_S)

static const char *const fault_names[] = {
	[TRAFFIC_PASS] = "pass",
	[TRAFFIC_DELAY] = "delay",
	[TRAFFIC_DROP_UP] = "drop_up",
	[TRAFFIC_DROP_DOWN] = "drop_down",
	[TRAFFIC_DROP_BOTH] = "drop_both",
	[TRAFFIC_REFUSE] = "refuse",
	[TRAFFIC_TRUNCATE] = "truncate",
	[TRAFFIC_SILENCE_OPEN] = "silence_open",
	[TRAFFIC_CUT_OPEN] = "cut_open",
};

/**
 * struct fault_request - control request passed to the proxy thread
 * @rule: name of the rule, empty for all rules
 * @fault: fault to set
 * @reply: ring that receives the number of matching rules
 */
struct fault_request {
	struct name rule;
	struct traffic_fault fault;
	struct ring *reply;
};

/**
 * struct proxy - the fault proxy; only its thread accesses @rules once started
 * @rules: forwarding rules
 * @rule_count: used entries of @rules
 * @requests: ring of struct fault_request
 * @wake_fd: eventfd that wakes the proxy thread from poll()
 */
struct proxy {
	struct rule rules[RULES_MAX];
	uint32_t rule_count;
	struct ring *requests;
	int wake_fd;
};

struct fault_args {
	const char *admin;
	struct proxy *proxy;
};

static gpointer run_proxy(gpointer data);
static void poll_once(struct proxy *proxy, GArray *polls);
static void apply_requests(struct proxy *proxy);
static uint32_t apply_request(struct proxy *proxy,
			      const struct fault_request *request);
static int handle(struct mg_connection *conn, void *data);
static bool parse_request(struct mg_connection *conn,
			  struct fault_request *request);
static bool parse_fields(json_object *object, struct fault_request *request);
static bool submit_request(struct proxy *proxy, struct fault_request *request);
static const char *field_text(json_object *object, const char *name,
			      const char *fallback);
static error_t parse_option(int key, char *text, struct argp_state *state);

static const struct argp_option options[] = {
	{ "admin", 'a', "IP:PORT", 0, "Accept control requests here", 0 },
	{ "rule", 'r', "NAME=tcp|udp:IP:PORT:IP:PORT", 0,
	  "Forward the first address to the second", 0 },
	{ 0 },
};

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.doc = "Proxy that injects faults.",
};

int fault_main(int argc, char **argv)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	struct fault_args args = { .admin = "127.0.0.1:7100", .proxy = proxy };

	if (argp_parse(&parser, argc, argv, 0, NULL, &args) != 0)
		return EXIT_FAILURE;
	for (uint32_t i = 0; i < proxy->rule_count; i++) {
		if (!rule_listen(&proxy->rules[i])) {
			fprintf(stderr, "standin: cannot listen for rule %s\n",
				proxy->rules[i].name.text);
			return EXIT_FAILURE;
		}
	}
	proxy->requests =
		ring_new(sizeof(struct fault_request), REQUEST_RING_ITEMS, 0);
	proxy->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (proxy->wake_fd < 0 ||
	    http_start(args.admin, ADMIN_THREADS, handle, proxy) == NULL) {
		fprintf(stderr,
			"standin: cannot listen on %s or create an eventfd\n",
			args.admin);
		return EXIT_FAILURE;
	}
	g_thread_unref(g_thread_new("proxy", run_proxy, proxy));
	wait_for_termination();
	_exit(EXIT_SUCCESS);
}

static gpointer run_proxy(gpointer data)
{
	GArray *polls = g_array_new(FALSE, FALSE, sizeof(struct pollfd));

	for (;;)
		poll_once(data, polls);
	return NULL;
}

static void poll_once(struct proxy *proxy, GArray *polls)
{
	uint64_t now_us = clock_now_us();
	uint64_t deadline_us;
	uint32_t wake_index;
	int32_t wait_ms;

	g_array_set_size(polls, 0);
	wake_index = poll_add(polls, proxy->wake_fd, POLLIN);
	for (uint32_t i = 0; i < proxy->rule_count; i++)
		proxy->rules[i].poll_index =
			poll_add(polls, proxy->rules[i].fd, POLLIN);
	deadline_us = tcp_poll(polls, now_us);
	deadline_us = MIN(deadline_us, udp_poll(polls));
	wait_ms = deadline_us == DEADLINE_NONE_US ?
			  -1 :
			  clock_ms_left(deadline_us, now_us);
	if (poll((struct pollfd *)(void *)polls->data, polls->len, wait_ms) < 0)
		return;
	now_us = clock_now_us();
	tcp_forward(polls, now_us);
	udp_forward(polls, now_us);
	for (uint32_t i = 0; i < proxy->rule_count; i++) {
		struct rule *rule = &proxy->rules[i];

		if (poll_events(polls, rule->poll_index) == 0)
			continue;
		switch (rule->kind) {
		case RULE_TCP:
			tcp_accept(rule);
			break;
		case RULE_UDP:
			udp_receive(rule, now_us);
			break;
		}
	}
	if (poll_events(polls, wake_index) != 0)
		apply_requests(proxy);
}

static void apply_requests(struct proxy *proxy)
{
	struct fault_request request;
	eventfd_t count;
	uint32_t matched_rules;

	if (eventfd_read(proxy->wake_fd, &count) != 0)
		return;
	while (ring_pop(proxy->requests, &request, 0) == RING_OK) {
		matched_rules = apply_request(proxy, &request);
		if (ring_push(request.reply, &matched_rules) != RING_OK)
			g_warning("result of a control request not delivered");
	}
}

static uint32_t apply_request(struct proxy *proxy,
			      const struct fault_request *request)
{
	uint32_t matched_rules = 0;

	for (uint32_t i = 0; i < proxy->rule_count; i++) {
		struct rule *rule = &proxy->rules[i];

		if (request->rule.text[0] != '\0' &&
		    !name_equal(&request->rule, &rule->name))
			continue;
		matched_rules++;
		if (rule->kind == RULE_TCP)
			tcp_apply_fault(rule, &request->fault);
		/* These act once on open connections; the fault set stays. */
		if (request->fault.kind != TRAFFIC_SILENCE_OPEN &&
		    request->fault.kind != TRAFFIC_CUT_OPEN)
			rule_set_fault(rule, &request->fault);
	}
	return matched_rules;
}

static int handle(struct mg_connection *conn, void *data)
{
	struct proxy *proxy = data;
	struct fault_request request = { 0 };

	if (strcmp(mg_get_request_info(conn)->local_uri, "/standin/fault") != 0)
		return http_respond(conn, 404, "", "");
	if (!parse_request(conn, &request) || !submit_request(proxy, &request))
		return http_respond(conn, 400, "", "");
	return http_respond(conn, 200, "", "");
}

static bool parse_request(struct mg_connection *conn,
			  struct fault_request *request)
{
	char *text = http_body(conn);
	json_object *object = text == NULL ? NULL : json_tokener_parse(text);
	bool valid = object != NULL && parse_fields(object, request);

	json_object_put(object);
	g_free(text);
	return valid;
}

static bool parse_fields(json_object *object, struct fault_request *request)
{
	const char *kind = field_text(object, "kind", "");
	const char *rule = field_text(object, "rule", "");
	const char *source = field_text(object, "source", "");
	struct traffic_fault *fault = &request->fault;
	uint32_t number = (uint32_t)g_ascii_strtoull(
		field_text(object, "number", "0"), NULL, 10);
	uint32_t kind_index = 0;

	while (kind_index < G_N_ELEMENTS(fault_names) &&
	       strcmp(fault_names[kind_index], kind) != 0)
		kind_index++;
	if (kind_index == G_N_ELEMENTS(fault_names))
		return false;
	if (rule[0] != '\0' && !name_set(&request->rule, rule))
		return false;
	if (source[0] != '\0' && !addr_ip_parse(source, &fault->source_ip))
		return false;
	fault->kind = (enum traffic_fault_kind)kind_index;
	switch (fault->kind) {
	case TRAFFIC_DELAY:
		fault->delay_ms = number;
		return true;
	case TRAFFIC_TRUNCATE:
		fault->limit_bytes = number;
		return true;
	case TRAFFIC_PASS:
	case TRAFFIC_DROP_UP:
	case TRAFFIC_DROP_DOWN:
	case TRAFFIC_DROP_BOTH:
	case TRAFFIC_REFUSE:
	case TRAFFIC_SILENCE_OPEN:
	case TRAFFIC_CUT_OPEN:
		return true;
	}
	return false;
}

/* Returns true if the proxy thread applied the fault to at least one rule. */
static bool submit_request(struct proxy *proxy, struct fault_request *request)
{
	uint32_t matched_rules = 0;
	bool done;

	request->reply = ring_new(sizeof(matched_rules), 1, 0);
	done = ring_push(proxy->requests, request) == RING_OK &&
	       eventfd_write(proxy->wake_fd, 1) == 0 &&
	       ring_pop(request->reply, &matched_rules,
			clock_now_us() + REPLY_TIMEOUT_US) == RING_OK;
	/* Not freed on timeout: the proxy thread may still push to it. */
	if (done)
		ring_free(request->reply);
	return done && matched_rules > 0;
}

static const char *field_text(json_object *object, const char *name,
			      const char *fallback)
{
	json_object *value;

	if (!json_object_object_get_ex(object, name, &value))
		return fallback;
	return json_object_get_string(value);
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct fault_args *args = state->input;
	struct proxy *proxy = args->proxy;

	switch (key) {
	case 'a':
		args->admin = text;
		return 0;
	case 'r':
		if (proxy->rule_count == RULES_MAX ||
		    !rule_parse(&proxy->rules[proxy->rule_count], text))
			argp_error(state,
				   "invalid rule, or more than 128 rules: %s",
				   text);
		proxy->rule_count++;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}
