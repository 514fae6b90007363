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
#define ORDERS_ROOM 64
#define ORDER_WAIT_US (5 * US_PER_S)

static const char *const order_names[] = {
	[ORDER_PASS] = "pass",		 [ORDER_DELAY] = "delay",
	[ORDER_DROP_UP] = "drop_up",	 [ORDER_DROP_DOWN] = "drop_down",
	[ORDER_DROP_BOTH] = "drop_both", [ORDER_REFUSE] = "refuse",
	[ORDER_TRUNCATE] = "truncate",	 [ORDER_SILENCE_OPEN] = "silence_open",
	[ORDER_CUT_OPEN] = "cut_open",
};

/**
 * struct order_item - item of the proxy thread's ring
 * @rule: name of the rule, empty for all
 * @order: what is ordered
 * @done: ring that gets the count of rules meant
 */
struct order_item {
	struct name rule;
	struct order order;
	struct ring *done;
};

/**
 * struct proxy - the proxy; its thread alone touches the rules
 * @rules: the rules
 * @rule_count: used entries of @rules
 * @orders: ring of struct order_item
 * @wake: event counter that ends a poll()
 */
struct proxy {
	struct rule rules[RULES_MAX];
	uint32_t rule_count;
	struct ring *orders;
	int wake;
};

struct fault_args {
	const char *admin;
	struct proxy *proxy;
};

static gpointer run(gpointer data);
static void round_once(struct proxy *proxy, GArray *polls);
static void take_orders(struct proxy *proxy);
static uint32_t carry_out(struct proxy *proxy, const struct order_item *item);
static int handle(struct mg_connection *conn, void *data);
static bool read_order(struct mg_connection *conn, struct order_item *item);
static bool read_fields(json_object *object, struct order_item *item);
static bool ask(struct proxy *proxy, struct order_item *item);
static const char *field_text(json_object *object, const char *name,
			      const char *fallback);
static error_t parse(int key, char *text, struct argp_state *state);

static const struct argp_option options[] = {
	{ "admin", 'a', "IP:PORT", 0, "Take orders here", 0 },
	{ "rule", 'r', "NAME=tcp|udp:IP:PORT:IP:PORT", 0,
	  "Pass the first address on to the second", 0 },
	{ 0 },
};

static const struct argp parser = {
	.options = options,
	.parser = parse,
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
			fprintf(stderr, "standin: cannot listen for %s\n",
				proxy->rules[i].name.text);
			return EXIT_FAILURE;
		}
	}
	proxy->orders = ring_new(sizeof(struct order_item), ORDERS_ROOM, 0);
	proxy->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (proxy->wake < 0 ||
	    http_start(args.admin, ADMIN_THREADS, handle, proxy) == NULL) {
		fprintf(stderr, "standin: cannot listen on %s\n", args.admin);
		return EXIT_FAILURE;
	}
	g_thread_unref(g_thread_new("proxy", run, proxy));
	wait_for_end();
	_exit(EXIT_SUCCESS);
}

static gpointer run(gpointer data)
{
	GArray *polls = g_array_new(FALSE, FALSE, sizeof(struct pollfd));

	for (;;)
		round_once(data, polls);
	return NULL;
}

static void round_once(struct proxy *proxy, GArray *polls)
{
	uint64_t now_us = clock_now_us();
	uint64_t deadline_us;
	uint32_t wake;
	int32_t wait_ms;

	g_array_set_size(polls, 0);
	wake = poll_add(polls, proxy->wake, POLLIN);
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
	tcp_move(polls, now_us);
	udp_move(polls, now_us);
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
	if (poll_events(polls, wake) != 0)
		take_orders(proxy);
}

static void take_orders(struct proxy *proxy)
{
	struct order_item item;
	eventfd_t count;
	uint32_t meant;

	if (eventfd_read(proxy->wake, &count) != 0)
		return;
	while (ring_pop(proxy->orders, &item, 0) == RING_OK) {
		meant = carry_out(proxy, &item);
		if (ring_push(item.done, &meant) != RING_OK)
			g_warning("order has no asker");
	}
}

static uint32_t carry_out(struct proxy *proxy, const struct order_item *item)
{
	uint32_t meant = 0;

	for (uint32_t i = 0; i < proxy->rule_count; i++) {
		struct rule *rule = &proxy->rules[i];

		if (item->rule.text[0] != '\0' &&
		    !name_equal(&item->rule, &rule->name))
			continue;
		meant++;
		if (rule->kind == RULE_TCP)
			tcp_order(rule, &item->order);
		/* These act once and leave what is in force. */
		if (item->order.kind != ORDER_SILENCE_OPEN &&
		    item->order.kind != ORDER_CUT_OPEN)
			rule_set(rule, &item->order);
	}
	return meant;
}

static int handle(struct mg_connection *conn, void *data)
{
	struct proxy *proxy = data;
	struct order_item item = { 0 };

	if (strcmp(mg_get_request_info(conn)->local_uri, "/standin/fault") != 0)
		return http_answer(conn, 404, "", "");
	if (!read_order(conn, &item) || !ask(proxy, &item))
		return http_answer(conn, 400, "", "");
	return http_answer(conn, 200, "", "");
}

static bool read_order(struct mg_connection *conn, struct order_item *item)
{
	char *text = http_body(conn);
	json_object *object = text == NULL ? NULL : json_tokener_parse(text);
	bool good = object != NULL && read_fields(object, item);

	json_object_put(object);
	g_free(text);
	return good;
}

static bool read_fields(json_object *object, struct order_item *item)
{
	const char *kind = field_text(object, "kind", "");
	const char *rule = field_text(object, "rule", "");
	const char *source = field_text(object, "source", "");
	struct order *order = &item->order;
	uint32_t number = (uint32_t)g_ascii_strtoull(
		field_text(object, "number", "0"), NULL, 10);
	uint32_t found = 0;

	while (found < G_N_ELEMENTS(order_names) &&
	       strcmp(order_names[found], kind) != 0)
		found++;
	if (found == G_N_ELEMENTS(order_names))
		return false;
	if (rule[0] != '\0' && !name_set(&item->rule, rule))
		return false;
	if (source[0] != '\0' && !addr_ip_parse(source, &order->source_ip))
		return false;
	order->kind = (enum order_kind)found;
	switch (order->kind) {
	case ORDER_DELAY:
		order->delay_ms = number;
		return true;
	case ORDER_TRUNCATE:
		order->left_bytes = number;
		return true;
	case ORDER_PASS:
	case ORDER_DROP_UP:
	case ORDER_DROP_DOWN:
	case ORDER_DROP_BOTH:
	case ORDER_REFUSE:
	case ORDER_SILENCE_OPEN:
	case ORDER_CUT_OPEN:
		return true;
	}
	return false;
}

/* Returns whether the order is in force. */
static bool ask(struct proxy *proxy, struct order_item *item)
{
	uint32_t meant = 0;
	bool done;

	item->done = ring_new(sizeof(meant), 1, 0);
	done = ring_push(proxy->orders, item) == RING_OK &&
	       eventfd_write(proxy->wake, 1) == 0 &&
	       ring_pop(item->done, &meant, clock_now_us() + ORDER_WAIT_US) ==
		       RING_OK;
	/* The proxy thread may come to it still. */
	if (done)
		ring_free(item->done);
	return done && meant > 0;
}

static const char *field_text(json_object *object, const char *name,
			      const char *fallback)
{
	json_object *value;

	if (!json_object_object_get_ex(object, name, &value))
		return fallback;
	return json_object_get_string(value);
}

static error_t parse(int key, char *text, struct argp_state *state)
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
			argp_error(state, "bad rule %s", text);
		proxy->rule_count++;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}
