/*
 * Drain and pause notices of a start of a backend server. They must stay in
 * force when its entry in the document lapses and comes back, or the document
 * says that it is ready; else a draining or paused server gets requests.
 */
#include "test_instance.h"

extern "C" {
#include "command/start_notice.h"
}

namespace
{

/* What changes after backend server 0, of two, has sent a notice. */
enum change_kind {
	CHANGE_NONE,
	CHANGE_READY,
	CHANGE_LAPSE,
	CHANGE_OTHER_SERVER,
	CHANGE_OTHER_START,
	CHANGE_RESTART
};

/* Longer than each case takes. */
const uint64_t PAUSE_S = 600;

struct change_case {
	const char *name;
	const char *start; /* empty when starts have no names */
	enum change_kind change;
	bool granted_after_drain;
	bool granted_after_pause;
};

const struct change_case change_cases[] = {
	{ "a minute passes", "i-1", CHANGE_NONE, false, false },
	{ "a document says that it is ready", "i-1", CHANGE_READY, false,
	  false },
	{ "its entry lapses and comes back", "i-1", CHANGE_LAPSE, false,
	  false },
	{ "the other server restarts", "i-1", CHANGE_OTHER_SERVER, false,
	  false },
	{ "a new start has another name", "i-1", CHANGE_OTHER_START, true,
	  true },
	{ "a new start has the same name", "i-1", CHANGE_RESTART, true, true },
	{ "a minute passes, starts have no names", "", CHANGE_NONE, true,
	  false },
	{ "its entry lapses, starts have no names", "", CHANGE_LAPSE, true,
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

void make_change(TestInstance &inst, const struct change_case &c)
{
	struct service_doc *doc;

	switch (c.change) {
	case CHANGE_NONE:
		inst.pass_ms(60000);
		return;
	case CHANGE_READY:
		inst.accept(doc_of(2, c.start));
		return;
	case CHANGE_LAPSE:
		doc = doc_of(2, c.start);
		doc->backends[0] = doc->backends[1];
		doc->backend_count = 1;
		inst.accept(doc);
		inst.pass_ms(5000);
		inst.accept(doc_of(3, c.start));
		return;
	case CHANGE_OTHER_SERVER:
		doc = doc_of(2, c.start);
		name_set(&doc->backends[1].start.instance, "another");
		inst.accept(doc);
		return;
	case CHANGE_RESTART:
		doc = doc_of(2, c.start);
		doc->backends[0].start.started_unix_ms = 1000;
		inst.accept(doc);
		return;
	case CHANGE_OTHER_START:
		inst.accept(doc_of(2, "i-2"));
		return;
	}
}

/* Whether backend server 0 gets requests after a notice and a change. */
bool gets_requests_after(const struct change_case &c,
			 struct backend_notice notice)
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
		event = inst.last_result_of(inst.request("/s/short", i));
		if (!event || event->kind != EVENT_GRANT)
			continue;
		evidence.notice = {};
		if (event->grant.backend.ip == addr_of(200, 9000).ip)
			evidence.notice = notice;
		inst.finish(event->grant, evidence);
	}
	inst.forget();
	EXPECT_FALSE(gets_requests(inst));
	make_change(inst, c);
	inst.pass_ms(5000);
	inst.forget();
	return gets_requests(inst);
}

TEST(StartNoticeTest, NoticeHoldsUntilServerRestarts)
{
	for (const auto &c : change_cases) {
		SCOPED_TRACE(c.name);
		EXPECT_EQ(gets_requests_after(c, { true, 0 }),
			  c.granted_after_drain);
		EXPECT_EQ(gets_requests_after(c, { false, PAUSE_S * US_PER_S }),
			  c.granted_after_pause);
	}
}

struct capacity_case {
	const char *name;
	uint32_t others; /* starts whose notice comes after the first one */
	struct backend_notice notice; /* notice of the others */
	uint64_t elapsed_us; /* after the first notice, before the others */
	bool stored; /* the first notice is still stored */
};

const struct capacity_case capacity_cases[] = {
	{ "as many notices as can be stored",
	  START_NOTICES_MAX - 1,
	  { true, 0 },
	  0,
	  true },
	{ "one more, all in force: the oldest is replaced",
	  START_NOTICES_MAX,
	  { true, 0 },
	  0,
	  false },
	{ "one more, but the others are expired pauses",
	  START_NOTICES_MAX,
	  { false, 1 },
	  5,
	  true },
};

TEST(StartNoticeTest, ReplacesExpiredNoticesFirst)
{
	for (const auto &c : capacity_cases) {
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
		now.mono_us += c.elapsed_us;
		for (uint32_t i = 0; i < c.others; i++) {
			struct start_id other = first;

			other.started_unix_ms = i + 1;
			start_notice_store(service, &other, &c.notice, now);
		}
		EXPECT_EQ(start_notice_find(service, &first) != NULL, c.stored);
	}
}

} // namespace
