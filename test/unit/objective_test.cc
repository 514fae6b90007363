/* Objectives: order of waiting requests, deferral, refusal in a backlog. */
#include "test_instance.h"

extern "C" {
#include "codec/document_json.h"
#include "command/ticket.h"
#include "query/pick.h"
}

namespace
{

const uint64_t typical_duration_ms = 100;

enum action_kind { ARRIVE, PASS, FINISH };

/* ARRIVE uses host, PASS uses ms; FINISH ends the oldest running request. */
struct action {
	enum action_kind kind;
	const char *host;
	uint64_t ms;
};

const struct action TIGHT = { ARRIVE, "tight", 0 };
const struct action WIDE = { ARRIVE, "wide", 0 };
const struct action NONE = { ARRIVE, "none", 0 };
const struct action END = { FINISH, nullptr, 0 };

struct action pass(uint64_t ms)
{
	return { PASS, nullptr, ms };
}

struct objective_case {
	const char *name;
	std::vector<struct action> actions;
	std::vector<uint32_t> granted; /* requests in order */
	std::vector<uint32_t> refused;
};

/* One slot. Objectives: tight 300 ms, wide 600 ms, none; all may take 1 s. */
const struct objective_case objective_cases[] = {
	{ "the earliest objective is granted first",
	  { WIDE, WIDE, TIGHT, END, END },
	  { 0, 2, 1 },
	  {} },
	{ "a request that misses its objective is deferred",
	  { WIDE, TIGHT, pass(210), WIDE, END, END },
	  { 0, 2, 1 },
	  {} },
	{ "a deferred request is still granted before its deadline",
	  { WIDE, TIGHT, pass(850), END },
	  { 0, 1 },
	  {} },
	{ "a deferred request is refused when it would miss its deadline",
	  { WIDE, TIGHT, pass(900) },
	  { 0 },
	  { 1 } },
	{ "in a backlog a request that misses its objective is refused",
	  { WIDE, TIGHT, WIDE, WIDE, pass(250) },
	  { 0 },
	  { 1 } },
	{ "without an objective only the deadline counts",
	  { NONE, NONE, NONE, pass(850), END },
	  { 0, 1 },
	  {} },
	{ "in a backlog a request that would be late is not admitted",
	  { WIDE, TIGHT, TIGHT, TIGHT, TIGHT },
	  { 0 },
	  { 4 } },
};

void accept_table(TestInstance &inst)
{
	const std::string text =
		R"({"hosts":[{"host":"tight","routes":[{"path_prefix":"/",)"
		R"("idempotent":true,"budget_ms":1000,"objective_ms":300,)"
		R"("targets":[{"service":"s"}]}]},)"
		R"({"host":"wide","routes":[{"path_prefix":"/",)"
		R"("idempotent":true,"budget_ms":1000,"objective_ms":600,)"
		R"("targets":[{"service":"s"}]}]},)"
		R"({"host":"none","routes":[{"path_prefix":"/",)"
		R"("idempotent":true,"budget_ms":1000,"objective_ms":1000,)"
		R"("targets":[{"service":"s"}]}]}]})";
	struct command command = {};

	command.kind = COMMAND_ACCEPT_ROUTES;
	command.accept_routes.table =
		routing_table_parse("t", text.data(), text.size(), 1, nullptr);
	ASSERT_NE(command.accept_routes.table, nullptr);
	inst.apply(command);
}

void set_typical_duration(TestInstance &inst)
{
	struct service *service = inst.service();
	uint32_t i;

	service->mean_service_us = typical_duration_ms * US_PER_MS;
	for (i = 0; i <= DOC_ROUTES_MAX; i++)
		service->route_typical_us[i] = typical_duration_ms * US_PER_MS;
}

/* One backend server with one slot, without ejection. */
void prepare(TestInstance &inst, uint32_t budget_ms)
{
	struct doc_shape shape;

	shape.backends = 1;
	shape.slots = 1;
	shape.budget_ms = budget_ms;
	inst.state->policy.ejecting = false;
	inst.list(1);
	inst.accept(make_doc(shape));
	accept_table(inst);
	set_typical_duration(inst);
}

/* Ends the grant with index @ended_before; those before it have ended. */
void finish_oldest(TestInstance &inst, uint32_t ended_before)
{
	uint32_t seen = 0;

	for (const struct event &event : inst.events) {
		if (event.kind != EVENT_GRANT || seen++ < ended_before)
			continue;
		struct grant_event grant = event.grant;

		inst.finish(grant, ended(EVIDENCE_OK, true,
					 typical_duration_ms * US_PER_MS));
		return;
	}
	FAIL() << "no request is running";
}

std::vector<uint32_t> requests_in_order(const TestInstance &inst,
					enum event_kind kind)
{
	std::vector<uint32_t> numbers;

	for (const struct event &event : inst.events) {
		const struct request *request = nullptr;

		if (event.kind != kind)
			continue;
		request = kind == EVENT_GRANT ? event.grant.request :
						event.refuse.request;
		for (uint32_t i = 0; i < inst.requests.size(); i++) {
			if (inst.requests[i] == request)
				numbers.push_back(i);
		}
	}
	return numbers;
}

TEST(ObjectiveTest, GrantsAndRefusesByObjective)
{
	for (const auto &c : objective_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		uint32_t ended_count = 0;

		prepare(inst, 1000);
		for (const struct action &action : c.actions) {
			switch (action.kind) {
			case ARRIVE:
				inst.request("/s/short", 1, DEADLINE_NONE_US,
					     METHOD_GET, action.host);
				break;
			case PASS:
				inst.pass_ms(action.ms);
				break;
			case FINISH:
				finish_oldest(inst, ended_count++);
				break;
			}
			set_typical_duration(inst);
		}
		EXPECT_EQ(requests_in_order(inst, EVENT_GRANT), c.granted);
		EXPECT_EQ(requests_in_order(inst, EVENT_REFUSE), c.refused);
	}
}

struct sent_case {
	const char *name;
	bool sent_before; /* to a backend server, by an earlier try */
	uint64_t waited_ms;
	bool refused;
};

/* In a backlog; the deadline is at 1 s, the objective at 300 ms. */
const struct sent_case sent_cases[] = {
	{ "not sent, past its objective", false, 250, true },
	{ "sent, past its objective", true, 250, false },
	{ "sent, with less time left than the request takes", true, 950,
	  false },
	{ "sent, past its deadline", true, 1050, true },
};

/*
 * A request that was sent before may have run. It must wait until its deadline
 * and not be refused because it misses its objective.
 */
TEST(ObjectiveTest, SentRequestWaitsForItsDeadline)
{
	for (const auto &c : sent_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		prepare(inst, 60000);
		inst.request("/s/short");
		uint32_t number = inst.request("/s/short", 1, DEADLINE_NONE_US,
					       METHOD_GET, "tight");
		gpointer index = g_hash_table_lookup(
			inst.state->ticket_by_request, inst.requests[number]);
		struct ticket *ticket =
			&inst.state->tickets[GPOINTER_TO_UINT(index)];

		ticket->sends = c.sent_before;
		ticket->outcome = c.sent_before ? OUTCOME_UNKNOWN :
						  OUTCOME_NOT_RUN;
		for (uint32_t i = 0; i < 4; i++)
			inst.request("/s/short");
		for (uint64_t ms = 0; ms < c.waited_ms; ms += 50) {
			set_typical_duration(inst);
			inst.pass_ms(50);
		}
		EXPECT_EQ(inst.count(EVENT_REFUSE), c.refused ? 1u : 0u);
		if (c.refused) {
			EXPECT_EQ(requests_in_order(inst, EVENT_REFUSE)[0],
				  number);
		}
	}
}

struct wait_case {
	const char *name;
	uint32_t grants; /* one each 50 ms while others wait */
	uint64_t wait_ms; /* expected with four requests ahead */
};

/* With one slot and a mean duration of 100 ms, four requests take 400 ms. */
const struct wait_case wait_cases[] = {
	{ "by slots and mean duration after a few grants", 3, 400 },
	{ "by the mean gap between grants after several", 8, 200 },
};

TEST(ObjectiveTest, ExpectedWaitFollowsGrantRate)
{
	for (const auto &c : wait_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		prepare(inst, 60000);
		for (uint32_t i = 0; i < 16; i++)
			inst.request("/s/short");
		/* No other request waited at the first grant. */
		for (uint32_t i = 0; i < c.grants; i++) {
			inst.pass_ms(50);
			finish_oldest(inst, i);
		}
		set_typical_duration(inst);
		EXPECT_EQ(service_expected_wait_us(inst.service(), 4, inst.now),
			  c.wait_ms * US_PER_MS);
	}
}

} // namespace
