/* Load of homes with unequal processor time, compared with their capacity. */
#include "test_instance.h"

#include <map>
#include <memory>

extern "C" {
#include "query/answer.h"
#include "query/homes.h"
}

namespace
{

#define DOMAINS 2
#define QUERIES 4000
/* Total processor time of a request at an instance. */
#define REQUEST_CPU_US 1000
/* A home with a higher load delays requests. */
#define LOAD_MAX_PERMILLE 850

struct load_case {
	const char *name;
	uint32_t strong;
	uint32_t strong_cpu_permille;
	uint32_t weak;
	uint32_t weak_cpu_permille;
	struct doc_shape shape;
	uint32_t requests_per_s; /* peak rate */
	uint32_t homes;
	uint32_t weak_homes;
};

const struct load_case load_cases[] = {
	{ "all instances are equal", 12, 200, 0, 0, { 20, 6 }, 200, 2, 0 },
	{ "few strong instances are the homes of a service of many slots",
	  6,
	  500,
	  120,
	  100,
	  { 237, 6 },
	  2000,
	  6,
	  0 },
	{ "half of the strong instances gone: weak ones become homes",
	  3,
	  500,
	  123,
	  100,
	  { 237, 6 },
	  2000,
	  16,
	  13 },
	{ "one strong instance among weak ones",
	  1,
	  500,
	  40,
	  100,
	  { 100, 6 },
	  800,
	  8,
	  7 },
	{ "a domain without strong instances has a weak home",
	  1,
	  500,
	  40,
	  100,
	  { 10, 6 },
	  80,
	  2,
	  1 },
	{ "all instances are weak", 0, 500, 40, 100, { 100, 6 }, 800, 12, 12 },
};

void set_cpu_shares(TestInstance &inst, const struct load_case &c)
{
	struct membership *membership = &inst.state->membership;
	struct instance_doc *instance;
	uint32_t i;

	for (i = 0; i < c.strong + c.weak; i++) {
		instance =
			i == 0 ? &membership->self :
				 &membership_find(membership,
						  instance_of(i, DOMAINS).peer)
					  ->listed;
		instance->self_report.cpu_permille =
			i < c.strong ? c.strong_cpu_permille :
				       c.weak_cpu_permille;
	}
}

/* Share of the callers that each instance gets, by address. */
std::map<uint32_t, double> caller_shares(TestInstance &inst)
{
	std::map<uint32_t, double> shares;
	struct query query = {};
	struct query_reply reply;

	query.kind = QUERY_ENTRIES;
	name_set(&query.service, "s");
	for (uint32_t i = 0; i < QUERIES; i++) {
		query.caller_hash = hash_bytes(&i, sizeof(i), 0);
		query_answer(inst.state, &query, inst.now, &reply);
		EXPECT_GT(reply.entries.entry_count, 0u);
		for (uint32_t j = 0; j < reply.entries.entry_count; j++)
			shares[reply.entries.entries[j].caller.ip] +=
				1.0 / QUERIES / reply.entries.entry_count;
	}
	return shares;
}

std::map<uint32_t, double> slot_shares(TestInstance &inst)
{
	const struct service *service = inst.service();
	std::map<uint32_t, double> shares;
	uint32_t slots = service_doc_slots(service->doc);
	uint32_t unused;

	for (uint32_t i = 0; i < service->home_count; i++) {
		for (uint32_t j = 0; j < service->backend_count; j++)
			shares[service->homes[i].peer.ip] +=
				(double)homes_share_slots(
					service, &service->backends[j],
					inst.state->policy.sharing, i,
					&unused) /
				slots;
	}
	return shares;
}

TEST(HomeLoadTest, NoHomeExceedsItsLoadLimit)
{
	for (const auto &c : load_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst(0, DOMAINS);
		inst.list(c.strong + c.weak, DOMAINS);
		inst.state->policy.sharing = SHARING_DOMAIN;
		set_cpu_shares(inst, c);
		inst.accept(make_doc(c.shape));
		const struct service *service = inst.service();
		std::map<uint32_t, double> callers = caller_shares(inst);
		std::map<uint32_t, double> slots = slot_shares(inst);
		double all_slots = 0;
		uint32_t weak = 0;

		EXPECT_EQ(service->home_count, c.homes);
		for (uint32_t i = 0; i < service->home_count; i++) {
			const struct home *home = &service->homes[i];
			double share = callers[home->peer.ip];
			double load_permille = share * c.requests_per_s *
					       REQUEST_CPU_US * PERMILLE_ONE /
					       US_PER_S * PERMILLE_ONE /
					       home->cpu_permille;

			weak += home->cpu_permille == c.weak_cpu_permille;
			EXPECT_LE(load_permille, LOAD_MAX_PERMILLE) << i;
			EXPECT_GT(share, slots[home->peer.ip] / 2) << i;
			EXPECT_LT(share, slots[home->peer.ip] * 2) << i;
			all_slots += slots[home->peer.ip];
		}
		EXPECT_EQ(weak, c.weak_homes);
		EXPECT_NEAR(all_slots, 1, 0.001);
	}
}

} // namespace
