#include "model/fleet_model.h"

#include <math.h>
#include <string.h>

#include "command/health.h"
#include "query/health.h"

#define STEP_US (5 * US_PER_MS)
#define DIGEST_INTERVAL_US (500 * US_PER_MS)
#define PROBE_INTERVAL_US (1 * US_PER_S)
#define RECORD_INTERVAL_US (25 * US_PER_MS)
#define REQUEST_TIMEOUT_US (2 * US_PER_S)
#define CONNECT_FAILURE_US (100 * US_PER_MS)
#define ERROR_ANSWER_US (5 * US_PER_MS)
#define RUNNING_REQUESTS_MAX 128
#define DIGESTS_IN_FLIGHT_MAX 64
#define CONSECUTIVE_FAILURES 5
#define CONSECUTIVE_EJECTION_US (30 * US_PER_S)
#define START_UNIX_MS UINT64_C(1700000000000)
/* Simulated time at the start of a run; 0 would read as an unset time. */
#define START_US (1 * US_PER_S)

/**
 * struct running - a running request
 * @active: the entry is in use
 * @ends_us: time when the request ends
 * @kind: evidence that it gives at its end
 */
struct running {
	bool active;
	uint64_t ends_us;
	enum evidence_kind kind;
};

/**
 * struct model_digest - a digest in flight
 * @sender: index of the home that sent it
 * @digest: content
 */
struct model_digest {
	uint32_t sender;
	struct peer_digest digest;
};

/**
 * struct model_home - a simulated home
 * @settings: address, failure domain and seed of the home
 * @state: routing state
 * @service: service that is simulated
 * @running: running requests, each at the index of its ticket
 * @in_flight: digests in flight to this home
 * @in_flight_due_us: arrival times of @in_flight, 0 for an unused entry
 * @next_arrival_us: time of the next request
 * @next_probe_us: time of the next probe of the home's backend servers
 * @consecutive_failures: by backend server, failures since the last success or
 *	ejection with MODEL_EJECT_CONSECUTIVE
 * @ejected_until_us: by backend server, end of its ejection, with
 *	MODEL_EJECT_CONSECUTIVE
 */
struct model_home {
	struct settings settings;
	struct state *state;
	struct service *service;
	struct running running[RUNNING_REQUESTS_MAX];
	struct model_digest in_flight[DIGESTS_IN_FLIGHT_MAX];
	uint64_t in_flight_due_us[DIGESTS_IN_FLIGHT_MAX];
	uint64_t next_arrival_us;
	uint64_t next_probe_us;
	uint32_t consecutive_failures[MODEL_BACKENDS_MAX];
	uint64_t ejected_until_us[MODEL_BACKENDS_MAX];
};

/**
 * struct model - state of a simulation
 * @config: parameters
 * @result: results so far
 * @doc: document of the service
 * @rand: source of all random numbers but those of the homes
 * @homes: homes, config->homes of them in use
 * @now: simulated time
 * @fault_start_us: start of config->faults[0], end of the run if there is none
 * @breach_start_us: start of the present breach of the healthy floor, 0 if
 *	there is none
 */
struct model {
	const struct model_config *config;
	struct model_result *result;
	struct service_doc *doc;
	GRand *rand;
	struct model_home homes[MODEL_HOMES_MAX];
	struct instant now;
	uint64_t fault_start_us;
	uint64_t breach_start_us;
};

static struct service_doc *make_document(const struct model_config *config);
static void init_home(struct model *model, uint32_t home);
static void add_member(struct model_home *home, uint32_t other,
		       uint32_t domain);
static struct net_addr home_addr(uint32_t home);
static void domain_name(struct name *name, uint32_t domain);
static void step_home(struct model *model, uint32_t home);
static void finish_requests(struct model *model, uint32_t home);
static void finish_request(struct model *model, uint32_t home,
			   uint32_t ticket_index);
static void start_requests(struct model *model, uint32_t home);
static void start_request(struct model *model, uint32_t home);
static uint32_t pick_backend(struct model *model, uint32_t home);
static uint32_t open_slots(const struct model *model, uint32_t home,
			   uint32_t backend);
static void plan_outcome(struct model *model, uint32_t home, uint32_t backend,
			 struct running *running);
static uint64_t draw_service_us(struct model *model, uint32_t backend);
static void probe_backends(struct model *model, uint32_t home);
static void receive_digests(struct model *model, uint32_t home);
static void send_digest(struct model *model, uint32_t home);
static void queue_digest(struct model *model, uint32_t from, uint32_t to,
			 const struct peer_digest *digest);
static bool digest_arrives(const struct model *model, uint32_t from,
			   uint32_t to);
static void record_events(struct model *model, uint32_t home,
			  struct event_list *events);
static void record_health(struct model *model, uint32_t home);
static void check_floor(struct model *model);
static bool is_ejected(const struct model *model, uint32_t backend);
static const struct model_fault *active_fault(const struct model *model,
					      enum model_fault_kind kind,
					      uint32_t backend, uint32_t home);
static bool chance(struct model *model, uint32_t permille);
static void count_consecutive_failures(struct model *model, uint32_t home,
				       uint32_t backend, bool failed);

void model_run(const struct model_config *config, struct model_result *result)
{
	struct model *model;
	uint32_t i;

	g_return_if_fail(config->homes > 0 && config->domains > 0);
	model = g_new0(struct model, 1);
	memset(result, 0, sizeof(*result));
	memset(result->no_slots_us, 0xff, sizeof(result->no_slots_us));
	memset(result->self_isolated_us, 0xff,
	       sizeof(result->self_isolated_us));
	model->config = config;
	model->result = result;
	model->rand = g_rand_new_with_seed(config->seed);
	model->doc = make_document(config);
	model->now.mono_us = START_US;
	model->fault_start_us = config->fault_count ?
					config->faults[0].from_us :
					config->run_us;
	result->least_slots = service_doc_slots(model->doc);
	for (i = 0; i < config->homes; i++)
		init_home(model, i);
	while (model->now.mono_us < config->run_us) {
		model->now.mono_us += STEP_US;
		model->now.unix_ms =
			START_UNIX_MS + model->now.mono_us / US_PER_MS;
		for (i = 0; i < config->homes; i++)
			step_home(model, i);
		check_floor(model);
	}
	for (i = 0; i < config->homes; i++) {
		service_free(model->homes[i].service);
		state_free(model->homes[i].state);
	}
	service_doc_unref(model->doc);
	g_rand_free(model->rand);
	g_free(model);
}

uint32_t model_ejections(const struct model_result *result)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < MODEL_BACKENDS_MAX; i++)
		sum += result->ejections[i];
	return sum;
}

static struct service_doc *make_document(const struct model_config *config)
{
	struct service_doc *doc = g_new0(struct service_doc, 1);
	struct backend_doc *backend;
	uint32_t i;

	doc->refs = 1;
	doc->version = 1;
	name_set(&doc->service, "gallery");
	doc->backend_count = config->backends;
	doc->backends = g_new0(struct backend_doc, config->backends);
	for (i = 0; i < config->backends; i++) {
		backend = &doc->backends[i];
		backend->addr.ip = 0x7f000001;
		backend->addr.port = (uint16_t)(9001 + i);
		domain_name(&backend->domain, i % config->domains);
		backend->capacity_slots = config->slots;
		backend->connections_max = 350;
	}
	doc->floor.kind = FLOOR_PERCENT;
	doc->floor.percent = config->floor_percent;
	return doc;
}

static void init_home(struct model *model, uint32_t home)
{
	const struct model_config *config = model->config;
	struct model_home *self = &model->homes[home];
	uint32_t homes = MAX(config->homes, 1);
	struct service *service;
	uint32_t share;
	uint32_t i;

	self->settings.random_seed = config->seed + home;
	self->settings.peer_listen = home_addr(home);
	domain_name(&self->settings.domain, home % config->domains);
	self->state = state_new(&self->settings);
	self->state->policy.ejecting = config->ejector == MODEL_EJECT_HEALTH;
	service = service_new(model->doc);
	self->service = service;
	service->home_count = config->homes;
	service->self_home = home;
	for (i = 0; i < config->homes; i++) {
		service->homes[i].peer = home_addr(i);
		if (i != home)
			add_member(self, i, i % config->domains);
	}
	for (i = 0; i < config->backends; i++) {
		share = config->slots / homes +
			((home + i) % homes < config->slots % homes);
		service->backends[i].own_slots = MAX(share, 1);
	}
	self->next_arrival_us = START_US;
	self->next_probe_us = START_US + UINT64_C(100) * home * US_PER_MS;
	service->digest_due_us = START_US + UINT64_C(70) * home * US_PER_MS;
}

static void add_member(struct model_home *home, uint32_t other, uint32_t domain)
{
	struct member member = { .in_list = true };

	member.listed.peer = home_addr(other);
	domain_name(&member.listed.domain, domain);
	g_array_append_val(home->state->membership.members, member);
}

static struct net_addr home_addr(uint32_t home)
{
	struct net_addr addr = { .ip = 0x7f010001 + home, .port = 8081 };

	return addr;
}

static void domain_name(struct name *name, uint32_t domain)
{
	char text[2] = { (char)('a' + domain), '\0' };

	name_set(name, text);
}

static void step_home(struct model *model, uint32_t home)
{
	struct model_home *self = &model->homes[home];
	struct event_list events;

	if (active_fault(model, MODEL_STALL, MODEL_ALL, home))
		return;
	event_list_init(&events);
	receive_digests(model, home);
	finish_requests(model, home);
	health_tick(self->state, self->service, model->now, &events);
	record_events(model, home, &events);
	event_list_clear(&events);
	start_requests(model, home);
	if (model->now.mono_us >= self->next_probe_us)
		probe_backends(model, home);
	if (model->now.mono_us >= self->service->digest_due_us)
		send_digest(model, home);
	if (model->now.mono_us % RECORD_INTERVAL_US == 0)
		record_health(model, home);
}

static void finish_requests(struct model *model, uint32_t home)
{
	struct model_home *self = &model->homes[home];
	uint32_t i;

	for (i = 0; i < RUNNING_REQUESTS_MAX; i++) {
		if (self->running[i].active &&
		    model->now.mono_us >= self->running[i].ends_us)
			finish_request(model, home, i);
	}
}

static void finish_request(struct model *model, uint32_t home,
			   uint32_t ticket_index)
{
	struct model_home *self = &model->homes[home];
	struct running *running = &self->running[ticket_index];
	struct ticket *ticket = &self->state->tickets[ticket_index];
	struct backend *backend =
		&self->service->backends[ticket->backend_index];
	struct evidence evidence = { .kind = running->kind,
				     .request_sent = true };
	struct event_list events;
	bool failed;

	evidence.service_us = model->now.mono_us - ticket->granted_us;
	evidence.notice.draining = active_fault(model, MODEL_DRAIN,
						ticket->backend_index,
						MODEL_ALL) != NULL;
	event_list_init(&events);
	health_observe_exchange(self->state, self->service, backend, ticket,
				&evidence, model->now, &events);
	record_events(model, home, &events);
	event_list_clear(&events);
	failed = evidence_failed(&evidence);
	model->result->failed_requests += failed;
	if (evidence.kind != EVIDENCE_SHED)
		count_consecutive_failures(model, home, ticket->backend_index,
					   failed);
	backend->in_use_slots--;
	self->service->running_requests--;
	memset(ticket, 0, sizeof(*ticket));
	running->active = false;
}

/* After a stall longer than a request's time-out, missed arrivals are lost. */
static void start_requests(struct model *model, uint32_t home)
{
	struct model_home *self = &model->homes[home];
	double rate_per_us = (double)model->config->requests_per_s *
			     model->config->backends / model->config->homes /
			     US_PER_S;

	if (self->next_arrival_us + REQUEST_TIMEOUT_US < model->now.mono_us)
		self->next_arrival_us = model->now.mono_us;
	while (self->next_arrival_us <= model->now.mono_us) {
		start_request(model, home);
		self->next_arrival_us +=
			(uint64_t)(-log(1 - g_rand_double(model->rand)) /
				   rate_per_us);
	}
}

static void start_request(struct model *model, uint32_t home)
{
	struct model_home *self = &model->homes[home];
	uint32_t backend = pick_backend(model, home);
	struct ticket *ticket;
	uint32_t ticket_index = 0;

	while (ticket_index < RUNNING_REQUESTS_MAX &&
	       self->running[ticket_index].active)
		ticket_index++;
	if (backend == MODEL_ALL || ticket_index == RUNNING_REQUESTS_MAX) {
		model->result->refused_requests++;
		return;
	}
	ticket = &self->state->tickets[ticket_index];
	ticket->state = TICKET_RUNNING;
	ticket->service = self->service;
	ticket->idempotent = true;
	ticket->backend_index = backend;
	ticket->granted_us = model->now.mono_us;
	ticket->deadline_us = model->now.mono_us + REQUEST_TIMEOUT_US;
	self->running[ticket_index].active = true;
	plan_outcome(model, home, backend, &self->running[ticket_index]);
	self->service->running_requests++;
	self->service->backends[backend].in_use_slots++;
	model->result->requests++;
	model->result->last_work_us[home][backend] = model->now.mono_us;
}

/*
 * Returns the backend server that has the least part of its open slots in use,
 * or MODEL_ALL if none has an open slot that is free.
 */
static uint32_t pick_backend(struct model *model, uint32_t home)
{
	const struct model_config *config = model->config;
	uint32_t start = g_rand_int_range(model->rand, 0, config->backends);
	uint32_t best = MODEL_ALL;
	uint32_t best_permille = PERMILLE_ONE;
	uint32_t permille;
	uint32_t backend;
	uint32_t open;
	uint32_t i;

	for (i = 0; i < config->backends; i++) {
		backend = (start + i) % config->backends;
		open = open_slots(model, home, backend);
		if (open == 0)
			continue;
		permille = model->homes[home]
				   .service->backends[backend]
				   .in_use_slots *
			   PERMILLE_ONE / open;
		if (permille >= best_permille)
			continue;
		best = backend;
		best_permille = permille;
	}
	return best;
}

static uint32_t open_slots(const struct model *model, uint32_t home,
			   uint32_t backend)
{
	const struct model_home *self = &model->homes[home];

	if (model->config->ejector == MODEL_EJECT_CONSECUTIVE &&
	    model->now.mono_us < self->ejected_until_us[backend])
		return 0;
	return backend_open_slots(&self->service->backends[backend],
				  model->now);
}

/*
 * Draws when and with which evidence a request ends. If several faults are
 * present, the one checked last decides.
 */
static void plan_outcome(struct model *model, uint32_t home, uint32_t backend,
			 struct running *running)
{
	uint64_t now_us = model->now.mono_us;
	const struct model_fault *fault;

	running->kind = EVIDENCE_OK;
	running->ends_us = now_us + draw_service_us(model, backend);
	if (running->ends_us > now_us + REQUEST_TIMEOUT_US) {
		running->kind = EVIDENCE_TIMEOUT;
		running->ends_us = now_us + REQUEST_TIMEOUT_US;
	}
	if (chance(model, model->config->error_permille))
		running->kind = EVIDENCE_SERVER_ERROR;
	fault = active_fault(model, MODEL_FAIL, backend, MODEL_ALL);
	if (fault && chance(model, fault->permille)) {
		running->kind = EVIDENCE_SERVER_ERROR;
		running->ends_us = now_us + ERROR_ANSWER_US;
	}
	fault = active_fault(model, MODEL_SHED, backend, MODEL_ALL);
	if (fault && chance(model, fault->permille)) {
		running->kind = EVIDENCE_SHED;
		running->ends_us = now_us + ERROR_ANSWER_US;
	}
	fault = active_fault(model, MODEL_HANG, backend, MODEL_ALL);
	if (fault && chance(model, fault->permille)) {
		running->kind = EVIDENCE_TIMEOUT;
		running->ends_us = now_us + REQUEST_TIMEOUT_US;
	}
	if (active_fault(model, MODEL_UNREACHABLE, backend, home)) {
		running->kind = EVIDENCE_CONNECT;
		running->ends_us = now_us + CONNECT_FAILURE_US;
	}
}

/*
 * Half of the mean service time is fixed, the other half is exponentially
 * distributed; stragglers take a multiple of the sum.
 */
static uint64_t draw_service_us(struct model *model, uint32_t backend)
{
	const struct model_fault *fault;
	double us = (double)model->config->typical_us / 2;

	us -= us * log(1 - g_rand_double(model->rand));
	if (chance(model, model->config->straggler_permille))
		us *= model->config->straggler_factor;
	fault = active_fault(model, MODEL_SLOW, backend, MODEL_ALL);
	if (fault)
		us *= fault->factor;
	fault = active_fault(model, MODEL_COLD, backend, MODEL_ALL);
	if (fault)
		us *= fault->factor;
	return (uint64_t)us;
}

/*
 * Probes report a backend server as healthy whatever the fault; of the faults
 * they show only MODEL_COLD and MODEL_DRAIN. One home probes each backend
 * server.
 */
static void probe_backends(struct model *model, uint32_t home)
{
	struct model_home *self = &model->homes[home];
	struct probe_result result = { .answered = true, .healthy = true };
	struct event_list events;
	uint32_t i;

	self->next_probe_us = model->now.mono_us + PROBE_INTERVAL_US;
	event_list_init(&events);
	for (i = home; i < model->config->backends; i += model->config->homes) {
		result.cold = active_fault(model, MODEL_COLD, i, MODEL_ALL);
		result.draining =
			active_fault(model, MODEL_DRAIN, i, MODEL_ALL);
		health_observe_probe(self->state, self->service,
				     &self->service->backends[i], &result,
				     model->now, &events);
	}
	record_events(model, home, &events);
	event_list_clear(&events);
}

static void receive_digests(struct model *model, uint32_t home)
{
	struct model_home *self = &model->homes[home];
	struct event_list events;
	struct model_digest *arrived;
	uint32_t i;

	event_list_init(&events);
	for (i = 0; i < DIGESTS_IN_FLIGHT_MAX; i++) {
		if (self->in_flight_due_us[i] == 0 ||
		    model->now.mono_us < self->in_flight_due_us[i])
			continue;
		arrived = &self->in_flight[i];
		self->in_flight_due_us[i] = 0;
		health_observe_digest(self->state, self->service,
				      home_addr(arrived->sender),
				      &arrived->digest, model->now, &events);
	}
	record_events(model, home, &events);
	event_list_clear(&events);
}

static void send_digest(struct model *model, uint32_t home)
{
	struct model_home *self = &model->homes[home];
	struct peer_digest digest = { 0 };
	uint32_t i;

	self->service->digest_due_us = model->now.mono_us + DIGEST_INTERVAL_US;
	health_digest(self->service, model->now, &digest);
	model->result->digests += model->config->homes - 1;
	model->result->digest_entries +=
		(uint64_t)digest.entry_count * (model->config->homes - 1);
	for (i = 0; i < model->config->homes; i++) {
		if (i != home && digest_arrives(model, home, i))
			queue_digest(model, home, i, &digest);
	}
}

/* The digest is lost if DIGESTS_IN_FLIGHT_MAX are in flight to the home. */
static void queue_digest(struct model *model, uint32_t from, uint32_t to,
			 const struct peer_digest *digest)
{
	struct model_home *home = &model->homes[to];
	uint32_t i;

	for (i = 0; i < DIGESTS_IN_FLIGHT_MAX; i++) {
		if (home->in_flight_due_us[i] != 0)
			continue;
		home->in_flight_due_us[i] =
			model->now.mono_us + model->config->digest_delay_us + 1;
		home->in_flight[i].sender = from;
		home->in_flight[i].digest = *digest;
		return;
	}
}

static bool digest_arrives(const struct model *model, uint32_t from,
			   uint32_t to)
{
	const struct model_fault *fault =
		active_fault(model, MODEL_PARTITION, MODEL_ALL, MODEL_ALL);

	if (active_fault(model, MODEL_RECEIVE_LOSS, MODEL_ALL, to))
		return false;
	if (!fault)
		return true;
	return (fault->home_mask >> from & 1) == (fault->home_mask >> to & 1);
}

static void record_events(struct model *model, uint32_t home,
			  struct event_list *events)
{
	struct model_home *self = &model->homes[home];
	const struct audit_record *audit;
	const struct event *event;
	uint32_t backend;
	guint i;

	for (i = 0; i < events->events->len; i++) {
		event = &g_array_index(events->events, struct event, i);
		if (event->kind != EVENT_AUDIT)
			continue;
		audit = &event->audit;
		backend = (uint32_t)(service_backend(self->service,
						     audit->subject) -
				     self->service->backends);
		if (audit->kind == AUDIT_EJECTED)
			model->result->ejections[backend]++;
		if (audit->kind == AUDIT_PATH_AVOIDED)
			model->result->avoidances[backend]++;
		if (audit->kind == AUDIT_EJECTION_WITHHELD)
			model->result->withheld[backend]++;
		if (audit->kind == AUDIT_READMITTED)
			model->result->readmitted_us[home][backend] =
				model->now.mono_us;
	}
	g_array_set_size(events->events, 0);
}

static void record_health(struct model *model, uint32_t home)
{
	struct model_result *result = model->result;
	uint64_t now_us = model->now.mono_us;
	uint32_t i;

	if (now_us < model->fault_start_us)
		return;
	for (i = 0; i < model->config->backends; i++) {
		if (result->no_slots_us[home][i] == MODEL_NEVER_US &&
		    open_slots(model, home, i) == 0)
			result->no_slots_us[home][i] = now_us;
	}
	if (result->self_isolated_us[home] == MODEL_NEVER_US &&
	    service_self_isolated(model->homes[home].service, model->now))
		result->self_isolated_us[home] = now_us;
}

/*
 * Compares the capacity that is left by the ejections of all homes together
 * with the healthy floor.
 */
static void check_floor(struct model *model)
{
	uint32_t floor = service_doc_floor_slots(model->doc);
	uint32_t slots_left = 0;
	bool ejected = false;
	uint64_t span_us;
	uint32_t i;

	for (i = 0; i < model->config->backends; i++) {
		if (is_ejected(model, i))
			ejected = true;
		else if (!active_fault(model, MODEL_DRAIN, i, MODEL_ALL))
			slots_left += model->config->slots;
	}
	model->result->least_slots =
		MIN(model->result->least_slots, slots_left);
	if (!ejected || slots_left >= floor) {
		model->breach_start_us = 0;
		return;
	}
	if (model->breach_start_us == 0)
		model->breach_start_us = model->now.mono_us;
	model->result->breach_us += STEP_US;
	span_us = model->now.mono_us - model->breach_start_us;
	model->result->longest_breach_us =
		MAX(model->result->longest_breach_us, span_us);
}

static bool is_ejected(const struct model *model, uint32_t backend)
{
	uint32_t i;

	if (active_fault(model, MODEL_DRAIN, backend, MODEL_ALL))
		return false;
	for (i = 0; i < model->config->homes; i++) {
		if (model->config->ejector == MODEL_EJECT_CONSECUTIVE &&
		    model->now.mono_us <
			    model->homes[i].ejected_until_us[backend])
			return true;
		if (model->homes[i].service->backends[backend].health.ejected)
			return true;
	}
	return false;
}

/*
 * Returns the first fault of a kind that is present at a backend server and a
 * home, NULL if there is none. MODEL_ALL stands for any of them.
 */
static const struct model_fault *active_fault(const struct model *model,
					      enum model_fault_kind kind,
					      uint32_t backend, uint32_t home)
{
	const struct model_fault *fault;
	uint64_t elapsed_us;
	uint32_t i;

	for (i = 0; i < model->config->fault_count; i++) {
		fault = &model->config->faults[i];
		if (fault->kind != kind ||
		    model->now.mono_us < fault->from_us ||
		    model->now.mono_us >= fault->until_us)
			continue;
		elapsed_us = model->now.mono_us - fault->from_us;
		if (fault->on_us != 0 &&
		    elapsed_us % (fault->on_us + fault->off_us) >= fault->on_us)
			continue;
		if (backend != MODEL_ALL && fault->backend != MODEL_ALL &&
		    backend != fault->backend)
			continue;
		if (home != MODEL_ALL && fault->home != MODEL_ALL &&
		    home != fault->home)
			continue;
		return fault;
	}
	return NULL;
}

static bool chance(struct model *model, uint32_t permille)
{
	return permille > 0 && g_rand_int_range(model->rand, 0, PERMILLE_ONE) <
				       (int32_t)permille;
}

static void count_consecutive_failures(struct model *model, uint32_t home,
				       uint32_t backend, bool failed)
{
	struct model_home *self = &model->homes[home];

	if (!failed) {
		self->consecutive_failures[backend] = 0;
		return;
	}
	self->consecutive_failures[backend]++;
	if (model->config->ejector != MODEL_EJECT_CONSECUTIVE ||
	    self->consecutive_failures[backend] < CONSECUTIVE_FAILURES)
		return;
	self->consecutive_failures[backend] = 0;
	self->ejected_until_us[backend] =
		model->now.mono_us + CONSECUTIVE_EJECTION_US;
	model->result->ejections[backend]++;
}
