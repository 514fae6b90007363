#ifndef TEST_UNIT_FLEET_SIM_H
#define TEST_UNIT_FLEET_SIM_H

/*
 * Instances that exchange datagrams and pull documents in memory. Links can be
 * cut in one direction, processes can be paused, and datagrams are lost at
 * random from a seed.
 */

#include "test_instance.h"

extern "C" {
#include "query/listing.h"
}

#include <deque>
#include <functional>
#include <memory>
#include <set>

#define SIM_STEP_MS 10
#define SIM_TICK_MS 50
#define SIM_INBOX_MAX 512

class FleetSim {
    public:
	std::vector<std::unique_ptr<TestInstance>> insts;
	std::set<std::pair<uint32_t, uint32_t>> cuts;
	std::vector<bool> paused;
	uint32_t loss_percent = 0;
	uint64_t datagrams = 0;
	/* Called with the index of an instance and its new reader role. */
	std::function<void(uint32_t, enum reader_role)> on_role;
	/* Called with the index of an instance and each of its events. */
	std::function<void(uint32_t, const struct event &)> on_event;
	/* Audit records, each with the index of its instance. */
	std::vector<std::pair<uint32_t, struct audit_record>> audit;

	/*
	 * With seeds, the instances discover each other; without, all get the
	 * same list.
	 */
	FleetSim(uint32_t count, uint32_t seed, uint32_t seeds_ = 0)
	    : seeds(seeds_), rand(g_rand_new_with_seed(seed))
	{
		paused.assign(count, false);
		inboxes.resize(count);
		for (uint32_t i = 0; i < count; i++)
			insts.push_back(start_instance(i, seed));
		for (auto &inst : insts) {
			if (!seeds)
				inst->list(count);
		}
	}

	~FleetSim()
	{
		for (auto &inbox : inboxes) {
			for (struct peer_message *message : inbox)
				g_free(message);
		}
		g_rand_free(rand);
	}

	FleetSim(const FleetSim &) = delete;
	FleetSim &operator=(const FleetSim &) = delete;

	uint32_t size() const
	{
		return (uint32_t)insts.size();
	}

	/*
	 * Replaces an instance by a new process at the same address, which
	 * knows only the list or the seeds.
	 */
	void restart(uint32_t i)
	{
		struct instant now = insts[i]->now;

		insts[i] = start_instance(i, 1000 + i);
		insts[i]->now = now;
		if (!seeds)
			insts[i]->list(size());
	}

	void cut(uint32_t from, uint32_t to)
	{
		cuts.insert({ from, to });
	}

	/* Neither sends nor receives anything from now on, as without power. */
	void kill(uint32_t i)
	{
		paused[i] = true;
		for (uint32_t j = 0; j < size(); j++) {
			cut(i, j);
			cut(j, i);
		}
	}

	/* Starts a killed instance again; links that were cut before are not. */
	void revive(uint32_t i)
	{
		paused[i] = false;
		for (uint32_t j = 0; j < size(); j++) {
			cuts.erase({ i, j });
			cuts.erase({ j, i });
		}
		restart(i);
	}

	/* Cuts instances 0 to @lower - 1 off from the rest, both ways. */
	void partition(uint32_t lower)
	{
		for (uint32_t i = 0; i < lower; i++) {
			for (uint32_t j = lower; j < size(); j++) {
				cut(i, j);
				cut(j, i);
			}
		}
	}

	void pass_ms(uint64_t ms)
	{
		for (uint64_t passed = 0; passed < ms; passed += SIM_STEP_MS)
			step();
	}

	/* Return: milliseconds until @holds was true, or @limit_ms + 1. */
	uint64_t until(uint64_t limit_ms, const std::function<bool()> &holds)
	{
		for (uint64_t passed = 0; passed <= limit_ms;
		     passed += SIM_STEP_MS) {
			if (holds())
				return passed;
			step();
		}
		return limit_ms + 1;
	}

	/* Status of one instance as known to another. */
	enum member_status seen(uint32_t by, uint32_t who) const
	{
		const struct member *member =
			membership_find(&insts[by]->state->membership,
					instance_of(who, 3).peer);

		return member ? member->status : MEMBER_DEAD;
	}

	/* Whether all others that are not paused know @who with this status. */
	bool all_see(uint32_t who, enum member_status status) const
	{
		for (uint32_t i = 0; i < size(); i++) {
			if (i != who && !paused[i] && seen(i, who) != status)
				return false;
		}
		return true;
	}

	bool all_alive() const
	{
		for (uint32_t i = 0; i < size(); i++) {
			if (!all_see(i, MEMBER_ALIVE))
				return false;
		}
		return true;
	}

	/* Number of times that any instance declared another one dead. */
	uint32_t count_dead_declarations() const
	{
		uint32_t count = 0;

		for (const auto &entry : audit)
			count += is_death(entry.second);
		return count;
	}

	/* Like count_dead_declarations(), without those declared by or about one instance. */
	uint32_t count_dead_declarations_among_others(uint32_t one) const
	{
		struct net_addr peer = instance_of(one, 3).peer;
		uint32_t count = 0;

		for (const auto &entry : audit)
			count += is_death(entry.second) && entry.first != one &&
				 !addr_equal(entry.second.subject, peer);
		return count;
	}

	/* Number of instances that have at least this version in force. */
	uint32_t count_with_version(uint64_t version) const
	{
		uint32_t count = 0;

		for (const auto &inst : insts) {
			const struct service *service = inst->service();

			count += service && service->doc->version >= version;
		}
		return count;
	}

    private:
	uint32_t seeds;
	GRand *rand;
	std::vector<std::deque<struct peer_message *>> inboxes;
	uint64_t time_ms = 0;

	std::unique_ptr<TestInstance> start_instance(uint32_t i, uint32_t seed)
	{
		auto inst = std::make_unique<TestInstance>(i, 3, seeds);

		g_rand_set_seed(inst->state->rand, seed * 1000 + i);
		return inst;
	}

	void step()
	{
		std::vector<std::deque<struct peer_message *>> due(size());

		time_ms += SIM_STEP_MS;
		for (uint32_t i = 0; i < size(); i++) {
			insts[i]->now.mono_us += SIM_STEP_MS * US_PER_MS;
			insts[i]->now.unix_ms += SIM_STEP_MS;
			if (!paused[i])
				due[i].swap(inboxes[i]);
		}
		for (uint32_t i = 0; i < size(); i++) {
			for (struct peer_message *message : due[i])
				deliver(i, message);
			if (!paused[i] &&
			    (time_ms + i * SIM_STEP_MS) % SIM_TICK_MS == 0)
				insts[i]->tick();
			handle_events(i);
		}
	}

	void deliver(uint32_t i, struct peer_message *message)
	{
		insts[i]->receive(message);
	}

	void handle_events(uint32_t i)
	{
		std::vector<struct event> events;

		events.swap(insts[i]->events);
		for (struct event &event : events) {
			if (on_event)
				on_event(i, event);
			if (event.kind == EVENT_AUDIT)
				audit.push_back({ i, event.audit });
			if (event.kind == EVENT_CONFIG_ROLE && on_role)
				on_role(i, event.config_role.role);
			if (event.kind == EVENT_CONFIG_PULL)
				pull(i, event.config_pull);
			if (event.kind == EVENT_PEER_SEND)
				send(i, event);
			event_clear(&event);
		}
	}

	void send(uint32_t from, struct event &event)
	{
		uint32_t to = index_of(event.peer_send.to);

		datagrams++;
		if (to >= size() || cuts.count({ from, to }) ||
		    inboxes[to].size() >= SIM_INBOX_MAX ||
		    (uint32_t)g_rand_int_range(rand, 0, 100) < loss_percent)
			return;
		inboxes[to].push_back(event.peer_send.message);
		event.peer_send.message = NULL;
	}

	/* Pulls documents over TCP, which needs both directions of the link. */
	void pull(uint32_t by, const struct config_pull_event &event)
	{
		uint32_t from = index_of(event.from);
		const struct service *theirs;

		if (from >= size() || paused[from] ||
		    cuts.count({ by, from }) || cuts.count({ from, by }))
			return;
		if (event.instances && seeds)
			pull_instances(by, from);
		else if (event.instances)
			insts[by]->list(size());
		theirs = insts[from]->service();
		if (!theirs)
			return;
		struct command command = {};

		command.kind = COMMAND_ACCEPT_CONFIG;
		command.accept_config.doc = service_doc_ref(theirs->doc);
		command.accept_config.from_peer = true;
		insts[by]->apply(command);
	}

	void pull_instances(uint32_t by, uint32_t from)
	{
		GArray *members = list_instances(insts[from]->state);
		struct command command = {};

		command.kind = COMMAND_ACCEPT_INSTANCES;
		command.accept_instances.count = members->len;
		command.accept_instances.from_peer = true;
		command.accept_instances.list =
			(struct instance_doc *)g_array_free(members, FALSE);
		insts[by]->apply(command);
	}

	static bool is_death(const struct audit_record &record)
	{
		return record.kind == AUDIT_MEMBER &&
		       record.member.status == MEMBER_DEAD;
	}

	uint32_t index_of(struct net_addr peer) const
	{
		return peer.ip - addr_of(256, 0).ip;
	}
};

#endif
