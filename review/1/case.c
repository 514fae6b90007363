/*
 * Another writer puts one entry under servers/ in the store, with fields
 * missing and its start in microseconds. Later an upstream of the service that
 * it names drains. All machines are calm, and so is the store.
 */
#include "roll.h"

#include <stdio.h>

#define MACHINES_PER_ZONE 3
#define BEFORE_CHANGE_MS 3000
#define AFTER_CHANGE_MS 8000

/* Nothing listens at the entry's address. */
static void put_foreign_entry(void)
{
	char json[512];

	snprintf(json, sizeof(json),
		 "{\"address\":\"%s:9\",\"born\":1764928800000000,"
		 "\"info\":{\"service\":\"beta\",\"zone\":\"za\","
		 "\"maxConcurrency\":6},\"status\":{\"state\":\"ready\"}}",
		 upstreams_ip());
	store_put("servers/i-other", json);
}

int main(int argc, char **argv)
{
	struct roll_result result;

	world_init(argc, argv);
	roll_start(MACHINES_PER_ZONE);
	roll_clients_start();
	if (trouble)
		put_foreign_entry();
	sleep_ms(BEFORE_CHANGE_MS);
	roll_change();
	sleep_ms(AFTER_CHANGE_MS);
	result = roll_end();
	verdict(result.drained > 0,
		"%d requests reached the draining upstream more than %d ms "
		"after the store had accepted the drain; %d requests were "
		"sent in that time.",
		result.drained, ROLL_DRAIN_MS, result.late_requests);
}
