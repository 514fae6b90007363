/* Customers: credentials, the routing document's list, matching and refusals. */
#include "test_instance.h"

extern "C" {
#include "codec/document_json.h"
#include "codec/http_credential.h"
#include "query/listing.h"
#include "query/route.h"
}

namespace
{

/* A key that must show up in no text. */
const std::string secret = "k-3f9ac1-secret";

struct credential_case {
	const char *name;
	std::vector<struct http_field> fields;
	enum credential_kind kind;
	const char *key; /* with CREDENTIAL_KEY */
};

const struct credential_case credential_cases[] = {
	{ "no field", { { "Host", "a" } }, CREDENTIAL_NONE, "" },
	{ "a key", { { "Authorization", "Bearer k1" } }, CREDENTIAL_KEY, "k1" },
	{ "odd case of field and scheme",
	  { { "aUTHORIZATION", "bEARER k1" } },
	  CREDENTIAL_KEY,
	  "k1" },
	{ "several spaces after the scheme",
	  { { "Authorization", "Bearer   k1" } },
	  CREDENTIAL_KEY,
	  "k1" },
	{ "the key keeps its case",
	  { { "Authorization", "Bearer K1" } },
	  CREDENTIAL_KEY,
	  "K1" },
	{ "a tab after the scheme",
	  { { "Authorization", "Bearer\tk1" } },
	  CREDENTIAL_INVALID,
	  "" },
	{ "no space after the scheme",
	  { { "Authorization", "Bearerk1" } },
	  CREDENTIAL_INVALID,
	  "" },
	{ "an empty key",
	  { { "Authorization", "Bearer " } },
	  CREDENTIAL_INVALID,
	  "" },
	{ "the scheme alone",
	  { { "Authorization", "Bearer" } },
	  CREDENTIAL_INVALID,
	  "" },
	{ "an empty field",
	  { { "Authorization", "" } },
	  CREDENTIAL_INVALID,
	  "" },
	{ "a key with a space",
	  { { "Authorization", "Bearer k1 k2" } },
	  CREDENTIAL_INVALID,
	  "" },
	{ "another scheme",
	  { { "Authorization", "Basic k1" } },
	  CREDENTIAL_INVALID,
	  "" },
	{ "the key without a scheme",
	  { { "Authorization", "k1" } },
	  CREDENTIAL_INVALID,
	  "" },
	{ "the same field twice",
	  { { "Authorization", "Bearer k1" },
	    { "authorization", "Bearer k1" } },
	  CREDENTIAL_INVALID,
	  "" },
	{ "an empty field before the key",
	  { { "Authorization", "" }, { "Authorization", "Bearer k1" } },
	  CREDENTIAL_INVALID,
	  "" },
	{ "a field whose name only begins alike",
	  { { "Authorization-2", "Bearer k1" } },
	  CREDENTIAL_NONE,
	  "" },
};

/* Guards against a request that gets in, or is refused, by odd spelling. */
TEST(Customer, ReadsCredentials)
{
	for (const auto &c : credential_cases) {
		SCOPED_TRACE(c.name);
		struct http_request_head head = {};
		struct credential credential;
		struct key_hash expected;

		head.fields = c.fields.data();
		head.field_count = (uint32_t)c.fields.size();
		http_credential_read(&head, &credential);
		ASSERT_EQ(credential.kind, c.kind);
		if (c.kind != CREDENTIAL_KEY)
			continue;
		key_hash_of(c.key, strlen(c.key), &expected);
		EXPECT_TRUE(key_hash_equal(&credential.key_hash, &expected));
	}
}

std::string hash_text(const std::string &key)
{
	struct key_hash hash;
	char text[KEY_HASH_TEXT_BYTES];

	key_hash_of(key.data(), key.size(), &hash);
	return key_hash_format(&hash, text);
}

/* FIPS 180-4 gives this digest, so keys match those hashed elsewhere. */
TEST(Customer, HashOfAKeyIsSha256)
{
	EXPECT_EQ(hash_text("abc"), "ba7816bf8f01cfea414140de5dae2223"
				    "b00361a396177a9cb410ff61f20015ad");
}

std::string customer_text(const std::string &name,
			  const std::vector<std::string> &hashes,
			  const std::string &extra = "")
{
	std::string list;

	for (const std::string &hash : hashes)
		list += (list.empty() ? "\"" : ",\"") + hash + "\"";
	return R"({"name":")" + name + R"(","key_hashes":[)" + list + "]" +
	       extra + "}";
}

/*
 * Routes of h.example: "/s/" with priority 0, "/p/" public, both to service s.
 */
std::string table_text(const std::string &customers)
{
	const std::string tail =
		R"("idempotent":true,"budget_ms":1000,"objective_ms":500,)"
		R"("targets":[{"service":"s"}])";

	return R"({"hosts":[{"host":"h.example","routes":[)"
	       R"({"path_prefix":"/s/",)" +
	       tail + R"(},{"path_prefix":"/p/","public":true,)" + tail +
	       "}]}]" + customers + "}";
}

std::string list_text(const std::string &customers)
{
	return R"(,"customers":[)" + customers + "]";
}

struct fault_case {
	const char *name;
	std::string customers;
	enum settings_error code;
	const char *path;
};

const std::string one_hash = hash_text(secret);

const struct fault_case fault_cases[] = {
	{ "no list", R"(,"customers":{})", SETTINGS_ERROR_TYPE, "customers" },
	{ "null", R"(,"customers":null)", SETTINGS_ERROR_TYPE, "customers" },
	{ "a text for a customer", list_text("\"" + secret + "\""),
	  SETTINGS_ERROR_TYPE, "customers[0]" },
	{ "no name", list_text(R"({"key_hashes":[]})"), SETTINGS_ERROR_MISSING,
	  "customers[0].name" },
	{ "a name with a space", list_text(customer_text("a b", {})),
	  SETTINGS_ERROR_RANGE, "customers[0].name" },
	{ "a name twice",
	  list_text(customer_text("a", {}) + "," + customer_text("a", {})),
	  SETTINGS_ERROR_DUPLICATE, "customers[1].name" },
	{ "no keys", list_text(R"({"name":"a"})"), SETTINGS_ERROR_MISSING,
	  "customers[0].key_hashes" },
	{ "the key itself", list_text(customer_text("a", { secret })),
	  SETTINGS_ERROR_RANGE, "customers[0].key_hashes[0]" },
	{ "63 digits", list_text(customer_text("a", { one_hash.substr(1) })),
	  SETTINGS_ERROR_RANGE, "customers[0].key_hashes[0]" },
	{ "65 digits", list_text(customer_text("a", { one_hash + "0" })),
	  SETTINGS_ERROR_RANGE, "customers[0].key_hashes[0]" },
	{ "a digit that is none",
	  list_text(customer_text("a", { "g" + one_hash.substr(1) })),
	  SETTINGS_ERROR_RANGE, "customers[0].key_hashes[0]" },
	{ "a number for a hash", list_text(R"({"name":"a","key_hashes":[7]})"),
	  SETTINGS_ERROR_RANGE, "customers[0].key_hashes[0]" },
	{ "a key twice", list_text(customer_text("a", { one_hash, one_hash })),
	  SETTINGS_ERROR_DUPLICATE, "customers[0].key_hashes[1]" },
	{ "a key of two customers",
	  list_text(customer_text("a", { one_hash }) + "," +
		    customer_text("b", { one_hash })),
	  SETTINGS_ERROR_DUPLICATE, "customers[1].key_hashes[0]" },
	{ "a priority above the range",
	  list_text(customer_text("a", {}, R"(,"priority":101)")),
	  SETTINGS_ERROR_RANGE, "customers[0].priority" },
	{ "a negative rate",
	  list_text(customer_text("a", {}, R"(,"rate_per_s":-1)")),
	  SETTINGS_ERROR_RANGE, "customers[0].rate_per_s" },
	{ "a rate that is no number",
	  list_text(customer_text("a", {}, R"(,"rate_per_s":"1")")),
	  SETTINGS_ERROR_TYPE, "customers[0].rate_per_s" },
	{ "a negative burst",
	  list_text(customer_text("a", {}, R"(,"burst":-1)")),
	  SETTINGS_ERROR_RANGE, "customers[0].burst" },
	{ "an unknown field",
	  list_text(customer_text("a", {}, R"(,"keys":[")" + secret + "\"]")),
	  SETTINGS_ERROR_UNKNOWN, "customers[0].keys" },
};

struct routing_table *parse(const std::string &text, GError **error,
			    uint64_t version = 1)
{
	return routing_table_parse("t", text.data(), text.size(), version,
				   error);
}

/* Guards against faults that cannot be found, and against keys in the log. */
TEST(Customer, FaultsNameTheirPathAndNoKey)
{
	for (const auto &c : fault_cases) {
		SCOPED_TRACE(c.name);
		GError *error = nullptr;
		struct routing_table *table =
			parse(table_text(c.customers), &error);

		EXPECT_EQ(table, nullptr);
		routing_table_unref(table);
		ASSERT_NE(error, nullptr);
		EXPECT_EQ(error->code, (gint)c.code) << error->message;
		EXPECT_NE(strstr(error->message,
				 (std::string(" ") + c.path + ": ").c_str()),
			  nullptr)
			<< error->message;
		for (const std::string &hidden :
		     { secret, one_hash, one_hash.substr(1) })
			EXPECT_EQ(strstr(error->message, hidden.c_str()),
				  nullptr)
				<< error->message;
		g_clear_error(&error);
	}
}

TEST(Customer, FieldsAreRead)
{
	GError *error = nullptr;
	struct routing_table *table =
		parse(table_text(list_text(customer_text(
			      "a", { one_hash },
			      R"(,"priority":3,"rate_per_s":0.5,"burst":7)"))),
		      &error);

	ASSERT_NE(table, nullptr) << error->message;
	const struct customer *customer =
		customer_by_hash(table->customers, hash_bytes("a", 1, 0));

	ASSERT_NE(customer, nullptr);
	EXPECT_TRUE(customer->has_priority);
	EXPECT_EQ(customer->priority, 3u);
	EXPECT_EQ(customer->rate_milli, 500u);
	EXPECT_EQ(customer->burst_requests, 7u);
	routing_table_unref(table);
}

/* Guards against a bound on the keys of one customer. */
TEST(Customer, TenThousandKeysOfOneCustomer)
{
	std::vector<std::string> hashes;
	GError *error = nullptr;
	struct key_hash hash;

	for (uint32_t i = 0; i < 10000; i++)
		hashes.push_back(hash_text("k" + std::to_string(i)));
	struct routing_table *table = parse(
		table_text(list_text(customer_text("a", hashes))), &error);

	ASSERT_NE(table, nullptr) << error->message;
	for (const std::string &text : hashes) {
		ASSERT_TRUE(key_hash_parse(text.c_str(), &hash));
		ASSERT_NE(customer_by_key(table->customers, &hash), nullptr);
	}
	routing_table_unref(table);
}

/* Route as the page's table of cases has it. */
struct match_case {
	const char *name;
	const char *path;
	const char *key; /* NULL: none; "": invalid */
	enum route_result result;
	const char *customer; /* NULL: none */
	uint32_t class_index;
	bool drop_credentials;
};

const std::string some_customers =
	list_text(customer_text("a", { hash_text("ka") }) + "," +
		  customer_text("b", { hash_text("kb") }, R"(,"priority":1)"));

/* The service's own paths are "/s" and below; "/s" is not in the table. */
const struct match_case match_cases[] = {
	{ "no key", "/s/x", nullptr, ROUTE_DENIED, nullptr, 0, true },
	{ "an unknown key", "/s/x", "kc", ROUTE_DENIED, nullptr, 0, true },
	{ "an invalid field", "/s/x", "", ROUTE_DENIED, nullptr, 0, true },
	{ "a known key", "/s/x", "ka", ROUTE_FOUND, "a", 0, true },
	{ "the customer's priority", "/s/x", "kb", ROUTE_FOUND, "b", 1, true },
	{ "public, no key", "/p/x", nullptr, ROUTE_FOUND, nullptr, 0, true },
	{ "public, unknown key", "/p/x", "kc", ROUTE_FOUND, nullptr, 0, true },
	{ "public, invalid field", "/p/x", "", ROUTE_FOUND, nullptr, 0, true },
	{ "public, known key", "/p/x", "kb", ROUTE_FOUND, "b", 1, true },
	{ "no route, no key", "/q/x", nullptr, ROUTE_NONE, nullptr, 0, false },
	{ "no route, known key", "/q/x", "ka", ROUTE_NONE, nullptr, 0, false },
	{ "the service's own path, no key", "/s", nullptr, ROUTE_DENIED,
	  nullptr, 0, true },
	{ "the service's own path, known key", "/s", "ka", ROUTE_FOUND, "a", 1,
	  true },
};

const struct match_case free_cases[] = {
	{ "no key", "/s/x", nullptr, ROUTE_FOUND, nullptr, 0, false },
	{ "a key", "/s/x", "ka", ROUTE_FOUND, nullptr, 0, false },
	{ "an invalid field", "/s/x", "", ROUTE_FOUND, nullptr, 0, false },
};

const struct match_case empty_cases[] = {
	{ "no key", "/s/x", nullptr, ROUTE_DENIED, nullptr, 0, true },
	{ "a key", "/s/x", "ka", ROUTE_DENIED, nullptr, 0, true },
	{ "public", "/p/x", "ka", ROUTE_FOUND, nullptr, 0, true },
};

struct request_facts facts_of(const char *path, const char *key)
{
	struct request_facts facts = {};

	host_set(&facts.host, "h.example", strlen("h.example"));
	facts.path = path;
	if (!key)
		return facts;
	facts.credential.kind = key[0] ? CREDENTIAL_KEY : CREDENTIAL_INVALID;
	key_hash_of(key, strlen(key), &facts.credential.key_hash);
	return facts;
}

void accept_table(TestInstance &inst, const std::string &customers,
		  uint64_t version = 1)
{
	struct command command = {};

	command.kind = COMMAND_ACCEPT_ROUTES;
	command.accept_routes.table =
		parse(table_text(customers), nullptr, version);
	ASSERT_NE(command.accept_routes.table, nullptr);
	inst.apply(command);
}

template <size_t N>
void check_matches(const std::string &customers,
		   const struct match_case (&cases)[N])
{
	TestInstance inst;

	inst.settings.platform_kind = PLATFORM_STORE;
	inst.accept(make_doc({}));
	accept_table(inst, customers);
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		struct request_facts facts = facts_of(c.path, c.key);
		struct route_match match;

		ASSERT_EQ(route_find(inst.state, &facts, &match), c.result);
		EXPECT_EQ(match.drop_credentials, c.drop_credentials);
		ASSERT_EQ(match.customer != nullptr, c.customer != nullptr);
		if (c.customer) {
			EXPECT_STREQ(match.customer->name.text, c.customer);
		}
		if (c.result == ROUTE_FOUND) {
			EXPECT_EQ(match.class_index, c.class_index);
		}
	}
}

TEST(Customer, RequestsNeedAKeyUnlessPublic)
{
	check_matches(some_customers, match_cases);
}

TEST(Customer, WithoutCustomersNothingIsChecked)
{
	check_matches("", free_cases);
}

TEST(Customer, EmptyListRefusesEveryKey)
{
	check_matches(list_text(""), empty_cases);
}

/* Admits a request. Return: what became of it. */
const struct event *admit_request(TestInstance &inst, const char *path,
				  const char *key)
{
	struct command command = {};
	struct request *request = request_new();

	g_strlcpy(request->id, "r1", NAME_BYTES_MAX);
	command.kind = COMMAND_ADMIT;
	command.admit.facts = facts_of(path, key);
	command.admit.facts.deadline_us = DEADLINE_NONE_US;
	command.admit.request = request_ref(request);
	inst.requests.push_back(request);
	inst.apply(command);
	return inst.last_result_of((uint32_t)inst.requests.size() - 1);
}

/* Guards against 401, which callers do not retry, from a restarted instance. */
TEST(Customer, WithoutARoutingTableTheInstanceIsNotReady)
{
	for (const char *key : { (const char *)nullptr, "ka", "" }) {
		TestInstance inst;
		struct service_doc *doc = make_doc({});

		doc->path_prefix[0] = '\0';
		doc->routed = true;
		inst.settings.platform_kind = PLATFORM_STORE;
		inst.accept(doc);
		const struct event *event = admit_request(inst, "/s/x", key);

		ASSERT_NE(event, nullptr);
		ASSERT_EQ(event->kind, EVENT_REFUSE);
		EXPECT_EQ(event->refuse.refusal.cause, REFUSAL_NOT_READY);
		EXPECT_EQ(event->refuse.refusal.outcome, OUTCOME_NOT_RUN);
	}
}

/* Guards against a check that is made once and outlives its key. */
TEST(Customer, EachRequestIsCheckedAgainstTheTableInForce)
{
	const struct {
		const char *name;
		std::string customers;
		const char *key;
		bool granted;
	} steps[] = {
		{ "first version", some_customers, "ka", true },
		{ "its key is taken away",
		  list_text(customer_text("a", { hash_text("ka2") })), "ka",
		  false },
		{ "the new key", "", "ka2", true },
		{ "a customer is taken away", list_text(""), "ka2", false },
	};
	TestInstance inst;
	uint64_t version = 0;

	inst.list(1);
	inst.accept(make_doc({}));
	for (const auto &step : steps) {
		SCOPED_TRACE(step.name);
		version++;
		if (!step.customers.empty())
			accept_table(inst, step.customers, version);
		const struct event *event =
			admit_request(inst, "/s/x", step.key);

		ASSERT_NE(event, nullptr);
		ASSERT_EQ(event->kind == EVENT_GRANT, step.granted);
		if (step.granted) {
			EXPECT_STREQ(event->grant.customer.text, "a");
			EXPECT_TRUE(event->grant.drop_credentials);
			continue;
		}
		EXPECT_EQ(event->refuse.refusal.cause, REFUSAL_UNKNOWN_KEY);
		EXPECT_EQ(event->refuse.refusal.outcome, OUTCOME_NOT_RUN);
		EXPECT_EQ(event->refuse.refusal.retry_at_unix_ms, 0u);
	}
	EXPECT_EQ(inst.state->refused_early[REFUSAL_UNKNOWN_KEY], 2u);
}

/* Guards against refusals that cannot be found by their customer's name. */
TEST(Customer, TraceRecordsNameTheCustomer)
{
	const struct {
		const char *name;
		const char *key;
		uint32_t servers;
		bool service_known;
		const char *customer;
		enum trace_kind kind;
	} cases[] = {
		{ "granted", "ka", 1, true, "a", TRACE_GRANTED },
		{ "refused with a ticket", "ka", 0, true, "a", TRACE_REFUSED },
		{ "refused without a ticket", "ka", 1, false, "a",
		  TRACE_REFUSED },
		{ "refused without a key", nullptr, 1, true, "",
		  TRACE_REFUSED },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		struct doc_shape shape;
		uint32_t found = 0;

		inst.settings.log_requests = LOG_REQUESTS_ALL;
		inst.list(1);
		shape.backends = c.servers;
		if (c.service_known)
			inst.accept(make_doc(shape));
		accept_table(inst, some_customers);
		ASSERT_NE(admit_request(inst, "/s/x", c.key), nullptr);
		for (const struct event &event : inst.events) {
			if (event.kind != EVENT_TRACE)
				continue;
			found++;
			EXPECT_EQ(event.trace.kind, c.kind);
			EXPECT_STREQ(event.trace.customer.text, c.customer);
			EXPECT_STREQ(event.trace.request_id, "r1");
		}
		EXPECT_EQ(found, 1u);
	}
}

TEST(Customer, StatusCountsCustomersAndKeys)
{
	TestInstance inst;
	struct name any = {};
	struct status_report *report;

	accept_table(inst, some_customers);
	report = list_status(inst.state, &any, inst.now);
	EXPECT_EQ(report->customers, 2u);
	EXPECT_EQ(report->customer_keys, 2u);
	status_report_free(report);
}

} // namespace
