/* The peer duties on loopback; a thread stands in for the dispatch duty. */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "codec/document_json.h"
#include "codec/peer_rpc.h"
#include "core/clock.h"
#include "duty/peer_pull.h"
#include "duty/peer_send.h"
#include "duty/peer_serve.h"
#include "duty/relay.h"
#include "ring/ring.h"
}

namespace
{

const uint64_t COMMAND_TIMEOUT_US = 5 * US_PER_S;

const char *const DOCUMENT =
	"{\"service\":\"s\",\"path_prefix\":\"/s\",\"backends\":[{\"ip\":"
	"\"127.0.0.1\",\"port\":9001,\"failure_domain\":\"a\",\"slots\":6,"
	"\"connections\":350}],\"classes\":[{\"name\":\"c\",\"priority\":0,"
	"\"queue\":64}],\"routes\":[],\"healthy_floor\":{\"percent\":60},"
	"\"default_budget_ms\":2000}";

struct net_addr local(uint16_t port)
{
	struct net_addr addr = { (127u << 24) | 1, port };

	return addr;
}

/* The port may be taken again before the caller binds it. */
uint16_t find_free_port()
{
	struct sockaddr_in addr = {};
	socklen_t bytes = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_family = AF_INET;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	EXPECT_EQ(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	EXPECT_EQ(getsockname(fd, (struct sockaddr *)&addr, &bytes), 0);
	close(fd);
	return ntohs(addr.sin_port);
}

struct settings settings_at(uint16_t port)
{
	struct settings settings = {};

	settings.peer_listen = local(port);
	settings.peer_bind = local(port);
	return settings;
}

struct service_doc *document(uint64_t version)
{
	GError *error = NULL;
	struct service_doc *doc = service_doc_parse(
		"s", DOCUMENT, strlen(DOCUMENT), version, &error);

	EXPECT_EQ(error, nullptr);
	return doc;
}

/* Dispatch duty with one document, or none at version 0; collects commands. */
class FakeDispatch {
    public:
	struct ring *ring = message_ring_new(256, 16);
	struct ring *commands = ring_new(sizeof(struct command), 256, 0);

	explicit FakeDispatch(uint64_t version)
	    : doc(version > 0 ? document(version) : NULL),
	      thread([this] { run(); })
	{
	}

	~FakeDispatch()
	{
		struct command command;

		ring_close(ring);
		thread.join();
		while (ring_pop(commands, &command, 0) == RING_OK)
			command_clear(&command);
		ring_close(commands);
		ring_free(ring);
		ring_free(commands);
		service_doc_unref(doc);
	}

	/* Return: false when no command arrives within @timeout_us. */
	bool next(struct command *command,
		  uint64_t timeout_us = COMMAND_TIMEOUT_US)
	{
		return ring_pop(commands, command,
				clock_now_us() + timeout_us) == RING_OK;
	}

    private:
	struct service_doc *doc;
	std::thread thread;

	void run()
	{
		struct message message;

		while (ring_pop(ring, &message, DEADLINE_NONE_US) == RING_OK) {
			if (message.kind == MESSAGE_QUERY)
				answer(&message.query);
			else if (ring_push(commands, &message.command) !=
				 RING_OK)
				command_clear(&message.command);
		}
	}

	void answer(struct query *query)
	{
		struct query_reply reply = {};
		struct config_offer offer = {};
		struct instance_doc instance = {};

		reply.kind = query->kind;
		if (query->kind == QUERY_DOCUMENT && doc)
			reply.document = { doc->version, doc->hash,
					   g_bytes_new(doc->text,
						       doc->text_bytes) };
		if (query->kind == QUERY_OFFERS)
			reply.offers = g_array_new(FALSE, TRUE, sizeof(offer));
		if (query->kind == QUERY_OFFERS && doc) {
			offer.key = doc->service;
			offer.version = doc->version;
			offer.hash = doc->hash;
			g_array_append_val(reply.offers, offer);
		}
		if (query->kind == QUERY_INSTANCES) {
			instance.caller = local(1);
			instance.peer = local(2);
			name_set(&instance.domain, "a");
			reply.instances =
				g_array_new(FALSE, TRUE, sizeof(instance));
			g_array_append_val(reply.instances, instance);
		}
		EXPECT_EQ(ring_push(query->reply->ring, &reply), RING_OK);
		reply_channel_unref(query->reply);
	}
};

/* The peer duties of one instance. */
struct Node {
	struct settings settings = settings_at(find_free_port());
	FakeDispatch dispatch;
	struct peer_serve_duty *serve;
	struct peer_send_duty *send;
	struct peer_pull_duty *pull;

	explicit Node(uint64_t version) : dispatch(version)
	{
		serve = peer_serve_start(&settings, dispatch.ring, NULL);
		send = peer_send_start(&settings, dispatch.ring, NULL);
		pull = peer_pull_start(&settings, dispatch.ring, NULL);
		EXPECT_TRUE(serve && send && pull);
	}

	~Node()
	{
		peer_serve_stop(serve);
		peer_pull_stop(pull);
		peer_send_stop(send);
	}

	struct net_addr addr() const
	{
		return settings.peer_listen;
	}
};

struct peer_message *ping_from(struct net_addr sender)
{
	struct peer_message *message = g_new0(struct peer_message, 1);

	message->sender = sender;
	message->caller = sender;
	name_set(&message->domain, "a");
	message->kind = PEER_PING;
	message->ping.sequence = 77;
	message->ping.target = sender;
	return message;
}

int client(int type, struct net_addr to)
{
	int fd = socket(AF_INET, type, 0);
	struct sockaddr_in addr = {};

	addr.sin_family = AF_INET;
	addr.sin_addr.s_addr = htonl(to.ip);
	addr.sin_port = htons(to.port);
	EXPECT_EQ(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	return fd;
}

TEST(PeerDutyTest, DeliversDatagramUnchanged)
{
	Node a(0);
	Node b(0);
	struct peer_send_event event = { b.addr(), ping_from(a.addr()) };
	struct command command;

	ASSERT_EQ(peer_send_send(a.send, &event), RING_OK);
	ASSERT_TRUE(b.dispatch.next(&command));
	ASSERT_EQ(command.kind, COMMAND_PEER_MESSAGE);
	EXPECT_TRUE(addr_equal(command.peer_message->sender, a.addr()));
	EXPECT_EQ(command.peer_message->ping.sequence, 77u);
	command_clear(&command);
}

struct pull_case {
	const char *name;
	uint64_t peer_version; /* 0: no document */
	uint64_t own_version;
	uint64_t requested; /* 0 requests the list of offers */
	bool instances;
	std::vector<enum command_kind> commands;
};

const std::vector<struct pull_case> pull_cases = {
	{ "the document is missing here",
	  3,
	  0,
	  3,
	  false,
	  { COMMAND_ACCEPT_CONFIG } },
	{ "the peer has a newer one than requested",
	  4,
	  0,
	  3,
	  false,
	  { COMMAND_ACCEPT_CONFIG } },
	{ "the peer has an older one", 3, 0, 4, false, {} },
	{ "the peer has none", 0, 0, 4, false, {} },
	{ "all newer documents", 3, 2, 0, false, { COMMAND_ACCEPT_CONFIG } },
	{ "nothing is newer", 3, 3, 0, false, {} },
	{ "the peer's offer is older", 2, 3, 0, false, {} },
	{ "offers and the list of instances",
	  0,
	  0,
	  0,
	  true,
	  { COMMAND_ACCEPT_INSTANCES } },
};

TEST(PeerDutyTest, PullFetchesNewerDocuments)
{
	for (const struct pull_case &c : pull_cases) {
		SCOPED_TRACE(c.name);
		Node theirs(c.peer_version);
		Node ours(c.own_version);
		struct config_pull_event event = {};
		struct command command;

		event.from = theirs.addr();
		event.instances = c.instances;
		if (c.requested > 0) {
			name_set(&event.offer.key, "s");
			event.offer.version = c.requested;
		}
		ASSERT_EQ(peer_pull_send(ours.pull, &event), RING_OK);
		for (enum command_kind kind : c.commands) {
			ASSERT_TRUE(ours.dispatch.next(&command));
			ASSERT_EQ(command.kind, kind);
			if (kind == COMMAND_ACCEPT_CONFIG) {
				EXPECT_TRUE(command.accept_config.from_peer);
				EXPECT_EQ(command.accept_config.doc->version,
					  c.peer_version);
			} else {
				EXPECT_TRUE(command.accept_instances.from_peer);
				EXPECT_EQ(command.accept_instances.count, 1u);
			}
			command_clear(&command);
		}
		EXPECT_FALSE(ours.dispatch.next(&command, 100 * US_PER_MS));
	}
}

/* Malformed bytes are dropped before dispatch; later pulls are served. */
TEST(PeerDutyTest, MalformedInputDoesNotStopTheServer)
{
	const std::vector<std::string> texts = {
		"",
		"x",
		std::string(4, '\xff'),
		std::string(511, '\0'),
		std::string(5000, 'a'),
		"GET / HTTP/1.1\r\n\r\n",
	};
	Node node(3);

	for (const std::string &text : texts) {
		for (int type : { SOCK_DGRAM, SOCK_STREAM }) {
			int fd = client(type, node.addr());

			EXPECT_EQ(send(fd, text.data(), text.size(),
				       MSG_NOSIGNAL),
				  (ssize_t)text.size());
			close(fd);
		}
	}
	Node other(0);
	struct config_pull_event event = {};
	struct command command;

	event.from = node.addr();
	ASSERT_EQ(peer_pull_send(other.pull, &event), RING_OK);
	ASSERT_TRUE(other.dispatch.next(&command));
	EXPECT_EQ(command.kind, COMMAND_ACCEPT_CONFIG);
	command_clear(&command);
	EXPECT_FALSE(node.dispatch.next(&command, 0));
}

/*
 * Clients that never complete their call take up all connections; they are
 * closed at their deadline, so that later pulls are served.
 */
TEST(PeerDutyTest, SlowClientsAreClosedAtTheirDeadline)
{
	Node node(3);
	Node other(0);
	std::vector<int> fds;
	struct config_pull_event event = {};
	struct command command;

	for (uint32_t i = 0; i < 16; i++) {
		fds.push_back(client(SOCK_STREAM, node.addr()));
		EXPECT_EQ(send(fds.back(), "\x80", 1, MSG_NOSIGNAL), 1);
	}
	/* Datagrams are still received meanwhile. */
	struct peer_send_event ping = { node.addr(), ping_from(other.addr()) };

	ASSERT_EQ(peer_send_send(other.send, &ping), RING_OK);
	ASSERT_TRUE(node.dispatch.next(&command, US_PER_S));
	command_clear(&command);
	/* The deadline of a connection is 2 s. */
	std::this_thread::sleep_for(std::chrono::milliseconds(2200));
	event.from = node.addr();
	ASSERT_EQ(peer_pull_send(other.pull, &event), RING_OK);
	EXPECT_TRUE(other.dispatch.next(&command, US_PER_S));
	command_clear(&command);
	for (int fd : fds)
		close(fd);
}

/*
 * A peer that accepts and never replies delays no pull from another peer, however
 * many documents were to be pulled from it.
 */
TEST(PeerDutyTest, SilentPeerDelaysNoOtherPull)
{
	Node theirs(3);
	Node ours(0);
	struct config_pull_event event = {};
	struct sockaddr_in addr = {};
	socklen_t bytes = sizeof(addr);
	struct command command;
	int silent = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_family = AF_INET;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(bind(silent, (struct sockaddr *)&addr, sizeof(addr)), 0);
	ASSERT_EQ(listen(silent, 16), 0);
	ASSERT_EQ(getsockname(silent, (struct sockaddr *)&addr, &bytes), 0);
	event.from = local(ntohs(addr.sin_port));
	for (uint32_t i = 0; i < 24; i++)
		ASSERT_EQ(peer_pull_send(ours.pull, &event), RING_OK);
	event.from = theirs.addr();
	ASSERT_EQ(peer_pull_send(ours.pull, &event), RING_OK);
	ASSERT_TRUE(ours.dispatch.next(&command, US_PER_S));
	EXPECT_EQ(command.kind, COMMAND_ACCEPT_CONFIG);
	command_clear(&command);
	close(silent);
}

TEST(PeerDutyTest, PortInUseIsListenError)
{
	Node node(0);
	GError *error = NULL;

	EXPECT_EQ(peer_serve_start(&node.settings, node.dispatch.ring, &error),
		  nullptr);
	ASSERT_NE(error, nullptr);
	EXPECT_TRUE(g_error_matches(error, DUTY_ERROR, DUTY_ERROR_LISTEN));
	g_error_free(error);
}

/* A document that is malformed is passed to dispatch as refused. */
TEST(PeerDutyTest, MalformedDocumentIsReportedAsRefused)
{
	struct relay_case {
		const char *name;
		const char *key;
		std::string text;
		enum command_kind kind;
	};
	const struct relay_case cases[] = {
		{ "good", "s", DOCUMENT, COMMAND_ACCEPT_CONFIG },
		{ "under another key", "t", DOCUMENT, COMMAND_REFUSE_CONFIG },
		{ "truncated", "s", std::string(DOCUMENT).substr(0, 100),
		  COMMAND_REFUSE_CONFIG },
		{ "empty", "s", "", COMMAND_REFUSE_CONFIG },
	};

	for (const struct relay_case &c : cases) {
		SCOPED_TRACE(c.name);
		FakeDispatch dispatch(0);
		struct command command;
		struct name key;

		name_set(&key, c.key);
		ASSERT_EQ(relay_document(dispatch.ring, &key, 5, c.text.data(),
					 c.text.size(), true),
			  RING_OK);
		ASSERT_TRUE(dispatch.next(&command));
		EXPECT_EQ(command.kind, c.kind);
		command_clear(&command);
	}
}

} // namespace
