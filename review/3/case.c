/*
 * The store turns away a third of the machines for 9 s, those that call it
 * first. Meanwhile a route moves to another service and an upstream drains.
 * The other machines reach the store and must follow.
 */
#include "roll.h"

#define MACHINES_PER_ZONE 12
/* 12 of 36, one in three. */
#define TURNED_AWAY_MAX 12
#define TURN_AWAY_MS 9000
#define CHANGE_AFTER_MS 1500

static bool not_turned_away(int instance)
{
	return !instances[instance].turned_away;
}

int main(int argc, char **argv)
{
	struct roll_result result;
	uint64_t begun_ms;

	world_init(argc, argv);
	roll_in_touch = not_turned_away;
	roll_start(MACHINES_PER_ZONE);
	roll_clients_start();
	begun_ms = now_ms();
	if (trouble)
		store_turn_away(TURNED_AWAY_MAX);
	sleep_until_ms(begun_ms + CHANGE_AFTER_MS);
	roll_change();
	sleep_until_ms(begun_ms + TURN_AWAY_MS);
	if (trouble)
		store_turn_away_end();
	result = roll_end();
	verdict(result.old_route > 0 || result.drained > 0,
		"%d of %d machines were turned away. Of %d requests sent to "
		"the others more than %d ms after the acknowledgement %d were "
		"run by the old service, %d of them sent more than %d ms "
		"after it. %d requests from them reached the draining upstream "
		"more than %d ms after the store had accepted the drain.",
		store_turned_away(), instance_count, result.late_requests,
		ROLL_CONFIG_MS, result.old_route, result.old_route_skew,
		ROLL_CONFIG_MS + ROLL_MAX_SKEW_MS, result.drained,
		ROLL_DRAIN_MS);
}
