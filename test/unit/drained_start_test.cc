/* A start of a backend server whose answers said that it drains gets no more work. */
#include "world.h"

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

struct since_case {
	const char *name;
	const char *start; /* empty for a server that does not name its starts */
	enum since since;
	bool works;
};

const struct since_case since_cases[] = {
	{ "a minute passes", "i-1", SINCE_TIME, false },
	{ "a document says that it is ready", "i-1", SINCE_READY, false },
	{ "its entry lapses and comes back", "i-1", SINCE_LAPSE, false },
	{ "other servers change", "i-1", SINCE_OTHERS, false },
	{ "a new start comes", "i-1", SINCE_START, true },
	{ "a new start comes under the same name", "i-1", SINCE_RESTART, true },
	{ "a minute passes, starts have no names", "", SINCE_TIME, true },
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

void let_happen(World &world, const struct since_case &c)
{
	struct service_doc *doc;

	switch (c.since) {
	case SINCE_TIME:
		world.pass_ms(60000);
		return;
	case SINCE_READY:
		world.accept(doc_of(2, c.start));
		return;
	case SINCE_LAPSE:
		doc = doc_of(2, c.start);
		doc->backends[0] = doc->backends[1];
		doc->backend_count = 1;
		world.accept(doc);
		world.pass_ms(5000);
		world.accept(doc_of(3, c.start));
		return;
	case SINCE_OTHERS:
		doc = doc_of(2, c.start);
		name_set(&doc->backends[1].start.instance, "another");
		world.accept(doc);
		return;
	case SINCE_RESTART:
		doc = doc_of(2, c.start);
		doc->backends[0].start.started_unix_ms = 1000;
		world.accept(doc);
		return;
	case SINCE_START:
		world.accept(doc_of(2, "i-2"));
		return;
	}
}

bool gets_work(World &world)
{
	const uint32_t requests = 12;
	bool works = false;

	for (uint32_t i = 0; i < requests; i++) {
		const struct event *event =
			world.about(world.request("/s/short", i));

		works |= event && event->kind == EVENT_GRANT &&
			 event->grant.backend.ip == addr_of(200, 9000).ip;
	}
	return works;
}

TEST(DrainedStartTest, AStartThatSaidItDrainsIsNeverUsedAgain)
{
	for (const auto &c : since_cases) {
		SCOPED_TRACE(c.name);
		World world;
		const struct event *event = NULL;
		struct evidence evidence = ended(EVIDENCE_OK);

		world.list(1);
		world.accept(doc_of(1, c.start));
		world.pass_ms(10000);
		for (uint32_t i = 0; i < 12; i++) {
			event = world.about(world.request("/s/short", i));
			ASSERT_NE(event, nullptr);
			ASSERT_EQ(event->kind, EVENT_GRANT);
			evidence.word.draining = event->grant.backend.ip ==
						 addr_of(200, 9000).ip;
			world.finish(event->grant, evidence);
		}
		world.forget();
		let_happen(world, c);
		world.pass_ms(5000);
		world.forget();
		EXPECT_EQ(gets_work(world), c.works);
	}
}

} // namespace
