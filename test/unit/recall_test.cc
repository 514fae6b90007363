/* What was chosen and not sent comes back when its server wants no new work. */
#include "test_instance.h"

namespace
{

const uint32_t BACKENDS = 3;
/* Of each backend server's six, this one of three homes has two. */
const uint32_t SLOTS_HERE = 2;

/* How it is learned that backend server 0 wants no new work. */
enum learned {
	LEARNED_NOTHING,
	LEARNED_DRAINS,
	LEARNED_GONE,
	LEARNED_ANOTHER_START,
	LEARNED_ANSWER,
	LEARNED_HEAD,
	LEARNED_REPORT,
	LEARNED_PEER,
};

struct recall_case {
	const char *name;
	enum learned learned;
	bool recalled;
};

const struct recall_case recall_cases[] = {
	{ "a new version says nothing of it", LEARNED_NOTHING, false },
	{ "the document says that it drains", LEARNED_DRAINS, true },
	{ "the document has it no more", LEARNED_GONE, true },
	{ "another start has its address", LEARNED_ANOTHER_START, true },
	{ "an answer says so", LEARNED_ANSWER, true },
	{ "an answer's head says so", LEARNED_HEAD, true },
	{ "its load report says so", LEARNED_REPORT, true },
	{ "another home says so", LEARNED_PEER, true },
};

struct service_doc *next_doc(enum learned learned)
{
	struct doc_shape shape;
	struct service_doc *doc;

	shape.backends = BACKENDS;
	shape.budget_ms = 5000;
	doc = make_doc(shape, 2);
	if (learned == LEARNED_DRAINS)
		doc->backends[0].draining = true;
	if (learned == LEARNED_GONE)
		doc->backends[0].addr = addr_of(250, 9000);
	if (learned == LEARNED_ANOTHER_START)
		name_set(&doc->backends[0].start.instance, "another");
	return doc;
}

void learn(TestInstance &inst, enum learned learned,
	   const struct grant_event &other)
{
	struct evidence evidence = ended(EVIDENCE_OK);
	struct command command = {};

	switch (learned) {
	case LEARNED_NOTHING:
	case LEARNED_DRAINS:
	case LEARNED_GONE:
	case LEARNED_ANOTHER_START:
		inst.accept(next_doc(learned));
		return;
	case LEARNED_ANSWER:
		evidence.notice.draining = true;
		inst.finish(other, evidence);
		return;
	case LEARNED_HEAD:
		command.kind = COMMAND_OBSERVE_ANSWER_NOTICE;
		command.observe_answer_notice.exchange = other.exchange;
		command.observe_answer_notice.notice.draining = true;
		inst.apply(command);
		return;
	case LEARNED_REPORT:
		command.kind = COMMAND_PROBE_RESULT;
		name_set(&command.probe_result.service, "s");
		command.probe_result.backend = addr_of(200, 9000);
		command.probe_result.answered = true;
		command.probe_result.healthy = true;
		command.probe_result.draining = true;
		inst.apply(command);
		return;
	case LEARNED_PEER:
		command.kind = COMMAND_PEER_MESSAGE;
		command.peer_message = g_new0(struct peer_message, 1);
		command.peer_message->kind = PEER_DIGEST;
		command.peer_message->sender = instance_of(1, 3).peer;
		name_set(&command.peer_message->digest.service, "s");
		command.peer_message->digest.entry_count = 1;
		command.peer_message->digest.entries[0].backend =
			addr_of(200, 9000);
		command.peer_message->digest.entries[0].draining = true;
		inst.apply(command);
		inst.tick();
		return;
	}
}

/* Takes every slot and frees those of the other backend servers again. */
void grant_all(TestInstance &inst, std::vector<struct grant_event> *there)
{
	std::vector<struct grant_event> others;

	for (uint64_t i = 0; i < BACKENDS * SLOTS_HERE; i++) {
		const struct event *event =
			inst.about(inst.request("/s/write", i));

		ASSERT_NE(event, nullptr);
		ASSERT_EQ(event->kind, EVENT_GRANT);
		if (event->grant.backend.ip == addr_of(200, 9000).ip)
			there->push_back(event->grant);
		else
			others.push_back(event->grant);
	}
	for (const struct grant_event &grant : others)
		inst.finish(grant, ended(EVIDENCE_OK));
}

TEST(RecallTest, GrantsToAServerThatWantsNoNewWorkComeBack)
{
	for (const auto &c : recall_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		struct doc_shape shape;
		std::vector<struct grant_event> there;
		uint32_t recalled = 0;

		shape.backends = BACKENDS;
		shape.budget_ms = 5000;
		inst.list(3);
		inst.accept(make_doc(shape));
		inst.pass_ms(10000);
		inst.forget();
		grant_all(inst, &there);
		ASSERT_EQ(there.size(), SLOTS_HERE);
		learn(inst, c.learned, there[0]);
		for (const struct event &event : inst.events) {
			if (event.kind != EVENT_RECALL)
				continue;
			recalled += event.recall.exchange.index ==
				    there[1].exchange.index;
		}
		ASSERT_EQ(recalled, c.recalled ? 1u : 0u);
		if (!c.recalled)
			continue;
		/* Once a grant, and chosen again for another server. */
		inst.forget();
		inst.tick();
		EXPECT_EQ(inst.count(EVENT_RECALL), 0u);
		inst.finish(there[1], ended(EVIDENCE_LATE, false));
		ASSERT_EQ(inst.count(EVENT_GRANT), 1u);
		for (const struct event &event : inst.events) {
			if (event.kind != EVENT_GRANT)
				continue;
			EXPECT_NE(event.grant.backend.ip,
				  addr_of(200, 9000).ip);
		}
	}
}

} // namespace
