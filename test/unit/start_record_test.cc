/*
 * A start of a backend server that has ended or drains stays so, whatever
 * reader's document lists it again as it was before; else an instance sends
 * requests to a server that it has seen leave (review/8, review/9, review/10).
 */
#include "test_instance.h"

namespace
{

/* Backend server 0 in one version of the document; the others stay listed. */
struct listed_step {
	bool listed;
	uint64_t writes; /* 0: the document does not give them */
	bool draining;
	uint64_t started_unix_ms;
};

const struct listed_step absent = { false, 0, false, 0 };

struct record_case {
	const char *name;
	std::vector<struct listed_step> steps;
	bool granted; /* it gets requests after the last step */
};

const struct record_case record_cases[] = {
	{ "an entry equal to the one removed",
	  { { true, 3, false, 7 }, absent, { true, 3, false, 7 } },
	  false },
	{ "an entry older than the one removed",
	  { { true, 3, true, 7 }, absent, { true, 2, false, 7 } },
	  false },
	{ "an entry written since",
	  { { true, 3, false, 7 }, absent, { true, 4, false, 7 } },
	  true },
	{ "written since, after an older one",
	  { { true, 3, false, 7 },
	    absent,
	    { true, 2, false, 7 },
	    { true, 4, false, 7 } },
	  true },
	{ "the same one for the second time, in two documents",
	  { { true, 3, false, 7 },
	    absent,
	    { true, 3, false, 7 },
	    { true, 3, false, 7 } },
	  false },
	{ "removed twice, the second time in an older state",
	  { { true, 3, false, 7 },
	    absent,
	    { true, 2, false, 7 },
	    absent,
	    { true, 3, false, 7 } },
	  false },
	{ "two documents of it after it was removed, each older",
	  { { true, 3, false, 7 },
	    absent,
	    { true, 3, false, 7 },
	    { true, 2, false, 7 } },
	  false },
	{ "the same of one that drained",
	  { { true, 3, true, 7 },
	    absent,
	    { true, 3, true, 7 },
	    { true, 2, false, 7 },
	    { true, 1, false, 7 } },
	  false },
	{ "it drains, and an older document says that it is ready",
	  { { true, 3, true, 7 }, { true, 2, false, 7 } },
	  false },
	{ "it drains, and two older documents say that it is ready",
	  { { true, 3, true, 7 }, { true, 2, false, 7 }, { true, 2, false, 7 } },
	  false },
	{ "it has drained and is ready by a later write",
	  { { true, 3, true, 7 }, { true, 4, false, 7 } },
	  true },
	{ "an older document of a ready one",
	  { { true, 3, false, 7 }, { true, 2, false, 7 } },
	  true },
	{ "another start at the address",
	  { { true, 3, false, 7 }, absent, { true, 1, false, 8 } },
	  true },
	{ "documents that do not give the writes",
	  { { true, 0, false, 7 }, absent, { true, 0, false, 7 } },
	  true },
	{ "starts without a time cannot be told apart",
	  { { true, 3, false, 0 }, absent, { true, 3, false, 0 } },
	  true },
};

/* A document whose servers have started at 7 and written once. */
struct service_doc *doc_of_starts(const struct doc_shape &shape,
				  uint64_t version)
{
	struct service_doc *doc = make_doc(shape, version);

	for (uint32_t i = 0; i < shape.backends; i++) {
		doc->backends[i].start.started_unix_ms = 7;
		doc->backends[i].writes = 1;
		name_set(&doc->backends[i].start.instance,
			 ("i-" + std::to_string(i)).c_str());
	}
	return doc;
}

struct service_doc *doc_of(const struct listed_step &step, uint64_t version)
{
	struct doc_shape shape;
	struct service_doc *doc;

	shape.backends = 3;
	doc = doc_of_starts(shape, version);
	if (!step.listed) {
		doc->backends[0] = doc->backends[--doc->backend_count];
		return doc;
	}
	doc->backends[0].writes = step.writes;
	doc->backends[0].draining = step.draining;
	doc->backends[0].start.started_unix_ms = step.started_unix_ms;
	return doc;
}

void make_steps(TestInstance &inst, const struct record_case &c)
{
	uint64_t version = 0;

	inst.list(1);
	for (const auto &step : c.steps) {
		inst.accept(doc_of(step, ++version));
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
 * Passes on what the last @ms have sent to instance @to.
 *
 * Return: whether a datagram told of starts that have left.
 */
bool deliver(TestInstance &from, uint32_t to_index, TestInstance &to,
	     uint64_t ms)
{
	bool told = false;

	from.forget();
	from.pass_ms(ms);
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
		uint64_t version = c.steps.size();

		make_steps(knows, c);
		knows.list(3);
		started.list(3);
		told.list(3);
		started.accept(doc_of(c.steps.back(), version));
		told.accept(doc_of(c.steps.back(), version));
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
	uint64_t writes;
	enum start_standing standing;
	std::vector<struct listed_step> later; /* documents after it */
	bool granted;
};

const struct heard_case heard_cases[] = {
	{ "it has ended",
	  { { true, 3, false, 7 } },
	  7,
	  3,
	  START_ENDED,
	  {},
	  false },
	{ "it has ended, and a document lists it again",
	  { { true, 3, false, 7 } },
	  7,
	  3,
	  START_ENDED,
	  { absent, { true, 3, false, 7 } },
	  false },
	{ "it has ended in a later state than that listed",
	  { { true, 3, false, 7 } },
	  7,
	  5,
	  START_ENDED,
	  { { true, 4, false, 7 } },
	  false },
	{ "it drains in a later state",
	  { { true, 3, false, 7 } },
	  7,
	  4,
	  START_DRAINING,
	  {},
	  false },
	{ "it drains in a later state, and has ended then",
	  { { true, 3, false, 7 } },
	  7,
	  4,
	  START_DRAINING,
	  { absent, { true, 4, false, 7 } },
	  false },
	{ "it has ended, and writes again",
	  { { true, 3, false, 7 } },
	  7,
	  3,
	  START_ENDED,
	  { { true, 4, false, 7 } },
	  true },
	{ "it has ended in an earlier state than that listed",
	  { { true, 3, false, 7 } },
	  7,
	  2,
	  START_ENDED,
	  {},
	  true },
	{ "it has ended in an earlier state than that known",
	  { { true, 3, false, 7 }, { true, 2, false, 7 } },
	  7,
	  2,
	  START_ENDED,
	  {},
	  true },
	{ "another start has ended",
	  { { true, 3, false, 7 } },
	  6,
	  9,
	  START_ENDED,
	  {},
	  true },
	{ "one that is not listed has ended",
	  { { true, 3, false, 7 }, absent },
	  7,
	  9,
	  START_ENDED,
	  { { true, 4, false, 7 } },
	  true },
};

/* What another instance says of a start of server 0. */
struct peer_message *left_start_message(uint64_t started_unix_ms,
					uint64_t writes,
					enum start_standing standing)
{
	struct peer_message *message = g_new0(struct peer_message, 1);
	struct left_start *heard = &message->left_starts.starts[0];

	message->sender = instance_of(1, 3).peer;
	message->kind = PEER_LEFT_STARTS;
	message->left_starts.start_count = 1;
	name_set(&heard->service, "s");
	name_set(&heard->start.instance, "i-0");
	heard->start.started_unix_ms = started_unix_ms;
	heard->writes = writes;
	heard->standing = standing;
	return message;
}

/* Neither what is known to have ended is used, nor a server that lives lost. */
TEST(StartRecordTest, PeersAreHeard)
{
	for (const auto &c : heard_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		uint64_t version = 0;

		inst.list(2);
		for (const auto &step : c.steps)
			inst.accept(doc_of(step, ++version));
		inst.receive(left_start_message(c.started_unix_ms, c.writes,
						c.standing));
		for (const auto &step : c.later)
			inst.accept(doc_of(step, ++version));
		inst.pass_ms(10000);
		inst.forget();
		EXPECT_EQ(gets_requests(inst), c.granted);
	}
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
	inst.receive(left_start_message(8, 1, START_ENDED));
	shape.backends = lapsed;
	inst.accept(doc_of_starts(shape, 4));
	EXPECT_EQ(inst.service()->left_backends, lapsed);
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
		uint64_t version = 0;

		inst.list(1);
		for (uint64_t start = 1; start <= c.ended + 1; start++)
			inst.accept(
				doc_of({ true, 3, false, start }, ++version));
		EXPECT_EQ(g_hash_table_size(inst.service()->start_records),
			  c.records);
		inst.accept(doc_of({ true, 3, false, 1 }, ++version));
		inst.pass_ms(10000);
		inst.forget();
		EXPECT_EQ(gets_requests(inst), c.first_granted);
	}
}

} // namespace
