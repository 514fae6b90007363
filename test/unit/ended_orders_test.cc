/*
 * Every order, to a depth, in which a backend server ends, the store comes back
 * from a copy, and instances read it, restart and hear from each other, played
 * on the reader's view and the routing state. Guards against an order in which
 * an instance uses a server again that it has seen leave, or in which a server
 * that lives stays out of use (review/8, review/9, review/10, review/14).
 */
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>

#include "store_texts.h"
#include "test_instance.h"

extern "C" {
#include "codec/document_json.h"
#include "core/document_version.h"
#include "platform/store_view.h"
#include "query/health.h"
}

namespace
{

constexpr uint32_t INSTANCES = 3;
constexpr uint32_t RESTORES_MAX = 2;
/* Depth of the search in CI; ORDERS_DEPTH in the environment is another one. */
constexpr uint32_t DEPTH = 4;

/* What the instances know of the server that leaves when the search begins. */
enum beginning {
	LISTED, /* its last write */
	WRITTEN_SINCE, /* an earlier write, as changes are collected */
	UNLISTED, /* nothing, for the same reason */
};

const enum beginning beginnings[] = { LISTED, WRITTEN_SINCE, UNLISTED };

enum action_kind {
	DRAINS, /* the server says that it drains */
	ENDS, /* its entry is removed */
	COPY, /* the store is copied */
	RESTORE, /* it comes back from the copy */
	WRITE, /* servers that live write again */
	CONFIRM, /* readers drop what the copy lacked */
	READ, /* an instance reads the store, as the first or once more */
	RESTART, /* an instance starts again and knows nothing */
	PULL, /* an instance gets the document of another one */
	HEAR, /* an instance is told by another one */
};

struct action {
	enum action_kind kind;
	uint32_t at; /* instance that acts */
	uint32_t from; /* with PULL and HEAR, the other instance */
};

using path = std::vector<struct action>;

struct server {
	std::string id;
	std::string addr;
	bool alive = true;
	bool draining = false;
	uint64_t sequence = 1;

	std::string key() const
	{
		return "servers/" + id;
	}

	std::string text() const
	{
		return entry("rolls", addr, 1, draining ? "draining" : "ready",
			     sequence);
	}
};

/* An entry of the store and the revision of its last change. */
struct stored_item {
	std::string text;
	uint64_t revision;

	bool operator!=(const struct stored_item &other) const
	{
		return text != other.text || revision != other.revision;
	}

	bool operator==(const struct stored_item &other) const
	{
		return !(*this != other);
	}
};

using store_items = std::map<std::string, struct stored_item>;

struct store {
	store_items items;
	uint64_t revision = 10;
	uint64_t era = 1;

	void put(const std::string &key, const std::string &value)
	{
		items[key] = { value, ++revision };
	}

	uint64_t version() const
	{
		return doc_version(era, revision);
	}
};

/* An instance and, once it has read the store, its view of that. */
struct instance {
	std::unique_ptr<TestInstance> inst;
	struct store_view *view = NULL;
	store_items read; /* entries when it read last */
	uint64_t era = 0;
	bool unconfirmed = false;
	bool listed_once = false;
	bool saw_leave = false; /* it has acknowledged that the server left */

	~instance()
	{
		store_view_free(view);
	}

	const struct service_doc *doc() const
	{
		return service() ? service()->doc : NULL;
	}

	struct service *service() const
	{
		struct name name;

		name_set(&name, "rolls");
		return service_lookup(inst->state, &name);
	}

	/* Return: the server as the document in force lists it, or NULL. */
	const struct backend *find(const struct server &server) const
	{
		for (uint32_t i = 0; doc() && i < doc()->backend_count; i++) {
			if (doc()->backends[i].start.instance.text == server.id)
				return &service()->backends[i];
		}
		return NULL;
	}

	bool uses(const struct server &server) const
	{
		const struct backend *backend = find(server);

		return backend && !backend_draining(backend, inst->now);
	}
};

class World {
    public:
	struct server leaving = { "i-leaves", "10.0.0.1:80" };
	struct server staying = { "i-stays", "10.0.0.2:80" };
	struct instance instances[INSTANCES];

	/* All have the document of instance 0, the only reader. */
	explicit World(enum beginning beginning)
	{
		store.put("op/config", config(1, "rolls"));
		store.put(staying.key(), staying.text());
		if (beginning != UNLISTED)
			store.put(leaving.key(), leaving.text());
		for (uint32_t i = 0; i < INSTANCES; i++)
			start(i);
		read(instances[0]);
		for (uint32_t i = 1; i < INSTANCES; i++)
			pull(instances[i], instances[0]);
		if (beginning != LISTED)
			write(leaving);
	}

	/* Return: false when the action is not possible now. */
	bool act(const struct action &action)
	{
		struct instance &instance = instances[action.at];

		switch (action.kind) {
		case DRAINS:
			if (!leaving.alive || leaving.draining)
				return false;
			leaving.draining = true;
			write(leaving);
			break;
		case ENDS:
			if (!leaving.alive)
				return false;
			leaving.alive = false;
			store.items.erase(leaving.key());
			store.revision++;
			ended_version = store.version();
			break;
		case COPY:
			if (copied && copy.items == store.items)
				return false;
			copied = true;
			copy = store;
			break;
		case RESTORE:
			if (!copied || store.era > RESTORES_MAX)
				return false;
			store.items = copy.items;
			store.revision = copy.revision;
			store.era++;
			written = false;
			break;
		case WRITE:
			if (written)
				return false;
			write_again();
			break;
		case CONFIRM:
			return confirm();
		case READ:
			read(instance);
			break;
		case RESTART:
			start(action.at);
			break;
		case PULL:
			pull(instance, instances[action.from]);
			break;
		case HEAR:
			hear(instance, instances[action.from]);
			break;
		}
		return true;
	}

	/*
	 * Plays what follows once all is calm again, before the copy's entry of
	 * a server that has ended expires.
	 */
	void settle()
	{
		bool any_reader = false;

		for (auto &instance : instances)
			any_reader |= instance.view != NULL;
		/* A reader sees the era before the second write in it. */
		read_all(any_reader);
		write_again();
		for (uint32_t round = 0; round < 2; round++) {
			store.revision++;
			read_all(any_reader);
			confirm();
		}
		for (uint32_t round = 0; round < 2; round++)
			tell_all();
	}

	/* Return: what distinguishes this state from others. */
	std::string print() const
	{
		std::string out;

		add_items(store.items, store.revision, store.era, out);
		if (copied)
			add_items(copy.items, copy.revision, 0, out);
		out += written ? "w" : "-";
		out += std::to_string(leaving.sequence) + "/" +
		       std::to_string(staying.sequence);
		for (const auto &instance : instances)
			add_instance(instance, out);
		return out;
	}

    private:
	struct store store;
	struct store copy;
	uint64_t ended_version = 0; /* of the state in which it has ended */
	bool copied = false;
	bool written = true; /* servers that live have, since the restore */

	void write(struct server &server)
	{
		server.sequence++;
		store.put(server.key(), server.text());
	}

	void write_again()
	{
		written = true;
		write(staying);
		if (leaving.alive)
			write(leaving);
	}

	void read_all(bool any_reader)
	{
		for (auto &instance : instances) {
			if (instance.view ||
			    (!any_reader && &instance == &instances[0]))
				read(instance);
		}
	}

	void start(uint32_t index)
	{
		struct instance &instance = instances[index];

		g_clear_pointer(&instance.view, store_view_free);
		instance.read.clear();
		instance.era = 0;
		instance.unconfirmed = false;
		instance.listed_once = false;
		instance.saw_leave = false;
		instance.inst = std::make_unique<TestInstance>(index);
		instance.inst->list(INSTANCES);
	}

	void tell_all()
	{
		for (auto &to : instances) {
			for (auto &from : instances) {
				if (&to == &from)
					continue;
				pull(to, from);
				hear(to, from);
			}
		}
	}

	/* As a reader of the store does it (platform/store_source.c). */
	void read(struct instance &instance)
	{
		bool again = instance.view && instance.era != store.era;
		bool whole = !instance.view || again;

		if (!instance.view)
			instance.view = store_view_new(70);
		if (again) {
			store_view_restored(instance.view);
			instance.unconfirmed = true;
		}
		instance.era = store.era;
		store_view_set_era(instance.view, store.era);
		if (whole)
			store_view_begin_reload(instance.view);
		for (const auto &item : store.items) {
			if (whole || instance.read.count(item.first) == 0 ||
			    instance.read[item.first] != item.second)
				apply(instance, item.first, &item.second);
		}
		if (whole) {
			store_view_end_reload(instance.view);
		} else {
			read_end(instance);
			for (const auto &item : instance.read) {
				if (store.items.count(item.first) == 0)
					apply(instance, item.first, NULL);
			}
		}
		instance.read = store.items;
		publish(instance, store.revision);
		instance.saw_leave |= acknowledged(instance, store.version());
	}

	/*
	 * A watch tells of an entry that has come and gone since the last
	 * answer.
	 */
	void read_end(struct instance &instance)
	{
		const struct stored_item last = { leaving.text(), 1 };

		if (ended_version == 0 ||
		    doc_version_era(ended_version) != store.era ||
		    instance.view->version >= ended_version ||
		    instance.read.count(leaving.key()) > 0)
			return;
		apply(instance, leaving.key(), &last);
		apply(instance, leaving.key(), NULL);
	}

	/* Return: whether an instance has learned of the state after the end. */
	bool acknowledged(const struct instance &instance,
			  uint64_t version) const
	{
		return !leaving.alive && !instance.find(leaving) &&
		       doc_version_era(version) ==
			       doc_version_era(ended_version) &&
		       version >= ended_version;
	}

	static void apply(struct instance &instance, const std::string &key,
			  const struct stored_item *stored)
	{
		struct store_item item = {};

		item.key = (char *)key.c_str();
		item.removed = !stored;
		if (stored) {
			item.revision = stored->revision;
			item.value = g_bytes_new(stored->text.data(),
						 stored->text.size());
		}
		store_view_apply(instance.view, &item);
		g_clear_pointer(&item.value, g_bytes_unref);
	}

	void publish(struct instance &instance, uint64_t revision)
	{
		struct config_offer held = {};

		store_view_publish(instance.view, revision,
				   doc_version(instance.era, revision));
		if (instance.doc()) {
			held.key = instance.doc()->service;
			held.version = instance.doc()->version;
			held.hash = instance.doc()->hash;
			if (!instance.unconfirmed)
				store_view_restate(instance.view, &held);
		}
		accept(instance, parse(instance.view));
	}

	static struct service_doc *parse(const struct store_view *view)
	{
		const struct view_document *document;
		struct service_doc *doc;
		struct name key;

		EXPECT_TRUE(name_set(&key, "rolls"));
		document = store_view_find(view, &key);
		if (!document)
			return NULL;
		doc = service_doc_parse("rolls", document->text,
					strlen(document->text),
					document->version, NULL);
		EXPECT_NE(doc, nullptr);
		return doc;
	}

	void accept(struct instance &instance, struct service_doc *doc)
	{
		const struct backend *backend;

		if (!doc)
			return;
		instance.inst->accept(doc);
		instance.inst->forget();
		backend = instance.find(leaving);
		if (!leaving.alive && instance.listed_once && !backend)
			instance.saw_leave = true;
		instance.saw_leave |=
			acknowledged(instance, instance.doc()->version);
		instance.listed_once |= backend != NULL;
		instance.saw_leave |= backend && backend->drain_document;
	}

	/* Return: false when no reader has something to confirm. */
	bool confirm()
	{
		bool any = false;

		for (auto &instance : instances) {
			if (!instance.unconfirmed || instance.era != store.era)
				continue;
			any = true;
			instance.unconfirmed = false;
			store_view_drop_unconfirmed(instance.view);
			publish(instance, store.revision);
		}
		return any;
	}

	void pull(struct instance &to, const struct instance &from)
	{
		if (!from.doc())
			return;
		accept(to, service_doc_ref((struct service_doc *)from.doc()));
		/* A reader states at once what it knows better. */
		if (to.view)
			publish(to, to.view->revision);
	}

	/* Which peers @from draws is left out: it tells @to, which answers. */
	static void hear(struct instance &to, struct instance &from)
	{
		from.inst->state->left_starts_due_us = 0;
		from.inst->tick();
		to.inst->forget();
		deliver(*from.inst, *to.inst);
		deliver(*to.inst, *from.inst);
		from.inst->forget();
		to.inst->forget();
	}

	/* Passes on the first datagram about starts that have left. */
	static void deliver(TestInstance &from, TestInstance &to)
	{
		for (struct event &event : from.events) {
			if (event.kind != EVENT_PEER_SEND ||
			    event.peer_send.message->kind != PEER_LEFT_STARTS)
				continue;
			to.receive(g_steal_pointer(&event.peer_send.message));
			return;
		}
	}

	static void add_items(const store_items &items, uint64_t revision,
			      uint64_t era, std::string &out)
	{
		for (const auto &item : items)
			out += item.first + item.second.text + "@" +
			       std::to_string(item.second.revision);
		out += "@" + std::to_string(revision) + "/" +
		       std::to_string(era);
	}

	static void add_instance(const struct instance &instance,
				 std::string &out)
	{
		const struct start_record *record;
		std::set<std::string> records;
		GHashTableIter iter;
		gpointer value;

		out += "\n" + std::to_string(instance.era) +
		       (instance.unconfirmed ? "u" : "-") +
		       (instance.listed_once ? "l" : "-") +
		       (instance.saw_leave ? "s" : "-");
		out += "b" +
		       std::to_string(instance.inst->state->era_begun_version);
		if (instance.doc())
			out += std::to_string(instance.doc()->version) + ":" +
			       std::to_string(instance.doc()->hash);
		for (uint32_t i = 0;
		     instance.doc() && i < instance.doc()->backend_count; i++)
			out += "a" + std::to_string(instance.service()
							    ->backends[i]
							    .alive_version);
		if (instance.doc() && instance.service()->start_records) {
			g_hash_table_iter_init(
				&iter, instance.service()->start_records);
			while (g_hash_table_iter_next(&iter, NULL, &value)) {
				record = (const struct start_record *)value;
				records.insert(record->start.instance.text +
					       std::to_string(record->version));
			}
		}
		for (const auto &text : records)
			out += "," + text;
		if (!instance.view)
			return;
		add_items(instance.read, instance.view->version, 0, out);
		records.clear();
		g_hash_table_iter_init(&iter, instance.view->upstreams);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct upstream *upstream =
				(const struct upstream *)value;

			records.insert(
				upstream->instance.text +
				std::to_string(upstream->written_version));
		}
		for (const auto &text : records)
			out += "|" + text;
	}
};

path all_actions()
{
	path out = { { DRAINS, 0, 0 },	{ ENDS, 0, 0 },	 { COPY, 0, 0 },
		     { RESTORE, 0, 0 }, { WRITE, 0, 0 }, { CONFIRM, 0, 0 } };

	for (uint32_t i = 0; i < INSTANCES; i++) {
		out.push_back({ READ, i, 0 });
		out.push_back({ RESTART, i, 0 });
		for (uint32_t j = 0; j < INSTANCES; j++) {
			if (i == j)
				continue;
			out.push_back({ PULL, i, j });
			out.push_back({ HEAR, i, j });
		}
	}
	return out;
}

std::string describe(const path &steps)
{
	const char *const names[] = { "drains", "ends",	   "copy", "restore",
				      "write",	"confirm", "read", "restart",
				      "pull",	"hear" };
	std::string out;

	for (const auto &step : steps) {
		out += std::string(" ") + names[step.kind];
		if (step.kind >= READ)
			out += " " + std::to_string(step.at);
		if (step.kind >= PULL)
			out += "<" + std::to_string(step.from);
	}
	return out;
}

/* Return: what is wrong in this state, or NULL. */
const char *broken_now(const World &world)
{
	for (const auto &instance : world.instances) {
		if (instance.saw_leave && instance.uses(world.leaving))
			return "a server is used by one that saw it leave";
	}
	return NULL;
}

const char *broken_when_calm(const World &world, bool known)
{
	const struct server &leaving = world.leaving;

	for (const auto &instance : world.instances) {
		if (!instance.doc())
			return "an instance has no document";
		if (!instance.uses(world.staying))
			return "a server that lives is not used";
		if (leaving.alive && !leaving.draining &&
		    !instance.uses(leaving))
			return "a server that has not left yet is not used";
		if ((leaving.draining || !leaving.alive) && known &&
		    instance.uses(leaving))
			return "a server that some saw leave is used";
	}
	return NULL;
}

/*
 * Plays @steps. Return: false when the last one is not possible or changes
 * nothing; then nothing was checked.
 */
bool play(enum beginning beginning, const path &steps,
	  std::set<std::string> &seen)
{
	World world(beginning);
	const char *broken;
	bool known = false;

	for (const auto &step : steps) {
		if (!world.act(step))
			return false;
	}
	if (!seen.insert(world.print()).second)
		return false;
	broken = broken_now(world);
	for (const auto &instance : world.instances)
		known |= instance.saw_leave;
	if (!broken) {
		world.settle();
		broken = broken_now(world);
	}
	if (!broken)
		broken = broken_when_calm(world, known);
	EXPECT_EQ(broken, nullptr) << broken << ":" << describe(steps);
	return true;
}

class EndedOrders : public ::testing::TestWithParam<enum beginning> {};

TEST_P(EndedOrders, NoneBringsAnEndedServerBack)
{
	const char *depth_text = getenv("ORDERS_DEPTH");
	const uint32_t depth = depth_text ? atoi(depth_text) : DEPTH;
	const path actions = all_actions();
	std::vector<path> states = { {} };
	std::set<std::string> seen;

	ASSERT_TRUE(play(GetParam(), {}, seen));
	for (uint32_t length = 1; length <= depth; length++) {
		std::vector<path> next;

		for (const auto &state : states) {
			for (const auto &action : actions) {
				path steps = state;

				steps.push_back(action);
				if (play(GetParam(), steps, seen))
					next.push_back(steps);
				if (HasFailure())
					return;
			}
		}
		states = std::move(next);
		printf("depth %u: %zu states\n", length, seen.size());
	}
}

INSTANTIATE_TEST_SUITE_P(Beginnings, EndedOrders,
			 ::testing::ValuesIn(beginnings));

} // namespace
