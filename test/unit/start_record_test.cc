/*
 * A start of a backend server that has ended or drains stays so, whatever
 * reader's document lists it again as it was before; else an instance sends
 * requests to a server that it has seen leave (review/8, review/9, review/10,
 * review/14).
 */
#include "test_instance.h"

extern "C" {
#include "core/document_version.h"
}

namespace
{

/* A state of the store: era and revision. */
struct point {
	uint64_t era;
	uint64_t revision;

	uint64_t version() const
	{
		return doc_version(era, revision);
	}
};

/*
 * A version of the document and backend server 0 in it; the others stay listed,
 * as written at the beginning.
 */
struct listed_step {
	struct point at;
	bool listed;
	struct point written = { 0, 0 }; /* none: the document lacks it */
	bool draining = false;
	uint64_t started_unix_ms = 7;
};

struct record_case {
	const char *name;
	std::vector<struct listed_step> steps;
	bool granted; /* it gets requests after the last step */
};

const struct record_case record_cases[] = {
	/* Within an era. */
	{ "an entry equal to the one removed",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 31 }, false },
	    { { 1, 32 }, true, { 1, 30 } } },
	  false },
	{ "an entry written since",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 31 }, false },
	    { { 1, 32 }, true, { 1, 32 } } },
	  true },
	{ "the same one for the second time, in two documents",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 31 }, false },
	    { { 1, 32 }, true, { 1, 30 } },
	    { { 1, 33 }, true, { 1, 30 } } },
	  false },
	{ "a write that no document had, before it was removed",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 35 }, false },
	    { { 1, 36 }, true, { 1, 33 } } },
	  false },
	{ "removed twice",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 31 }, false },
	    { { 1, 32 }, true, { 1, 30 } },
	    { { 1, 33 }, false },
	    { { 1, 34 }, true, { 1, 30 } } },
	  false },
	{ "it drains, and an older document says that it is ready",
	  { { { 1, 30 }, true, { 1, 30 }, true },
	    { { 1, 31 }, true, { 1, 29 } } },
	  false },
	{ "it drains, and two older documents say that it is ready",
	  { { { 1, 30 }, true, { 1, 30 }, true },
	    { { 1, 31 }, true, { 1, 29 } },
	    { { 1, 32 }, true, { 1, 29 } } },
	  false },
	{ "it has drained and is ready by a later write",
	  { { { 1, 30 }, true, { 1, 30 }, true },
	    { { 1, 31 }, true, { 1, 31 } } },
	  true },
	{ "an older document of a ready one",
	  { { { 1, 30 }, true, { 1, 30 } }, { { 1, 31 }, true, { 1, 29 } } },
	  true },
	{ "another start at the address",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 31 }, false },
	    { { 1, 32 }, true, { 1, 32 }, false, 8 } },
	  true },
	{ "a start that comes",
	  { { { 1, 30 }, false }, { { 1, 31 }, true, { 1, 31 } } },
	  true },
	/* After the store has come back from an older copy. */
	{ "a copy from before the end",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 31 }, false },
	    { { 2, 30 }, true, { 2, 30 } } },
	  false },
	{ "a copy with a write that no document had",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 35 }, false },
	    { { 2, 34 }, true, { 2, 33 } } },
	  false },
	{ "the same in two documents",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 35 }, false },
	    { { 2, 34 }, true, { 2, 33 } },
	    { { 2, 38 }, true, { 2, 33 } } },
	  false },
	{ "a copy of an earlier era, with a higher revision than the end",
	  { { { 1, 90 }, true, { 1, 88 } },
	    { { 2, 30 }, true, { 2, 30 } },
	    { { 2, 32 }, true, { 2, 32 } },
	    { { 2, 35 }, false },
	    { { 3, 85 }, true, { 3, 84 } } },
	  false },
	{ "two copies, the second one older",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 35 }, false },
	    { { 2, 34 }, true, { 2, 33 } },
	    { { 3, 31 }, true, { 3, 30 } } },
	  false },
	{ "it lapses in the new era and comes back by another copy",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 35 }, false },
	    { { 2, 34 }, true, { 2, 33 } },
	    { { 2, 60 }, false },
	    { { 3, 34 }, true, { 3, 33 } } },
	  false },
	{ "written in the new era",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 35 }, false },
	    { { 2, 34 }, true, { 2, 33 } },
	    { { 2, 35 }, true, { 2, 35 } } },
	  true },
	{ "written in the new era, below the revision of its end",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 95 }, false },
	    { { 2, 34 }, true, { 2, 33 } },
	    { { 2, 36 }, true, { 2, 36 } } },
	  true },
	{ "written before a document of the new era",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 35 }, false },
	    { { 2, 36 }, true, { 2, 36 } },
	    { { 2, 37 }, true, { 2, 37 } } },
	  true },
	{ "an entry of the era before that the copy lacks",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 1, 35 }, false },
	    { { 2, 34 }, true, { 1, 30 } } },
	  false },
	{ "the copy lacks one that lives, which writes again",
	  { { { 1, 30 }, true, { 1, 30 } },
	    { { 2, 20 }, false },
	    { { 2, 22 }, true, { 2, 22 } } },
	  true },
	{ "the copy has one that lives",
	  { { { 1, 30 }, true, { 1, 30 } }, { { 2, 28 }, true, { 2, 27 } } },
	  true },
	{ "the copy has a ready entry of one that drains",
	  { { { 1, 30 }, true, { 1, 30 }, true },
	    { { 2, 28 }, true, { 2, 27 } } },
	  false },
	{ "the same in two documents",
	  { { { 1, 30 }, true, { 1, 30 }, true },
	    { { 2, 28 }, true, { 2, 27 } },
	    { { 2, 33 }, true, { 2, 27 } } },
	  false },
	{ "it drained, lapsed and is in the copy as ready",
	  { { { 1, 30 }, true, { 1, 30 }, true },
	    { { 1, 31 }, false },
	    { { 2, 28 }, true, { 2, 27 } } },
	  false },
	{ "one that no document had, by the copy",
	  { { { 1, 30 }, false }, { { 2, 32 }, true, { 2, 31 } } },
	  false },
	{ "one that no document had, which writes",
	  { { { 1, 30 }, false },
	    { { 2, 32 }, true, { 2, 31 } },
	    { { 2, 33 }, true, { 2, 33 } } },
	  true },
	{ "one that comes in the new era",
	  { { { 1, 30 }, false },
	    { { 2, 32 }, false },
	    { { 2, 33 }, true, { 2, 33 } } },
	  true },
	{ "documents that do not give the writes",
	  { { { 1, 30 }, true, { 0, 0 } },
	    { { 1, 31 }, false },
	    { { 2, 30 }, true, { 0, 0 } } },
	  true },
	{ "starts without a time are told apart by their writes",
	  { { { 1, 30 }, true, { 1, 30 }, false, 0 },
	    { { 1, 31 }, false },
	    { { 2, 30 }, true, { 2, 30 }, false, 0 } },
	  false },
	{ "a start without a time that writes again",
	  { { { 1, 30 }, true, { 1, 30 }, false, 0 },
	    { { 1, 31 }, false },
	    { { 1, 32 }, true, { 1, 32 }, false, 0 } },
	  true },
	{ "a store that states no era",
	  { { { 0, 30 }, true, { 0, 30 } },
	    { { 0, 31 }, false },
	    { { 0, 32 }, true, { 0, 30 } } },
	  false },
};

/* A document whose servers have started at 7 and written at the beginning. */
struct service_doc *doc_of_starts(const struct doc_shape &shape,
				  uint64_t version)
{
	struct service_doc *doc = make_doc(shape, version);

	for (uint32_t i = 0; i < shape.backends; i++) {
		doc->backends[i].start.started_unix_ms = 7;
		doc->backends[i].written_version = 1;
		name_set(&doc->backends[i].start.instance,
			 ("i-" + std::to_string(i)).c_str());
	}
	return doc;
}

struct service_doc *doc_of(const struct listed_step &step)
{
	struct doc_shape shape;
	struct service_doc *doc;

	shape.backends = 3;
	doc = doc_of_starts(shape, step.at.version());
	doc->store_era = step.at.era;
	if (!step.listed) {
		doc->backends[0] = doc->backends[--doc->backend_count];
		return doc;
	}
	doc->backends[0].written_version = step.written.version();
	doc->backends[0].draining = step.draining;
	doc->backends[0].start.started_unix_ms = step.started_unix_ms;
	return doc;
}

void make_steps(TestInstance &inst, const struct record_case &c)
{
	inst.list(1);
	for (const auto &step : c.steps) {
		inst.accept(doc_of(step));
		inst.pass_ms(10000);
	}
}

TEST(StartRecordTest, WhatHasEndedStaysEnded)
{
	for (const auto &c : record_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		make_steps(inst, c);
		inst.forget();
		EXPECT_EQ(gets_requests(inst), c.granted);
	}
}

/*
 * Passes on what has been sent to instance @to.
 *
 * Return: whether a datagram told of starts that have left.
 */
bool pass_on(TestInstance &from, uint32_t to_index, TestInstance &to)
{
	bool told = false;

	for (struct event &event : from.events) {
		if (event.kind != EVENT_PEER_SEND ||
		    !addr_equal(event.peer_send.to,
				instance_of(to_index, 3).peer))
			continue;
		told |= event.peer_send.message->kind == PEER_LEFT_STARTS;
		to.receive(g_steal_pointer(&event.peer_send.message));
	}
	return told;
}

/* The same for what the last @ms have sent. */
bool deliver(TestInstance &from, uint32_t to_index, TestInstance &to,
	     uint64_t ms)
{
	from.forget();
	from.pass_ms(ms);
	return pass_on(from, to_index, to);
}

/*
 * An instance that has started since knows nothing of the start, and sends it
 * requests until the store drops its entry, unless one that knows tells it. It
 * tells others in turn.
 */
TEST(StartRecordTest, OthersAreTold)
{
	for (const auto &c : record_cases) {
		SCOPED_TRACE(c.name);
		TestInstance knows;
		TestInstance started(1);
		TestInstance told(2);

		make_steps(knows, c);
		knows.list(3);
		started.list(3);
		told.list(3);
		started.accept(doc_of(c.steps.back()));
		told.accept(doc_of(c.steps.back()));
		EXPECT_EQ(deliver(knows, 1, started, 600), !c.granted);
		EXPECT_EQ(started.count_audit(AUDIT_DRAIN_BEGUN) > 0,
			  !c.granted);
		EXPECT_EQ(deliver(started, 2, told, 600), !c.granted);
		for (TestInstance *inst : { &started, &told }) {
			inst->forget();
			EXPECT_EQ(gets_requests(*inst), c.granted);
		}
	}
}

/* What a peer says of server 0 of an instance that lists it. */
struct heard_case {
	const char *name;
	std::vector<struct listed_step> steps; /* its documents so far */
	uint64_t started_unix_ms;
	struct point seen; /* state in which it had left */
	std::vector<struct listed_step> later; /* documents after it */
	bool granted;
};

const struct listed_step listed_at_30 = { { 1, 30 }, true, { 1, 30 } };

const struct heard_case heard_cases[] = {
	{ "it has left", { listed_at_30 }, 7, { 1, 31 }, {}, false },
	{ "it has left, and a document lists it again",
	  { listed_at_30 },
	  7,
	  { 1, 31 },
	  { { { 1, 32 }, false }, { { 1, 33 }, true, { 1, 30 } } },
	  false },
	{ "it has left in a later state than that listed",
	  { listed_at_30 },
	  7,
	  { 1, 50 },
	  { { { 1, 40 }, true, { 1, 40 } } },
	  false },
	{ "it has left, and writes again",
	  { listed_at_30 },
	  7,
	  { 1, 31 },
	  { { { 1, 32 }, true, { 1, 32 } } },
	  true },
	{ "it has left in an earlier state than that listed",
	  { listed_at_30 },
	  7,
	  { 1, 20 },
	  {},
	  true },
	{ "it has left in an earlier state than that known",
	  { { { 1, 29 }, true, { 1, 29 } },
	    listed_at_30,
	    { { 2, 25 }, true, { 2, 24 } } },
	  7,
	  { 1, 28 },
	  {},
	  true },
	{ "it has left in the era before, and the copy has it",
	  { { { 2, 25 }, true, { 2, 24 } } },
	  7,
	  { 1, 30 },
	  {},
	  false },
	{ "the same, and it writes",
	  { { { 2, 25 }, true, { 2, 24 } } },
	  7,
	  { 1, 30 },
	  { { { 2, 26 }, true, { 2, 26 } } },
	  true },
	{ "it has left in the era before, and has written since",
	  { { { 2, 25 }, true, { 2, 24 } }, { { 2, 26 }, true, { 2, 26 } } },
	  7,
	  { 1, 30 },
	  {},
	  true },
	{ "another start has left", { listed_at_30 }, 6, { 1, 90 }, {}, true },
	{ "one that is not listed has left",
	  { listed_at_30, { { 1, 31 }, false } },
	  7,
	  { 1, 90 },
	  { { { 1, 40 }, true, { 1, 40 } } },
	  true },
};

/* What another instance says of a start of server 0. */
struct peer_message *left_start_message(uint64_t started_unix_ms,
					uint64_t version)
{
	struct peer_message *message = g_new0(struct peer_message, 1);
	struct left_start *heard = &message->left_starts.starts[0];

	message->sender = instance_of(1, 3).peer;
	message->kind = PEER_LEFT_STARTS;
	message->left_starts.start_count = 1;
	name_set(&heard->service, "s");
	name_set(&heard->start.instance, "i-0");
	heard->start.started_unix_ms = started_unix_ms;
	heard->version = version;
	return message;
}

/* Neither what is known to have ended is used, nor a server that lives lost. */
TEST(StartRecordTest, PeersAreHeard)
{
	for (const auto &c : heard_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		inst.list(2);
		for (const auto &step : c.steps)
			inst.accept(doc_of(step));
		inst.receive(left_start_message(c.started_unix_ms,
						c.seen.version()));
		for (const auto &step : c.later)
			inst.accept(doc_of(step));
		inst.pass_ms(10000);
		inst.forget();
		EXPECT_EQ(gets_requests(inst), c.granted);
	}
}

/*
 * An instance that learns of the era by a late document cannot tell a write from
 * the copy; one that knows where the era began tells it.
 */
TEST(StartRecordTest, BeginOfTheEraIsTold)
{
	const struct listed_step steps[] = {
		{ { 1, 30 }, false },
		{ { 2, 40 }, true, { 2, 36 } },
	};
	TestInstance knows;
	TestInstance late(1);

	knows.list(2);
	late.list(2);
	knows.accept(doc_of({ { 2, 34 }, false }));
	for (const auto &step : steps)
		late.accept(doc_of(step));
	EXPECT_EQ(late.service()->left_backends, 1u);
	EXPECT_TRUE(deliver(late, 0, knows, 600));
	EXPECT_TRUE(pass_on(knows, 1, late));
	EXPECT_EQ(late.service()->left_backends, 0u);
	late.pass_ms(10000);
	late.forget();
	EXPECT_TRUE(gets_requests(late));
}

/*
 * What is known of a service that has lapsed as a whole is kept; else a peer's
 * word of one start puts others back in use that have ended.
 */
TEST(StartRecordTest, WordOfOneStartForgetsNoOther)
{
	const uint32_t lapsed = 70;
	TestInstance inst;
	struct doc_shape shape;
	struct service_doc *doc;

	inst.list(2);
	shape.backends = lapsed;
	inst.accept(doc_of_starts(shape, 1));
	shape.backends = 0;
	inst.accept(make_doc(shape, 2));
	shape.backends = 1;
	doc = doc_of_starts(shape, 3);
	doc->backends[0].start.started_unix_ms = 8;
	inst.accept(doc);
	inst.receive(left_start_message(8, 2));
	shape.backends = lapsed;
	inst.accept(doc_of_starts(shape, 4));
	EXPECT_EQ(inst.service()->left_backends, lapsed);
}

/* A full list of a service, or one that shrinks, forgets no end. */
TEST(StartRecordTest, EndsOfAShrinkingServiceAreKept)
{
	for (uint32_t from : { 200u, (uint32_t)DOC_BACKENDS_MAX }) {
		SCOPED_TRACE(from);
		TestInstance inst;
		struct doc_shape shape;
		uint64_t version = 0;

		inst.list(1);
		for (shape.backends = from; shape.backends > 0;
		     shape.backends = shape.backends * 2 / 3)
			inst.accept(doc_of_starts(shape, ++version));
		shape.backends = from;
		inst.accept(doc_of_starts(shape, doc_version(1, 1)));
		EXPECT_EQ(inst.service()->left_backends, from - 1);
	}
}

/* Servers of a service that end and are replaced, three in each document. */
struct bound_case {
	const char *name;
	uint32_t ended; /* starts that end, one after the other */
	uint32_t records;
	bool first_granted; /* the first of them, when it is listed again */
};

const struct bound_case bound_cases[] = {
	{ "there is room for the last one that ends", 69, 69, false },
	{ "there is none", 70, 70, true },
	{ "many more have ended", 700, 70, true },
};

TEST(StartRecordTest, OldestIsForgotten)
{
	for (const auto &c : bound_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		uint64_t revision = 10;

		inst.list(1);
		for (uint64_t start = 1; start <= c.ended + 1; start++) {
			revision++;
			inst.accept(doc_of({ { 1, revision },
					     true,
					     { 1, revision },
					     false,
					     start }));
		}
		EXPECT_EQ(g_hash_table_size(inst.service()->start_records),
			  c.records);
		inst.accept(doc_of(
			{ { 1, revision + 1 }, true, { 1, 11 }, false, 1 }));
		inst.pass_ms(10000);
		inst.forget();
		EXPECT_EQ(gets_requests(inst), c.first_granted);
	}
}

} // namespace
