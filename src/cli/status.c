#include "cli/status.h"

#include <stdio.h>
#include <stdlib.h>

#include "cli/show.h"

static void print_status(struct json_object *answer);
static void print_service(struct json_object *service);
static void print_backend(struct json_object *backend);
static const char *state_text(struct json_object *backend);
static void print_instance(struct json_object *instance);

int status_main(const struct status_args *args)
{
	char *target = g_strdup("/status");
	GError *error = NULL;
	struct json_object *answer;

	if (args->service.text[0]) {
		g_free(target);
		target = g_strdup_printf("/status?service=%s",
					 args->service.text);
	}
	answer = show_fetch(args->addr, target, args->json, &error);
	g_free(target);
	if (!answer)
		return show_error(error);
	if (!args->json)
		print_status(answer);
	json_object_put(answer);
	return show_flush();
}

static void print_status(struct json_object *answer)
{
	struct json_object *services = show_member(answer, "services");
	struct json_object *instances = show_member(answer, "instances");
	size_t i;

	printf("instance %s in failure domain %s: %s%s, platform %s%s\n",
	       show_text(answer, "instance"),
	       show_text(answer, "failure_domain"),
	       show_flag(answer, "ready") ? "ready" : "not ready",
	       show_flag(answer, "leaving") ? ", leaving" : "",
	       show_flag(answer, "platform_reachable") ? "reachable" :
							 "unreachable",
	       show_flag(answer, "config_reader") ? ", reads it for others" :
						    "");
	for (i = 0; i < show_count(services); i++)
		print_service(json_object_array_get_idx(services, i));
	printf("\n%-21s %-21s %-12s %-8s %s\n", "INSTANCE", "CALLERS", "DOMAIN",
	       "STATUS", "LISTED");
	for (i = 0; i < show_count(instances); i++)
		print_instance(json_object_array_get_idx(instances, i));
}

static void print_service(struct json_object *service)
{
	struct json_object *backends = show_member(service, "backends");
	struct json_object *homes = show_member(service, "homes");
	size_t i;

	printf("\n%s version %s: %s, home set of %zu%s, %s waiting, %s running, "
	       "%s slots in service, floor %s\n",
	       show_text(service, "service"), show_text(service, "version"),
	       show_flag(service, "home") ? "home" : "no home",
	       show_count(homes),
	       show_flag(service, "overload") ? ", overload" : "",
	       show_text(service, "waiting_requests"),
	       show_text(service, "running_requests"),
	       show_text(service, "in_service_slots"),
	       show_text(service, "floor_slots"));
	printf("  %-21s %-12s %-10s %-14s %5s %4s %4s %4s %6s %6s %6s\n",
	       "BACKEND", "DOMAIN", "STATE", "CAUSE", "SLOTS", "OWN", "USED",
	       "LENT", "OK", "FAILED", "SLOW");
	for (i = 0; i < show_count(backends); i++)
		print_backend(json_object_array_get_idx(backends, i));
}

static void print_backend(struct json_object *backend)
{
	printf("  %-21s %-12s %-10s %-14s %5s %4s %4s %4s %6s %6s %6s\n",
	       show_text(backend, "backend"),
	       show_text(backend, "failure_domain"), state_text(backend),
	       show_text(backend, "cause"), show_text(backend, "slots"),
	       show_text(backend, "own_slots"),
	       show_text(backend, "in_use_slots"),
	       show_text(backend, "lent_slots"),
	       show_text(backend, "ok_requests"),
	       show_text(backend, "failed_requests"),
	       show_text(backend, "slow_requests"));
}

/* A draining backend server gets no new requests, whatever its health. */
static const char *state_text(struct json_object *backend)
{
	if (show_flag(backend, "draining"))
		return "draining";
	if (show_flag(backend, "paused"))
		return "paused";
	if (show_flag(backend, "cold"))
		return "cold";
	return show_text(backend, "state");
}

static void print_instance(struct json_object *instance)
{
	printf("%-21s %-21s %-12s %-8s %s\n", show_text(instance, "peer"),
	       show_text(instance, "caller"),
	       show_text(instance, "failure_domain"),
	       show_text(instance, "status"),
	       show_flag(instance, "in_list") ? "yes" : "no");
}
