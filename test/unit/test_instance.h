#ifndef TEST_UNIT_TEST_INSTANCE_H
#define TEST_UNIT_TEST_INSTANCE_H

/* Routing state of one instance with a generated document and its own clock. */

#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "command/apply.h"
#include "command/home.h"
#include "core/state.h"
}

inline struct net_addr addr_of(uint32_t host, uint16_t port)
{
	struct net_addr addr = { (127u << 24) | host, port };

	return addr;
}

/*
 * Size of the document that make_doc() generates. Route 0 is short work, route
 * 1 long work and route 2 not idempotent; route 3 is in class 1, all others are
 * in class 0, which has priority.
 */
struct doc_shape {
	uint32_t backends = 4;
	uint32_t slots = 6;
	uint32_t floor_percent = 50;
	uint32_t queue_requests = 16;
	uint32_t budget_ms = 1000;
};

inline struct service_doc *make_doc(const struct doc_shape &shape,
				    uint64_t version = 1)
{
	static const char *const paths[] = { "/s/short", "/s/long", "/s/write",
					     "/s/low" };
	struct service_doc *doc = g_new0(struct service_doc, 1);

	doc->refs = 1;
	doc->version = version;
	doc->hash = version;
	name_set(&doc->service, "s");
	g_strlcpy(doc->path_prefix, "/s", sizeof(doc->path_prefix));
	doc->backend_count = shape.backends;
	doc->backends = g_new0(struct backend_doc, shape.backends);
	for (uint32_t i = 0; i < shape.backends; i++) {
		doc->backends[i].addr = addr_of(200 + i, 9000);
		doc->backends[i].capacity_slots = shape.slots;
		doc->backends[i].connections_max = 350;
		name_set(&doc->backends[i].domain, i % 2 ? "b" : "a");
	}
	doc->class_count = 2;
	name_set(&doc->classes[0].name, "first");
	name_set(&doc->classes[1].name, "second");
	doc->classes[1].priority = 1;
	doc->classes[0].queue_max_requests = shape.queue_requests;
	doc->classes[1].queue_max_requests = shape.queue_requests;
	doc->route_count = 4;
	doc->routes = g_new0(struct route_doc, 4);
	for (uint32_t i = 0; i < 4; i++) {
		g_strlcpy(doc->routes[i].path_prefix, paths[i], PATH_BYTES_MAX);
		doc->routes[i].method_mask = (1u << METHOD_GET) |
					     (1u << METHOD_POST);
		doc->routes[i].budget_ms = shape.budget_ms;
		doc->routes[i].idempotent = i != 2;
		doc->routes[i].long_work = i == 1;
	}
	doc->routes[3].class_index = 1;
	doc->floor.kind = FLOOR_PERCENT;
	doc->floor.percent = shape.floor_percent;
	doc->default_budget_ms = shape.budget_ms;
	return doc;
}

/* Instance i has peer address 127.0.1.i:8000; domains are assigned in turn. */
inline struct instance_doc instance_of(uint32_t i, uint32_t domains)
{
	static const char *const names[] = { "a", "b", "c", "d" };
	struct instance_doc instance = {};

	instance.caller = addr_of(256 + i, 7000);
	instance.peer = addr_of(256 + i, 8000);
	name_set(&instance.domain, names[i % domains]);
	instance.status = INSTANCE_LIVE;
	return instance;
}

class TestInstance {
    public:
	struct settings settings = {};
	struct state *state;
	struct instant now = { 1000 * US_PER_S, 1700000000000 };
	std::vector<struct event> events;
	std::vector<struct request *> requests;

	/*
	 * With seeds, no list of instances is published; the seeds are the
	 * instances from 0 on.
	 */
	explicit TestInstance(uint32_t self = 0, uint32_t domains = 3,
			      uint32_t seeds = 0)
	{
		struct instance_doc own = instance_of(self, domains);

		settings.caller_listen = own.caller;
		settings.peer_listen = own.peer;
		settings.domain = own.domain;
		settings.requests_max = 64;
		settings.retry_min_ms = 1000;
		settings.retry_earned_permille = 100;
		settings.retry_max_ms = 3000;
		settings.entries_ttl_ms = 5000;
		settings.stop_grace_ms = 30000;
		settings.random_seed = 42;
		settings.seed_count = seeds;
		for (uint32_t i = 0; i < seeds; i++)
			settings.seeds[i] = instance_of(i, domains).peer;
		state = state_new(&settings);
	}

	~TestInstance()
	{
		forget();
		for (struct request *request : requests)
			request_unref(request);
		state_free(state);
	}

	TestInstance(const TestInstance &) = delete;
	TestInstance &operator=(const TestInstance &) = delete;

	/* Discards all events so far. */
	void forget()
	{
		for (struct event &event : events)
			event_clear(&event);
		events.clear();
	}

	void apply(struct command command)
	{
		struct event_list list;

		event_list_init(&list);
		command_apply(state, &command, now, &list);
		for (guint i = 0; i < list.events->len; i++)
			events.push_back(
				g_array_index(list.events, struct event, i));
		g_array_unref(list.events);
	}

	void tick()
	{
		struct command command = {};

		command.kind = COMMAND_TICK;
		apply(command);
	}

	/* Advances the clock in steps of the dispatch thread's tick. */
	void pass_ms(uint64_t ms)
	{
		for (uint64_t passed = 0; passed < ms; passed += 50) {
			uint64_t step = std::min<uint64_t>(50, ms - passed);

			now.mono_us += step * US_PER_MS;
			now.unix_ms += step;
			tick();
		}
	}

	/* Begins a planned stop; @hurry: do not wait until entries expired. */
	void begin_stop(bool hurry = false)
	{
		struct command command = {};

		command.kind = COMMAND_LEAVE;
		command.leave.signalled_us = now.mono_us;
		command.leave.hurry = hurry;
		apply(command);
	}

	/* Delivers a list of instances 0 to @count - 1. */
	void list(uint32_t count, uint32_t domains = 3)
	{
		struct command command = {};

		command.kind = COMMAND_ACCEPT_INSTANCES;
		command.accept_instances.list =
			g_new0(struct instance_doc, count);
		command.accept_instances.count = count;
		for (uint32_t i = 0; i < count; i++)
			command.accept_instances.list[i] =
				instance_of(i, domains);
		apply(command);
	}

	void accept(struct service_doc *doc)
	{
		struct command command = {};

		command.kind = COMMAND_ACCEPT_CONFIG;
		command.accept_config.doc = doc;
		apply(command);
	}

	/* Takes ownership of @message, from g_new0(). */
	void receive(struct peer_message *message)
	{
		struct command command = {};

		command.kind = COMMAND_PEER_MESSAGE;
		command.peer_message = message;
		apply(command);
	}

	struct service *service()
	{
		struct name name;

		name_set(&name, "s");
		return service_lookup(state, &name);
	}

	/* Admits a request. Return: its index in @requests. */
	uint32_t request(const char *path, uint64_t caller = 1,
			 uint64_t deadline_us = DEADLINE_NONE_US,
			 enum request_method method = METHOD_GET,
			 const char *host = "")
	{
		struct command command = {};
		struct request *request = request_new();

		command.kind = COMMAND_ADMIT;
		command.admit.facts.path = path;
		g_strlcpy(command.admit.facts.host.text, host, HOST_BYTES_MAX);
		command.admit.facts.method = method;
		command.admit.facts.caller_hash = caller;
		command.admit.facts.deadline_us = deadline_us;
		command.admit.request = request_ref(request);
		requests.push_back(request);
		apply(command);
		return (uint32_t)requests.size() - 1;
	}

	/* Ends the exchange of a grant; @held adds a complete empty answer. */
	void finish(const struct grant_event &grant, struct evidence evidence,
		    bool held = false)
	{
		struct command command = {};

		command.kind = COMMAND_FINISH;
		command.finish.exchange = grant.exchange;
		command.finish.backend = grant.backend;
		command.finish.evidence = evidence;
		if (held) {
			command.finish.held = g_new0(struct answer_held, 1);
			command.finish.held->head =
				g_new0(struct answer_head, 1);
		}
		apply(command);
	}

	uint32_t count(enum event_kind kind) const
	{
		uint32_t count = 0;

		for (const struct event &event : events)
			count += event.kind == kind;
		return count;
	}

	uint32_t count_audit(enum audit_kind kind) const
	{
		uint32_t count = 0;

		for (const struct event &event : events)
			count += event.kind == EVENT_AUDIT &&
				 event.audit.kind == kind;
		return count;
	}

	/* Last grant, refusal or answer of a request, or NULL. */
	const struct event *last_result_of(uint32_t number) const
	{
		const struct event *found = NULL;

		for (const struct event &event : events) {
			if ((event.kind == EVENT_GRANT &&
			     event.grant.request == requests[number]) ||
			    (event.kind == EVENT_REFUSE &&
			     event.refuse.request == requests[number]) ||
			    (event.kind == EVENT_DELIVER &&
			     event.deliver.request == requests[number]))
				found = &event;
		}
		return found;
	}
};

/* Evidence of an exchange that ended. */
inline struct evidence ended(enum evidence_kind kind, bool sent = true,
			     uint64_t service_us = 20000)
{
	struct evidence evidence = {};

	evidence.kind = kind;
	evidence.request_sent = sent;
	evidence.service_us = service_us;
	evidence.status = kind == EVIDENCE_OK ? 200 : 0;
	return evidence;
}

/* Return: whether backend server 0 gets some of 12 requests. */
inline bool gets_requests(TestInstance &inst)
{
	const uint32_t requests = 12;
	bool granted = false;

	for (uint32_t i = 0; i < requests; i++) {
		const struct event *event =
			inst.last_result_of(inst.request("/s/short", i));

		if (!event || event->kind != EVENT_GRANT)
			continue;
		granted |= event->grant.backend.ip == addr_of(200, 9000).ip;
		inst.finish(event->grant, ended(EVIDENCE_OK));
	}
	return granted;
}

#endif
