/*
 * A new configuration moves a route to another service. With the disruption it
 * also has many more routes, each on a host of its own.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clients.h"
#include "deployment.h"

#define MORE_HOSTS 4200
/* Longest value of the store. */
#define VALUE_MAX_BYTES 1048576
/* Bound of a change of the configuration, in the small deployments. */
#define CONFIG_MS 2000
#define WAIT_MS 6000
#define PAYMENTS_COUNT 40

static char text[2 * VALUE_MAX_BYTES];

static void put_config(uint32_t version, const char *service,
		       uint32_t more_hosts)
{
	size_t length = (size_t)sprintf(
		text,
		"{\"version\":\"r%u\",\"services\":["
		"{\"name\":\"ledger\",\"healthPath\":\"/health\","
		"\"maxConnections\":330,\"protocol\":\"h1\",\"tls\":false},"
		"{\"name\":\"fees\",\"healthPath\":\"/health\","
		"\"maxConnections\":330,\"protocol\":\"h1\",\"tls\":false}],"
		"\"limits\":{\"maxHeaderBytes\":16384,"
		"\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
		"\"idleTimeout\":\"15000ms\"},\"hosts\":[{\"host\":"
		"\"small.example\",\"paths\":[{\"name\":\"r-1\",\"prefix\":"
		"\"/write/\",\"routeType\":\"unsafe\",\"timeout\":\"3000ms\","
		"\"targetLatency\":\"600ms\",\"priority\":1,\"service\":"
		"\"%s\",\"maxAttempts\":2}]}",
		version, service);
	uint32_t i;

	for (i = 0; i < more_hosts; i++)
		length += (size_t)sprintf(
			text + length,
			",{\"host\":\"c%u.example\",\"paths\":[{\"name\":"
			"\"r-%u\",\"prefix\":\"/lookup/\",\"routeType\":"
			"\"safe\",\"timeout\":\"1200ms\",\"targetLatency\":"
			"\"600ms\",\"priority\":1,\"service\":\"ledger\","
			"\"maxAttempts\":2}]}",
			i, i + 2);
	length += (size_t)sprintf(text + length, "]}");
	if (length > VALUE_MAX_BYTES)
		not_run("the configuration is longer than a value may be");
	store_put("op/config", text);
	record("the store acknowledges configuration r%u: /write/ goes to %s; "
	       "%u routes, %zu bytes",
	       version, service, more_hosts + 1, length);
}

static void pay(const char *name)
{
	struct request request = { .method = "POST",
				   .path = "/write/1?work=10",
				   .deadline_ms = 3000,
				   .body_bytes = 100 };
	uint32_t i;
	int fd;

	for (i = 0; i < PAYMENTS_COUNT; i++) {
		fd = client_connect(&instances[i % instance_count], false);
		snprintf(request.id, ID_BYTES, "%s-%u", name, i);
		if (fd < 0)
			not_run("an instance takes no connection");
		client_send(fd, &request);
		close(fd);
	}
}

int main(int argc, char **argv)
{
	static const char *const services[] = { "ledger", "fees" };
	uint32_t old;
	uint32_t i;

	world_open(argc, argv);
	store_open();
	for (i = 0; i < 6; i++)
		upstream_register(upstream_open(DEPLOYMENT_ZONES[i % 3], 3),
				  services[i / 3], "ready", 1);
	put_config(7, "ledger", 0);
	deployment_start();
	pay("before");
	if (runs_at("ledger", "before") < PAYMENTS_COUNT / 2)
		not_run("the deployment does not serve calm requests");
	put_config(9, "fees", trouble ? MORE_HOSTS : 0);
	sleep_ms(WAIT_MS);
	pay("after");
	old = runs_at("ledger", "after");
	record("payments sent %d ms and later after the acknowledgement: %u ran "
	       "at fees",
	       WAIT_MS, runs_at("fees", "after"));
	record("CONFIG: %u of them ran at ledger, as only r7 allows (config %d "
	       "ms)",
	       old, CONFIG_MS);
	finish(old > 0 ? 1 : 0);
}
