/*
 * A start of a backend server that has ended or drains stays so, whatever
 * reader's document lists it again as it was before; else an instance sends
 * requests to a server that it has seen leave (review/8, review/9, review/10).
 */
#include "test_instance.h"

extern "C" {
#include "query/health.h"
}

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

struct service_doc *doc_of(const struct listed_step &step, uint64_t version)
{
	struct doc_shape shape;
	struct service_doc *doc;

	shape.backends = 3;
	doc = make_doc(shape, version);
	for (uint32_t i = 0; i < shape.backends; i++) {
		doc->backends[i].start.started_unix_ms = 7;
		doc->backends[i].writes = 1;
		name_set(&doc->backends[i].start.instance,
			 ("i-" + std::to_string(i)).c_str());
	}
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
 * An instance that has started since knows nothing of the start; the others
 * say in their digests that it has left, and take that back.
 */
TEST(StartRecordTest, OtherHomesAreTold)
{
	for (const auto &c : record_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		struct peer_digest digest = {};
		bool draining = false;

		make_steps(inst, c);
		health_digest(inst.service(), inst.now, &digest);
		for (uint32_t i = 0; i < digest.entry_count; i++) {
			if (digest.entries[i].backend.ip ==
			    addr_of(200, 9000).ip)
				draining = digest.entries[i].draining;
		}
		EXPECT_EQ(draining, !c.granted);
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
