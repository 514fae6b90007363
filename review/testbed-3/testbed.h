#ifndef TESTBED_H
#define TESTBED_H

/**
 * DOC: small world for one case of the review
 *
 * The platform's store, upstreams, the part of the platform that starts and
 * kills processes, and clients. Everything listens on loopback addresses and
 * runs on the real clock. The protocol is that of the users' pages.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define INSTANCES_MAX 8
#define UPSTREAMS_MAX 64
#define ID_BYTES 32
#define ARRIVALS_MAX 4096

/**
 * struct upstream - one upstream
 * @id: its id in the store
 * @zone: its zone
 * @service: service that it registered for
 * @port: port it listens on
 * @slots: requests that it works on at the same time
 * @leaving: its answers say that it leaves
 * @arrivals_ms: when requests reached it, the first ARRIVALS_MAX
 * @arrival_count: used entries of @arrivals_ms
 */
struct upstream {
	char id[ID_BYTES];
	char zone[ID_BYTES];
	char service[ID_BYTES];
	uint16_t port;
	uint32_t slots;
	volatile bool leaving;
	int64_t arrivals_ms[ARRIVALS_MAX];
	volatile uint32_t arrival_count;
};

/**
 * struct instance - one process of the system and what the platform knows of it
 * @ip: its own loopback address
 * @zone: its zone
 * @front: port for clients
 * @ready: port of the readiness question
 * @control: port for the other instances
 * @directory: port for clients that ask where to connect
 * @pid: process id, 0 while there is none
 * @memory_mb: the platform kills the process when it holds more
 * @peak_kb: largest resident size seen
 * @memory_kills: how often the platform has killed it for its memory
 * @starts: how often it was started
 * @ended_ms: when it ended last, for the restart
 * @stopped: it was told to stop, so it is not started again
 */
struct instance {
	char ip[32];
	char zone[ID_BYTES];
	uint16_t front;
	uint16_t ready;
	uint16_t control;
	uint16_t directory;
	pid_t pid;
	uint32_t memory_mb;
	uint64_t peak_kb;
	uint32_t memory_kills;
	uint32_t starts;
	int64_t ended_ms;
	bool stopped;
};

/**
 * struct answer - what a client got for one request
 * @status: HTTP status, 0 when no head came
 * @length: length that the head states, -1 for none
 * @got: body bytes received
 * @whole: the answer is complete
 * @signed_by_upstream: it has the signature of an upstream
 * @close: the answer says that the connection ends
 * @took_ms: time from the first byte sent
 */
struct answer {
	int status;
	int64_t length;
	int64_t got;
	bool whole;
	bool signed_by_upstream;
	bool close;
	int64_t took_ms;
};

/**
 * struct request - one request of a client
 * @method: HTTP method
 * @path: path and query
 * @id: id of this attempt
 * @deadline_ms: how long the client waits
 * @body_bytes: length of the body
 * @read_bytes_per_s: pace at which the client reads the answer, 0 for no limit
 */
struct request {
	const char *method;
	const char *path;
	char id[ID_BYTES];
	uint32_t deadline_ms;
	uint64_t body_bytes;
	uint64_t read_bytes_per_s;
};

/* Clock and record. */
int64_t now_ms(void);
void sleep_ms(int64_t ms);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes and this one with @code: 0 held, 1 broken, 2 not run. */
void finish(int code) __attribute__((noreturn));
void not_run(const char *why) __attribute__((noreturn));

/* World. The case's arguments: RECORD TROUBLE BINARY TEMPLATE. */
extern bool trouble;
void world_open(int argc, char **argv);
/* Binds a listening socket to a free port of @ip. */
int listen_free(const char *ip, uint16_t *port);

/* Store. */
void store_open(void);
void store_put(const char *key, const char *value);
void store_remove(const char *key);
uint16_t store_port(void);
/* Keeps a copy of all items and of the revision. */
void store_copy(void);
/* While it is away, the store answers every call with 503. */
void store_set_away(bool away);
/* Returns to the copy in a new era; its history begins there. */
void store_restore(void);

/* Upstreams. Work, answer length from the query: work=MS and bytes=N. */
struct upstream *upstream_open(const char *zone, uint32_t slots);
void upstream_register(struct upstream *upstream, const char *service,
		       const char *state, uint64_t sequence);
/* The same with the time for which the upstream stays slow after its start. */
void upstream_register_warming(struct upstream *upstream, const char *service,
			       uint64_t sequence, uint32_t warmup_left_ms);
/* From now on all its answers have Server-Leaving. */
void upstream_set_leaving(struct upstream *upstream);
/* How many requests reached the upstream since a time by now_ms(). */
uint32_t upstream_arrivals(const struct upstream *upstream, int64_t since_ms);
/* How often upstreams began to work on the request. */
uint32_t runs_of(const char *id);

/* How many requests whose ids begin so ran at upstreams of the service. */
uint32_t runs_at(const char *service, const char *id_prefix);

/* Platform. */
extern struct instance instances[INSTANCES_MAX];
extern uint32_t instance_count;
struct instance *instance_add(const char *zone, uint32_t memory_mb);
void instances_start(void);
/* Waits until all instances are ready, or ends the case as not run. */
void instances_wait_ready(int64_t limit_ms);
void instance_signal(struct instance *instance, int signal_number);
/* Sets a field of the settings template. */
void setting(const char *name, const char *value);

/* Clients. */
int client_connect(const struct instance *instance, bool slow_reader);
/* Sends and reads on an open connection, and records both. */
struct answer client_send(int fd, const struct request *request);

#endif
