#include "duty/probe.h"

#include <pthread.h>
#include <string.h>

#include "codec/http_client.h"
#include "codec/load_json.h"
#include "core/clock.h"
#include "duty/backend_socket.h"

#define PLANS_ROOM 4
#define PROBES_AT_ONCE_MAX 32
#define PROBE_EVERY_MIN_US (900 * US_PER_MS)
#define PROBE_EVERY_JITTER_US (200 * US_PER_MS)
#define PROBE_MAX_MS 500L
#define WAIT_MAX_MS 1000
#define HEAD_BYTES_MAX 16384
#define CALLS_PER_PROBE 2

/**
 * enum call_kind - what a call asks for
 */
enum call_kind { CALL_HEALTH, CALL_LOAD };

/**
 * struct call - one transfer of a probe
 * @probe: its probe
 * @kind: what it asks for
 * @easy: libcurl's handle
 * @body: load report
 * @head_bytes: bytes of head and body that are not kept
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
 * @duty: its duty
 * @target: what to probe
 * @due_us: when the next round begins
 * @calls: transfers of this round
 * @running_calls: those that have not ended
 * @result: what this round has shown so far
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
 * struct probe_duty - the duty
 * @settings: not owned
 * @dispatch: where results go
 * @plans: ring of struct probe_plan_event
 * @multi: libcurl's
 * @probes: owned struct probe
 * @running_probes: probes with running calls
 * @rand: spreads the rounds
 * @thread: its thread
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

static void *run(void *data);
static bool take_plans(struct probe_duty *duty);
static void take_plan(struct probe_duty *duty, GArray *targets);
static struct probe *probe_new(struct probe_duty *duty,
			       const struct probe_target *target,
			       const GPtrArray *before);
static void probe_free(gpointer data);
static void begin_due(struct probe_duty *duty);
static void begin(struct probe *probe);
static bool begin_call(struct probe *probe, enum call_kind kind,
		       const char *path);
static bool prepare(struct call *call, const char *path);
static void collect_done(struct probe_duty *duty);
static void end_call(struct call *call, CURLcode code);
static void drop_call(struct call *call);
static void judge(struct probe *probe, const struct call *call, long status);
static void end_round(struct probe *probe);
static uint64_t next_due_us(struct probe_duty *duty, uint64_t now_us);
static int32_t wait_ms(const struct probe_duty *duty);
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
				    "probe: libcurl does not start");
		return NULL;
	}
	duty = g_new0(struct probe_duty, 1);
	duty->settings = settings;
	duty->dispatch = dispatch;
	duty->plans = ring_new(sizeof(struct probe_plan_event), PLANS_ROOM, 0);
	duty->probes = g_ptr_array_new_with_free_func(probe_free);
	duty->rand = g_rand_new_with_seed(settings->random_seed);
	duty->multi = curl_multi_init();
	if (!duty->multi)
		g_error("probe: out of memory");
	if (pthread_create(&duty->thread, NULL, run, duty) != 0) {
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_THREAD,
				    "probe: no thread");
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

static void *run(void *data)
{
	struct probe_duty *duty = data;
	int running;

	while (take_plans(duty)) {
		begin_due(duty);
		if (curl_multi_perform(duty->multi, &running) != CURLM_OK)
			g_warning("probe: libcurl fails");
		collect_done(duty);
		if (curl_multi_poll(duty->multi, NULL, 0, wait_ms(duty),
				    NULL) != CURLM_OK)
			g_warning("probe: cannot wait for its sockets");
	}
	return NULL;
}

/* Return: false once the ring is closed. */
static bool take_plans(struct probe_duty *duty)
{
	struct probe_plan_event plan;
	enum ring_result result;

	while ((result = ring_pop(duty->plans, &plan, 0)) == RING_OK)
		take_plan(duty, plan.targets);
	return result != RING_CLOSED;
}

/* Targets that stay keep their turn. */
static void take_plan(struct probe_duty *duty, GArray *targets)
{
	GPtrArray *before = duty->probes;
	struct probe *probe;
	guint i;

	duty->probes = g_ptr_array_new_with_free_func(probe_free);
	for (i = 0; i < targets->len; i++) {
		probe = probe_new(
			duty, &g_array_index(targets, struct probe_target, i),
			before);
		g_ptr_array_add(duty->probes, probe);
	}
	g_ptr_array_unref(before);
	g_array_unref(targets);
}

static struct probe *probe_new(struct probe_duty *duty,
			       const struct probe_target *target,
			       const GPtrArray *before)
{
	struct probe *probe = g_new0(struct probe, 1);
	const struct probe *old;
	guint i;

	probe->duty = duty;
	probe->target = *target;
	probe->due_us = clock_now_us() +
			(uint64_t)g_rand_int_range(duty->rand, 0,
						   PROBE_EVERY_JITTER_US);
	for (i = 0; i < before->len; i++) {
		old = g_ptr_array_index(before, i);
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
		drop_call(&probe->calls[i]);
	g_free(probe);
}

static void begin_due(struct probe_duty *duty)
{
	uint64_t now_us = clock_now_us();
	struct probe *probe;
	guint i;

	for (i = 0;
	     i < duty->probes->len && duty->running_probes < PROBES_AT_ONCE_MAX;
	     i++) {
		probe = g_ptr_array_index(duty->probes, i);
		if (probe->running_calls == 0 && probe->due_us <= now_us)
			begin(probe);
	}
}

static void begin(struct probe *probe)
{
	const struct probe_target *target = &probe->target;

	probe->due_us = next_due_us(probe->duty, clock_now_us());
	memset(&probe->result, 0, sizeof(probe->result));
	probe->result.service = target->service;
	probe->result.backend = target->backend;
	if (target->load_path[0] != '\0' &&
	    begin_call(probe, CALL_LOAD, target->load_path))
		probe->running_calls++;
	if (target->probe_path[0] != '\0' &&
	    begin_call(probe, CALL_HEALTH, target->probe_path))
		probe->running_calls++;
	if (probe->running_calls > 0)
		probe->duty->running_probes++;
}

static bool begin_call(struct probe *probe, enum call_kind kind,
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
	if (prepare(call, path) &&
	    curl_multi_add_handle(probe->duty->multi, call->easy) == CURLM_OK)
		return true;
	g_warning("probe: libcurl refuses a request");
	drop_call(call);
	return false;
}

static bool prepare(struct call *call, const char *path)
{
	CURL *easy = call->easy;

	return http_client_set_defaults(easy) &&
	       http_client_set_target(easy, call->probe->target.backend,
				      path) &&
	       curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, PROBE_MAX_MS) ==
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
	int left;

	while ((message = curl_multi_info_read(duty->multi, &left))) {
		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		if (curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				      &private) != CURLE_OK)
			g_error("probe: libcurl lost a handle");
		end_call((struct call *)(void *)private, code);
	}
}

static void end_call(struct call *call, CURLcode code)
{
	struct probe *probe = call->probe;
	long status = 0;

	if (code == CURLE_OK &&
	    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status) ==
		    CURLE_OK)
		judge(probe, call, status);
	drop_call(call);
	probe->running_calls--;
	if (probe->running_calls == 0)
		end_round(probe);
}

static void drop_call(struct call *call)
{
	if (!call->easy)
		return;
	curl_multi_remove_handle(call->probe->duty->multi, call->easy);
	curl_easy_cleanup(call->easy);
	call->easy = NULL;
	g_byte_array_unref(call->body);
	call->body = NULL;
}

static void judge(struct probe *probe, const struct call *call, long status)
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

static void end_round(struct probe *probe)
{
	struct command command = { .kind = COMMAND_PROBE_RESULT };

	probe->duty->running_probes--;
	/* Without a health path the load report has to do. */
	if (probe->target.probe_path[0] == '\0')
		probe->result.healthy = probe->result.answered;
	command.probe_result = probe->result;
	/* The next round says it again. */
	if (send_command(probe->duty->dispatch, &command) != RING_OK)
		g_debug("probe: a result was not taken");
}

static uint64_t next_due_us(struct probe_duty *duty, uint64_t now_us)
{
	return now_us + PROBE_EVERY_MIN_US +
	       (uint64_t)g_rand_int_range(duty->rand, 0, PROBE_EVERY_JITTER_US);
}

/* Longest wait; libcurl shortens it to its own deadlines. */
static int32_t wait_ms(const struct probe_duty *duty)
{
	uint64_t now_us = clock_now_us();
	int32_t shortest_ms = WAIT_MAX_MS;
	const struct probe *probe;
	guint i;

	if (duty->running_probes >= PROBES_AT_ONCE_MAX)
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
