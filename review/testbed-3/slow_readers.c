/*
 * Clients ask one instance for an answer of a megabyte, 100 of them in a second.
 * With the disruption they read slowly, but fast enough to have the whole
 * answer before their deadline. Other clients pay through the same instance.
 */
#include <pthread.h>
#include <stdio.h>
#include <unistd.h>

#include "clients.h"
#include "deployment.h"

#define READERS 320
/* The clients send their requests evenly over this time. */
#define ARRIVAL_MS 3200
#define ANSWER_PATH "/read/roster?work=50&bytes=1048576"
/* The whole answer takes 7 s. */
#define READ_BYTES_PER_S 150000
#define PAYMENTS_MS 1500
#define PAYMENT_WORK_MS 4000
#define READERS_START_MS 500
#define TRIES_MAX 12
#define RETRY_MS 200

static struct request requests[READERS];

/* A refused request comes back, as its status tells that it has not run. */
static void *read_answer(void *data)
{
	uint32_t i = (uint32_t)(uintptr_t)data;
	struct answer answer = { .status = 503 };
	uint32_t tries;
	int fd;

	for (tries = 0; tries < TRIES_MAX && answer.status == 503; tries++) {
		if (tries > 0)
			sleep_ms(RETRY_MS);
		snprintf(requests[i].id, ID_BYTES, "read-%u-%u", i, tries);
		fd = client_connect(&instances[0], true);
		if (fd < 0)
			break;
		answer = client_send(fd, &requests[i]);
		close(fd);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[READERS];
	int64_t start_ms;
	uint32_t i;

	world_open(argc, argv);
	deployment_open(6, 6, 10000);
	start_ms = now_ms() + READERS_START_MS;
	payments_start(&instances[0], start_ms + PAYMENTS_MS, PAYMENT_WORK_MS);
	for (i = 0; i < READERS; i++) {
		sleep_ms(start_ms + (int64_t)i * ARRIVAL_MS / READERS -
			 now_ms());
		requests[i] = (struct request){
			.method = "GET",
			.path = ANSWER_PATH,
			.deadline_ms = 10000,
			.read_bytes_per_s = trouble ? READ_BYTES_PER_S : 0,
		};
		pthread_create(&threads[i], NULL, read_answer,
			       (void *)(uintptr_t)i);
	}
	for (i = 0; i < READERS; i++)
		pthread_join(threads[i], NULL);
	judge_lost(payments_lost());
}
