#include "roll.h"

#include <stdio.h>
#include <string.h>

#define SETTLE_MS 6000
#define WARM_UP_MS 3000
#define PAUSE_MS 250
#define UPSTREAMS_PER_SERVICE 6
#define WORK_MS 20

bool (*roll_in_touch)(int instance);

static const char *const zone_names[ROLL_ZONES] = { "za", "zb", "zc" };
static volatile uint64_t changed_ms;
static volatile uint64_t draining_ms;
static struct upstream *leaving;
static volatile bool done;
static volatile int request_count;
static struct roll_result result;

static void put_config(int version, const char *service)
{
	char json[2048];

	snprintf(json, sizeof(json),
		 "{\"version\":\"r%d\",\"services\":["
		 "{\"name\":\"alpha\",\"healthPath\":\"/health\","
		 "\"maxConnections\":360},"
		 "{\"name\":\"beta\",\"healthPath\":\"/health\","
		 "\"maxConnections\":360}],"
		 "\"limits\":{\"maxHeaderBytes\":16384,"
		 "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
		 "\"idleTimeout\":\"15000ms\"},"
		 "\"hosts\":[{\"host\":\"roll.example\",\"paths\":["
		 "{\"name\":\"duty\",\"prefix\":\"/duty/\","
		 "\"routeType\":\"safe\",\"timeout\":\"2000ms\","
		 "\"targetLatency\":\"1000ms\",\"priority\":1,"
		 "\"service\":\"%s\",\"maxAttempts\":2},"
		 "{\"name\":\"swap\",\"prefix\":\"/swap/\","
		 "\"routeType\":\"unsafe\",\"timeout\":\"2000ms\","
		 "\"targetLatency\":\"1000ms\",\"priority\":1,"
		 "\"service\":\"beta\",\"maxAttempts\":2}]}]}",
		 version, service);
	store_put("op/config", json);
}

void roll_start(int machines_per_zone)
{
	char id[32];
	int i;

	for (i = 0; i < 2 * UPSTREAMS_PER_SERVICE; i++) {
		snprintf(id, sizeof(id), "i-%s%d", i % 2 ? "beta" : "alpha",
			 i / 2);
		upstream_start(id, i % 2 ? "beta" : "alpha",
			       zone_names[i / 2 % ROLL_ZONES], WORK_MS);
	}
	leaving = &upstreams[1];
	put_config(1, "alpha");
	for (i = 0; i < ROLL_ZONES * machines_per_zone; i++)
		instance_add(zone_names[i % ROLL_ZONES]);
	instances_start();
	instances_wait_ready(30000);
	sleep_ms(SETTLE_MS);
}

/* Judges an answered or unanswered request by what upstreams saw of it. */
static void judge(const struct request *request, const struct reply *reply)
{
	struct run *run = NULL;
	uint64_t after_ms;

	if (changed_ms == 0 || runs_of(request->id, &run) == 0)
		return;
	after_ms = reply->sent_ms - changed_ms;
	if (reply->sent_ms > changed_ms + ROLL_CONFIG_MS) {
		__sync_add_and_fetch(&result.late_requests, 1);
		if (strcmp(run->upstream->service, "alpha") == 0) {
			__sync_add_and_fetch(&result.old_route, 1);
			if (after_ms > ROLL_CONFIG_MS + ROLL_MAX_SKEW_MS)
				__sync_add_and_fetch(&result.old_route_skew, 1);
			record("broken: CONFIG: %s, sent to %s %u ms after the "
			       "acknowledgement, was run by the old service",
			       request->id, instances[request->instance].ip,
			       (unsigned)after_ms);
		}
	}
	if (draining_ms != 0 && run->upstream == leaving &&
	    run->at_ms > draining_ms + ROLL_DRAIN_MS) {
		__sync_add_and_fetch(&result.drained, 1);
		record("broken: DRAIN: %s reached %s from %s %u ms after the "
		       "store had accepted that it drains",
		       request->id, leaving->id,
		       instances[request->instance].ip,
		       (unsigned)(run->at_ms - draining_ms));
	}
}

static void *client(void *data)
{
	int instance = (int)(intptr_t)data;
	struct request request = { .instance = instance, .deadline_ms = 2000 };
	struct reply reply;
	char id[40];
	int number;

	sleep_ms((uint32_t)(instance * PAUSE_MS / INSTANCES_MAX));
	while (!done) {
		number = __sync_add_and_fetch(&request_count, 1);
		snprintf(id, sizeof(id), "c%06d", number);
		request.id = id;
		request.path = number % 2 ? "/duty/1" : "/swap/1";
		request.method = number % 2 ? "GET" : "POST";
		client_send(&request, &reply);
		if (!roll_in_touch || roll_in_touch(instance))
			judge(&request, &reply);
		sleep_ms(PAUSE_MS);
	}
	return NULL;
}

void roll_clients_start(void)
{
	int i;

	for (i = 0; i < instance_count; i++)
		thread_start(client, (void *)(intptr_t)i);
	sleep_ms(WARM_UP_MS);
}

void roll_change(void)
{
	put_config(5, "beta");
	changed_ms = now_ms();
	upstream_publish(leaving, "draining");
	draining_ms = now_ms();
}

struct roll_result roll_end(void)
{
	done = true;
	sleep_ms(3500);
	if (result.late_requests < 20)
		cannot_run("only %d requests after the bound",
			   result.late_requests);
	return result;
}
