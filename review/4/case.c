/*
 * The machines that read the store lose power for 3.5 s, 6 of 36. 100 ms later
 * a route moves to another service and an upstream drains. The other 30
 * machines run calmly, reach the store and each other, and must follow.
 */
#include "roll.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#define MACHINES_PER_ZONE 12
/* 6 of 36, less than one in five. */
#define KILLED_MAX 6
#define DARK_MS 3500
#define CHANGE_AFTER_MS 100
#define WATCHED_MS 3000

static bool killed[INSTANCES_MAX];

static bool not_killed(int instance)
{
	return !killed[instance];
}

/* Kills the machines that have called the store in the last seconds. */
static int kill_readers(void)
{
	int count = 0;
	int i;

	for (i = 0; i < instance_count; i++)
		instances[i].store_calls = 0;
	sleep_ms(WATCHED_MS);
	for (i = 0; i < instance_count && count < KILLED_MAX; i++) {
		if (instances[i].store_calls == 0)
			continue;
		killed[i] = trouble;
		count++;
		if (!trouble)
			continue;
		kill(instances[i].pid, SIGKILL);
		record("machine %s (zone %s) loses power", instances[i].ip,
		       instances[i].zone);
	}
	return count;
}

static void restart(void)
{
	int i;

	for (i = 0; i < instance_count; i++) {
		if (!killed[i])
			continue;
		waitpid(instances[i].pid, NULL, 0);
		instance_spawn(i);
	}
	record("the machines are back");
}

int main(int argc, char **argv)
{
	struct roll_result result;
	uint64_t begun_ms;
	int count;

	world_init(argc, argv);
	roll_in_touch = not_killed;
	roll_start(MACHINES_PER_ZONE);
	roll_clients_start();
	count = kill_readers();
	begun_ms = now_ms();
	sleep_ms(CHANGE_AFTER_MS);
	roll_change();
	sleep_until_ms(begun_ms + DARK_MS);
	restart();
	sleep_ms(6000);
	result = roll_end();
	verdict(result.old_route > 0 || result.drained > 0,
		"%d of %d machines lost power. Of %d requests sent to the "
		"others more than %d ms after the acknowledgement %d were run "
		"by the old service. %d requests from them reached the "
		"draining upstream more than %d ms after the store had "
		"accepted the drain.",
		trouble ? count : 0, instance_count, result.late_requests,
		ROLL_CONFIG_MS, result.old_route, result.drained,
		ROLL_DRAIN_MS);
}
