#include "clients.h"

#include <pthread.h>
#include <stdio.h>
#include <unistd.h>

#define DEADLINE_MS 8000

static struct payment payments[PAYMENTS];
static pthread_t threads[PAYMENTS];

int open_kept(struct instance *instance, const char *name, uint32_t index)
{
	struct request first = { .method = "POST",
				 .path = "/write/a?work=20",
				 .deadline_ms = DEADLINE_MS };
	int fd = client_connect(instance, false);

	snprintf(first.id, sizeof(first.id), "%s-%u-first", name, index);
	if (fd < 0 || !client_send(fd, &first).whole)
		not_run("the deployment does not serve a calm request");
	return fd;
}

static void *pay(void *data)
{
	struct payment *payment = data;
	int fd = open_kept(payment->instance, "payment",
			   (uint32_t)(payment - payments));

	sleep_ms(payment->start_ms - now_ms());
	payment->answer = client_send(fd, &payment->request);
	close(fd);
	return NULL;
}

void payments_start(struct instance *instance, int64_t start_ms,
		    uint32_t work_ms)
{
	static char path[64];
	uint32_t i;

	snprintf(path, sizeof(path), "/write/pay?work=%u", work_ms);
	for (i = 0; i < PAYMENTS; i++) {
		payments[i] = (struct payment){
			.instance = instance,
			.start_ms = start_ms,
			.request = { .method = "POST",
				     .path = path,
				     .deadline_ms = DEADLINE_MS,
				     .body_bytes = 300 },
		};
		snprintf(payments[i].request.id, ID_BYTES, "payment-%u", i);
		pthread_create(&threads[i], NULL, pay, &payments[i]);
	}
}

uint32_t payments_lost(void)
{
	uint32_t lost = 0;
	uint32_t i;

	for (i = 0; i < PAYMENTS; i++) {
		pthread_join(threads[i], NULL);
		lost += runs_of(payments[i].request.id) > 0 &&
			payments[i].answer.status == 0;
	}
	return lost;
}

void judge_lost(uint32_t lost)
{
	uint32_t i;

	for (i = 0; i < instance_count; i++)
		record("instance %u: peak %llu KB, killed %u times for its "
		       "memory",
		       i, (unsigned long long)instances[i].peak_kb,
		       instances[i].memory_kills);
	record("LOST: %u payments were passed on to an upstream and their "
	       "connections closed without an answer, %d allowed",
	       lost, LOST_ALLOWED);
	finish(lost > LOST_ALLOWED ? 1 : 0);
}
