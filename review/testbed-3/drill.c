/*
 * A server leaves the service: its entry is removed, and it goes on serving for
 * a while. Its last write, shortly before, was read with others and did not get
 * into a document of its own. With the disruption the store is away for a moment
 * 4 s later and comes back from a copy that has this last write.
 */
#include <pthread.h>
#include <stdio.h>
#include <unistd.h>

#include "clients.h"
#include "deployment.h"

#define SERVERS 6
#define LEAVER 0
#define SLOTS 3
/* Three heartbeats of 1,500 ms, after which the store removes an entry. */
#define EXPIRY_MS 4500
/* All machines are in touch again, 3 s after the store's return. */
#define IN_TOUCH_MS 3500
#define DRAIN_MS 2000
#define CLIENTS 24

static struct upstream *servers[SERVERS];
static volatile bool sending;
static int64_t sent_from_ms;
static int64_t sent_until_ms;

static void *send_requests(void *data)
{
	uint32_t i = (uint32_t)(uintptr_t)data;
	struct request request = { .method = "POST",
				   .path = "/write/a?work=60",
				   .deadline_ms = 2000,
				   .body_bytes = 100 };
	uint32_t count = 0;
	int fd = -1;

	sleep_ms(sent_from_ms - now_ms());
	while (now_ms() < sent_until_ms) {
		if (fd < 0)
			fd = client_connect(&instances[i % instance_count],
					    false);
		snprintf(request.id, ID_BYTES, "late-%u-%u", i, count++);
		if (fd < 0 || !client_send(fd, &request).whole) {
			close(fd);
			fd = -1;
		}
		sleep_ms(20);
	}
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[CLIENTS];
	int64_t removed_ms;
	int64_t back_ms;
	uint32_t late;
	uint32_t i;

	world_open(argc, argv);
	store_open();
	for (i = 0; i < SERVERS; i++) {
		servers[i] = upstream_open(DEPLOYMENT_ZONES[i % 3], SLOTS);
		upstream_register_warming(servers[i], SERVICE, 1,
					  i == LEAVER ? 3000 : 0);
	}
	deployment_configure(7, 3000);
	deployment_start();
	sleep_ms(3500);

	/* Another server's write is published at once, the leaver's not yet. */
	upstream_register_warming(servers[1], SERVICE, 2, 100);
	sleep_ms(100);
	upstream_register_warming(servers[LEAVER], SERVICE, 2, 0);
	record("server %s has written for the last time",
	       servers[LEAVER]->id);
	sleep_ms(200);
	if (trouble)
		store_copy();
	sleep_ms(100);
	upstream_set_leaving(servers[LEAVER]);
	store_remove("servers/i-00001000");
	removed_ms = now_ms();
	record("the entry of server %s is removed; it serves on",
	       servers[LEAVER]->id);
	upstream_register_warming(servers[1], SERVICE, 3, 0);

	sleep_ms(3500);
	if (trouble) {
		store_set_away(true);
		sleep_ms(500);
		store_restore();
		store_set_away(false);
	}
	back_ms = now_ms();
	sent_from_ms = back_ms + IN_TOUCH_MS;
	sent_until_ms = back_ms + EXPIRY_MS - 100;
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&threads[i], NULL, send_requests,
			       (void *)(uintptr_t)i);
	sleep_ms(700);
	/* Those that live, and the operator, write again. */
	for (i = 1; i < SERVERS; i++)
		upstream_register(servers[i], SERVICE, "ready", 5);
	deployment_configure(7, 3000);
	sleep_ms(back_ms + EXPIRY_MS - now_ms());
	if (trouble)
		store_remove("servers/i-00001000");
	for (i = 0; i < CLIENTS; i++)
		pthread_join(threads[i], NULL);
	late = upstream_arrivals(servers[LEAVER], sent_from_ms);
	record("DRAIN: %u requests, sent %lld ms and later after the store had "
	       "acknowledged that server %s is gone (drain %d ms), reached it",
	       late, (long long)(sent_from_ms - removed_ms),
	       servers[LEAVER]->id, DRAIN_MS);
	finish(late > 0 ? 1 : 0);
}
