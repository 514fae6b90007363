#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 16384
#define ITEMS_MAX 128
#define HISTORY_MAX 4096
#define STORE_REVISION_FIRST 100

struct item {
	char key[64];
	char *json;
	uint64_t rev;
};

struct change {
	char key[64];
	char *json; /* NULL: removed */
	uint64_t rev;
};

struct head {
	char method[16];
	char target[1024];
	char text[HEAD_MAX];
	size_t rest_bytes; /* bytes of the body that came with the head */
	char rest[HEAD_MAX];
};

struct instance instances[INSTANCES_MAX];
int instance_count;
struct upstream upstreams[UPSTREAMS_MAX];
int upstream_count;
struct run runs[RUNS_MAX];
volatile int run_count;
pthread_mutex_t world_lock = PTHREAD_MUTEX_INITIALIZER;
bool trouble = true;
uint16_t front_port;
const char *budget_slack = "60";

static uint16_t ready_port;
static uint16_t control_port;
static uint16_t directory_port;
static uint16_t store_port;
static char base_ip[24];
static char store_ip[32];
static char upstream_ip[32];
static char client_ip[32];
static char case_dir[512];
static char temp_dir[64];
static char *template_text;
static FILE *record_file;
static uint64_t start_ns;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static struct item items[ITEMS_MAX];
static int item_count;
static struct change history[HISTORY_MAX];
static int history_count;
static uint64_t revision = STORE_REVISION_FIRST;
static bool turning_away;
static int turn_away_max;
static int turned_away;

static uint64_t clock_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

uint64_t now_ms(void)
{
	return (clock_ns() - start_ns) / 1000000;
}

void sleep_ms(uint32_t ms)
{
	struct timespec span = { ms / 1000, (long)(ms % 1000) * 1000000 };

	while (nanosleep(&span, &span) != 0 && errno == EINTR)
		;
}

void sleep_until_ms(uint64_t at_ms)
{
	uint64_t now = now_ms();

	if (at_ms > now)
		sleep_ms((uint32_t)(at_ms - now));
}

static void record_va(const char *format, va_list args)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	uint64_t at_ms = now_ms();

	pthread_mutex_lock(&lock);
	fprintf(record_file, "%3u.%03u ", (unsigned)(at_ms / 1000),
		(unsigned)(at_ms % 1000));
	vfprintf(record_file, format, args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&lock);
}

void record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	record_va(format, args);
	va_end(args);
}

static void end_instances(void)
{
	int i;

	for (i = 0; i < instance_count; i++) {
		if (instances[i].pid <= 0)
			continue;
		kill(instances[i].pid, SIGKILL);
		waitpid(instances[i].pid, NULL, 0);
	}
}

void cannot_run(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	record_va(format, args);
	va_end(args);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
	end_instances();
	_exit(2);
}

void verdict(bool broken, const char *format, ...)
{
	va_list args;

	record("verdict: %s", broken ? "the rule was broken" : "the rule held");
	va_start(args, format);
	record_va(format, args);
	va_end(args);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n%s\n", broken ? "broken" : "held");
	fflush(stdout);
	end_instances();
	_exit(broken ? 1 : 0);
}

void thread_start(void *(*body)(void *), void *data)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, body, data) != 0)
		cannot_run("cannot create a thread");
	pthread_attr_destroy(&attr);
}

static struct sockaddr_in address(const char *ip, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };

	inet_pton(AF_INET, ip, &addr.sin_addr);
	return addr;
}

static int listen_on(const char *ip, uint16_t port, uint16_t *bound)
{
	struct sockaddr_in addr = address(ip, port);
	socklen_t length = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(fd, 512) != 0)
		cannot_run("cannot listen on %s:%u", ip, port);
	getsockname(fd, (struct sockaddr *)&addr, &length);
	if (bound)
		*bound = ntohs(addr.sin_port);
	return fd;
}

bool send_all(int fd, const char *bytes, size_t length)
{
	ssize_t sent;

	while (length > 0) {
		sent = send(fd, bytes, length, MSG_NOSIGNAL);
		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		bytes += sent;
		length -= (size_t)sent;
	}
	return true;
}

/* Reads a request's head. Return: false at the end of the connection. */
static bool read_head(int fd, struct head *head)
{
	size_t length = 0;
	ssize_t got;
	char *end;

	for (;;) {
		got = recv(fd, head->text + length, HEAD_MAX - 1 - length, 0);
		if (got <= 0)
			return false;
		length += (size_t)got;
		head->text[length] = '\0';
		end = strstr(head->text, "\r\n\r\n");
		if (end)
			break;
		if (length == HEAD_MAX - 1)
			return false;
	}
	end += 4;
	head->rest_bytes = length - (size_t)(end - head->text);
	memcpy(head->rest, end, head->rest_bytes);
	*end = '\0';
	return sscanf(head->text, "%15s %1023s", head->method, head->target) ==
	       2;
}

/* Copies a field's value; returns false if there is none. */
static bool field(const char *text, const char *name, char *out, size_t size)
{
	const char *line = strstr(text, "\r\n");
	size_t name_bytes = strlen(name);
	size_t length;

	for (; line; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, name_bytes) != 0 ||
		    line[name_bytes] != ':')
			continue;
		line += name_bytes + 1;
		line += strspn(line, " \t");
		length = strcspn(line, "\r\n");
		if (length >= size)
			length = size - 1;
		memcpy(out, line, length);
		out[length] = '\0';
		return true;
	}
	return false;
}

static void answer_json(int fd, int status, const char *body)
{
	char head[256];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 status, status == 200 ? "OK" : "Error", strlen(body));
	if (send_all(fd, head, strlen(head)))
		send_all(fd, body, strlen(body));
}

/* ---- the platform's store ---- */

static char *base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t length = strlen(text);
	char *out = malloc(length * 4 / 3 + 8);
	const unsigned char *in = (const unsigned char *)text;
	size_t at = 0;
	size_t i;
	uint32_t word;

	for (i = 0; i < length; i += 3) {
		word = (uint32_t)in[i] << 16;
		if (i + 1 < length)
			word |= (uint32_t)in[i + 1] << 8;
		if (i + 2 < length)
			word |= in[i + 2];
		out[at++] = digits[word >> 18];
		out[at++] = digits[word >> 12 & 63];
		out[at++] = i + 1 < length ? digits[word >> 6 & 63] : '=';
		out[at++] = i + 2 < length ? digits[word & 63] : '=';
	}
	out[at] = '\0';
	return out;
}

static void add_change(const char *key, const char *json)
{
	struct change *change = &history[history_count];

	if (history_count == HISTORY_MAX)
		cannot_run("the store's history is full");
	snprintf(change->key, sizeof(change->key), "%s", key);
	change->json = json ? strdup(json) : NULL;
	change->rev = revision;
	history_count++;
	pthread_cond_broadcast(&store_changed);
}

void store_put(const char *key, const char *json)
{
	int i;

	pthread_mutex_lock(&world_lock);
	revision++;
	for (i = 0; i < item_count; i++) {
		if (strcmp(items[i].key, key) == 0)
			break;
	}
	if (i == ITEMS_MAX)
		cannot_run("the store is full");
	if (i == item_count)
		item_count++;
	snprintf(items[i].key, sizeof(items[i].key), "%s", key);
	items[i].json = strdup(json);
	items[i].rev = revision;
	add_change(key, json);
	pthread_mutex_unlock(&world_lock);
	record("store: %s written at revision %u: %s", key, (unsigned)revision,
	       json);
}

void store_remove(const char *key)
{
	int i;

	pthread_mutex_lock(&world_lock);
	for (i = 0; i < item_count; i++) {
		if (strcmp(items[i].key, key) != 0)
			continue;
		revision++;
		items[i] = items[--item_count];
		add_change(key, NULL);
		break;
	}
	pthread_mutex_unlock(&world_lock);
	record("store: %s removed at revision %u", key, (unsigned)revision);
}

void store_turn_away(int machines_max)
{
	pthread_mutex_lock(&world_lock);
	turning_away = true;
	turn_away_max = machines_max;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&world_lock);
	record("store: turns away up to %d of %d machines", machines_max,
	       instance_count);
}

void store_turn_away_end(void)
{
	int i;

	pthread_mutex_lock(&world_lock);
	turning_away = false;
	pthread_mutex_unlock(&world_lock);
	record("store: serves all machines again");
	for (i = 0; i < instance_count; i++) {
		if (instances[i].turned_away)
			record("store: had turned away %s (zone %s)",
			       instances[i].ip, instances[i].zone);
	}
}

int store_turned_away(void)
{
	return turned_away;
}

/* The lock is held. */
static bool turn_away(struct instance *caller)
{
	if (!turning_away || !caller)
		return false;
	if (!caller->turned_away && turned_away < turn_away_max) {
		caller->turned_away = true;
		turned_away++;
	}
	return caller->turned_away;
}

static void append(char **text, size_t *length, const char *format, ...)
{
	va_list args;
	char *more = NULL;
	int bytes;

	va_start(args, format);
	bytes = vasprintf(&more, format, args);
	va_end(args);
	*text = realloc(*text, *length + (size_t)bytes + 1);
	memcpy(*text + *length, more, (size_t)bytes + 1);
	*length += (size_t)bytes;
	free(more);
}

static void append_item(char **text, size_t *length, const char *key,
			const char *json, uint64_t rev, bool first)
{
	char *value;

	append(text, length, "%s{\"key\":\"%s\",\"rev\":%llu", first ? "" : ",",
	       key, (unsigned long long)rev);
	if (!json) {
		append(text, length, ",\"removed\":true}");
		return;
	}
	value = base64(json);
	append(text, length,
	       ",\"createdRev\":%llu,\"lease\":0,\"value\":\"%s\"}",
	       (unsigned long long)rev, value);
	free(value);
}

static int compare_items(const void *a, const void *b)
{
	return strcmp(((const struct item *)a)->key,
		      ((const struct item *)b)->key);
}

static char *range_text(void)
{
	struct item sorted[ITEMS_MAX];
	char *text = NULL;
	size_t length = 0;
	int i;

	memcpy(sorted, items, sizeof(sorted));
	qsort(sorted, (size_t)item_count, sizeof(sorted[0]), compare_items);
	append(&text, &length, "{\"items\":[");
	for (i = 0; i < item_count; i++)
		append_item(&text, &length, sorted[i].key, sorted[i].json,
			    sorted[i].rev, i == 0);
	append(&text, &length, "],\"hasMore\":false,\"storeRevision\":%llu}",
	       (unsigned long long)revision);
	return text;
}

static char *changes_text(uint64_t after)
{
	char *text = NULL;
	size_t length = 0;
	bool first = true;
	int i;

	append(&text, &length, "{\"events\":[");
	for (i = 0; i < history_count; i++) {
		if (history[i].rev <= after)
			continue;
		append_item(&text, &length, history[i].key, history[i].json,
			    history[i].rev, first);
		first = false;
	}
	append(&text, &length, "],\"storeRevision\":%llu}",
	       (unsigned long long)revision);
	return text;
}

/* Serves one call. Return: owned body, NULL to turn the caller away. */
static char *serve_store(const char *target, struct instance *caller)
{
	const char *after_text = strstr(target, "after=");
	const char *wait_text = strstr(target, "waitMs=");
	uint64_t after = after_text ? strtoull(after_text + 6, NULL, 10) : 0;
	uint64_t wait_ms = wait_text ? strtoull(wait_text + 7, NULL, 10) : 0;
	struct timespec until;
	char *text = NULL;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += (time_t)(wait_ms / 1000);
	until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&world_lock);
	if (caller)
		caller->store_calls++;
	if (strncmp(target, "/kv-watch", 9) != 0) {
		if (!turn_away(caller))
			text = range_text();
	} else {
		while (!turn_away(caller) && revision <= after &&
		       pthread_cond_timedwait(&store_changed, &world_lock,
					      &until) == 0)
			;
		if (!turn_away(caller))
			text = changes_text(after);
	}
	pthread_mutex_unlock(&world_lock);
	return text;
}

static struct instance *instance_by_ip(const char *ip)
{
	int i;

	for (i = 0; i < instance_count; i++) {
		if (strcmp(instances[i].ip, ip) == 0)
			return &instances[i];
	}
	return NULL;
}

static void *store_connection(void *data)
{
	int fd = (int)(intptr_t)data;
	struct sockaddr_in peer;
	socklen_t length = sizeof(peer);
	struct head *head = malloc(sizeof(*head));
	struct instance *caller;
	char ip[32];
	char *text;

	getpeername(fd, (struct sockaddr *)&peer, &length);
	inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof(ip));
	caller = instance_by_ip(ip);
	while (read_head(fd, head)) {
		text = serve_store(head->target, caller);
		sleep_ms(4);
		answer_json(fd, text ? 200 : 503, text ? text : "{}");
		free(text);
	}
	free(head);
	close(fd);
	return NULL;
}

/* ---- upstreams ---- */

static struct run *add_run(struct upstream *upstream, const char *id,
			   const char *path)
{
	struct run *run;

	pthread_mutex_lock(&world_lock);
	if (run_count == RUNS_MAX)
		cannot_run("too many runs");
	run = &runs[run_count];
	snprintf(run->id, sizeof(run->id), "%s", id);
	snprintf(run->path, sizeof(run->path), "%.63s", path);
	run->upstream = upstream;
	run->at_ms = now_ms();
	run_count++;
	pthread_mutex_unlock(&world_lock);
	record("run: %s of %s at %s", id, path, upstream->id);
	return run;
}

int runs_of(const char *id, struct run **first)
{
	int count = 0;
	int i;

	pthread_mutex_lock(&world_lock);
	for (i = 0; i < run_count; i++) {
		if (strcmp(runs[i].id, id) != 0)
			continue;
		if (count++ == 0 && first)
			*first = &runs[i];
	}
	pthread_mutex_unlock(&world_lock);
	return count;
}

struct upstream_call {
	struct upstream *upstream;
	int fd;
};

/* Reads the rest of a body. Return: false if the caller breaks off. */
static bool drop_body(int fd, size_t left)
{
	char buffer[65536];
	ssize_t got;

	while (left > 0) {
		got = recv(fd, buffer,
			   left < sizeof(buffer) ? left : sizeof(buffer), 0);
		if (got <= 0)
			return false;
		left -= (size_t)got;
	}
	return true;
}

static bool answer_misdirected(const struct upstream *upstream, int fd,
			       const char *id)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 421 Misdirected Request\r\n"
		 "Nutmegcrank-Instance-Id: %s\r\n"
		 "Nutmegcrank-Not-Executed: 1\r\n"
		 "Nutmegcrank-Request-Id: %s\r\n"
		 "Content-Length: 0\r\n\r\n",
		 upstream->id, id);
	return send_all(fd, text, strlen(text));
}

static bool answer_success(const struct upstream *upstream, int fd,
			   const char *id)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\n"
		 "Nutmegcrank-Request-Id: %s\r\n"
		 "Nutmegcrank-Upstream-Signature: s.%s.%s\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 id, upstream->id, id, strlen(upstream->id), upstream->id);
	return send_all(fd, text, strlen(text));
}

/* Runs one request. Return: false if the caller broke it off. */
static bool run_request(const struct upstream_call *call,
			const struct head *head, const char *id)
{
	struct upstream *upstream = call->upstream;
	struct run *run = add_run(upstream, id, head->target);
	char length_text[24];
	size_t length = field(head->text, "Content-Length", length_text,
			      sizeof(length_text)) ?
				strtoull(length_text, NULL, 10) :
				0;
	size_t left = length > head->rest_bytes ? length - head->rest_bytes : 0;

	sleep_ms(upstream->read_on_after_ms);
	if (!drop_body(call->fd, left)) {
		run->broken_off_ms = now_ms();
		record("broken off by the caller: %s at %s, after %u ms of "
		       "work",
		       id, upstream->id,
		       (unsigned)(run->broken_off_ms - run->at_ms));
		return false;
	}
	sleep_ms(upstream->work_ms);
	if (!answer_success(upstream, call->fd, id))
		return false;
	run->answered_ms = now_ms();
	return true;
}

static void *upstream_connection(void *data)
{
	struct upstream_call call = *(struct upstream_call *)data;
	struct upstream *upstream = call.upstream;
	struct head *head = malloc(sizeof(*head));
	char id[40];
	char target_id[64];

	free(data);
	while (read_head(call.fd, head)) {
		if (!field(head->text, "Nutmegcrank-Request-Id", id,
			   sizeof(id)))
			id[0] = '\0';
		if (field(head->text, "Nutmegcrank-Target-Instance", target_id,
			  sizeof(target_id)) &&
		    strcmp(target_id, upstream->id) != 0) {
			if (!answer_misdirected(upstream, call.fd, id))
				break;
		} else if (!run_request(&call, head, id)) {
			break;
		}
	}
	free(head);
	close(call.fd);
	return NULL;
}

static void *upstream_listener(void *data)
{
	struct upstream *upstream = data;
	struct upstream_call *call;
	int fd;

	for (;;) {
		fd = accept4(upstream->listen_fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		call = malloc(sizeof(*call));
		call->upstream = upstream;
		call->fd = fd;
		thread_start(upstream_connection, call);
	}
	return NULL;
}

struct upstream *upstream_start(const char *id, const char *service,
				const char *zone, uint32_t work_ms)
{
	struct upstream *upstream = &upstreams[upstream_count++];

	snprintf(upstream->id, sizeof(upstream->id), "%s", id);
	snprintf(upstream->service, sizeof(upstream->service), "%s", service);
	snprintf(upstream->zone, sizeof(upstream->zone), "%s", zone);
	upstream->work_ms = work_ms;
	upstream->slots = 6;
	upstream->born_ms = (uint64_t)time(NULL) * 1000;
	upstream->listen_fd = listen_on(upstream_ip, 0, &upstream->port);
	thread_start(upstream_listener, upstream);
	upstream_publish(upstream, "ready");
	return upstream;
}

const char *upstreams_ip(void)
{
	return upstream_ip;
}

void upstream_publish(const struct upstream *upstream, const char *state)
{
	char key[64];
	char json[512];

	snprintf(key, sizeof(key), "servers/%s", upstream->id);
	snprintf(json, sizeof(json),
		 "{\"address\":\"%s:%u\",\"born\":%llu,\"info\":{"
		 "\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
		 "\"maxConcurrency\":%u},\"status\":{\"state\":\"%s\","
		 "\"sequence\":1,\"warmupLeft\":\"0ms\"}}",
		 upstream_ip, upstream->port,
		 (unsigned long long)upstream->born_ms, upstream->service,
		 upstream->zone, upstream->slots, state);
	store_put(key, json);
}

/* ---- instances ---- */

static void *store_listener(void *data)
{
	int listen_fd = (int)(intptr_t)data;
	int fd;

	for (;;) {
		fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd >= 0)
			thread_start(store_connection, (void *)(intptr_t)fd);
	}
	return NULL;
}

static char *read_file(const char *path)
{
	char *text = calloc(1, 65536);
	FILE *file = fopen(path, "r");

	if (!file || fread(text, 1, 65535, file) == 0)
		cannot_run("cannot read %s", path);
	fclose(file);
	return text;
}

static uint16_t free_port(void)
{
	char ip[32];
	uint16_t port;
	int fd;

	snprintf(ip, sizeof(ip), "%s.1", base_ip);
	fd = listen_on(ip, 0, &port);
	close(fd);
	return port;
}

void world_init(int argc, char **argv)
{
	const char *setting = getenv("TROUBLE");
	char path[600];
	int fd;

	if (argc != 2)
		exit(2);
	signal(SIGPIPE, SIG_IGN);
	start_ns = clock_ns();
	trouble = !setting || strcmp(setting, "0") != 0;
	snprintf(case_dir, sizeof(case_dir), "%s", argv[1]);
	snprintf(path, sizeof(path), "%s/record.txt", case_dir);
	record_file = fopen(path, "w");
	if (!record_file)
		exit(2);
	if (!getenv("REVIEW_TMP"))
		exit(2);
	/* run.sh removes it. */
	snprintf(temp_dir, sizeof(temp_dir), "%s", getenv("REVIEW_TMP"));
	template_text = read_file("deploy/settings.json");
	snprintf(base_ip, sizeof(base_ip), "127.%u.%u",
		 20 + (unsigned)getpid() % 200,
		 1 + (unsigned)(clock_ns() / 1000) % 250);
	snprintf(store_ip, sizeof(store_ip), "%s.250", base_ip);
	snprintf(upstream_ip, sizeof(upstream_ip), "%s.251", base_ip);
	snprintf(client_ip, sizeof(client_ip), "%s.252", base_ip);
	front_port = free_port();
	ready_port = free_port();
	control_port = free_port();
	directory_port = free_port();
	fd = listen_on(store_ip, 0, &store_port);
	thread_start(store_listener, (void *)(intptr_t)fd);
	record("disruption: %s", trouble ? "yes" : "no");
}

void instance_add(const char *zone)
{
	struct instance *instance = &instances[instance_count++];

	snprintf(instance->ip, sizeof(instance->ip), "%s.%u", base_ip,
		 (unsigned)instance_count & 255);
	snprintf(instance->zone, sizeof(instance->zone), "%s", zone);
}

/* The seeds are the first machines of up to three zones. */
static void seeds_json(char *out, size_t size)
{
	const char *zones[3];
	int count = 0;
	size_t length = 0;
	int i;
	int k;

	length += (size_t)snprintf(out, size, "[");
	for (i = 0; i < instance_count && count < 3; i++) {
		for (k = 0; k < count; k++) {
			if (strcmp(zones[k], instances[i].zone) == 0)
				break;
		}
		if (k < count)
			continue;
		length += (size_t)snprintf(out + length, size - length,
					   "%s\"%s:%u\"", count ? "," : "",
					   instances[i].ip, control_port);
		zones[count++] = instances[i].zone;
	}
	snprintf(out + length, size - length, "]");
}

static bool placeholder(const struct instance *instance, const char *name,
			char *out, size_t size)
{
	if (strcmp(name, "listen.front") == 0)
		snprintf(out, size, "%s:%u", instance->ip, front_port);
	else if (strcmp(name, "listen.directory") == 0)
		snprintf(out, size, "%s:%u", instance->ip, directory_port);
	else if (strcmp(name, "listen.ready") == 0)
		snprintf(out, size, "%s:%u", instance->ip, ready_port);
	else if (strcmp(name, "listen.control") == 0)
		snprintf(out, size, "%s:%u", instance->ip, control_port);
	else if (strcmp(name, "ip") == 0)
		snprintf(out, size, "%s", instance->ip);
	else if (strcmp(name, "zone") == 0)
		snprintf(out, size, "%s", instance->zone);
	else if (strcmp(name, "platform.address") == 0)
		snprintf(out, size, "%s:%u", store_ip, store_port);
	else if (strcmp(name, "seeds|json") == 0)
		seeds_json(out, size);
	else if (strcmp(name, "bounds.retryBudgetRatio") == 0)
		snprintf(out, size, "0.2");
	else if (strcmp(name, "bounds.budgetSlack") == 0)
		snprintf(out, size, "%s", budget_slack);
	else if (strcmp(name, "limits.cpuShare") == 0)
		snprintf(out, size, "0.2");
	else if (strcmp(name, "limits.cores") == 0)
		snprintf(out, size, "1");
	else
		return false;
	return true;
}

void instance_write_settings(int index)
{
	struct instance *instance = &instances[index];
	const char *at = template_text;
	const char *open;
	const char *close_at;
	char name[64];
	char value[256];
	FILE *file;

	snprintf(instance->settings, sizeof(instance->settings),
		 "%s/%d.settings", temp_dir, index);
	file = fopen(instance->settings, "w");
	if (!file)
		cannot_run("cannot write %s", instance->settings);
	while ((open = strstr(at, "{{")) != NULL) {
		fwrite(at, 1, (size_t)(open - at), file);
		close_at = strstr(open, "}}");
		snprintf(name, sizeof(name), "%.*s", (int)(close_at - open - 2),
			 open + 2);
		if (!placeholder(instance, name, value, sizeof(value)))
			cannot_run("unknown placeholder %s", name);
		fputs(value, file);
		at = close_at + 2;
	}
	fputs(at, file);
	fclose(file);
}

void instance_spawn(int index)
{
	struct instance *instance = &instances[index];
	char log[128];
	pid_t parent = getpid();
	pid_t pid;
	int fd;

	snprintf(log, sizeof(log), "%s/%d.log", temp_dir, index);
	pid = fork();
	if (pid < 0)
		cannot_run("cannot fork");
	if (pid > 0) {
		instance->pid = pid;
		return;
	}
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(127);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, 1);
	dup2(fd, 2);
	setenv("NUTMEGCRANK_SETTINGS", instance->settings, 1);
	execl("target/release/nutmegcrank", "target/release/nutmegcrank", "run",
	      "-c", instance->settings, (char *)NULL);
	_exit(127);
}

void instances_start(void)
{
	int i;

	for (i = 0; i < instance_count; i++)
		instance_write_settings(i);
	for (i = 0; i < instance_count; i++)
		instance_spawn(i);
	record("%d instances started", instance_count);
}

static int connect_to(const char *ip, uint16_t port, int timeout_ms)
{
	struct sockaddr_in own = address(client_ip, 0);
	struct sockaddr_in addr = address(ip, port);
	struct pollfd poller;
	int error = 0;
	socklen_t length = sizeof(error);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	bind(fd, (struct sockaddr *)&own, sizeof(own));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	poller = (struct pollfd){ .fd = fd, .events = POLLOUT };
	if (poll(&poller, 1, timeout_ms) != 1 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
	    error != 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
}

int client_connect(int instance)
{
	return connect_to(instances[instance].ip, front_port, 1000);
}

bool instance_ready(int index)
{
	static const char text[] = "GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n";
	struct timeval limit = { 1, 0 };
	char answer[64] = "";
	bool ready;
	int fd = connect_to(instances[index].ip, ready_port, 300);

	if (fd < 0)
		return false;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	ready = send_all(fd, text, strlen(text)) &&
		recv(fd, answer, sizeof(answer) - 1, 0) > 0 &&
		strncmp(answer, "HTTP/1.1 200", 12) == 0;
	close(fd);
	return ready;
}

void instances_wait_ready(uint32_t limit_ms)
{
	uint64_t end_ms = now_ms() + limit_ms;
	int i;

	for (i = 0; i < instance_count; i++) {
		while (!instance_ready(i)) {
			if (now_ms() > end_ms)
				cannot_run("%s is not ready", instances[i].ip);
			sleep_ms(100);
		}
	}
	record("all instances are ready");
}

uint64_t instance_resident_mb(int index)
{
	char path[64];
	unsigned long pages = 0;
	unsigned long resident = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm",
		 (int)instances[index].pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fscanf(file, "%lu %lu", &pages, &resident) != 2)
		resident = 0;
	fclose(file);
	return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE) /
	       (1024 * 1024);
}

/* ---- clients ---- */

/* Reads until the answer is complete, the connection ends or @end_ms. */
static void read_answer(int fd, uint64_t end_ms, struct reply *reply)
{
	size_t room = 65536;
	char *text = malloc(room + 1);
	size_t length = 0;
	size_t head_bytes = 0;
	size_t body_bytes = 0;
	char value[64];
	struct pollfd poller = { .fd = fd, .events = POLLIN };
	uint64_t now;
	ssize_t got;
	char *end;

	for (;;) {
		now = now_ms();
		if (now >= end_ms || poll(&poller, 1, (int)(end_ms - now)) != 1)
			break;
		if (length == room) {
			room *= 2;
			text = realloc(text, room + 1);
		}
		got = recv(fd, text + length, room - length, 0);
		if (got <= 0)
			break;
		length += (size_t)got;
		text[length] = '\0';
		if (head_bytes == 0) {
			end = strstr(text, "\r\n\r\n");
			if (!end)
				continue;
			head_bytes = (size_t)(end - text) + 4;
			end[2] = '\0';
			sscanf(text, "HTTP/1.1 %d", &reply->status);
			body_bytes = field(text, "Content-Length", value,
					   sizeof(value)) ?
					     strtoull(value, NULL, 10) :
					     0;
			reply->signature =
				field(text, "Nutmegcrank-Upstream-Signature",
				      value, sizeof(value));
		}
		if (length >= head_bytes + body_bytes) {
			reply->complete = true;
			break;
		}
	}
	if (head_bytes > 0) {
		reply->body_bytes = length - head_bytes;
		reply->body = malloc(reply->body_bytes + 1);
		memcpy(reply->body, text + head_bytes, reply->body_bytes);
		reply->body[reply->body_bytes] = '\0';
	}
	free(text);
}

void client_send(const struct request *request, struct reply *reply)
{
	char head[1024];
	size_t left = request->body_bytes;
	static char block[65536];
	size_t part;
	bool sent = true;
	int fd;

	memset(reply, 0, sizeof(*reply));
	reply->sent_ms = now_ms();
	fd = client_connect(request->instance);
	if (fd < 0) {
		reply->done_ms = now_ms();
		record("sent: %s %s to %s: no connection", request->id,
		       request->path, instances[request->instance].ip);
		return;
	}
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: roll.example\r\n"
		 "Nutmegcrank-Request-Id: %s\r\n"
		 "Nutmegcrank-Deadline-Ms: %u\r\n",
		 request->method, request->path, request->id,
		 request->deadline_ms);
	if (request->body_bytes > 0 || strcmp(request->method, "POST") == 0)
		snprintf(head + strlen(head), sizeof(head) - strlen(head),
			 "Content-Length: %zu\r\n", request->body_bytes);
	strcat(head, "\r\n");
	reply->sent_ms = now_ms();
	sent = send_all(fd, head, strlen(head));
	while (sent && left > 0) {
		part = left < sizeof(block) ? left : sizeof(block);
		sent = send_all(fd, block, part);
		left -= part;
	}
	read_answer(fd, reply->sent_ms + request->deadline_ms + 1000, reply);
	reply->done_ms = now_ms();
	close(fd);
	record("sent: %s %s to %s at %u.%03u: %s%d%s", request->id,
	       request->path, instances[request->instance].ip,
	       (unsigned)(reply->sent_ms / 1000),
	       (unsigned)(reply->sent_ms % 1000),
	       reply->status ? "answer " : "no answer ", reply->status,
	       reply->status && !reply->complete ? ", not complete" : "");
}
