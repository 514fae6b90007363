#include "deployment.h"

#include <stdio.h>

#define ZONES 3
#define READY_LIMIT_MS 15000

const char *const DEPLOYMENT_ZONES[ZONES] = { "tas-hobart", "tas-launceston",
					      "tas-devonport" };

uint32_t deployment_instances = ZONES;

void deployment_start(void)
{
	uint32_t i;

	for (i = 0; i < deployment_instances; i++)
		instance_add(DEPLOYMENT_ZONES[i % ZONES], MEMORY_MB);
	instances_start();
	instances_wait_ready(READY_LIMIT_MS);
}

void deployment_configure(uint32_t version, uint32_t timeout_ms)
{
	char config[2048];

	snprintf(config, sizeof(config),
		 "{\"version\":\"r%u\",\"services\":[{\"name\":\"" SERVICE "\","
		 "\"healthPath\":\"/health\",\"maxConnections\":330,"
		 "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
		 "\"maxHeaderBytes\":16384,\"maxBodyBytes\":%d,"
		 "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},"
		 "\"hosts\":[{\"host\":\"small.example\",\"paths\":["
		 "{\"name\":\"r-1\",\"prefix\":\"/read/\",\"routeType\":"
		 "\"safe\",\"timeout\":\"%ums\",\"targetLatency\":\"%ums\","
		 "\"priority\":1,\"service\":\"" SERVICE "\","
		 "\"maxAttempts\":2},"
		 "{\"name\":\"r-2\",\"prefix\":\"/write/\",\"routeType\":"
		 "\"unsafe\",\"timeout\":\"%ums\",\"targetLatency\":\"%ums\","
		 "\"priority\":1,\"service\":\"" SERVICE "\","
		 "\"maxAttempts\":2}]}]}",
		 version, BODY_MAX_BYTES, timeout_ms, timeout_ms, timeout_ms,
		 timeout_ms);
	store_put("op/config", config);
}

void deployment_open(uint32_t per_zone, uint32_t slots, uint32_t timeout_ms)
{
	uint32_t i;

	store_open();
	for (i = 0; i < ZONES * per_zone; i++)
		upstream_register(
			upstream_open(DEPLOYMENT_ZONES[i % ZONES], slots),
			SERVICE, "ready", 1);
	deployment_configure(7, timeout_ms);
	deployment_start();
}
