/* Home sets, slot shares, leases, entries and planned stops. */
#include "test_instance.h"

#include <memory>
#include <set>

extern "C" {
#include "query/answer.h"
#include "query/homes.h"
}

namespace
{

struct homes_case {
	const char *name;
	uint32_t instances;
	uint32_t domains;
	struct doc_shape shape;
	uint32_t homes;
};

const struct homes_case homes_cases[] = {
	{ "Vranic registration", 40, 3, { 20, 6 }, 3 },
	{ "Vranic gallery", 40, 3, { 10, 6 }, 3 },
	{ "Huon roster", 36, 4, { 15, 3 }, 4 },
	{ "Huon lookup", 36, 4, { 10, 3 }, 4 },
	{ "more slots than one home per domain should have",
	  40,
	  3,
	  { 64, 6 },
	  6 },
	{ "fewer instances than domains", 2, 3, { 20, 6 }, 2 },
	{ "a single instance", 1, 3, { 20, 6 }, 1 },
	{ "a small service has few homes", 40, 4, { 2, 4 }, 2 },
};

std::vector<std::unique_ptr<TestInstance>>
make_fleet(uint32_t instances, uint32_t domains, const struct doc_shape &shape)
{
	std::vector<std::unique_ptr<TestInstance>> fleet;

	for (uint32_t i = 0; i < instances; i++) {
		fleet.push_back(std::make_unique<TestInstance>(i, domains));
		fleet.back()->list(instances, domains);
		fleet.back()->accept(make_doc(shape));
	}
	return fleet;
}

TEST(HomesTest, HomesCoverDomainsAndShareAllSlots)
{
	for (const auto &c : homes_cases) {
		SCOPED_TRACE(c.name);
		auto fleet = make_fleet(c.instances, c.domains, c.shape);
		std::vector<uint32_t> shares(c.shape.backends, 0);
		std::vector<uint32_t> long_shares(c.shape.backends, 0);
		std::set<std::string> domains;
		uint32_t homes = 0;

		for (const auto &inst : fleet) {
			const struct service *service = inst->service();

			EXPECT_EQ(service->home_count, c.homes);
			for (uint32_t i = 0; i < service->home_count; i++)
				EXPECT_TRUE(addr_equal(
					service->homes[i].peer,
					fleet[0]->service()->homes[i].peer));
			if (service->self_home >= service->home_count)
				continue;
			homes++;
			domains.insert(inst->settings.domain.text);
			for (uint32_t i = 0; i < c.shape.backends; i++) {
				shares[i] += service->backends[i].own_slots;
				long_shares[i] +=
					service->backends[i].own_long_slots;
			}
		}
		EXPECT_EQ(homes, c.homes);
		EXPECT_EQ(domains.size(),
			  std::min({ c.domains, c.homes, c.instances }));
		for (uint32_t i = 0; i < c.shape.backends; i++) {
			EXPECT_EQ(shares[i], c.shape.slots);
			EXPECT_LE(long_shares[i] * 3, c.shape.slots * 2);
		}
	}
}

uint32_t own_slots(TestInstance &inst)
{
	uint32_t slots = 0;

	for (uint32_t i = 0; i < inst.service()->backend_count; i++)
		slots += inst.service()->backends[i].own_slots;
	return slots;
}

TEST(HomesTest, SharesShrinkAtOnceAndGrowLater)
{
	TestInstance inst(0, 3);
	inst.list(1, 3);
	inst.accept(make_doc({ 20, 6 }));
	EXPECT_EQ(own_slots(inst), 120u);

	inst.list(3, 3);
	EXPECT_LT(own_slots(inst), 60u);
	inst.list(1, 3);
	EXPECT_LT(own_slots(inst), 60u);
	inst.pass_ms(1500);
	EXPECT_LT(own_slots(inst), 60u);
	inst.pass_ms(1000);
	EXPECT_EQ(own_slots(inst), 120u);
}

TEST(HomesTest, SharesGrowWhileDocumentsKeepChanging)
{
	TestInstance inst(0, 3);

	inst.list(1, 3);
	inst.accept(make_doc({ 20, 6 }));
	inst.list(3, 3);
	EXPECT_LT(own_slots(inst), 60u);
	inst.list(1, 3);
	for (uint64_t version = 2; version < 6; version++) {
		EXPECT_LT(own_slots(inst), 60u);
		inst.accept(make_doc({ 20, 6 }, version));
		inst.pass_ms(450);
	}
	inst.pass_ms(400);
	EXPECT_EQ(own_slots(inst), 120u);
}

struct dead_homes_case {
	const char *name;
	uint32_t homes;
	uint32_t dead;
	/* Whether the living homes get the slots of the dead ones. */
	bool takes_over;
};

const struct dead_homes_case dead_homes_cases[] = {
	{ "no home is dead", 3, 0, true },
	{ "two homes take over for one", 3, 1, true },
	{ "one of three takes nothing over: it may be isolated", 3, 2, false },
	{ "half of the homes take nothing over", 4, 2, false },
	{ "three homes take over for one", 4, 1, true },
};

void set_status(TestInstance &inst, uint32_t instance, uint32_t domains,
		enum member_status status)
{
	membership_find(&inst.state->membership,
			instance_of(instance, domains).peer)
		->status = status;
	inst.state->homes_dirty = true;
	inst.tick();
}

/* Advance time for the shares only, so that no probe changes a status. */
void pass_shares_ms(TestInstance &inst, uint64_t ms)
{
	struct event_list list;

	event_list_init(&list);
	inst.now.mono_us += ms * US_PER_MS;
	home_tick(inst.state, inst.service(), inst.now, &list);
	event_list_clear(&list);
}

TEST(HomesTest, OnlyAMajorityTakesOverSlotsOfDeadHomes)
{
	for (const auto &c : dead_homes_cases) {
		SCOPED_TRACE(c.name);
		auto fleet = make_fleet(c.homes, c.homes, { 20, 6 });
		uint32_t before = 0;
		uint32_t at_once = 0;
		uint32_t later = 0;
		uint32_t after = 0;

		for (uint32_t i = c.dead; i < c.homes; i++) {
			TestInstance &inst = *fleet[i];
			before += own_slots(inst);
			for (uint32_t j = 0; j < c.dead; j++)
				set_status(inst, j, c.homes, MEMBER_DEAD);
			at_once += own_slots(inst);
			pass_shares_ms(inst, 2100);
			later += own_slots(inst);
			for (uint32_t j = 0; j < c.dead; j++)
				set_status(inst, j, c.homes, MEMBER_ALIVE);
			after += own_slots(inst);
		}
		EXPECT_EQ(at_once, before);
		EXPECT_EQ(later, c.takes_over ? 120 : before);
		EXPECT_EQ(after, before);
	}
}

/* Deliver datagrams between two instances, for at most 8 rounds. */
void exchange_datagrams(TestInstance &a, TestInstance &b)
{
	for (int round = 0; round < 8; round++) {
		for (TestInstance *from : { &a, &b }) {
			TestInstance *to = from == &a ? &b : &a;
			std::vector<struct event> sent;
			sent.swap(from->events);
			for (auto &event : sent) {
				if (event.kind != EVENT_PEER_SEND ||
				    !addr_equal(event.peer_send.to,
						to->settings.peer_listen)) {
					from->events.push_back(event);
					continue;
				}
				to->receive(event.peer_send.message);
			}
		}
	}
}

TEST(LeaseTest, LendsUnusedSlotsUntilLeaseExpires)
{
	TestInstance a(0, 2), b(1, 2);
	for (TestInstance *inst : { &a, &b }) {
		inst->list(2, 2);
		inst->accept(make_doc({ 4, 6, 0, 64, 60000 }));
	}
	ASSERT_EQ(a.service()->home_count, 2u);

	for (int i = 0; i < 16; i++)
		a.request("/s/short");
	uint32_t own_running = a.service()->running_requests;
	EXPECT_EQ(own_running, 12u);
	exchange_datagrams(a, b);
	uint32_t lent = a.service()->running_requests - own_running;
	EXPECT_GT(lent, 0u);
	EXPECT_EQ(lent, 4u);
	uint32_t lent_at_b = 0;
	for (uint32_t i = 0; i < 4; i++)
		lent_at_b += b.service()->backends[i].lent_slots;
	EXPECT_EQ(lent_at_b, lent);
	/* The lender does not use the slots that it has lent. */
	for (int i = 0; i < 16; i++)
		b.request("/s/short");
	EXPECT_EQ(b.service()->running_requests, 12u - lent);

	/* The borrower's lease ends before the lender uses the slot again. */
	uint64_t ends_us = 0;
	for (const auto &borrowed : a.service()->borrowed)
		ends_us = std::max(ends_us, borrowed.expires_us);
	for (const auto &lease : b.service()->lent) {
		EXPECT_TRUE(lease.borrower.port == 0 ||
			    lease.expires_us > ends_us);
	}
	b.pass_ms(1200);
	EXPECT_EQ(b.service()->running_requests, 12u);
}

TEST(LeaseTest, ExpiredLeaseGrantsNothingAfterStall)
{
	TestInstance a(0, 2), b(1, 2);
	for (TestInstance *inst : { &a, &b }) {
		inst->list(2, 2);
		inst->accept(make_doc({ 4, 6, 0, 64, 60000 }));
	}
	for (int i = 0; i < 16; i++)
		a.request("/s/short");
	exchange_datagrams(a, b);
	struct grant_event leased_grant = {};
	for (const auto &event : a.events) {
		if (event.kind == EVENT_GRANT &&
		    event.grant.send_before_us < event.grant.deadline_us)
			leased_grant = event.grant;
	}
	ASSERT_NE(leased_grant.request, nullptr);
	for (int i = 0; i < 4; i++)
		a.request("/s/short");
	uint32_t running = a.service()->running_requests;

	a.now.mono_us += 5 * US_PER_S;
	a.finish(leased_grant, ended(EVIDENCE_OK));

	EXPECT_EQ(a.service()->running_requests, running - 1);
}

TEST(LeaseTest, NonHomeServesOnBorrowedSlots)
{
	/* All instances have the same homes; find one that is none. */
	uint32_t non_home = 0;
	TestInstance reference(0, 2);
	reference.list(4, 2);
	reference.accept(make_doc({ 4, 6, 0, 64, 60000 }));
	struct net_addr home = reference.service()->homes[0].peer;
	while (addr_equal(instance_of(non_home, 2).peer, home) ||
	       addr_equal(instance_of(non_home, 2).peer,
			  reference.service()->homes[1].peer))
		non_home++;
	TestInstance a(non_home, 2);
	a.list(4, 2);
	a.accept(make_doc({ 4, 6, 0, 64, 60000 }));
	uint32_t number = a.request("/s/short");
	EXPECT_EQ(a.last_result_of(number), nullptr);

	for (uint32_t i = 0; i < 4; i++) {
		if (i == non_home)
			continue;
		TestInstance b(i, 2);
		b.list(4, 2);
		b.accept(make_doc({ 4, 6, 0, 64, 60000 }));
		exchange_datagrams(a, b);
	}
	ASSERT_NE(a.last_result_of(number), nullptr);
	EXPECT_EQ(a.last_result_of(number)->kind, EVENT_GRANT);
}

struct entries_case {
	const char *name;
	const char *caller_domain;
	bool leaving;
	bool stepped_back;
	bool withdrawn;
	enum member_status other_status;
	uint32_t entries;
	const char *first_domain;
};

const struct entries_case entries_cases[] = {
	{ "all homes", "", false, false, false, MEMBER_ALIVE, 3, NULL },
	{ "own failure domain first", "b", false, false, false, MEMBER_ALIVE, 3,
	  "b" },
	{ "not this instance while it is leaving", "", true, false, false,
	  MEMBER_ALIVE, 2, NULL },
	{ "not this instance after it stepped back", "", false, true, false,
	  MEMBER_ALIVE, 2, NULL },
	{ "not a withdrawn home", "", false, false, true, MEMBER_ALIVE, 2,
	  NULL },
	{ "not a suspected home", "", false, false, false, MEMBER_SUSPECT, 2,
	  NULL },
	{ "not a dead home", "", false, false, false, MEMBER_DEAD, 2, NULL },
	{ "not a leaving home", "", false, false, false, MEMBER_LEAVING, 2,
	  NULL },
};

TEST(EntriesTest, ListsOnlyUsableHomes)
{
	for (const auto &c : entries_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst(0, 3);
		inst.list(3, 3);
		inst.accept(make_doc({ 20, 6 }));
		membership_find(&inst.state->membership, instance_of(1, 3).peer)
			->status = c.other_status;
		inst.state->leaving = c.leaving;
		inst.state->stepped_back = c.stepped_back;
		inst.state->membership.self.self_report.aside = c.withdrawn;
		struct query query = {};
		query.kind = QUERY_ENTRIES;
		name_set(&query.service, "s");
		if (c.caller_domain[0])
			name_set(&query.caller_domain, c.caller_domain);
		struct query_reply reply;

		query_answer(inst.state, &query, inst.now, &reply);

		EXPECT_TRUE(reply.entries.known);
		EXPECT_EQ(reply.entries.entry_count, c.entries);
		EXPECT_EQ(reply.entries.expires_unix_ms,
			  inst.now.unix_ms + 5000);
		EXPECT_STREQ(c.first_domain ?
				     reply.entries.entries[0].domain.text :
				     "",
			     c.first_domain ? c.first_domain : "");
	}
}

struct leave_case {
	const char *name;
	bool request_running; /* when the stop begins */
	bool hurry;
	/* A request at this time must still be served; 0 for none. */
	uint64_t late_request_ms;
	uint64_t request_ends_ms;
	uint64_t stays_ms; /* has not left before */
	uint64_t left_by_ms;
};

const struct leave_case leave_cases[] = {
	{ "answers to entries that name it hold for 5 s, plus a margin", false,
	  false, 0, 0, 5000, 6000 },
	{ "requests in progress end first", true, false, 5000, 9000, 9000,
	  9200 },
	{ "hurried: answers to entries are not waited for", false, true, 0, 0,
	  0, 200 },
	{ "hurried: requests in progress still end", true, true, 0, 3000, 3000,
	  3200 },
	{ "the end of the time for work ends it", true, false, 0, 60000, 27400,
	  27700 },
	{ "a late request extends the wait by 1 s", false, false, 5400, 0, 6300,
	  6600 },
	{ "hurried: a late request does not extend the wait", true, true, 2500,
	  3000, 3000, 3200 },
};

void run_leave_case(const struct leave_case &c)
{
	TestInstance inst;
	inst.list(1);
	inst.accept(make_doc(doc_shape()));
	inst.pass_ms(100);
	struct grant_event grant = {};
	uint64_t deadline_us = inst.now.mono_us + 60 * US_PER_S;
	if (c.request_running)
		grant = inst.last_result_of(
				    inst.request("/s/short", 1, deadline_us))
				->grant;

	inst.begin_stop(c.hurry);
	for (uint64_t ms = 0; ms <= c.left_by_ms; ms += 100) {
		if (c.late_request_ms && ms == c.late_request_ms) {
			uint32_t number = inst.request("/s/short");
			ASSERT_NE(inst.last_result_of(number), nullptr);
			ASSERT_EQ(inst.last_result_of(number)->kind,
				  EVENT_GRANT);
			struct grant_event late =
				inst.last_result_of(number)->grant;
			inst.finish(late, ended(EVIDENCE_OK));
		}
		if (c.request_running && ms == c.request_ends_ms)
			inst.finish(grant, ended(EVIDENCE_OK));
		EXPECT_TRUE(ms > c.stays_ms || inst.count(EVENT_LEFT) == 0)
			<< ms;
		inst.pass_ms(100);
	}
	EXPECT_EQ(inst.count(EVENT_LEFT), 1u);
	EXPECT_EQ(inst.count_audit(AUDIT_LEAVING), 1u);
}

TEST(LeaveTest, WaitsForEntriesToExpireAndRequestsToEnd)
{
	for (const auto &c : leave_cases) {
		SCOPED_TRACE(c.name);
		run_leave_case(c);
	}
}

} // namespace
