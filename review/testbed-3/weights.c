/*
 * A route of unsafe requests goes to one service. With the disruption a new
 * configuration splits it between that service and another one, by weights that
 * are fractions. A third service has the route with the shorter prefix and may
 * never get these requests.
 */
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "clients.h"
#include "deployment.h"

#define PAYMENTS_COUNT 40
/* Well above the bound for a configuration, 2 s after its acknowledgement. */
#define IN_FORCE_MS 3000

static void put_config(uint32_t version, const char *fees_target)
{
	char text[4096];

	snprintf(text, sizeof(text),
		 "{\"version\":\"r%u\",\"services\":["
		 "{\"name\":\"ledger\",\"healthPath\":\"/health\","
		 "\"maxConnections\":330,\"protocol\":\"h1\",\"tls\":false},"
		 "{\"name\":\"fees\",\"healthPath\":\"/health\","
		 "\"maxConnections\":330,\"protocol\":\"h1\",\"tls\":false},"
		 "{\"name\":\"fees-next\",\"healthPath\":\"/health\","
		 "\"maxConnections\":330,\"protocol\":\"h1\",\"tls\":false}],"
		 "\"limits\":{\"maxHeaderBytes\":16384,"
		 "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
		 "\"idleTimeout\":\"15000ms\"},\"hosts\":[{\"host\":"
		 "\"small.example\",\"paths\":[{\"name\":\"r-1\",\"prefix\":"
		 "\"/write/\",\"routeType\":\"unsafe\",\"timeout\":\"3000ms\","
		 "\"targetLatency\":\"600ms\",\"priority\":1,\"service\":"
		 "\"ledger\",\"maxAttempts\":2},{\"name\":\"r-2\",\"prefix\":"
		 "\"/write/fees/\",\"routeType\":\"unsafe\",\"timeout\":"
		 "\"3000ms\",\"targetLatency\":\"600ms\",\"priority\":1,%s,"
		 "\"maxAttempts\":2}]}]}",
		 version, fees_target);
	store_put("op/config", text);
	record("the store acknowledges configuration r%u: /write/fees/ has %s",
	       version, fees_target);
}

static void pay_fees(const char *name)
{
	struct request request = { .method = "POST",
				   .path = "/write/fees/1?work=10",
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
	static const char *const services[] = { "ledger", "fees", "fees-next" };
	uint32_t wrong;
	uint32_t i;

	world_open(argc, argv);
	store_open();
	for (i = 0; i < 9; i++)
		upstream_register(upstream_open(DEPLOYMENT_ZONES[i % 3], 3),
				  services[i / 3], "ready", 1);
	put_config(7, "\"service\":\"fees\"");
	deployment_start();
	pay_fees("before");
	if (runs_at("fees", "before") < PAYMENTS_COUNT / 2)
		not_run("the deployment does not serve calm requests");
	if (trouble)
		put_config(9, "\"trafficSplit\":[{\"service\":\"fees\","
			      "\"weight\":0.75},{\"service\":\"fees-next\","
			      "\"weight\":0.25}]");
	sleep_ms(IN_FORCE_MS);
	pay_fees("after");
	wrong = runs_at("ledger", "before") + runs_at("ledger", "after");
	record("payments after the change: %u ran at fees, %u at fees-next",
	       runs_at("fees", "after"), runs_at("fees-next", "after"));
	record("ROUTE: %u payments ran at ledger, to which no configuration "
	       "sends them",
	       wrong);
	finish(wrong > 0 ? 1 : 0);
}
