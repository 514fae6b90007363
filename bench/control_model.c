#include "control_model.h"

#include <malloc.h>
#include <string.h>
#include <time.h>

#include "codec/peer_rpc.h"
#include "command/apply.h"

#define STEP_US (50 * US_PER_MS)
#define SETTLE_STEPS 600
#define MEASURED_STEPS 200
#define DOMAINS 3
#define SLOTS 6
#define SERVICE_TIME_US 20000
#define FIRST_INSTANCE_IP UINT32_C(0x7f100001)
#define PEER_PORT 8000
#define STATE_TICKS 200

/**
 * struct model_instance - a simulated instance
 * @settings: settings that @state refers to
 * @state: routing state
 * @inbox: struct peer_message received and not yet applied; owned
 * @grants: struct grant_event of requests that end in the next step; each
 *	holds a reference to its request
 */
struct model_instance {
	struct settings settings;
	struct state *state;
	GPtrArray *inbox;
	GArray *grants;
};

/**
 * struct model - a simulated fleet
 * @plan: sizes
 * @instances: array of plan->instances instances
 * @now: simulated time
 * @datagrams: datagrams sent by all instances since the measurement began
 * @bytes: bytes of these datagrams
 * @cpu_us: CPU time of all instances for control since the measurement began
 */
struct model {
	const struct control_plan *plan;
	struct model_instance *instances;
	struct instant now;
	uint64_t datagrams;
	uint64_t bytes;
	uint64_t cpu_us;
};

static void init_instance(struct model *model, uint32_t index);
static void mark_members_received(const struct model *model,
				  struct model_instance *instance);
static void clear_instance(struct model_instance *instance);
static void set_instance_list(struct model *model,
			      struct model_instance *instance, uint32_t count);
static void accept_documents(struct model *model,
			     struct model_instance *instance);
static struct service_doc *make_document(const struct control_plan *plan,
					 uint32_t index);
static struct instance_doc make_instance_doc(uint32_t index);
static void step_fleet(struct model *model);
static void step_instance(struct model *model, struct model_instance *instance);
static void run_requests(struct model *model, struct model_instance *instance);
static void admit_request(struct model *model, struct model_instance *instance,
			  const struct service *service);
static void apply_command(struct model *model, struct model_instance *instance,
			  struct command *command);
static void handle_events(struct model *model, struct model_instance *instance,
			  struct event_list *list);
static void send_datagram(struct model *model, struct peer_send_event *event);
static uint64_t cpu_now_us(void);

struct control_cost control_model_run(const struct control_plan *plan)
{
	struct model model = { .plan = plan };
	struct control_cost cost;
	double instance_seconds;
	uint32_t i;

	model.now.mono_us = 1000 * US_PER_S;
	model.now.unix_ms = 1700000000000;
	model.instances = g_new0(struct model_instance, plan->instances);
	for (i = 0; i < plan->instances; i++)
		init_instance(&model, i);
	for (i = 0; i < SETTLE_STEPS; i++)
		step_fleet(&model);
	model.datagrams = 0;
	model.bytes = 0;
	model.cpu_us = 0;
	for (i = 0; i < MEASURED_STEPS; i++)
		step_fleet(&model);
	instance_seconds =
		(double)plan->instances * MEASURED_STEPS * STEP_US / US_PER_S;
	cost.datagrams_per_s = (double)model.datagrams / instance_seconds;
	cost.bytes_per_s = (double)model.bytes / instance_seconds;
	cost.cpu_us_per_s = (double)model.cpu_us / instance_seconds;
	for (i = 0; i < plan->instances; i++)
		clear_instance(&model.instances[i]);
	g_free(model.instances);
	return cost;
}

struct state_cost control_model_state(const struct control_plan *plan)
{
	struct model model = { .plan = plan };
	struct command tick = { .kind = COMMAND_TICK };
	size_t before = mallinfo2().uordblks;
	struct state_cost cost;
	uint64_t began_us;
	uint32_t i;

	model.now.mono_us = 1000 * US_PER_S;
	model.now.unix_ms = 1700000000000;
	model.instances = g_new0(struct model_instance, plan->instances);
	init_instance(&model, 0);
	cost.state_bytes = mallinfo2().uordblks - before;
	cost.tick_us = 0;
	for (i = 0; i < STATE_TICKS; i++) {
		model.now.mono_us += STEP_US;
		mark_members_received(&model, &model.instances[0]);
		began_us = cpu_now_us();
		apply_command(&model, &model.instances[0], &tick);
		cost.tick_us += (double)(cpu_now_us() - began_us) / STATE_TICKS;
	}
	began_us = cpu_now_us();
	set_instance_list(&model, &model.instances[0], plan->instances - 1);
	cost.list_us = (double)(cpu_now_us() - began_us);
	for (i = 0; i < plan->instances; i++) {
		if (model.instances[i].inbox)
			clear_instance(&model.instances[i]);
	}
	g_free(model.instances);
	return cost;
}

/*
 * Sets the time at which each member was last heard from to the present. In
 * control_model_state() only one instance runs, and it must not declare the
 * others dead.
 */
static void mark_members_received(const struct model *model,
				  struct model_instance *instance)
{
	GArray *members = instance->state->membership.members;
	guint i;

	for (i = 0; i < members->len; i++)
		g_array_index(members, struct member, i).last_received_us =
			model->now.mono_us;
}

static void init_instance(struct model *model, uint32_t index)
{
	struct model_instance *instance = &model->instances[index];
	struct instance_doc self = make_instance_doc(index);

	instance->settings.caller_listen = self.caller;
	instance->settings.peer_listen = self.peer;
	instance->settings.domain = self.domain;
	instance->settings.requests_max = 64;
	instance->settings.retry_min_ms = 1000;
	instance->settings.retry_earned_permille = 100;
	instance->settings.retry_max_ms = 3000;
	instance->settings.entries_ttl_ms = 5000;
	instance->settings.stop_grace_ms = 30000;
	instance->settings.random_seed = model->plan->seed + index;
	instance->state = state_new(&instance->settings);
	instance->inbox = g_ptr_array_new();
	instance->grants =
		g_array_new(FALSE, FALSE, sizeof(struct grant_event));
	set_instance_list(model, instance, model->plan->instances);
	accept_documents(model, instance);
}

static void clear_instance(struct model_instance *instance)
{
	guint i;

	for (i = 0; i < instance->inbox->len; i++)
		g_free(instance->inbox->pdata[i]);
	for (i = 0; i < instance->grants->len; i++)
		request_unref(
			g_array_index(instance->grants, struct grant_event, i)
				.request);
	g_ptr_array_unref(instance->inbox);
	g_array_unref(instance->grants);
	state_free(instance->state);
}

static void set_instance_list(struct model *model,
			      struct model_instance *instance, uint32_t count)
{
	struct command command = { .kind = COMMAND_ACCEPT_INSTANCES };
	uint32_t i;

	command.accept_instances.list = g_new0(struct instance_doc, count);
	command.accept_instances.count = count;
	for (i = 0; i < count; i++)
		command.accept_instances.list[i] = make_instance_doc(i);
	apply_command(model, instance, &command);
}

static void accept_documents(struct model *model,
			     struct model_instance *instance)
{
	struct command command = { .kind = COMMAND_ACCEPT_CONFIG };
	uint32_t i;

	for (i = 0; i < model->plan->services; i++) {
		command.accept_config.doc = make_document(model->plan, i);
		apply_command(model, instance, &command);
	}
}

static struct service_doc *make_document(const struct control_plan *plan,
					 uint32_t index)
{
	struct service_doc *doc = g_new0(struct service_doc, 1);
	struct backend_doc *backend;
	uint32_t i;

	doc->refs = 1;
	doc->version = 1;
	doc->hash = index + 1;
	g_snprintf(doc->service.text, NAME_BYTES_MAX, "service%u", index);
	g_snprintf(doc->path_prefix, PATH_BYTES_MAX, "/service%u/", index);
	doc->backend_count = plan->backends;
	doc->backends = g_new0(struct backend_doc, plan->backends);
	for (i = 0; i < plan->backends; i++) {
		backend = &doc->backends[i];
		/* Beyond the addresses of instances, 256 for a service. */
		backend->addr.ip = FIRST_INSTANCE_IP + 65536 + index * 256 + i;
		backend->addr.port = 9000;
		backend->capacity_slots = SLOTS;
		backend->connections_max = 350;
		backend->domain = make_instance_doc(i).domain;
	}
	doc->class_count = 1;
	g_strlcpy(doc->classes[0].name.text, "class", NAME_BYTES_MAX);
	doc->classes[0].queue_max_requests = 64;
	doc->floor.kind = FLOOR_PERCENT;
	doc->floor.percent = 60;
	doc->default_budget_ms = 2000;
	return doc;
}

static struct instance_doc make_instance_doc(uint32_t index)
{
	struct instance_doc instance = { 0 };

	instance.caller.ip = FIRST_INSTANCE_IP + index;
	instance.caller.port = 7000;
	instance.peer.ip = FIRST_INSTANCE_IP + index;
	instance.peer.port = PEER_PORT;
	instance.domain.text[0] = (char)('a' + index % DOMAINS);
	return instance;
}

static void step_fleet(struct model *model)
{
	uint32_t i;

	model->now.mono_us += STEP_US;
	model->now.unix_ms += STEP_US / US_PER_MS;
	for (i = 0; i < model->plan->instances; i++)
		step_instance(model, &model->instances[i]);
}

static void step_instance(struct model *model, struct model_instance *instance)
{
	struct command command = { .kind = COMMAND_PEER_MESSAGE };
	struct command tick = { .kind = COMMAND_TICK };
	GPtrArray *inbox = instance->inbox;
	uint64_t began_us;
	guint i;

	instance->inbox = g_ptr_array_new();
	if (model->plan->busy)
		run_requests(model, instance);
	began_us = cpu_now_us();
	for (i = 0; i < inbox->len; i++) {
		command.peer_message = inbox->pdata[i];
		apply_command(model, instance, &command);
	}
	apply_command(model, instance, &tick);
	model->cpu_us += cpu_now_us() - began_us;
	g_ptr_array_unref(inbox);
}

static void run_requests(struct model *model, struct model_instance *instance)
{
	struct command command = { .kind = COMMAND_FINISH };
	GArray *grants = instance->grants;
	const struct grant_event *grant;
	GHashTableIter iter;
	gpointer value;
	guint i;

	instance->grants =
		g_array_new(FALSE, FALSE, sizeof(struct grant_event));
	for (i = 0; i < grants->len; i++) {
		grant = &g_array_index(grants, struct grant_event, i);
		command.finish.exchange = grant->exchange;
		command.finish.backend = grant->backend;
		command.finish.evidence.kind = EVIDENCE_OK;
		command.finish.evidence.request_sent = true;
		command.finish.evidence.status = 200;
		command.finish.evidence.service_us = SERVICE_TIME_US;
		apply_command(model, instance, &command);
		request_unref(grant->request);
	}
	g_array_unref(grants);
	g_hash_table_iter_init(&iter, instance->state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		admit_request(model, instance, value);
}

static void admit_request(struct model *model, struct model_instance *instance,
			  const struct service *service)
{
	struct command command = { .kind = COMMAND_ADMIT };

	if (service->self_home >= service->home_count)
		return;
	command.admit.facts.path = service->doc->path_prefix;
	command.admit.facts.method = METHOD_GET;
	command.admit.facts.caller_hash = g_rand_int(instance->state->rand);
	command.admit.facts.deadline_us = DEADLINE_NONE_US;
	command.admit.request = request_new();
	apply_command(model, instance, &command);
}

static void apply_command(struct model *model, struct model_instance *instance,
			  struct command *command)
{
	struct event_list list;

	event_list_init(&list);
	command_apply(instance->state, command, model->now, &list);
	handle_events(model, instance, &list);
}

static void handle_events(struct model *model, struct model_instance *instance,
			  struct event_list *list)
{
	struct event *event;
	guint i;

	for (i = 0; i < list->events->len; i++) {
		event = &g_array_index(list->events, struct event, i);
		switch (event->kind) {
		case EVENT_PEER_SEND:
			send_datagram(model, &event->peer_send);
			break;
		case EVENT_GRANT:
			g_array_append_val(instance->grants, event->grant);
			continue;
		default:
			break;
		}
		event_clear(event);
	}
	g_array_unref(list->events);
}

static void send_datagram(struct model *model, struct peer_send_event *event)
{
	uint8_t data[PEER_DATAGRAM_BYTES_MAX];
	uint32_t bytes =
		peer_message_encode(event->message, 1, data, sizeof(data));
	uint32_t to = event->to.ip - FIRST_INSTANCE_IP;
	struct peer_message *message;

	model->datagrams++;
	model->bytes += bytes;
	if (to >= model->plan->instances || !model->instances[to].inbox)
		return;
	message = g_new(struct peer_message, 1);
	if (!peer_message_decode(data, bytes, message, NULL))
		g_error("control: cannot decode an encoded datagram");
	g_ptr_array_add(model->instances[to].inbox, message);
}

static uint64_t cpu_now_us(void)
{
	struct timespec ts;

	if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts) != 0)
		return 0;
	return (uint64_t)ts.tv_sec * US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}
