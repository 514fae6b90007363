#include "fleet.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "process.h"

#define LOOPBACK_IP UINT32_C(0x7f000001) /* 127.0.0.1 */
#define INSTANCE_IP_FIRST UINT32_C(0x7f000101) /* 127.0.1.1 */
#define WORKER_THREADS UINT32_C(192)
#define READY_TIMEOUT_MS 10000
#define SETTLE_US 2000000

static void start_platform(struct fleet *fleet, uint16_t port);
static void start_backends(struct fleet *fleet, const struct fleet_plan *plan,
			   uint16_t first_port, uint16_t admin_port);
static void publish_config(const struct fleet *fleet,
			   const struct fleet_plan *plan,
			   uint16_t platform_port, uint16_t peer_port);
static void start_instance(struct fleet *fleet, const struct fleet_plan *plan,
			   uint32_t index, uint16_t platform_port,
			   uint16_t peer_port);
static void put_or_abort(const char *url, const char *text);
static char domain_letter(uint32_t index, const struct fleet_plan *plan);

struct fleet *fleet_start(const struct fleet_plan *plan)
{
	struct fleet *fleet = g_new0(struct fleet, 1);
	/*
	 * In order: platform, control requests of the backend servers, callers,
	 * peers, each backend server, operators of each instance.
	 */
	uint16_t platform_port =
		ports_find(plan->backends + 4 + plan->instances);
	uint16_t first_backend = (uint16_t)(platform_port + 4);
	char url[64];
	uint32_t i;

	g_assert(plan->instances <= FLEET_INSTANCES_MAX &&
		 plan->backends <= FLEET_BACKENDS_MAX);
	fleet->first_operator_port = (uint16_t)(first_backend + plan->backends);
	start_platform(fleet, platform_port);
	start_backends(fleet, plan, first_backend,
		       (uint16_t)(platform_port + 1));
	fleet->instance_count = plan->instances;
	for (i = 0; i < plan->instances; i++) {
		fleet->instances[i].ip = INSTANCE_IP_FIRST + i;
		fleet->instances[i].port = (uint16_t)(platform_port + 2);
	}
	publish_config(fleet, plan, platform_port,
		       (uint16_t)(platform_port + 3));
	for (i = 0; i < plan->instances; i++)
		start_instance(fleet, plan, i, platform_port,
			       (uint16_t)(platform_port + 3));
	for (i = 0; i < plan->instances; i++) {
		snprintf(url, sizeof(url), "http://127.0.0.1:%u/ready",
			 fleet->first_operator_port + i);
		if (!http_wait_ok(url, READY_TIMEOUT_MS))
			g_error("fleet: instance %u did not become ready", i);
		unlink(fleet->settings_paths[i]);
		g_free(fleet->settings_paths[i]);
	}
	/* Time for instances to find their peers and for the first probes. */
	g_usleep(SETTLE_US);
	return fleet;
}

void fleet_stop(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->instance_count; i++)
		process_stop(fleet->instance_pids[i]);
	process_stop(fleet->backends_pid);
	process_stop(fleet->platform_pid);
	g_free(fleet);
}

uint64_t fleet_cpu_us(const struct fleet *fleet)
{
	uint64_t sum_us = 0;
	uint32_t i;

	for (i = 0; i < fleet->instance_count; i++)
		sum_us += process_cpu_us(fleet->instance_pids[i]);
	return sum_us;
}

static void start_platform(struct fleet *fleet, uint16_t port)
{
	struct net_addr addr = { LOOPBACK_IP, port };
	char listen[ADDR_TEXT_BYTES];
	const char *args[] = { "standin", "config", "-l",
			       addr_format(addr, listen), NULL };

	fleet->platform_pid = process_start(args);
}

static void start_backends(struct fleet *fleet, const struct fleet_plan *plan,
			   uint16_t first_port, uint16_t admin_port)
{
	char ports[32];
	char admin_text[8];
	char seed[16];
	char url[96];
	char text[64];
	const char *args[] = { "standin", "backend",  "-p", ports,
			       "-a",	  admin_text, "-t", "800",
			       "-s",	  seed,	      NULL };
	uint32_t i;

	snprintf(ports, sizeof(ports), "%u-%u", first_port,
		 first_port + plan->backends - 1);
	snprintf(admin_text, sizeof(admin_text), "%u", admin_port);
	snprintf(seed, sizeof(seed), "%u", plan->seed);
	fleet->backends_pid = process_start(args);
	fleet->backend_count = plan->backends;
	for (i = 0; i < plan->backends; i++) {
		fleet->backends[i].ip = LOOPBACK_IP;
		fleet->backends[i].port = (uint16_t)(first_port + i);
	}
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/standin/counts",
		 admin_port);
	if (!http_wait_ok(url, READY_TIMEOUT_MS))
		g_error("fleet: backend servers do not answer");
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/standin/backend",
		 admin_port);
	snprintf(text, sizeof(text), "{\"slots\":%u,\"work_ms\":%u}",
		 plan->slots, plan->work_ms);
	put_or_abort(url, text);
}

static void publish_config(const struct fleet *fleet,
			   const struct fleet_plan *plan,
			   uint16_t platform_port, uint16_t peer_port)
{
	GString *text = g_string_new(NULL);
	char addr[ADDR_TEXT_BYTES];
	char peer[ADDR_TEXT_BYTES];
	struct net_addr peer_addr;
	char url[96];
	uint32_t i;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/standin/reads",
		 platform_port);
	if (!http_wait_ok(url, READY_TIMEOUT_MS))
		g_error("fleet: platform does not answer");
	g_string_printf(text, "{\"service\":\"%s\",\"path_prefix\":\"/\",",
			plan->service);
	for (i = 0; i < plan->backends; i++)
		g_string_append_printf(text,
				       "%s{\"ip\":\"127.0.0.1\",\"port\":%u,"
				       "\"failure_domain\":\"%c\",\"slots\":%u,"
				       "\"connections\":350}",
				       i == 0 ? "\"backends\":[" : ",",
				       fleet->backends[i].port,
				       domain_letter(i, plan), plan->slots);
	g_string_append_printf(
		text,
		"],\"healthy_floor\":{\"percent\":60},"
		"\"shed_marker\":{\"header\":\"X-Shed\",\"value\":\"1\"},"
		"\"drain_marker\":{\"header\":\"X-Draining\",\"value\":\"1\"},"
		"\"probe_path\":\"/health\",\"load_path\":\"/load\",%s}",
		plan->document_members);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/standin/config/%s",
		 platform_port, plan->service);
	put_or_abort(url, text->str);
	g_string_assign(text, "[");
	for (i = 0; i < plan->instances; i++) {
		peer_addr = fleet->instances[i];
		peer_addr.port = peer_port;
		g_string_append_printf(
			text,
			"%s{\"caller\":\"%s\",\"peer\":\"%s\","
			"\"failure_domain\":\"%c\",\"status\":\"live\"}",
			i == 0 ? "" : ",",
			addr_format(fleet->instances[i], addr),
			addr_format(peer_addr, peer), domain_letter(i, plan));
	}
	g_string_append(text, "]");
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/standin/instances",
		 platform_port);
	put_or_abort(url, text->str);
	g_string_free(text, TRUE);
}

static void start_instance(struct fleet *fleet, const struct fleet_plan *plan,
			   uint32_t index, uint16_t platform_port,
			   uint16_t peer_port)
{
	struct net_addr peer = { fleet->instances[index].ip, peer_port };
	char caller_text[ADDR_TEXT_BYTES];
	char peer_text[ADDR_TEXT_BYTES];
	char *path = NULL;
	char *text;
	int fd = g_file_open_tmp("nutmegcrank-bench-XXXXXX", &path, NULL);
	const char *args[] = { "nutmegcrank", "run", "-c", path, NULL };

	text = g_strdup_printf(
		"{\"callers\":\"%s\",\"peers\":\"%s\","
		"\"operators\":\"127.0.0.1:%u\",\"failure_domain\":\"%c\","
		"\"platform\":\"127.0.0.1:%u\",\"worker_threads\":%u,"
		"\"random_seed\":%u,\"policy\":\"%s\","
		"\"log\":{\"level\":\"warning\"}}",
		addr_format(fleet->instances[index], caller_text),
		addr_format(peer, peer_text),
		fleet->first_operator_port + index, domain_letter(index, plan),
		platform_port, WORKER_THREADS, plan->seed + index,
		plan->policy);
	if (fd < 0 || !g_file_set_contents(path, text, -1, NULL))
		g_error("fleet: cannot write a settings file");
	close(fd);
	fleet->instance_pids[index] = process_start(args);
	g_free(text);
	fleet->settings_paths[index] = path;
}

static void put_or_abort(const char *url, const char *text)
{
	if (!http_put_text(url, text))
		g_error("fleet: PUT %s failed", url);
}

static char domain_letter(uint32_t index, const struct fleet_plan *plan)
{
	return (char)('a' + index % plan->domains);
}
