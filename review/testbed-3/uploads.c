/*
 * Clients send bodies of the largest size that the configuration allows through
 * one instance: with the disruption several at the same time, else one after
 * the other. Other clients pay through the same instance.
 */
#include <pthread.h>
#include <stdio.h>
#include <unistd.h>

#include "clients.h"
#include "deployment.h"

#define UPLOADS 5
/* All together stay below the link's 1,000 Mbit/s. */
#define SEND_BYTES_PER_S 24000000
#define UPLOAD_MS 2800

static struct request uploads[UPLOADS];

static void *upload(void *data)
{
	uint32_t i = (uint32_t)(uintptr_t)data;
	int fd = open_kept(&instances[0], "upload", i);

	client_send(fd, &uploads[i]);
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[UPLOADS];
	uint32_t i;

	world_open(argc, argv, "record.txt");
	deployment_open(6, 3, 5000);
	payments_start(&instances[0], now_ms() + UPLOAD_MS / 2, 2500);
	for (i = 0; i < UPLOADS; i++) {
		uploads[i] = (struct request){
			.method = "POST",
			.path = "/write/roll?work=100",
			.deadline_ms = 5000,
			.body_bytes = BODY_MAX_BYTES,
			.send_bytes_per_s = SEND_BYTES_PER_S,
		};
		snprintf(uploads[i].id, ID_BYTES, "upload-%u", i);
		pthread_create(&threads[i], NULL, upload, (void *)(uintptr_t)i);
		if (!trouble)
			pthread_join(threads[i], NULL);
	}
	for (i = 0; trouble && i < UPLOADS; i++)
		pthread_join(threads[i], NULL);
	judge_lost(payments_lost());
}
