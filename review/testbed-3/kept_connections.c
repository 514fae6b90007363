/*
 * Clients keep their connections open and get an answer of a megabyte on each
 * of them now and then. With the disruption three of five instances are killed,
 * and their clients connect to the two that are left. Other clients pay through
 * one of these.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clients.h"
#include "deployment.h"

#define CLIENTS 540
#define INSTANCES 5
/* The first of them are left, the others are killed. */
#define LEFT 2
#define ANSWER_PATH "/read/picture?work=5&bytes=1000000"
#define DEADLINE_MS 8000
/* The clients of each round send their requests evenly over this time. */
#define ROUND_MS 4500
#define KILL_MS 5000
#define SECOND_ROUND_MS 6000
#define PAYMENTS_MS 8500
#define END_MS 12000
#define TRIES_MAX 10
#define RETRY_MS 150

/**
 * struct client - one client
 * @instance: instance that it is connected to
 * @fd: its connection, -1 for none
 * @sent: requests so far
 */
struct client {
	struct instance *instance;
	int fd;
	uint32_t sent;
};

static struct client clients[CLIENTS];
static int64_t start_ms;

static void look_at_picture(struct client *client)
{
	struct request request = { .method = "GET",
				   .path = ANSWER_PATH,
				   .deadline_ms = DEADLINE_MS };
	struct answer answer = { .status = 503 };
	uint32_t tries;

	for (tries = 0; tries < TRIES_MAX && client->fd >= 0 &&
			answer.status == 503;
	     tries++) {
		if (tries > 0)
			sleep_ms(RETRY_MS);
		snprintf(request.id, ID_BYTES, "picture-%u-%u",
			 (uint32_t)(client - clients), client->sent++);
		answer = client_send(client->fd, &request);
		if (!answer.whole || answer.close) {
			close(client->fd);
			client->fd = -1;
		}
	}
}

/* Connects to one of the instances that answer, evenly chosen. */
static void reconnect(struct client *client)
{
	uint32_t from = (uint32_t)(client - clients) / INSTANCES % LEFT;
	uint32_t i;

	for (i = 0; i < INSTANCES && client->fd < 0; i++) {
		client->instance = &instances[(from + i) % INSTANCES];
		client->fd = client_connect(client->instance, false);
	}
}

static bool connection_ended(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void *run_client(void *data)
{
	struct client *client = data;
	int64_t part_ms = (client - clients) * ROUND_MS / CLIENTS;

	client->instance = &instances[(client - clients) % INSTANCES];
	client->fd = client_connect(client->instance, false);
	sleep_ms(start_ms + part_ms - now_ms());
	look_at_picture(client);
	sleep_ms(start_ms + KILL_MS + 100 - now_ms());
	if (client->fd >= 0 && connection_ended(client->fd)) {
		close(client->fd);
		client->fd = -1;
	}
	if (client->fd < 0)
		reconnect(client);
	sleep_ms(start_ms + SECOND_ROUND_MS + part_ms - now_ms());
	look_at_picture(client);
	sleep_ms(start_ms + END_MS - now_ms());
	if (client->fd >= 0)
		close(client->fd);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[CLIENTS];
	uint32_t i;

	world_open(argc, argv);
	deployment_instances = INSTANCES;
	deployment_open(6, 6, 8000);
	start_ms = now_ms() + 200;
	payments_start(&instances[0], start_ms + PAYMENTS_MS, 3000);
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&threads[i], NULL, run_client, &clients[i]);
	sleep_ms(start_ms + KILL_MS - now_ms());
	for (i = LEFT; trouble && i < INSTANCES; i++)
		instance_signal(&instances[i], SIGKILL);
	for (i = 0; i < CLIENTS; i++)
		pthread_join(threads[i], NULL);
	judge_lost(payments_lost());
}
