/*
 * Bounded ring and notify queue: tables of single-threaded cases, and tests
 * with two threads that items keep their order and no notification is lost.
 */
#include <gtest/gtest.h>

#include <poll.h>

#include <thread>

extern "C" {
#include "core/clock.h"
#include "core/command.h"
#include "ring/ring.h"
}

namespace
{

enum step_kind { PUSH, PUSH_RESERVED, PUSH_URGENT, POP, CLOSE };

struct step {
	enum step_kind kind;
	int32_t value;
	enum ring_result result;
};

struct ring_case {
	const char *name;
	uint32_t capacity_items;
	uint32_t reserved_items;
	uint32_t urgent_items;
	std::vector<struct step> steps;
};

const struct ring_case ring_cases[] = {
	{ "full ring refuses",
	  2,
	  0,
	  0,
	  { { PUSH, 1, RING_OK },
	    { PUSH, 2, RING_OK },
	    { PUSH, 3, RING_FULL },
	    { POP, 1, RING_OK },
	    { PUSH, 4, RING_OK },
	    { POP, 2, RING_OK },
	    { POP, 4, RING_OK },
	    { POP, 0, RING_TIMEOUT } } },
	{ "reserved capacity is kept for items that must not be lost",
	  2,
	  1,
	  0,
	  { { PUSH, 1, RING_OK },
	    { PUSH, 2, RING_FULL },
	    { PUSH_RESERVED, 3, RING_OK },
	    { PUSH_RESERVED, 4, RING_FULL },
	    { POP, 1, RING_OK },
	    { POP, 3, RING_OK } } },
	{ "urgent items go first, in order, also into a full ring",
	  2,
	  1,
	  2,
	  { { PUSH, 1, RING_OK },
	    { PUSH, 2, RING_FULL },
	    { PUSH_URGENT, 3, RING_OK },
	    { PUSH_URGENT, 4, RING_OK },
	    { PUSH_URGENT, 5, RING_FULL },
	    { POP, 3, RING_OK },
	    { PUSH_URGENT, 6, RING_OK },
	    { POP, 4, RING_OK },
	    { POP, 6, RING_OK },
	    { POP, 1, RING_OK },
	    { POP, 0, RING_TIMEOUT } } },
	{ "a ring without capacity for urgent items",
	  2,
	  0,
	  0,
	  { { PUSH_URGENT, 1, RING_FULL } } },
	{ "closed ring is emptied before it reports the close",
	  2,
	  0,
	  0,
	  { { PUSH, 1, RING_OK },
	    { CLOSE, 0, RING_OK },
	    { PUSH, 2, RING_CLOSED },
	    { POP, 1, RING_OK },
	    { POP, 0, RING_CLOSED } } },
};

enum ring_result run_step(struct ring *ring, const struct step &step)
{
	int32_t value = step.value;
	enum ring_result result = RING_OK;

	switch (step.kind) {
	case PUSH:
		return ring_push(ring, &value);
	case PUSH_RESERVED:
		return ring_push_reserved(ring, &value);
	case PUSH_URGENT:
		return ring_push_urgent(ring, &value);
	case POP:
		result = ring_pop(ring, &value, 0);
		EXPECT_TRUE(result != RING_OK || value == step.value);
		return result;
	case CLOSE:
		ring_close(ring);
		return RING_OK;
	}
	return result;
}

TEST(RingTest, PushPopAndClose)
{
	for (const auto &c : ring_cases) {
		SCOPED_TRACE(c.name);
		struct ring *ring = ring_new(sizeof(int32_t), c.capacity_items,
					     c.reserved_items);

		if (c.urgent_items > 0)
			ring_add_urgent(ring, c.urgent_items);
		for (const auto &step : c.steps)
			EXPECT_EQ(run_step(ring, step), step.result);
		ring_free(ring);
	}
}

TEST(RingTest, PopTimesOutAtDeadline)
{
	struct ring *ring = ring_new(sizeof(int32_t), 1, 0);
	uint64_t deadline_us = clock_now_us() + 20 * US_PER_MS;
	int32_t value = 0;

	EXPECT_EQ(ring_pop(ring, &value, deadline_us), RING_TIMEOUT);
	EXPECT_GE(clock_now_us(), deadline_us);
	ring_free(ring);
}

TEST(RingTest, TwoThreadsKeepOrder)
{
	const int32_t count = 20000;
	struct ring *ring = ring_new(sizeof(int32_t), 64, 0);
	std::thread writer([ring] {
		for (int32_t i = 0; i < count;) {
			if (ring_push(ring, &i) == RING_OK)
				i++;
			else
				std::this_thread::yield();
		}
		ring_close(ring);
	});
	int32_t value = 0;
	int32_t expected = 0;

	while (ring_pop(ring, &value, DEADLINE_NONE_US) == RING_OK)
		EXPECT_EQ(value, expected++);
	EXPECT_EQ(expected, count);
	writer.join();
	ring_free(ring);
}

struct message_case {
	const char *name;
	enum command_kind kind;
	bool urgent;
};

const struct message_case message_cases[] = {
	{ "a document", COMMAND_ACCEPT_CONFIG, true },
	{ "a routing table", COMMAND_ACCEPT_ROUTES, true },
	{ "a list of instances", COMMAND_ACCEPT_INSTANCES, true },
	{ "a notice in the head of an answer", COMMAND_OBSERVE_ANSWER_NOTICE,
	  true },
	{ "a peer message", COMMAND_PEER_MESSAGE, true },
	{ "the end of an exchange", COMMAND_FINISH, false },
	{ "a caller that has disconnected", COMMAND_CANCEL, false },
};

/*
 * On an instance short of CPU time thousands of requests may wait in the ring;
 * configuration, notices and peer messages must not wait behind them.
 */
TEST(RingTest, UrgentMessagesPrecedeWaitingRequests)
{
	const uint32_t capacity_messages = 8;
	struct command admit = {};

	for (const auto &c : message_cases) {
		SCOPED_TRACE(c.name);
		struct ring *ring = message_ring_new(capacity_messages, 1);
		struct command command = {};
		struct message message;

		admit.kind = COMMAND_ADMIT;
		command.kind = c.kind;
		for (uint32_t i = 0; i + 1 < capacity_messages; i++)
			EXPECT_EQ(send_command(ring, &admit), RING_OK);
		EXPECT_EQ(send_command(ring, &admit), RING_FULL);
		EXPECT_EQ(send_command(ring, &command), RING_OK);
		EXPECT_EQ(ring_pop(ring, &message, 0), RING_OK);
		EXPECT_EQ(message.command.kind,
			  c.urgent ? c.kind : COMMAND_ADMIT);
		ring_close(ring);
		ring_free(ring);
	}
}

enum notify_step { PUSH_ITEM, POP_ALL_ITEMS, POP_SUBJECT };

struct notify_case {
	const char *name;
	std::vector<enum notify_step> steps;
	uint32_t queued; /* subjects left in the queue */
};

const struct notify_case notify_cases[] = {
	{ "one notification for two items pushed to an empty ring",
	  { PUSH_ITEM, PUSH_ITEM },
	  1 },
	{ "no other until a pop found the ring empty",
	  { PUSH_ITEM, POP_SUBJECT, PUSH_ITEM },
	  0 },
	{ "another after a pop found the ring empty",
	  { PUSH_ITEM, POP_SUBJECT, POP_ALL_ITEMS, PUSH_ITEM },
	  1 },
	{ "none when nothing is pushed", { POP_ALL_ITEMS }, 0 },
};

TEST(RingTest, NotifiesOnceUntilFoundEmpty)
{
	for (const auto &c : notify_cases) {
		SCOPED_TRACE(c.name);
		struct notify_queue *notify = notify_queue_new(8);
		struct ring *ring = ring_new(sizeof(int32_t), 8, 0);
		struct pollfd poll_fd = { notify_queue_fd(notify), POLLIN, 0 };
		uint32_t queued = 0;
		uint64_t subject;
		int32_t value = 1;

		ring_set_notify_queue(ring, notify, 42);
		for (enum notify_step step : c.steps) {
			if (step == PUSH_ITEM) {
				EXPECT_EQ(ring_push(ring, &value), RING_OK);
			}
			while (step == POP_ALL_ITEMS &&
			       ring_pop(ring, &value, 0) == RING_OK)
				continue;
			if (step == POP_SUBJECT) {
				notify_queue_clear_fd(notify);
				EXPECT_TRUE(notify_queue_pop(notify, &subject));
				EXPECT_EQ(subject, 42U);
			}
		}
		EXPECT_EQ(poll(&poll_fd, 1, 0), c.queued > 0 ? 1 : 0);
		while (notify_queue_pop(notify, &subject))
			queued++;
		EXPECT_EQ(queued, c.queued);
		ring_close(ring);
		ring_free(ring);
		notify_queue_free(notify);
	}
}

TEST(RingTest, NoNotificationIsLostBetweenThreads)
{
	const uint32_t rounds = 20000;
	struct notify_queue *notify = notify_queue_new(8);
	struct ring *ring = ring_new(sizeof(uint32_t), 64, 0);
	uint32_t next = 0;
	uint64_t subject;

	ring_set_notify_queue(ring, notify, 7);
	std::thread writer([ring] {
		for (uint32_t i = 0; i < rounds;) {
			if (ring_push(ring, &i) == RING_OK)
				i++;
			else
				g_thread_yield();
		}
	});
	while (next < rounds) {
		struct pollfd poll_fd = { notify_queue_fd(notify), POLLIN, 0 };
		uint32_t value;

		ASSERT_EQ(poll(&poll_fd, 1, 5000), 1) << next;
		notify_queue_clear_fd(notify);
		while (notify_queue_pop(notify, &subject)) {
			while (ring_pop(ring, &value, 0) == RING_OK)
				EXPECT_EQ(value, next++);
		}
	}
	writer.join();
	ring_close(ring);
	ring_free(ring);
	notify_queue_free(notify);
}

} // namespace
