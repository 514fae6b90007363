#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

/*
 * Stand-ins of a small deployment for the review cases: the platform's store,
 * upstreams and clients as threads of one process, and the instances under
 * test as child processes started with the command of the deploy file.
 *
 * Exit status of a case: 0 the rule held, 1 it was broken, 2 the case could
 * not run.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define INSTANCES_MAX 48
#define UPSTREAMS_MAX 32
#define RUNS_MAX 200000
#define MEMORY_MB 260

/* One machine with its instance. */
struct instance {
	char ip[32];
	char zone[16];
	pid_t pid;
	bool turned_away; /* by the store */
	bool turn_away_allowed;
	uint32_t store_calls;
	char settings[256];
};

/* One start of an upstream. */
struct upstream {
	char id[32];
	char service[32];
	char zone[16];
	uint16_t port;
	uint64_t born_ms;
	uint32_t slots;
	uint32_t work_ms;
	bool draining;
	/*
	 * If set, the upstream begins to work when the head is there and reads
	 * a long body on only after this time.
	 */
	uint32_t read_on_after_ms;
	int listen_fd;
};

/* One request that an upstream began to work on. */
struct run {
	char id[40];
	char path[64];
	struct upstream *upstream;
	uint64_t at_ms;
	uint64_t answered_ms; /* 0: the upstream has not answered it */
	uint64_t broken_off_ms; /* 0: the caller has not broken it off */
};

struct reply {
	int status; /* 0: no answer */
	bool complete; /* head and whole body arrived */
	bool signature; /* the upstream's signature is there */
	char *body; /* owned by the caller */
	size_t body_bytes;
	uint64_t sent_ms;
	uint64_t done_ms;
};

struct request {
	int instance;
	const char *method;
	const char *path;
	const char *id;
	uint32_t deadline_ms;
	size_t body_bytes;
};

extern struct instance instances[INSTANCES_MAX];
extern int instance_count;
extern struct upstream upstreams[UPSTREAMS_MAX];
extern int upstream_count;
extern struct run runs[RUNS_MAX];
extern volatile int run_count;
extern pthread_mutex_t world_lock;
extern bool trouble;
extern uint16_t front_port;
/* bounds.budgetSlack of the settings */
extern const char *budget_slack;

/* Milliseconds since the case began, steady clock. */
uint64_t now_ms(void);
void sleep_ms(uint32_t ms);
void sleep_until_ms(uint64_t at_ms);

/* Writes a line to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends all children and exits with 2. */
void cannot_run(const char *format, ...)
	__attribute__((format(printf, 1, 2), noreturn));
/* Ends all children, records the verdict and exits with 0 or 1. */
void verdict(bool broken, const char *format, ...)
	__attribute__((format(printf, 2, 3), noreturn));

/* argv: the folder of the case; reads TROUBLE from the environment. */
void world_init(int argc, char **argv);

void store_put(const char *key, const char *json);
void store_remove(const char *key);
/*
 * The store turns away the machines that call it from now on, with status 503,
 * until @machines_max have been turned away; all others are served.
 */
void store_turn_away(int machines_max);
void store_turn_away_end(void);
int store_turned_away(void);

struct upstream *upstream_start(const char *id, const char *service,
				const char *zone, uint32_t work_ms);
/* The address of all upstreams, each of which has a port of its own. */
const char *upstreams_ip(void);
void upstream_publish(const struct upstream *upstream, const char *state);

/* Adds a machine; instances_start() starts all of them. */
void instance_add(const char *zone);
void instances_start(void);
void instance_write_settings(int index);
void instance_spawn(int index);
bool instance_ready(int index);
/* Waits until all instances are ready, or cannot_run(). */
void instances_wait_ready(uint32_t limit_ms);
uint64_t instance_resident_mb(int index);

/* Sends one request on a connection of its own and reads the answer. */
void client_send(const struct request *request, struct reply *reply);
/* Opens a connection to an instance's front; -1 if it fails within 1 s. */
int client_connect(int instance);

/* Runs of the request with this id. */
int runs_of(const char *id, struct run **first);

bool send_all(int fd, const char *bytes, size_t length);
void thread_start(void *(*body)(void *), void *data);

#endif
