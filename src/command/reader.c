#include "command/reader.h"

#include "command/member.h"
#include "command/member_gossip.h"
#include "query/readers.h"

/*
 * Delay of the first read of the platform, in which peers are found and send
 * the documents that they hold.
 */
#define FIRST_READ_DELAY_US US_PER_S
/* Time in which the readers of a starting fleet are heard of. */
#define START_LISTEN_US (2 * US_PER_S)
/* Time in which they are heard of after a pause of this process. */
#define STALL_LISTEN_US US_PER_S
#define HEARTBEAT_INTERVAL_US (200 * US_PER_MS)
/* A reader counts as one for this time after a heartbeat; some may be lost. */
#define HEARTBEAT_TIMEOUT_US (600 * US_PER_MS)
/* Delay of a takeover for each instance before this one that may begin too. */
#define STAGGER_US (30 * US_PER_MS)
/* Time for which a reader tries to reach a platform that answered before. */
#define TRYING_US US_PER_S
/* Of the instances of a domain that back off, one or two try in this time. */
#define BACKOFF_PER_INSTANCE_US (500 * US_PER_MS)
#define BACKOFF_MIN_US US_PER_S

static void begin_backoff(struct state *state, struct instant now);
static uint64_t backoff_us(const struct state *state);
static void update_role(struct state *state, struct instant now,
			struct event_list *out);
static bool others_may_begin(struct state *state, struct instant now);
static void set_role(struct state *state, enum reader_role role,
		     struct event_list *out);
static void set_contact(struct state *state, enum platform_contact contact);
static void send_heartbeats(struct state *state, struct instant now,
			    struct event_list *out);

void reader_start(struct state *state, bool at_once, struct instant now)
{
	struct reader_duty *reader = &state->membership.reader;

	/* Without a delay a whole starting fleet would read the platform. */
	if (!at_once)
		reader->read_after_us = now.mono_us + FIRST_READ_DELAY_US;
	reader->judge_after_us = now.mono_us + START_LISTEN_US;
	reader->heartbeat_due_us = DEADLINE_NONE_US;
}

void reader_restart_listening(struct state *state, struct instant now)
{
	struct reader_duty *reader = &state->membership.reader;

	reader->judge_after_us =
		MAX(reader->judge_after_us, now.mono_us + STALL_LISTEN_US);
}

void reader_handle_message(struct member *sender,
			   const struct peer_message *message,
			   struct instant now)
{
	if (message->incarnation < sender->incarnation)
		return;
	sender->reading_until_us = message->self_report.platform ==
						   PLATFORM_CONTACT_READING ?
					   now.mono_us + HEARTBEAT_TIMEOUT_US :
					   0;
}

void reader_set_platform_state(struct state *state, bool reachable,
			       struct instant now)
{
	struct membership *membership = &state->membership;

	/* Ignores a read that began before the reader role was given up. */
	if (membership->seed_discovery && state->reader_role == READER_NONE)
		return;
	state->platform_reachable = reachable;
	if (reachable)
		state->last_received_us = now.mono_us;
	if (state->reader_role == READER_NONE)
		return;
	if (reachable) {
		set_contact(state, PLATFORM_CONTACT_READING);
		return;
	}
	switch (membership->self.self_report.platform) {
	case PLATFORM_CONTACT_READING:
		membership->reader.trying_until_us = now.mono_us + TRYING_US;
		set_contact(state, PLATFORM_CONTACT_LOST);
		break;
	case PLATFORM_CONTACT_NONE:
	case PLATFORM_CONTACT_BACKOFF:
		begin_backoff(state, now);
		break;
	case PLATFORM_CONTACT_LOST:
		break;
	}
}

void reader_tick(struct state *state, struct instant now,
		 struct event_list *out)
{
	struct membership *membership = &state->membership;

	if (membership->self.self_report.platform == PLATFORM_CONTACT_LOST &&
	    now.mono_us >= membership->reader.trying_until_us)
		begin_backoff(state, now);
	update_role(state, now, out);
	if (membership->self.self_report.platform == PLATFORM_CONTACT_BACKOFF &&
	    now.mono_us >= membership->reader.backoff_until_us &&
	    state->reader_role == READER_NONE)
		set_contact(state, PLATFORM_CONTACT_NONE);
	send_heartbeats(state, now, out);
}

/* Leaves the next tries to other instances, which may reach the platform. */
static void begin_backoff(struct state *state, struct instant now)
{
	state->membership.reader.backoff_until_us =
		now.mono_us + backoff_us(state);
	set_contact(state, PLATFORM_CONTACT_BACKOFF);
}

static uint64_t backoff_us(const struct state *state)
{
	uint64_t span_us =
		MAX(readers_domain_size(state) * BACKOFF_PER_INSTANCE_US,
		    BACKOFF_MIN_US);

	return span_us / 2 + (uint64_t)g_rand_int_range(
				     state->rand, 0, (gint32)(span_us / 2) + 1);
}

static void update_role(struct state *state, struct instant now,
			struct event_list *out)
{
	enum reader_role role = readers_own_role(state, now);
	struct reader_duty *reader = &state->membership.reader;

	if (role == READER_NONE || state->reader_role != READER_NONE)
		reader->due_us = 0;
	else if (others_may_begin(state, now))
		return;
	if (role != state->reader_role)
		set_role(state, role, out);
}

/* Return: whether those before this instance in rank still have time to begin. */
static bool others_may_begin(struct state *state, struct instant now)
{
	struct reader_duty *reader = &state->membership.reader;

	if (reader->due_us == 0)
		reader->due_us = now.mono_us +
				 readers_idle_before(state, now) * STAGGER_US;
	return now.mono_us < reader->due_us;
}

static void set_role(struct state *state, enum reader_role role,
		     struct event_list *out)
{
	struct event event = { .kind = EVENT_CONFIG_ROLE };

	/* An instance that does not read the platform reports nothing on it. */
	if (role == READER_NONE) {
		state->platform_reachable = false;
		if (state->membership.self.self_report.platform !=
		    PLATFORM_CONTACT_BACKOFF)
			set_contact(state, PLATFORM_CONTACT_NONE);
	}
	state->reader_role = role;
	event.config_role.role = role;
	event_list_add(out, &event);
}

static void set_contact(struct state *state, enum platform_contact contact)
{
	struct membership *membership = &state->membership;

	if (membership->self.self_report.platform == contact)
		return;
	membership->self.self_report.platform = contact;
	membership->reader.heartbeat_due_us = 0;
	if (membership->incarnation < UINT32_MAX)
		membership->incarnation++;
	member_gossip_rumour(state, membership->self.peer);
}

static void send_heartbeats(struct state *state, struct instant now,
			    struct event_list *out)
{
	struct membership *membership = &state->membership;
	const struct member *successors[READERS_SUCCESSORS_MAX];
	uint32_t count;
	uint32_t i;

	if (now.mono_us < membership->reader.heartbeat_due_us)
		return;
	membership->reader.heartbeat_due_us = DEADLINE_NONE_US;
	if (membership->self.self_report.platform == PLATFORM_CONTACT_READING)
		membership->reader.heartbeat_due_us =
			now.mono_us + HEARTBEAT_INTERVAL_US;
	count = readers_successors(state, successors);
	for (i = 0; i < count; i++)
		member_send_self(state, successors[i]->listed.peer, out);
}
