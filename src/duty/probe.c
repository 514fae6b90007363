#include "duty/probe.h"

#include <pthread.h>
#include <string.h>

#include "codec/http_client.h"
#include "codec/load_json.h"
#include "core/clock.h"
#include "duty/backend_socket.h"

/* Plans that may wait in the ring. */
#define PLANS_CAPACITY 4
#define RUNNING_PROBES_MAX 32
#define PROBE_INTERVAL_MIN_US (900 * US_PER_MS)
#define PROBE_INTERVAL_JITTER_US (200 * US_PER_MS)
#define PROBE_TIMEOUT_MS 500L
#define WAIT_MAX_MS 1000
#define HEAD_BYTES_MAX 16384
#define CALLS_PER_PROBE 2

/**
 * enum call_kind - path that a call requests
 * @CALL_HEALTH: health path
 * @CALL_LOAD: load report path
 */
enum call_kind { CALL_HEALTH, CALL_LOAD };

/**
 * struct call - one HTTP request of a probe
 * @probe: probe that it belongs to, not owned
 * @kind: path that it requests
 * @easy: libcurl's handle of the transfer, owned; NULL when it is not running
 * @body: body of the answer, owned
 * @head_bytes: bytes of the answer's head received so far
 */
struct call {
	struct probe *probe;
	enum call_kind kind;
	CURL *easy;
	GByteArray *body;
	uint64_t head_bytes;
};

/**
 * struct probe - one backend server that is probed
 * @duty: probe duty, not owned
 * @target: service, backend server and paths
 * @due_us: time when the next round starts
 * @calls: HTTP requests of the current round, by enum call_kind
 * @running_calls: number of @calls that have not ended
 * @result: result of the current round so far
 */
struct probe {
	struct probe_duty *duty;
	struct probe_target target;
	uint64_t due_us;
	struct call calls[CALLS_PER_PROBE];
	uint32_t running_calls;
	struct probe_result result;
};

/**
 * struct probe_duty - state of the probe duty
 * @settings: not owned
 * @dispatch: ring of struct message, not owned, gets the results
 * @plans: ring of struct probe_plan_event, owned
 * @multi: libcurl's handle of all transfers, owned
 * @probes: array of owned struct probe
 * @running_probes: number of probes with running calls
 * @rand: generator of the random part of the probe interval, owned
 * @thread: runs the probes
 */
struct probe_duty {
	const struct settings *settings;
	struct ring *dispatch;
	struct ring *plans;
	CURLM *multi;
	GPtrArray *probes;
	uint32_t running_probes;
	GRand *rand;
	pthread_t thread;
};

static void *probe_thread(void *data);
static bool receive_plans(struct probe_duty *duty);
static void replace_plan(struct probe_duty *duty, GArray *targets);
static struct probe *probe_new(struct probe_duty *duty,
			       const struct probe_target *target,
			       const GPtrArray *old_probes);
static void probe_free(gpointer data);
static void start_due_probes(struct probe_duty *duty);
static void start_probe(struct probe *probe);
static bool start_call(struct probe *probe, enum call_kind kind,
		       const char *path);
static bool set_options(struct call *call, const char *path);
static void collect_done(struct probe_duty *duty);
static void finish_call(struct call *call, CURLcode code);
static void clean_up_call(struct call *call);
static void record_result(struct probe *probe, const struct call *call,
			  long status);
static void send_result(struct probe *probe);
static uint64_t next_due_us(struct probe_duty *duty, uint64_t now_us);
static int32_t poll_timeout_ms(const struct probe_duty *duty);
static curl_socket_t on_open_socket(void *data, curlsocktype purpose,
				    struct curl_sockaddr *addr);
/* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's type */
static size_t on_head(char *bytes, size_t size, size_t count, void *data);
static size_t on_body(char *bytes, size_t size, size_t count, void *data);
static void duty_free(struct probe_duty *duty);

struct probe_duty *probe_start(const struct settings *settings,
			       struct ring *dispatch, GError **error)
{
	struct probe_duty *duty;

	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_LIBRARY,
				    "probe: cannot initialize libcurl");
		return NULL;
	}
	duty = g_new0(struct probe_duty, 1);
	duty->settings = settings;
	duty->dispatch = dispatch;
	duty->plans =
		ring_new(sizeof(struct probe_plan_event), PLANS_CAPACITY, 0);
	duty->probes = g_ptr_array_new_with_free_func(probe_free);
	duty->rand = g_rand_new_with_seed(settings->random_seed);
	duty->multi = curl_multi_init();
	if (!duty->multi)
		g_error("probe: out of memory");
	if (pthread_create(&duty->thread, NULL, probe_thread, duty) != 0) {
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_THREAD,
				    "probe: cannot create its thread");
		ring_close(duty->plans);
		duty_free(duty);
		return NULL;
	}
	return duty;
}

void probe_stop(struct probe_duty *duty)
{
	if (!duty)
		return;
	ring_close(duty->plans);
	if (curl_multi_wakeup(duty->multi) != CURLM_OK)
		g_warning("probe: cannot wake its thread");
	pthread_join(duty->thread, NULL);
	duty_free(duty);
}

enum ring_result probe_send(struct probe_duty *duty,
			    const struct probe_plan_event *plan)
{
	enum ring_result result = ring_push(duty->plans, plan);

	if (result == RING_OK && curl_multi_wakeup(duty->multi) != CURLM_OK)
		g_warning("probe: cannot wake its thread");
	return result;
}

static void *probe_thread(void *data)
{
	struct probe_duty *duty = data;
	int running;

	while (receive_plans(duty)) {
		start_due_probes(duty);
		if (curl_multi_perform(duty->multi, &running) != CURLM_OK)
			g_warning("probe: curl_multi_perform failed");
		collect_done(duty);
		if (curl_multi_poll(duty->multi, NULL, 0, poll_timeout_ms(duty),
				    NULL) != CURLM_OK)
			g_warning("probe: curl_multi_poll failed");
	}
	return NULL;
}

/* Return: false once the ring is closed. */
static bool receive_plans(struct probe_duty *duty)
{
	struct probe_plan_event plan;
	enum ring_result result;

	while ((result = ring_pop(duty->plans, &plan, 0)) == RING_OK)
		replace_plan(duty, plan.targets);
	return result != RING_CLOSED;
}

/* Targets that were in the plan before keep the time of their next round. */
static void replace_plan(struct probe_duty *duty, GArray *targets)
{
	GPtrArray *old_probes = duty->probes;
	struct probe *probe;
	guint i;

	duty->probes = g_ptr_array_new_with_free_func(probe_free);
	for (i = 0; i < targets->len; i++) {
		probe = probe_new(
			duty, &g_array_index(targets, struct probe_target, i),
			old_probes);
		g_ptr_array_add(duty->probes, probe);
	}
	g_ptr_array_unref(old_probes);
	g_array_unref(targets);
}

static struct probe *probe_new(struct probe_duty *duty,
			       const struct probe_target *target,
			       const GPtrArray *old_probes)
{
	struct probe *probe = g_new0(struct probe, 1);
	const struct probe *old;
	guint i;

	probe->duty = duty;
	probe->target = *target;
	probe->due_us = clock_now_us() +
			(uint64_t)g_rand_int_range(duty->rand, 0,
						   PROBE_INTERVAL_JITTER_US);
	for (i = 0; i < old_probes->len; i++) {
		old = g_ptr_array_index(old_probes, i);
		if (name_equal(&old->target.service, &target->service) &&
		    addr_equal(old->target.backend, target->backend))
			probe->due_us = old->due_us;
	}
	return probe;
}

static void probe_free(gpointer data)
{
	struct probe *probe = data;
	uint32_t i;

	if (probe->running_calls > 0)
		probe->duty->running_probes--;
	for (i = 0; i < CALLS_PER_PROBE; i++)
		clean_up_call(&probe->calls[i]);
	g_free(probe);
}

static void start_due_probes(struct probe_duty *duty)
{
	uint64_t now_us = clock_now_us();
	struct probe *probe;
	guint i;

	for (i = 0;
	     i < duty->probes->len && duty->running_probes < RUNNING_PROBES_MAX;
	     i++) {
		probe = g_ptr_array_index(duty->probes, i);
		if (probe->running_calls == 0 && probe->due_us <= now_us)
			start_probe(probe);
	}
}

static void start_probe(struct probe *probe)
{
	const struct probe_target *target = &probe->target;

	probe->due_us = next_due_us(probe->duty, clock_now_us());
	memset(&probe->result, 0, sizeof(probe->result));
	probe->result.service = target->service;
	probe->result.backend = target->backend;
	if (target->load_path[0] != '\0' &&
	    start_call(probe, CALL_LOAD, target->load_path))
		probe->running_calls++;
	if (target->probe_path[0] != '\0' &&
	    start_call(probe, CALL_HEALTH, target->probe_path))
		probe->running_calls++;
	if (probe->running_calls > 0)
		probe->duty->running_probes++;
}

static bool start_call(struct probe *probe, enum call_kind kind,
		       const char *path)
{
	struct call *call = &probe->calls[kind];

	call->probe = probe;
	call->kind = kind;
	call->head_bytes = 0;
	call->body = g_byte_array_new();
	call->easy = curl_easy_init();
	if (!call->easy)
		g_error("probe: out of memory");
	if (set_options(call, path) &&
	    curl_multi_add_handle(probe->duty->multi, call->easy) == CURLM_OK)
		return true;
	g_warning("probe: libcurl cannot start a request");
	clean_up_call(call);
	return false;
}

static bool set_options(struct call *call, const char *path)
{
	CURL *easy = call->easy;

	return http_client_set_defaults(easy) &&
	       http_client_set_target(easy, call->probe->target.backend,
				      path) &&
	       curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, PROBE_TIMEOUT_MS) ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_PRIVATE, call) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION,
				on_open_socket) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA,
				call->probe->duty) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_head) ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_HEADERDATA, call) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body) ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_WRITEDATA, call) == CURLE_OK;
}

static void collect_done(struct probe_duty *duty)
{
	CURLMsg *message;
	CURLcode code;
	char *private;
	int remaining;

	while ((message = curl_multi_info_read(duty->multi, &remaining))) {
		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		if (curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				      &private) != CURLE_OK)
			g_error("probe: a handle has no private pointer");
		finish_call((struct call *)(void *)private, code);
	}
}

static void finish_call(struct call *call, CURLcode code)
{
	struct probe *probe = call->probe;
	long status = 0;

	if (code == CURLE_OK &&
	    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status) ==
		    CURLE_OK)
		record_result(probe, call, status);
	clean_up_call(call);
	probe->running_calls--;
	if (probe->running_calls == 0)
		send_result(probe);
}

static void clean_up_call(struct call *call)
{
	if (!call->easy)
		return;
	curl_multi_remove_handle(call->probe->duty->multi, call->easy);
	curl_easy_cleanup(call->easy);
	call->easy = NULL;
	g_byte_array_unref(call->body);
	call->body = NULL;
}

static void record_result(struct probe *probe, const struct call *call,
			  long status)
{
	struct load_report report;
	GError *error = NULL;

	switch (call->kind) {
	case CALL_HEALTH:
		probe->result.answered = true;
		probe->result.healthy = status == 200;
		return;
	case CALL_LOAD:
		if (status != 200)
			return;
		if (!load_report_parse((const char *)call->body->data,
				       call->body->len, &report, &error)) {
			g_debug("probe: %s", error->message);
			g_clear_error(&error);
			return;
		}
		probe->result.answered = true;
		probe->result.draining = report.draining;
		probe->result.cold = report.cold;
		probe->result.busy_slots = report.busy_slots;
		return;
	}
}

static void send_result(struct probe *probe)
{
	struct command command = { .kind = COMMAND_PROBE_RESULT };

	probe->duty->running_probes--;
	/* Without a health path, a valid load report counts as healthy. */
	if (probe->target.probe_path[0] == '\0')
		probe->result.healthy = probe->result.answered;
	command.probe_result = probe->result;
	/* A lost result is replaced by that of the next round. */
	if (send_command(probe->duty->dispatch, &command) != RING_OK)
		g_debug("probe: dispatch ring refused a result");
}

static uint64_t next_due_us(struct probe_duty *duty, uint64_t now_us)
{
	return now_us + PROBE_INTERVAL_MIN_US +
	       (uint64_t)g_rand_int_range(duty->rand, 0,
					  PROBE_INTERVAL_JITTER_US);
}

/* Upper limit of the wait; libcurl shortens it to its own time-outs. */
static int32_t poll_timeout_ms(const struct probe_duty *duty)
{
	uint64_t now_us = clock_now_us();
	int32_t shortest_ms = WAIT_MAX_MS;
	const struct probe *probe;
	guint i;

	if (duty->running_probes >= RUNNING_PROBES_MAX)
		return WAIT_MAX_MS;
	for (i = 0; i < duty->probes->len; i++) {
		probe = g_ptr_array_index(duty->probes, i);
		if (probe->running_calls == 0)
			shortest_ms = MIN(shortest_ms,
					  clock_ms_left(probe->due_us, now_us));
	}
	return shortest_ms;
}

static curl_socket_t on_open_socket(void *data, curlsocktype purpose,
				    struct curl_sockaddr *addr)
{
	const struct probe_duty *duty = data;

	(void)purpose;
	(void)addr;
	return backend_socket_open(duty->settings->peer_bind.ip);
}

/* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's type */
static size_t on_head(char *bytes, size_t size, size_t count, void *data)
{
	struct call *call = data;

	(void)bytes;
	call->head_bytes += size * count;
	return call->head_bytes <= HEAD_BYTES_MAX ? size * count : 0;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *data)
{
	struct call *call = data;

	if (call->body->len + size * count > LOAD_BYTES_MAX)
		return 0;
	g_byte_array_append(call->body, (const guint8 *)bytes,
			    (guint)(size * count));
	return size * count;
}

static void duty_free(struct probe_duty *duty)
{
	struct probe_plan_event plan;

	while (ring_pop(duty->plans, &plan, 0) == RING_OK)
		g_array_unref(plan.targets);
	g_ptr_array_unref(duty->probes);
	curl_multi_cleanup(duty->multi);
	g_rand_free(duty->rand);
	ring_free(duty->plans);
	curl_global_cleanup();
	g_free(duty);
}
