/* Encoding of messages and pulls; malformed, truncated or corrupted input. */
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "codec/peer_rpc.h"
}

namespace
{

constexpr uint32_t XID = 7;

net_addr addr(uint32_t ip, uint16_t port)
{
	net_addr out;

	/* Messages are compared with memcmp(), so padding must be zero. */
	memset(&out, 0, sizeof(out));
	out.ip = ip;
	out.port = port;
	return out;
}

name make_name(const char *text)
{
	name out = {};

	EXPECT_TRUE(name_set(&out, text)) << text;
	return out;
}

peer_message header(peer_message_kind kind)
{
	peer_message message = {};

	message.sender = addr(0x7f000001, 8081);
	message.caller = addr(0x7f000001, 8080);
	message.domain = make_name("a");
	message.members_digest = UINT64_C(0x8877665544332211);
	message.incarnation = 17;
	message.status = MEMBER_ALIVE;
	message.config_digest = UINT64_C(0x0123456789abcdef);
	message.kind = kind;
	return message;
}

peer_message ping(peer_message_kind kind)
{
	peer_message message = header(kind);

	message.ping.sequence = UINT64_C(1) << 40;
	message.ping.target = addr(0x7f000002, 65535);
	return message;
}

peer_message full_ping()
{
	peer_message message = ping(PEER_PING);

	message.status = MEMBER_LEAVING;
	message.rumour_count = PEER_RUMOURS_MAX;
	/* Assigned field by field: a struct copy would copy its padding. */
	for (uint32_t i = 0; i < PEER_RUMOURS_MAX; i++) {
		message.rumours[i].peer = addr(0x7f000100 + i, 1);
		message.rumours[i].caller = addr(0x7f000100 + i, 2);
		message.rumours[i].domain = make_name("b");
		message.rumours[i].incarnation = i;
		message.rumours[i].status = (member_status)(i % 4);
		message.rumours[i].self_report.cpu_permille = i * 100;
		message.rumours[i].self_report.aside = i % 2 == 0;
		message.rumours[i].self_report.platform =
			(enum platform_contact)(i %
						(PLATFORM_CONTACT_BACKOFF + 1));
	}
	message.offer_count = PEER_OFFERS_MAX;
	for (uint32_t i = 0; i < PEER_OFFERS_MAX; i++)
		message.offers[i] = { make_name("gallery"), i + 1,
				      UINT64_MAX - i };
	return message;
}

peer_message digest()
{
	peer_message message = header(PEER_DIGEST);

	message.digest.service = make_name("rolls");
	message.digest.version = 4;
	message.digest.load_permille = 1000;
	message.digest.queue_requests = 12;
	message.digest.entry_count = PEER_DIGEST_ENTRIES_MAX;
	for (uint32_t i = 0; i < PEER_DIGEST_ENTRIES_MAX; i++) {
		digest_entry &entry = message.digest.entries[i];

		entry.backend = addr(0x7f000200 + i, 9001);
		entry.ok_requests = i;
		entry.failed_requests = i * 2;
		entry.slow_requests = i * 3;
		entry.ejected = i % 2 == 0;
		entry.charged = i % 3 == 0;
		entry.draining = i % 5 == 0;
		entry.cold = i % 7 == 0;
		entry.avoided = i % 11 == 0;
	}
	return message;
}

peer_message lease(peer_message_kind kind)
{
	peer_message message = header(kind);

	message.lease.service = make_name("entries");
	message.lease.sequence = 99;
	message.lease.wanted_slots = 3;
	message.lease.ttl_ms = 1000;
	message.lease.lease_count = PEER_LEASES_MAX;
	for (uint32_t i = 0; i < PEER_LEASES_MAX; i++)
		message.lease.leases[i] = { addr(0x7f000300 + i, 9002), i + 1 };
	return message;
}

peer_message quota(peer_message_kind kind)
{
	peer_message message = header(kind);

	message.quota.customer_hash = 0x123456789abcdef0;
	message.quota.sequence = 17;
	message.quota.wanted_tokens = 3;
	message.quota.spare_tokens = 4;
	message.quota.returned_tokens = 5;
	message.quota.owner_declined = true;
	message.quota.granted_tokens = 7;
	message.quota.ttl_ms = 1000;
	message.quota.wait_ms = 20;
	message.quota.declined = kind == PEER_QUOTA_GRANT;
	return message;
}

peer_message left_starts()
{
	peer_message message = header(PEER_LEFT_STARTS);

	message.left_starts.era_begun_version = UINT64_MAX - 1;
	message.left_starts.start_count = PEER_LEFT_STARTS_MAX;
	for (uint32_t i = 0; i < PEER_LEFT_STARTS_MAX; i++) {
		left_start &left = message.left_starts.starts[i];

		left.service =
			make_name(std::string(NAME_BYTES_MAX - 1, 's').c_str());
		left.start.instance =
			make_name(std::string(NAME_BYTES_MAX - 1, 'i').c_str());
		left.start.started_unix_ms = DOC_STARTED_MAX_UNIX_MS - i;
		left.version = i + 1;
	}
	message.left_starts.starts[1].start.started_unix_ms = 0;
	return message;
}

struct message_case {
	const char *what;
	peer_message message;
};

std::vector<message_case> message_cases()
{
	return {
		{ "ping", ping(PEER_PING) },
		{ "acknowledgement", ping(PEER_ACK) },
		{ "ping request", ping(PEER_PING_REQUEST) },
		{ "ping with full piggybacked arrays", full_ping() },
		{ "digest", digest() },
		{ "lease request", lease(PEER_LEASE_REQUEST) },
		{ "lease grant", lease(PEER_LEASE_GRANT) },
		{ "lease return", lease(PEER_LEASE_RETURN) },
		{ "quota request", quota(PEER_QUOTA_REQUEST) },
		{ "quota grant", quota(PEER_QUOTA_GRANT) },
		{ "starts that have left", left_starts() },
	};
}

std::vector<uint8_t> encode(const peer_message &message)
{
	std::vector<uint8_t> data(PEER_DATAGRAM_BYTES_MAX);

	data.resize(peer_message_encode(&message, XID, data.data(),
					PEER_DATAGRAM_BYTES_MAX));
	return data;
}

/* Decodes a heap copy of exact size, so ASan detects reads past its end. */
bool decode(const std::vector<uint8_t> &data, uint32_t data_bytes,
	    peer_message *out)
{
	std::vector<uint8_t> exact(data.begin(), data.begin() + data_bytes);
	GError *error = nullptr;
	bool accepted =
		peer_message_decode(exact.data(), data_bytes, out, &error);

	EXPECT_EQ(accepted, error == nullptr);
	if (error) {
		EXPECT_TRUE(g_error_matches(error, PEER_ERROR,
					    PEER_ERROR_MALFORMED));
	}
	g_clear_error(&error);
	return accepted;
}

TEST(PeerRpc, MessageRoundTrip)
{
	for (const message_case &c : message_cases()) {
		peer_message decoded;
		std::vector<uint8_t> data = encode(c.message);

		ASSERT_GT(data.size(), 0u) << c.what;
		ASSERT_TRUE(decode(data, data.size(), &decoded)) << c.what;
		EXPECT_EQ(memcmp(&decoded, &c.message, sizeof(decoded)), 0)
			<< c.what;
	}
}

TEST(PeerRpc, MessageThatDoesNotFitIsNotWritten)
{
	peer_message message = digest();
	uint8_t small[64];

	EXPECT_EQ(peer_message_encode(&message, XID, small, sizeof(small)), 0u);
}

TEST(PeerRpc, TruncatedMessageIsRefused)
{
	for (const message_case &c : message_cases()) {
		std::vector<uint8_t> data = encode(c.message);
		peer_message decoded;

		for (uint32_t n = 0; n < data.size(); n++)
			EXPECT_FALSE(decode(data, n, &decoded))
				<< c.what << " truncated to " << n;
	}
}

TEST(PeerRpc, TrailingBytesAreRefused)
{
	for (const message_case &c : message_cases()) {
		std::vector<uint8_t> data = encode(c.message);
		peer_message decoded;

		data.insert(data.end(), 4, 0);
		EXPECT_FALSE(decode(data, data.size(), &decoded)) << c.what;
	}
}

TEST(PeerRpc, EveryCorruptedByteIsRefusedOrWithinBounds)
{
	for (const message_case &c : message_cases()) {
		const std::vector<uint8_t> data = encode(c.message);

		for (uint32_t at = 0; at < data.size(); at++) {
			for (uint8_t mask : { 0x01, 0x80, 0xff }) {
				std::vector<uint8_t> bad = data;
				peer_message decoded;

				bad[at] ^= mask;
				if (!decode(bad, bad.size(), &decoded))
					continue;
				EXPECT_LE(decoded.rumour_count,
					  (uint32_t)PEER_RUMOURS_MAX);
				EXPECT_LE(decoded.offer_count,
					  (uint32_t)PEER_OFFERS_MAX);
				EXPECT_EQ(encode(decoded).size(), data.size())
					<< c.what << " byte " << at;
			}
		}
	}
}

struct field_case {
	const char *what;
	void (*corrupt)(peer_message *message);
	peer_message message;
};

TEST(PeerRpc, FieldOutOfBoundsIsRefused)
{
	const field_case cases[] = {
		{ "sender without port",
		  [](peer_message *m) { m->sender.port = 0; },
		  ping(PEER_PING) },
		{ "sender without address",
		  [](peer_message *m) { m->sender.ip = 0; }, ping(PEER_PING) },
		{ "sender that reports itself dead",
		  [](peer_message *m) { m->status = MEMBER_DEAD; },
		  ping(PEER_PING) },
		{ "unknown rumour status",
		  [](peer_message *m) {
			  m->rumours[0].status = (member_status)4;
		  },
		  full_ping() },
		{ "rumour without port",
		  [](peer_message *m) { m->rumours[7].peer.port = 0; },
		  full_ping() },
		{ "offer of version 0",
		  [](peer_message *m) { m->offers[0].version = 0; },
		  full_ping() },
		{ "offer with an empty key",
		  [](peer_message *m) { m->offers[7].key.text[0] = '\0'; },
		  full_ping() },
		{ "offer whose key has a slash",
		  [](peer_message *m) { m->offers[7].key.text[0] = '/'; },
		  full_ping() },
		{ "target without port",
		  [](peer_message *m) { m->ping.target.port = 0; },
		  ping(PEER_PING_REQUEST) },
		{ "load above 1000 permille",
		  [](peer_message *m) { m->digest.load_permille = 1001; },
		  digest() },
		{ "digest without service",
		  [](peer_message *m) { m->digest.service.text[0] = '\0'; },
		  digest() },
		{ "entry without address",
		  [](peer_message *m) { m->digest.entries[63].backend.ip = 0; },
		  digest() },
		{ "lease of no slots",
		  [](peer_message *m) { m->lease.leases[0].slots = 0; },
		  lease(PEER_LEASE_GRANT) },
		{ "lease of too many slots",
		  [](peer_message *m) {
			  m->lease.leases[0].slots = DOC_SLOTS_MAX + 1;
		  },
		  lease(PEER_LEASE_GRANT) },
		{ "lease for too long",
		  [](peer_message *m) { m->lease.ttl_ms = 60001; },
		  lease(PEER_LEASE_GRANT) },
		{ "too many tokens",
		  [](peer_message *m) { m->quota.granted_tokens = 2000001; },
		  quota(PEER_QUOTA_GRANT) },
		{ "tokens for too long",
		  [](peer_message *m) { m->quota.ttl_ms = 3600001; },
		  quota(PEER_QUOTA_GRANT) },
		{ "start that has left no service",
		  [](peer_message *m) {
			  m->left_starts.starts[0].service.text[0] = '\0';
		  },
		  left_starts() },
		{ "start without a name",
		  [](peer_message *m) {
			  m->left_starts.starts[15].start.instance.text[0] =
				  '\0';
		  },
		  left_starts() },
		{ "start after the last time",
		  [](peer_message *m) {
			  m->left_starts.starts[0].start.started_unix_ms =
				  DOC_STARTED_MAX_UNIX_MS + 1;
		  },
		  left_starts() },
		{ "start that has left in no state",
		  [](peer_message *m) { m->left_starts.starts[0].version = 0; },
		  left_starts() },
		{ "unknown kind",
		  [](peer_message *m) { m->kind = (peer_message_kind)10; },
		  ping(PEER_PING) },
	};

	for (const field_case &c : cases) {
		peer_message message = c.message;
		peer_message decoded;
		std::vector<uint8_t> data;

		ASSERT_TRUE(decode(encode(message), encode(message).size(),
				   &decoded))
			<< c.what;
		c.corrupt(&message);
		data = encode(message);
		EXPECT_FALSE(decode(data, data.size(), &decoded)) << c.what;
	}
}

std::vector<uint8_t> take_bytes(GByteArray *array)
{
	std::vector<uint8_t> data(array->data, array->data + array->len);

	g_byte_array_unref(array);
	return data;
}

std::vector<peer_call> calls()
{
	peer_call document = {};
	peer_call offers = {};
	peer_call instances = {};

	document.kind = PEER_CALL_DOCUMENT;
	document.xid = XID;
	document.offer = { make_name("gallery"), 3, 55 };
	offers.kind = PEER_CALL_OFFERS;
	instances.kind = PEER_CALL_INSTANCES;
	return { document, offers, instances };
}

TEST(PeerRpc, CallRoundTripAndTruncatedCallIsIncomplete)
{
	for (const peer_call &call : calls()) {
		std::vector<uint8_t> data = take_bytes(peer_call_encode(&call));
		peer_call decoded;

		ASSERT_LE(data.size(), (size_t)PEER_CALL_BYTES_MAX);
		for (uint32_t n = 0; n < data.size(); n++)
			EXPECT_FALSE(peer_call_decode(data.data(), n, &decoded,
						      nullptr))
				<< call.kind << " truncated to " << n;
		ASSERT_TRUE(peer_call_decode(data.data(), data.size(), &decoded,
					     nullptr));
		EXPECT_EQ(memcmp(&decoded, &call, sizeof(decoded)), 0)
			<< call.kind;
	}
}

TEST(PeerRpc, CorruptedCallIsRefusedOrWithinBounds)
{
	for (const peer_call &call : calls()) {
		const std::vector<uint8_t> data =
			take_bytes(peer_call_encode(&call));

		for (uint32_t at = 0; at < data.size(); at++) {
			std::vector<uint8_t> bad = data;
			peer_call decoded;

			bad[at] ^= 0xff;
			if (!peer_call_decode(bad.data(), bad.size(), &decoded,
					      nullptr))
				continue;
			if (decoded.kind == PEER_CALL_DOCUMENT) {
				EXPECT_NE(decoded.offer.key.text[0], '\0');
			}
		}
	}
}

std::vector<uint8_t> document_reply(const std::string &text)
{
	held_document document = { 5, 6,
				   g_bytes_new(text.data(), text.size()) };
	std::vector<uint8_t> data =
		take_bytes(peer_document_encode(XID, &document));

	g_bytes_unref(document.text);
	return data;
}

TEST(PeerRpc, DocumentReplyRoundTripOrAbsent)
{
	for (size_t bytes :
	     { (size_t)0, (size_t)1, (size_t)ROUTING_BYTES_MAX }) {
		std::string text(bytes, 'x');
		std::vector<uint8_t> data = document_reply(text);
		held_document decoded;
		gsize length;

		ASSERT_LE(data.size(), (size_t)PEER_REPLY_BYTES_MAX);
		ASSERT_TRUE(peer_document_decode(data.data(), data.size(), XID,
						 &decoded, nullptr));
		EXPECT_EQ(decoded.version, 5u);
		EXPECT_EQ(decoded.hash, 6u);
		const void *got = g_bytes_get_data(decoded.text, &length);
		EXPECT_EQ(std::string((const char *)got, length), text);
		g_bytes_unref(decoded.text);
	}
	GError *error = nullptr;
	held_document decoded;
	const held_document absent = {};
	std::vector<uint8_t> data =
		take_bytes(peer_document_encode(XID, &absent));

	EXPECT_FALSE(peer_document_decode(data.data(), data.size(), XID,
					  &decoded, &error));
	EXPECT_TRUE(g_error_matches(error, PEER_ERROR, PEER_ERROR_ABSENT));
	g_clear_error(&error);
}

TEST(PeerRpc, DocumentAboveSizeLimitIsRefused)
{
	std::string text(ROUTING_BYTES_MAX + 1, 'x');
	std::vector<uint8_t> data = document_reply(text);
	held_document decoded;

	EXPECT_FALSE(peer_document_decode(data.data(), data.size(), XID,
					  &decoded, nullptr));
}

TEST(PeerRpc, ReplyToAnotherCallIsRefused)
{
	std::string text = "{}";
	std::vector<uint8_t> data = document_reply(text);
	held_document decoded;

	EXPECT_FALSE(peer_document_decode(data.data(), data.size(), XID + 1,
					  &decoded, nullptr));
}

struct reply_case {
	const char *what;
	std::vector<uint8_t> data;
	bool (*accepts)(const std::vector<uint8_t> &data, uint32_t bytes);
};

std::vector<reply_case> reply_cases()
{
	GArray *offers = g_array_new(FALSE, TRUE, sizeof(config_offer));
	GArray *instances = g_array_new(FALSE, TRUE, sizeof(instance_doc));
	std::string text = "{\"service\":\"gallery\"}";
	std::vector<reply_case> cases;

	for (uint32_t i = 0; i < 3; i++) {
		config_offer offer = { make_name("gallery"), i + 1, i };
		instance_doc instance = {};

		instance.caller = addr(0x7f000001 + i, 80);
		instance.peer = addr(0x7f000001 + i, 81);
		instance.domain = make_name("a");
		instance.status = i ? INSTANCE_LIVE : INSTANCE_LEAVING;
		instance.self_report.cpu_permille = i * 100;
		instance.self_report.aside = i == 1;
		g_array_append_val(offers, offer);
		g_array_append_val(instances, instance);
	}
	cases.push_back({ "document", document_reply(text),
			  [](const std::vector<uint8_t> &data, uint32_t bytes) {
				  held_document decoded;
				  bool ok = peer_document_decode(data.data(),
								 bytes, XID,
								 &decoded,
								 nullptr);

				  if (ok)
					  g_bytes_unref(decoded.text);
				  return ok;
			  } });
	cases.push_back({ "offers", take_bytes(peer_offers_encode(XID, offers)),
			  [](const std::vector<uint8_t> &data, uint32_t bytes) {
				  GArray *decoded = peer_offers_decode(
					  data.data(), bytes, XID, nullptr);

				  if (decoded)
					  g_array_unref(decoded);
				  return decoded != nullptr;
			  } });
	cases.push_back({ "instances",
			  take_bytes(peer_instances_encode(XID, instances)),
			  [](const std::vector<uint8_t> &data, uint32_t bytes) {
				  GArray *decoded = peer_instances_decode(
					  data.data(), bytes, XID, nullptr);

				  if (decoded)
					  g_array_unref(decoded);
				  return decoded != nullptr;
			  } });
	g_array_unref(offers);
	g_array_unref(instances);
	return cases;
}

TEST(PeerRpc, TruncatedReplyIsRefusedAndCorruptedOneIsSafe)
{
	for (const reply_case &c : reply_cases()) {
		EXPECT_TRUE(c.accepts(c.data, c.data.size())) << c.what;
		for (uint32_t n = 0; n < c.data.size(); n++)
			EXPECT_FALSE(c.accepts(c.data, n))
				<< c.what << " truncated to " << n;
		for (uint32_t at = 0; at < c.data.size(); at++) {
			std::vector<uint8_t> bad = c.data;

			bad[at] ^= 0xff;
			c.accepts(bad, bad.size());
		}
	}
}

} // namespace
