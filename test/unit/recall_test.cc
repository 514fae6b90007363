/*
 * A grant that waits to be sent while its backend server begins to drain. It
 * must be recalled, else the request goes to a server that accepts no new
 * requests.
 */
#include "test_instance.h"

namespace
{

const uint32_t BACKENDS = 3;
/* Share of this home, one of three, in the six slots of a backend server. */
const uint32_t SLOTS_HERE = 2;

/* Where the drain of backend server 0 is learned from. */
enum source {
	SOURCE_NONE,
	SOURCE_DOCUMENT,
	SOURCE_REMOVED,
	SOURCE_OTHER_START,
	SOURCE_ANSWER,
	SOURCE_ANSWER_HEAD,
	SOURCE_LOAD_REPORT,
	SOURCE_DIGEST,
};

struct recall_case {
	const char *name;
	enum source source;
	bool recalled;
};

const struct recall_case recall_cases[] = {
	{ "new document without a drain", SOURCE_NONE, false },
	{ "new document with a drain", SOURCE_DOCUMENT, true },
	{ "new document without the server", SOURCE_REMOVED, true },
	{ "new document, another start at its address", SOURCE_OTHER_START,
	  true },
	{ "answer with a drain notice", SOURCE_ANSWER, true },
	{ "head of an answer with a drain notice", SOURCE_ANSWER_HEAD, true },
	{ "load report with a drain", SOURCE_LOAD_REPORT, true },
	{ "digest of another home with a drain", SOURCE_DIGEST, true },
};

struct service_doc *next_doc(enum source source)
{
	struct doc_shape shape;
	struct service_doc *doc;

	shape.backends = BACKENDS;
	shape.budget_ms = 5000;
	doc = make_doc(shape, 2);
	if (source == SOURCE_DOCUMENT)
		doc->backends[0].draining = true;
	if (source == SOURCE_REMOVED)
		doc->backends[0].addr = addr_of(250, 9000);
	if (source == SOURCE_OTHER_START)
		name_set(&doc->backends[0].start.instance, "another");
	return doc;
}

void report_drain(TestInstance &inst, enum source source,
		  const struct grant_event &other)
{
	struct evidence evidence = ended(EVIDENCE_OK);
	struct command command = {};

	switch (source) {
	case SOURCE_NONE:
	case SOURCE_DOCUMENT:
	case SOURCE_REMOVED:
	case SOURCE_OTHER_START:
		inst.accept(next_doc(source));
		return;
	case SOURCE_ANSWER:
		evidence.notice.draining = true;
		inst.finish(other, evidence);
		return;
	case SOURCE_ANSWER_HEAD:
		command.kind = COMMAND_OBSERVE_ANSWER_NOTICE;
		command.observe_answer_notice.exchange = other.exchange;
		command.observe_answer_notice.notice.draining = true;
		inst.apply(command);
		return;
	case SOURCE_LOAD_REPORT:
		command.kind = COMMAND_PROBE_RESULT;
		name_set(&command.probe_result.service, "s");
		command.probe_result.backend = addr_of(200, 9000);
		command.probe_result.answered = true;
		command.probe_result.healthy = true;
		command.probe_result.draining = true;
		inst.apply(command);
		return;
	case SOURCE_DIGEST:
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

/* Takes all slots, then frees those of the other backend servers. */
void grant_all(TestInstance &inst,
	       std::vector<struct grant_event> *draining_grants)
{
	std::vector<struct grant_event> others;

	for (uint64_t i = 0; i < BACKENDS * SLOTS_HERE; i++) {
		const struct event *event =
			inst.last_result_of(inst.request("/s/write", i));

		ASSERT_NE(event, nullptr);
		ASSERT_EQ(event->kind, EVENT_GRANT);
		if (event->grant.backend.ip == addr_of(200, 9000).ip)
			draining_grants->push_back(event->grant);
		else
			others.push_back(event->grant);
	}
	for (const struct grant_event &grant : others)
		inst.finish(grant, ended(EVIDENCE_OK));
}

TEST(RecallTest, RecallsUnsentGrantsOfDrainingServer)
{
	for (const auto &c : recall_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		struct doc_shape shape;
		std::vector<struct grant_event> draining_grants;
		uint32_t recalled = 0;

		shape.backends = BACKENDS;
		shape.budget_ms = 5000;
		inst.list(3);
		inst.accept(make_doc(shape));
		inst.pass_ms(10000);
		inst.forget();
		grant_all(inst, &draining_grants);
		ASSERT_EQ(draining_grants.size(), SLOTS_HERE);
		report_drain(inst, c.source, draining_grants[0]);
		for (const struct event &event : inst.events) {
			if (event.kind != EVENT_RECALL)
				continue;
			recalled += event.recall.exchange.index ==
				    draining_grants[1].exchange.index;
		}
		ASSERT_EQ(recalled, c.recalled ? 1u : 0u);
		if (!c.recalled)
			continue;
		/* Recalled only once, then granted to another server. */
		inst.forget();
		inst.tick();
		EXPECT_EQ(inst.count(EVENT_RECALL), 0u);
		inst.finish(draining_grants[1], ended(EVIDENCE_LATE, false));
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
