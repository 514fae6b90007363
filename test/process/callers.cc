#include "callers.h"

#include <curl/curl.h>
#include <json.h>

namespace
{

std::vector<std::string> read_entries(const std::string &body)
{
	json_object *answer = json_tokener_parse(body.c_str());
	json_object *list = NULL;
	std::vector<std::string> entries;

	json_object_object_get_ex(answer, "entries", &list);
	for (size_t i = 0; list != NULL && i < json_object_array_length(list);
	     i++) {
		std::string entry = json_object_to_json_string(
			json_object_array_get_idx(list, i));

		entries.push_back(json_text(entry, "ip") + ":" +
				  json_text(entry, "port"));
	}
	json_object_put(answer);
	return entries;
}

/* Returns the "fill" field that the backend stand-in answers with. */
std::string padding(const std::string &id, uint32_t fill_bytes)
{
	std::string text;

	while (text.size() < fill_bytes)
		text += id;
	return text;
}

enum answer_owner answer_owner_of(const struct http_reply &reply,
				  const std::string &id,
				  const std::string &body, uint32_t fill_bytes)
{
	auto outcome = reply.headers.find("nutmegcrank-outcome");

	if (reply.code != 0 || outcome == reply.headers.end() ||
	    outcome->second != "complete")
		return ANSWER_NONE;
	if (json_text(reply.body, "id") != id ||
	    json_text(reply.body, "body") != body ||
	    json_text(reply.body, "fill") != padding(id, fill_bytes))
		return ANSWER_FOREIGN;
	return ANSWER_OWN;
}

} // namespace

callers::callers(const fleet &fleet, const struct load_profile &profile,
		 const std::string &prefix)
    : system(fleet), profile(profile), prefix(prefix), stopping(false),
      complete_count(0)
{
	for (uint32_t i = 0; i < profile.callers; i++)
		threads.emplace_back([this, i] { run(i); });
}

callers::~callers()
{
	stop();
}

std::vector<struct call_record> callers::stop()
{
	stopping = true;
	for (auto &thread : threads)
		thread.join();
	threads.clear();
	return records;
}

uint32_t callers::complete() const
{
	return complete_count;
}

void callers::run(uint32_t number)
{
	http_client client;
	struct entry_list list;

	for (uint32_t count = 0; !stopping; count++) {
		send_request(client, list, number, count);
		sleep_ms(profile.gap_ms);
	}
}

void callers::send_request(http_client &client, struct entry_list &list,
			   uint32_t number, uint32_t count)
{
	/*
	 * Spreads the POSTs evenly over the requests, at other counts for each
	 * caller.
	 */
	bool post = (count * 37 + number * 11) % 100 < profile.post_percent;
	struct call_record record = {};
	struct http_request request;
	struct http_reply reply;

	if (unix_us() / 1000 >= list.expires_unix_ms)
		refresh_entries(list, number);
	if (list.entries.empty())
		return;
	record.id = prefix + "-" + std::to_string(number) + "-" +
		    std::to_string(count);
	record.method = post ? "POST" : "GET";
	record.entry = list.entries[list.next % list.entries.size()];
	request.method = record.method;
	request.url = "http://" + record.entry +
		      (post ? "/gallery/entries" : "/gallery/works") +
		      "?work_ms=" + std::to_string(profile.work_ms) +
		      "&fill_bytes=" + std::to_string(profile.fill_bytes);
	request.headers = { "X-Request-Id: " + record.id, "Expect:" };
	request.timeout_ms = profile.timeout_ms;
	if (post)
		request.body = std::string(profile.body_bytes, 'b');
	record.begin_unix_us = unix_us();
	reply = client.send(request);
	record.end_unix_us = unix_us();
	record.code = reply.code;
	record.status = reply.status;
	record.outcome = reply.headers["nutmegcrank-outcome"];
	record.error = reply.status == 200 ? "" :
					     json_text(reply.body, "error");
	record.owner = answer_owner_of(reply, record.id, request.body,
				       profile.fill_bytes);
	/* After a failure it changes to another entry, as real callers do. */
	if (record.owner != ANSWER_OWN || record.status != 200)
		list.next++;
	else
		complete_count++;
	add_record(record);
}

void callers::refresh_entries(struct entry_list &list, uint32_t number)
{
	uint32_t count = system.instance_count();

	list.entries.clear();
	list.next = number;
	if (profile.fixed_instance >= 0) {
		list.entries = { system.caller_addr(
			(uint32_t)profile.fixed_instance) };
		list.expires_unix_ms = UINT64_MAX;
		return;
	}
	for (uint32_t i = 0; i < count && list.entries.empty(); i++) {
		struct http_request request;
		struct http_reply reply;

		request.url = "http://" +
			      system.caller_addr((number + i) % count) +
			      "/.nutmegcrank/entries?service=gallery";
		request.timeout_ms = 500;
		reply = http_send(request);
		if (reply.code != 0 || reply.status != 200)
			continue;
		list.entries = read_entries(reply.body);
		list.expires_unix_ms = strtoull(
			json_text(reply.body, "expires_unix_ms").c_str(), NULL,
			10);
	}
}

void callers::add_record(const struct call_record &record)
{
	std::lock_guard<std::mutex> guard(lock);

	records.push_back(record);
}
