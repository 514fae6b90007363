/*
 * What a start of a backend server said in an answer, that it drains or wants a pause,
 * holds as long as it said, whatever happens to its entry.
 */
#include "test_instance.h"

extern "C" {
#include "command/start_notice.h"
}

namespace
{

/* What happens after backend server 0, of two, has said so. */
enum since {
	SINCE_TIME,
	SINCE_READY,
	SINCE_LAPSE,
	SINCE_OTHERS,
	SINCE_START,
	SINCE_RESTART
};

/* Longer than all that happens here. */
const uint64_t PAUSE_S = 600;

struct since_case {
	const char *name;
	const char *start; /* empty for a server that does not name its starts */
	enum since since;
	bool drained_works;
	bool paused_works;
};

const struct since_case since_cases[] = {
	{ "a minute passes", "i-1", SINCE_TIME, false, false },
	{ "a document says that it is ready", "i-1", SINCE_READY, false,
	  false },
	{ "its entry lapses and comes back", "i-1", SINCE_LAPSE, false, false },
	{ "other servers change", "i-1", SINCE_OTHERS, false, false },
	{ "a new start comes", "i-1", SINCE_START, true, true },
	{ "a new start comes under the same name", "i-1", SINCE_RESTART, true,
	  true },
	{ "a minute passes, starts have no names", "", SINCE_TIME, true,
	  false },
	{ "its entry lapses, starts have no names", "", SINCE_LAPSE, true,
	  true },
};

struct service_doc *doc_of(uint64_t version, const char *start)
{
	struct doc_shape shape;
	struct service_doc *doc;

	shape.backends = 2;
	doc = make_doc(shape, version);
	if (start[0] != '\0')
		name_set(&doc->backends[0].start.instance, start);
	return doc;
}

void let_happen(TestInstance &inst, const struct since_case &c)
{
	struct service_doc *doc;

	switch (c.since) {
	case SINCE_TIME:
		inst.pass_ms(60000);
		return;
	case SINCE_READY:
		inst.accept(doc_of(2, c.start));
		return;
	case SINCE_LAPSE:
		doc = doc_of(2, c.start);
		doc->backends[0] = doc->backends[1];
		doc->backend_count = 1;
		inst.accept(doc);
		inst.pass_ms(5000);
		inst.accept(doc_of(3, c.start));
		return;
	case SINCE_OTHERS:
		doc = doc_of(2, c.start);
		name_set(&doc->backends[1].start.instance, "another");
		inst.accept(doc);
		return;
	case SINCE_RESTART:
		doc = doc_of(2, c.start);
		doc->backends[0].start.started_unix_ms = 1000;
		inst.accept(doc);
		return;
	case SINCE_START:
		inst.accept(doc_of(2, "i-2"));
		return;
	}
}

bool gets_work(TestInstance &inst)
{
	const uint32_t requests = 12;
	bool works = false;

	for (uint32_t i = 0; i < requests; i++) {
		const struct event *event =
			inst.about(inst.request("/s/short", i));

		if (!event || event->kind != EVENT_GRANT)
			continue;
		works |= event->grant.backend.ip == addr_of(200, 9000).ip;
		inst.finish(event->grant, ended(EVIDENCE_OK));
	}
	return works;
}

/* Backend server 0 says @notice, then something happens. */
bool works_after(const struct since_case &c, struct backend_notice notice)
{
	TestInstance inst;
	const struct event *event = NULL;
	struct evidence evidence = ended(EVIDENCE_OK);

	inst.list(1);
	inst.accept(doc_of(1, c.start));
	inst.pass_ms(10000);
	if (notice.pause_until_us > 0)
		notice.pause_until_us += inst.now.mono_us;
	for (uint32_t i = 0; i < 12; i++) {
		event = inst.about(inst.request("/s/short", i));
		if (!event || event->kind != EVENT_GRANT)
			continue;
		evidence.notice = {};
		if (event->grant.backend.ip == addr_of(200, 9000).ip)
			evidence.notice = notice;
		inst.finish(event->grant, evidence);
	}
	inst.forget();
	EXPECT_FALSE(gets_work(inst));
	let_happen(inst, c);
	inst.pass_ms(5000);
	inst.forget();
	return gets_work(inst);
}

TEST(StartWordTest, WhatAStartSaidHoldsWhateverHappensToItsEntry)
{
	for (const auto &c : since_cases) {
		SCOPED_TRACE(c.name);
		EXPECT_EQ(works_after(c, { true, 0 }), c.drained_works);
		EXPECT_EQ(works_after(c, { false, PAUSE_S * US_PER_S }),
			  c.paused_works);
	}
}

struct room_case {
	const char *name;
	uint32_t others; /* starts that say something after the first */
	struct backend_notice notice; /* what the others say */
	uint64_t passes_us; /* before that */
	bool kept;
};

const struct room_case room_cases[] = {
	{ "few", START_NOTICES_MAX - 1, { true, 0 }, 0, true },
	{ "too many", START_NOTICES_MAX, { true, 0 }, 0, false },
	{ "too many, but pauses that are over",
	  START_NOTICES_MAX,
	  { false, 1 },
	  5,
	  true },
};

TEST(StartWordTest, AWordThatHoldsIsKeptBeforeOneThatIsOver)
{
	for (const auto &c : room_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		struct start_id first = {};
		struct backend_notice drains = { true, 0 };
		struct service *service;
		struct instant now = {};

		inst.list(1);
		inst.accept(doc_of(1, "i-1"));
		service = inst.service();
		name_set(&first.instance, "first");
		start_notice_store(service, &first, &drains, now);
		now.mono_us += c.passes_us;
		for (uint32_t i = 0; i < c.others; i++) {
			struct start_id other = first;

			other.started_unix_ms = i + 1;
			start_notice_store(service, &other, &c.notice, now);
		}
		EXPECT_EQ(start_notice_find(service, &first) != NULL, c.kept);
	}
}

} // namespace
