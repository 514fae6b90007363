/*
 * Uploads of 60 MB, inside the operator's maxBodyBytes, go to two of three
 * machines: three at a time on an ordinary day, five at a time in a burst of
 * 1.7 times the traffic. The platform kills a process that exceeds the
 * machine's 260 MB and starts it again.
 */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define MACHINES 3
#define LOADED_MACHINES 2
#define USUAL_AT_ONCE 3
#define BURST_AT_ONCE 5
#define BODY_BYTES 60000000
#define DEADLINE_MS 5000
#define WORK_MS 300
#define LOAD_MS 30000
#define RESTART_MS 300
/* Ends in the day from which the rule counts a machine. */
#define ENDS_MAX 3

static volatile bool done;
static volatile int upload_count;
static volatile int served;
static volatile int unanswered;
static int ends[MACHINES];
static uint64_t most_mb[MACHINES];

static void *client(void *data)
{
	struct request request = {
		.instance = (int)(intptr_t)data,
		.method = "POST",
		.path = "/swap/1",
		.deadline_ms = DEADLINE_MS,
		.body_bytes = BODY_BYTES,
	};
	struct reply reply;
	char id[40];

	while (!done) {
		snprintf(id, sizeof(id), "upload%04d",
			 __sync_add_and_fetch(&upload_count, 1));
		request.id = id;
		client_send(&request, &reply);
		if (reply.status == 200 && reply.complete)
			__sync_add_and_fetch(&served, 1);
		else if (reply.status == 0)
			__sync_add_and_fetch(&unanswered, 1);
		sleep_ms(reply.status ? 50 : 500);
	}
	return NULL;
}

/* The platform's check of one machine's memory. */
static void check_memory(int index)
{
	struct instance *instance = &instances[index];
	uint64_t mb = instance_resident_mb(index);

	if (mb > most_mb[index])
		most_mb[index] = mb;
	if (mb <= MEMORY_MB)
		return;
	kill(instance->pid, SIGKILL);
	waitpid(instance->pid, NULL, 0);
	ends[index]++;
	record("broken: Fault: %s used %u MB, more than %d, and was killed "
	       "(%d times so far)",
	       instance->ip, (unsigned)mb, MEMORY_MB, ends[index]);
	sleep_ms(RESTART_MS);
	instance_spawn(index);
}

static void put_config(void)
{
	store_put("op/config",
		  "{\"version\":\"r1\",\"services\":[{\"name\":\"beta\","
		  "\"healthPath\":\"/health\",\"maxConnections\":360}],"
		  "\"limits\":{\"maxHeaderBytes\":16384,"
		  "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
		  "\"idleTimeout\":\"15000ms\"},"
		  "\"hosts\":[{\"host\":\"roll.example\",\"paths\":["
		  "{\"name\":\"swap\",\"prefix\":\"/swap/\","
		  "\"routeType\":\"unsafe\",\"timeout\":\"5000ms\","
		  "\"targetLatency\":\"1200ms\",\"priority\":1,"
		  "\"service\":\"beta\",\"maxAttempts\":2}]}]}");
}

int main(int argc, char **argv)
{
	int at_once;
	uint64_t end_ms;
	int hit = 0;
	int i;
	int k;

	world_init(argc, argv);
	at_once = trouble ? BURST_AT_ONCE : USUAL_AT_ONCE;
	for (i = 0; i < 6; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-beta%d", i);
		upstream_start(id, "beta", i % 2 ? "za" : "zb", WORK_MS);
	}
	put_config();
	for (i = 0; i < MACHINES; i++)
		instance_add(i % 2 ? "zb" : "za");
	instances_start();
	instances_wait_ready(20000);
	sleep_ms(5000);
	record("%d uploads at a time to each of %d machines", at_once,
	       LOADED_MACHINES);
	end_ms = now_ms() + LOAD_MS;
	for (i = 0; i < LOADED_MACHINES; i++)
		for (k = 0; k < at_once; k++)
			thread_start(client, (void *)(intptr_t)i);
	while (now_ms() < end_ms) {
		for (i = 0; i < MACHINES; i++)
			check_memory(i);
		sleep_ms(2);
	}
	done = true;
	sleep_ms(DEADLINE_MS + 1500);
	for (i = 0; i < MACHINES; i++)
		hit += ends[i] >= ENDS_MAX;
	if (!trouble && served < 20)
		cannot_run("only %d uploads were served", served);
	verdict(hit >= 2,
		"%d of %d machines were killed %d times or more for their "
		"memory (%d and %d times; most %u and %u MB of %d). Of %d "
		"uploads %d were served, %d got no answer.",
		hit, MACHINES, ENDS_MAX, ends[0], ends[1], (unsigned)most_mb[0],
		(unsigned)most_mb[1], MEMORY_MB, upload_count, served,
		unanswered);
}
