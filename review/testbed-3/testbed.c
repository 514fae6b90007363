#include "testbed.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
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

/* A case that takes longer ends as not run. */
#define CASE_MAX_S 110
#define RESTART_MS 500
/* Port of the operators in the template of the settings. */
#define OPERATORS_PORT 9464
/* Last part of the first instance's address. */
#define FIRST_INSTANCE 11
#define WATCH_PERIOD_MS 10
#define RUNS_MAX 65536
#define SETTINGS_MAX 64

bool trouble;
struct instance instances[INSTANCES_MAX];
uint32_t instance_count;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t process_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t epoch_ms;
static const char *binary;
static const char *template_path;
static char temp_dir[] = "/tmp/review-XXXXXX";
static uint32_t base_ip;
static volatile bool ending;

static struct {
	char name[64];
	char value[256];
} settings[SETTINGS_MAX];
static uint32_t setting_count;

/* --- clock and record ------------------------------------------------- */

static int64_t clock_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t now_ms(void)
{
	return clock_ms() - epoch_ms;
}

void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void finish(int code)
{
	uint32_t i;

	pthread_mutex_lock(&process_lock);
	ending = true;
	for (i = 0; i < instance_count; i++) {
		if (instances[i].pid > 0) {
			kill(instances[i].pid, SIGKILL);
			waitpid(instances[i].pid, NULL, 0);
		}
	}
	record("the case ends with %d", code);
	if (getenv("KEEP_LOGS") == NULL) {
		char command[128];

		snprintf(command, sizeof(command), "rm -rf %s", temp_dir);
		if (system(command) != 0)
			record("cannot remove %s", temp_dir);
	}
	_exit(code);
}

void not_run(const char *why)
{
	record("not run: %s", why);
	finish(2);
}

static void on_signal(int number)
{
	uint32_t i;

	(void)number;
	for (i = 0; i < instance_count; i++) {
		if (instances[i].pid > 0)
			kill(instances[i].pid, SIGKILL);
	}
	_exit(2);
}

static bool can_listen(uint32_t ip, uint16_t port)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(ip),
		.sin_port = htons(port),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool free = fd >= 0 &&
		    bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0;

	if (fd >= 0)
		close(fd);
	return free;
}

/*
 * Chooses a range of loopback addresses in which no other run has its
 * instances: the operators' port is the same for all of them.
 */
static void choose_addresses(void)
{
	uint32_t first = (uint32_t)getpid();
	uint32_t i;

	for (i = 0; i < 200; i++) {
		base_ip = 0x7f000000u | ((first + i) % 200 + 20) << 16;
		if (can_listen(base_ip + FIRST_INSTANCE, OPERATORS_PORT))
			return;
	}
	not_run("no range of addresses is free");
}

void world_open(int argc, char **argv)
{
	if (argc != 5) {
		fprintf(stderr, "usage: %s RECORD TROUBLE BINARY TEMPLATE\n",
			argv[0]);
		exit(2);
	}
	trouble = strcmp(argv[2], "0") != 0;
	binary = argv[3];
	template_path = argv[4];
	epoch_ms = clock_ms();
	record_file = fopen(argv[1], "w");
	if (record_file == NULL || mkdtemp(temp_dir) == NULL) {
		perror(argv[1]);
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	alarm(CASE_MAX_S);
	choose_addresses();
	record("disruption: %s", trouble ? "yes" : "no");
}

/* --- sockets ----------------------------------------------------------- */

int listen_free(const char *ip, uint16_t *port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int yes = 1;

	inet_pton(AF_INET, ip, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(fd, 1024) != 0 ||
	    getsockname(fd, (struct sockaddr *)&addr, &bytes) != 0)
		not_run("cannot listen");
	*port = ntohs(addr.sin_port);
	return fd;
}

/* Finds @count free ports, which differ from each other. */
static void free_ports(const char *ip, uint16_t **ports, uint32_t count)
{
	int fds[8];
	uint32_t i;

	for (i = 0; i < count; i++)
		fds[i] = listen_free(ip, ports[i]);
	for (i = 0; i < count; i++)
		close(fds[i]);
}

static int connect_to(const char *ip, uint16_t port, bool slow_reader)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int yes = 1;

	inet_pton(AF_INET, ip, &addr.sin_addr);
	addr.sin_port = htons(port);
	if (slow_reader) {
		/* The segment size and window of a small client's network. */
		int segment = 1460;
		int window = 16384;

		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment,
			   sizeof(segment));
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all(int fd, const char *bytes, size_t length)
{
	while (length > 0) {
		ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		bytes += sent;
		length -= (size_t)sent;
	}
	return true;
}

/**
 * struct reader - buffered reader of a socket
 */
struct reader {
	int fd;
	char bytes[65536];
	size_t first;
	size_t end;
};

static bool reader_fill(struct reader *reader)
{
	ssize_t got;

	if (reader->first == reader->end)
		reader->first = reader->end = 0;
	if (reader->end == sizeof(reader->bytes))
		return false;
	do {
		got = recv(reader->fd, reader->bytes + reader->end,
			   sizeof(reader->bytes) - reader->end, 0);
	} while (got < 0 && errno == EINTR);
	if (got <= 0)
		return false;
	reader->end += (size_t)got;
	return true;
}

/* Reads a head with its empty line into @head. */
static bool reader_head(struct reader *reader, char *head, size_t head_bytes)
{
	for (;;) {
		char *from = reader->bytes + reader->first;
		size_t length = reader->end - reader->first;
		char *end = memmem(from, length, "\r\n\r\n", 4);

		if (end != NULL) {
			length = (size_t)(end - from) + 4;
			if (length >= head_bytes)
				return false;
			memcpy(head, from, length);
			head[length] = '\0';
			reader->first += length;
			return true;
		}
		if (!reader_fill(reader))
			return false;
	}
}

/* Reads and drops @length bytes; returns how many came. */
static int64_t reader_skip(struct reader *reader, int64_t length)
{
	int64_t got = 0;

	while (got < length) {
		int64_t have = (int64_t)(reader->end - reader->first);

		if (have > length - got)
			have = length - got;
		reader->first += (size_t)have;
		got += have;
		if (got < length && !reader_fill(reader))
			break;
	}
	return got;
}

/* Value of a field, without leading spaces; false when it is not there. */
static bool head_field(const char *head, const char *name, char *out,
		       size_t out_bytes)
{
	const char *line = strstr(head, "\r\n");
	size_t name_bytes = strlen(name);

	while (line != NULL && line[2] != '\r') {
		line += 2;
		if (strncasecmp(line, name, name_bytes) == 0 &&
		    line[name_bytes] == ':') {
			const char *value = line + name_bytes + 1;
			size_t length;

			value += strspn(value, " ");
			length = strcspn(value, "\r");
			if (length >= out_bytes)
				length = out_bytes - 1;
			memcpy(out, value, length);
			out[length] = '\0';
			return true;
		}
		line = strstr(line, "\r\n");
	}
	return false;
}

static uint64_t query_number(const char *target, const char *name,
			     uint64_t otherwise)
{
	const char *at = strchr(target, '?');
	size_t name_bytes = strlen(name);

	while (at != NULL) {
		at++;
		if (strncmp(at, name, name_bytes) == 0 &&
		    at[name_bytes] == '=')
			return strtoull(at + name_bytes + 1, NULL, 10);
		at = strchr(at, '&');
	}
	return otherwise;
}

static void start_thread(void *(*body)(void *), void *data)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&thread, &attr, body, data) != 0)
		not_run("cannot create a thread");
	pthread_attr_destroy(&attr);
}

/**
 * struct accepted - data of a thread that serves one connection
 */
struct accepted {
	int fd;
	void *data;
};

/* --- store --------------------------------------------------------------- */

#define ITEMS_MAX 256
#define CHANGES_MAX 4096

struct item {
	char key[64];
	char *value;
	uint64_t revision;
	uint64_t created;
	bool removed;
};

static struct item items[ITEMS_MAX];
static uint32_t item_count;
static struct item changes[CHANGES_MAX];
static uint32_t change_count;
static uint64_t revision = 10;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static uint16_t store_listens;
static uint64_t era = 1;
static bool away;
/* Changes up to this revision are not in @changes. */
static uint64_t history_begins;
static struct item copied[ITEMS_MAX];
static uint32_t copied_count;
static uint64_t copied_revision;

uint16_t store_port(void)
{
	return store_listens;
}

static char *base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t length = strlen(text);
	char *out = malloc(length / 3 * 4 + 8);
	size_t at = 0;
	size_t i;

	for (i = 0; i < length; i += 3) {
		uint32_t group = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < length)
			group |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < length)
			group |= (uint32_t)(unsigned char)text[i + 2];
		out[at++] = digits[group >> 18 & 63];
		out[at++] = digits[group >> 12 & 63];
		out[at++] = i + 1 < length ? digits[group >> 6 & 63] : '=';
		out[at++] = i + 2 < length ? digits[group & 63] : '=';
	}
	out[at] = '\0';
	return out;
}

static void store_change(const char *key, const char *value)
{
	struct item *item = NULL;
	uint32_t i;

	pthread_mutex_lock(&store_lock);
	revision++;
	for (i = 0; i < item_count; i++) {
		if (strcmp(items[i].key, key) == 0)
			item = &items[i];
	}
	if (item == NULL) {
		item = &items[item_count++];
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->removed = true;
	}
	if (item->removed)
		item->created = revision;
	item->removed = value == NULL;
	item->value = value != NULL ? base64(value) : NULL;
	item->revision = revision;
	if (change_count < CHANGES_MAX)
		changes[change_count++] = *item;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

void store_put(const char *key, const char *value)
{
	store_change(key, value);
}

void store_remove(const char *key)
{
	store_change(key, NULL);
}

void store_copy(void)
{
	pthread_mutex_lock(&store_lock);
	memcpy(copied, items, sizeof(items));
	copied_count = item_count;
	copied_revision = revision;
	pthread_mutex_unlock(&store_lock);
	record("a copy of the store is taken at revision %llu",
	       (unsigned long long)copied_revision);
}

void store_set_away(bool is_away)
{
	pthread_mutex_lock(&store_lock);
	away = is_away;
	pthread_mutex_unlock(&store_lock);
	record("the store is %s", is_away ? "away" : "back");
}

void store_restore(void)
{
	pthread_mutex_lock(&store_lock);
	memcpy(items, copied, sizeof(items));
	item_count = copied_count;
	revision = copied_revision;
	history_begins = revision;
	change_count = 0;
	era++;
	pthread_mutex_unlock(&store_lock);
	record("the store is restored from its copy: revision %llu, era %llu",
	       (unsigned long long)revision, (unsigned long long)era);
}

static void append_item(char **text, size_t *length, const struct item *item)
{
	size_t room = 256 + (item->value ? strlen(item->value) : 0);

	*text = realloc(*text, *length + room);
	if (item->removed)
		*length += (size_t)sprintf(
			*text + *length,
			"{\"key\":\"%s\",\"rev\":%llu,\"removed\":true}",
			item->key, (unsigned long long)item->revision);
	else
		*length += (size_t)sprintf(
			*text + *length,
			"{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%llu,"
			"\"createdRev\":%llu,\"lease\":0}",
			item->key, item->value,
			(unsigned long long)item->revision,
			(unsigned long long)item->created);
}

static int compare_items(const void *a, const void *b)
{
	return strcmp(((const struct item *)a)->key,
		      ((const struct item *)b)->key);
}

/* Called with the lock held. */
static char *range_text(void)
{
	char *text = malloc(64);
	size_t length = (size_t)sprintf(text, "{\"items\":[");
	uint32_t listed = 0;
	uint32_t i;

	qsort(items, item_count, sizeof(items[0]), compare_items);
	for (i = 0; i < item_count; i++) {
		if (items[i].removed)
			continue;
		if (listed++ > 0)
			text[length++] = ',';
		append_item(&text, &length, &items[i]);
	}
	text = realloc(text, length + 128);
	sprintf(text + length, "],\"hasMore\":false,\"storeRevision\":%llu}",
		(unsigned long long)revision);
	return text;
}

/* Called with the lock held. */
static char *watch_text(uint64_t after)
{
	char *text = malloc(64);
	size_t length = (size_t)sprintf(text, "{\"events\":[");
	uint32_t listed = 0;
	uint32_t i;

	for (i = 0; i < change_count; i++) {
		if (changes[i].revision <= after)
			continue;
		if (listed++ > 0) {
			text = realloc(text, length + 2);
			text[length++] = ',';
		}
		append_item(&text, &length, &changes[i]);
	}
	text = realloc(text, length + 128);
	sprintf(text + length, "],\"storeRevision\":%llu}",
		(unsigned long long)revision);
	return text;
}

static char *store_answer(const char *target, int *status)
{
	uint64_t asked_era;
	char *text = NULL;

	pthread_mutex_lock(&store_lock);
	asked_era = era;
	*status = 200;
	if (strncmp(target, "/kv-watch", 9) == 0) {
		uint64_t after = query_number(target, "after", 0);
		int64_t until = clock_ms() +
				(int64_t)query_number(target, "waitMs", 0);

		while (revision <= after && clock_ms() < until && !ending &&
		       !away && era == asked_era) {
			pthread_mutex_unlock(&store_lock);
			sleep_ms(5);
			pthread_mutex_lock(&store_lock);
		}
		if (after < history_begins || after > revision)
			*status = 410;
		else
			text = watch_text(after);
	} else {
		text = range_text();
	}
	/* A watch that waits is cut when the store goes away. */
	if (away || era != asked_era)
		*status = 503;
	pthread_mutex_unlock(&store_lock);
	return text;
}

static void *serve_store(void *data)
{
	struct accepted *accepted = data;
	struct reader *reader = calloc(1, sizeof(*reader));
	char head[8192];
	char method[16];
	char target[1024];

	reader->fd = accepted->fd;
	while (reader_head(reader, head, sizeof(head)) &&
	       sscanf(head, "%15s %1023s", method, target) == 2) {
		int status;
		char *text = store_answer(target, &status);
		const char *body = status == 200 ? text : "{}";
		char *answer = malloc(strlen(body) + 256);

		sprintf(answer,
			"HTTP/1.1 %d Status\r\nStore-Era: %llu\r\n"
			"Content-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			status, (unsigned long long)era, strlen(body), body);
		if (!send_all(accepted->fd, answer, strlen(answer)))
			break;
		free(answer);
		free(text);
	}
	close(accepted->fd);
	free(reader);
	free(accepted);
	return NULL;
}

/**
 * struct listener - data of a thread that accepts connections
 */
struct listener {
	int fd;
	void *(*serve)(void *);
	void *data;
};

static void *accept_all(void *data)
{
	struct listener *listener = data;

	for (;;) {
		struct accepted *accepted = calloc(1, sizeof(*accepted));
		int yes = 1;

		accepted->fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		accepted->data = listener->data;
		if (accepted->fd < 0) {
			free(accepted);
			continue;
		}
		setsockopt(accepted->fd, IPPROTO_TCP, TCP_NODELAY, &yes,
			   sizeof(yes));
		start_thread(listener->serve, accepted);
	}
	return NULL;
}

static void serve_at(const char *ip, uint16_t *port, void *(*serve)(void *),
		     void *data)
{
	struct listener *listener = calloc(1, sizeof(*listener));

	listener->fd = listen_free(ip, port);
	listener->serve = serve;
	listener->data = data;
	start_thread(accept_all, listener);
}

void store_open(void)
{
	char addr[32];

	serve_at("127.0.0.1", &store_listens, serve_store, NULL);
	snprintf(addr, sizeof(addr), "127.0.0.1:%u", store_listens);
	setting("platform.address", addr);
}

/* --- upstreams ----------------------------------------------------------- */

struct served {
	struct upstream upstream;
	pthread_mutex_t lock;
	pthread_cond_t freed;
	uint32_t running;
};

struct run {
	char id[ID_BYTES];
	char service[ID_BYTES];
	uint32_t begun;
};

static struct run runs[RUNS_MAX];
static uint32_t run_count;
static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;
static uint32_t upstream_count;

static struct run *find_run(const char *id)
{
	uint32_t i;

	for (i = 0; i < run_count; i++) {
		if (strcmp(runs[i].id, id) == 0)
			return &runs[i];
	}
	if (run_count == RUNS_MAX)
		return &runs[0];
	snprintf(runs[run_count].id, ID_BYTES, "%s", id);
	return &runs[run_count++];
}

static void count_run(const struct upstream *upstream, const char *id)
{
	struct run *run;

	pthread_mutex_lock(&runs_lock);
	run = find_run(id);
	run->begun++;
	snprintf(run->service, ID_BYTES, "%s", upstream->service);
	pthread_mutex_unlock(&runs_lock);
}

uint32_t runs_of(const char *id)
{
	uint32_t count;

	pthread_mutex_lock(&runs_lock);
	count = find_run(id)->begun;
	pthread_mutex_unlock(&runs_lock);
	return count;
}

uint32_t runs_at(const char *service, const char *id_prefix)
{
	uint32_t count = 0;
	uint32_t i;

	pthread_mutex_lock(&runs_lock);
	for (i = 0; i < run_count; i++)
		count += runs[i].begun > 0 &&
			 strcmp(runs[i].service, service) == 0 &&
			 strncmp(runs[i].id, id_prefix, strlen(id_prefix)) == 0;
	pthread_mutex_unlock(&runs_lock);
	return count;
}

static void count_arrival(struct upstream *upstream)
{
	pthread_mutex_lock(&runs_lock);
	if (upstream->arrival_count < ARRIVALS_MAX)
		upstream->arrivals_ms[upstream->arrival_count++] = now_ms();
	pthread_mutex_unlock(&runs_lock);
}

uint32_t upstream_arrivals(const struct upstream *upstream, int64_t since_ms)
{
	uint32_t count = 0;
	uint32_t i;

	pthread_mutex_lock(&runs_lock);
	for (i = 0; i < upstream->arrival_count; i++)
		count += upstream->arrivals_ms[i] >= since_ms;
	pthread_mutex_unlock(&runs_lock);
	return count;
}

void upstream_set_leaving(struct upstream *upstream)
{
	upstream->leaving = true;
}

/* Whether the peer has closed its side. */
static bool peer_gone(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static bool send_upstream_answer(int fd, const struct upstream *upstream,
				 const char *id, uint64_t bytes)
{
	static char filler[65536];
	char head[512];

	memset(filler, 'x', sizeof(filler));
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nNutmegcrank-Request-Id: %s\r\n"
		 "Nutmegcrank-Upstream-Signature: %s.%llu\r\n"
		 "%sContent-Length: %llu\r\n\r\n",
		 id, id, (unsigned long long)bytes,
		 upstream->leaving ? "Server-Leaving: 1\r\n" : "",
		 (unsigned long long)bytes);
	if (!send_all(fd, head, strlen(head)))
		return false;
	while (bytes > 0) {
		size_t length = bytes < sizeof(filler) ? (size_t)bytes :
							 sizeof(filler);

		if (!send_all(fd, filler, length))
			return false;
		bytes -= length;
	}
	return true;
}

/* Works for a slot's time; false when the caller has gone meanwhile. */
static bool work(struct served *served, int fd, uint64_t work_ms)
{
	int64_t until;
	bool here = true;

	pthread_mutex_lock(&served->lock);
	while (served->running >= served->upstream.slots)
		pthread_cond_wait(&served->freed, &served->lock);
	served->running++;
	pthread_mutex_unlock(&served->lock);
	until = clock_ms() + (int64_t)work_ms;
	while (here && clock_ms() < until) {
		sleep_ms(2);
		here = !peer_gone(fd);
	}
	pthread_mutex_lock(&served->lock);
	served->running--;
	pthread_cond_signal(&served->freed);
	pthread_mutex_unlock(&served->lock);
	return here;
}

static void *serve_upstream(void *data)
{
	static const char misdirected[] = "HTTP/1.1 421 Misdirected Request\r\n"
					  "Content-Length: 0\r\n\r\n";
	struct accepted *accepted = data;
	struct served *served = accepted->data;
	struct reader *reader = calloc(1, sizeof(*reader));
	char *head = malloc(65536);
	char method[16];
	char target[4096];
	char id[ID_BYTES];
	char text[64];
	int fd = accepted->fd;

	reader->fd = fd;
	while (reader_head(reader, head, 65536) &&
	       sscanf(head, "%15s %4095s", method, target) == 2) {
		int64_t length = 0;

		if (head_field(head, "Content-Length", text, sizeof(text)))
			length = strtoll(text, NULL, 10);
		if (reader_skip(reader, length) < length)
			break;
		if (strcmp(target, "/health") == 0) {
			static const char well[] = "HTTP/1.1 200 OK\r\n"
						   "Content-Length: 0\r\n\r\n";

			send_all(fd, well, strlen(well));
			continue;
		}
		if (head_field(head, "Nutmegcrank-Target-Instance", text,
			       sizeof(text)) &&
		    strcmp(text, served->upstream.id) != 0) {
			send_all(fd, misdirected, strlen(misdirected));
			continue;
		}
		if (!head_field(head, "Nutmegcrank-Request-Id", id, sizeof(id)))
			break;
		count_run(&served->upstream, id);
		count_arrival(&served->upstream);
		record("upstream %s of %s runs %s (%s %s, body %lld)",
		       served->upstream.id, served->upstream.service, id, method, target,
		       (long long)length);
		if (!work(served, fd, query_number(target, "work", 50))) {
			record("upstream %s drops %s: its connection closed",
			       served->upstream.id, id);
			break;
		}
		if (!send_upstream_answer(fd, &served->upstream, id,
					  query_number(target, "bytes", 300))) {
			record("upstream %s cannot send the answer to %s",
			       served->upstream.id, id);
			break;
		}
		record("upstream %s has answered %s", served->upstream.id, id);
	}
	close(fd);
	free(reader);
	free(head);
	free(accepted);
	return NULL;
}

struct upstream *upstream_open(const char *zone, uint32_t slots)
{
	struct served *served = calloc(1, sizeof(*served));

	snprintf(served->upstream.id, ID_BYTES, "i-%08x", 0x1000 + upstream_count++);
	snprintf(served->upstream.zone, ID_BYTES, "%s", zone);
	served->upstream.slots = slots;
	pthread_mutex_init(&served->lock, NULL);
	pthread_cond_init(&served->freed, NULL);
	serve_at("127.0.0.1", &served->upstream.port, serve_upstream, served);
	return &served->upstream;
}

static void write_entry(struct upstream *upstream, const char *service,
			const char *state, uint64_t sequence,
			uint32_t warmup_left_ms)
{
	static int64_t born;
	struct timespec t;
	char key[64];
	char text[512];

	if (born == 0) {
		clock_gettime(CLOCK_REALTIME, &t);
		born = (int64_t)t.tv_sec * 1000;
	}
	snprintf(upstream->service, ID_BYTES, "%s", service);
	snprintf(key, sizeof(key), "servers/%s", upstream->id);
	snprintf(text, sizeof(text),
		 "{\"address\":\"127.0.0.1:%u\",\"born\":%lld,\"info\":{"
		 "\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
		 "\"maxConcurrency\":%u},\"status\":{\"state\":\"%s\","
		 "\"sequence\":%llu,\"warmupLeft\":\"%ums\"}}",
		 upstream->port, (long long)born, service, upstream->zone,
		 upstream->slots, state, (unsigned long long)sequence,
		 warmup_left_ms);
	store_put(key, text);
}

void upstream_register(struct upstream *upstream, const char *service,
		       const char *state, uint64_t sequence)
{
	write_entry(upstream, service, state, sequence, 0);
}

void upstream_register_warming(struct upstream *upstream, const char *service,
			       uint64_t sequence, uint32_t warmup_left_ms)
{
	write_entry(upstream, service, "ready", sequence, warmup_left_ms);
}

/* --- platform ------------------------------------------------------------ */

void setting(const char *name, const char *value)
{
	uint32_t i;

	for (i = 0; i < setting_count; i++) {
		if (strcmp(settings[i].name, name) == 0)
			break;
	}
	if (i == SETTINGS_MAX)
		not_run("too many settings");
	if (i == setting_count)
		setting_count++;
	snprintf(settings[i].name, sizeof(settings[i].name), "%s", name);
	snprintf(settings[i].value, sizeof(settings[i].value), "%s", value);
}

static const char *setting_value(const char *name)
{
	uint32_t i;

	for (i = 0; i < setting_count; i++) {
		if (strcmp(settings[i].name, name) == 0)
			return settings[i].value;
	}
	return NULL;
}

/* Fills placeholders and sections of the template, as the platform does. */
static void fill_template(const char *text, FILE *out)
{
	while (*text != '\0') {
		const char *open = strstr(text, "{{");
		const char *close;
		const char *value;
		char name[64];
		char end[80];

		if (open == NULL) {
			fputs(text, out);
			return;
		}
		fwrite(text, 1, (size_t)(open - text), out);
		close = strstr(open, "}}");
		snprintf(name, sizeof(name), "%.*s", (int)(close - open - 2),
			 open + 2);
		text = close + 2;
		if (name[0] == '/')
			continue;
		if (name[0] == '#') {
			if (setting_value(name + 1) != NULL)
				continue;
			snprintf(end, sizeof(end), "{{/%s}}", name + 1);
			text = strstr(text, end) + strlen(end);
			continue;
		}
		name[strcspn(name, "|")] = '\0';
		value = setting_value(name);
		if (value != NULL)
			fputs(value, out);
	}
}

static void write_settings(const struct instance *instance)
{
	static char text[65536];
	char path[128];
	char addr[64];
	size_t length;
	FILE *file = fopen(template_path, "r");

	if (file == NULL)
		not_run("cannot read the template of the settings");
	length = fread(text, 1, sizeof(text) - 1, file);
	text[length] = '\0';
	fclose(file);
	setting("ip", instance->ip);
	setting("zone", instance->zone);
	snprintf(addr, sizeof(addr), "%s:%u", instance->ip, instance->front);
	setting("listen.front", addr);
	snprintf(addr, sizeof(addr), "%s:%u", instance->ip, instance->ready);
	setting("listen.ready", addr);
	snprintf(addr, sizeof(addr), "%s:%u", instance->ip, instance->control);
	setting("listen.control", addr);
	snprintf(addr, sizeof(addr), "%s:%u", instance->ip,
		 instance->directory);
	setting("listen.directory", addr);
	snprintf(path, sizeof(path), "%s/%s.json", temp_dir, instance->ip);
	file = fopen(path, "w");
	if (file == NULL)
		not_run("cannot write settings");
	fill_template(text, file);
	fclose(file);
}

/* Figures of a small deployment, as its settings file has them. */
static void set_defaults(void)
{
	setting("platform.valueBytes", "1048576");
	setting("bounds.retryBudgetRatio", "0.2");
	setting("bounds.budgetSlack", "58");
	setting("bounds.budgetWindow", "10s");
	setting("bounds.floorShare", "0.7");
	setting("bounds.grace", "6s");
	setting("limits.cpuShare", "0.2");
	setting("limits.cores", "1");
}

struct instance *instance_add(const char *zone, uint32_t memory_mb)
{
	struct instance *instance = &instances[instance_count++];
	struct in_addr addr = {
		htonl(base_ip + FIRST_INSTANCE - 1 + instance_count),
	};
	uint16_t *ports[] = { &instance->front, &instance->ready,
			      &instance->control, &instance->directory };

	inet_ntop(AF_INET, &addr, instance->ip, sizeof(instance->ip));
	snprintf(instance->zone, sizeof(instance->zone), "%s", zone);
	instance->memory_mb = memory_mb;
	free_ports(instance->ip, ports, 4);
	return instance;
}

/* Called with the lock held. */
static void start_process(struct instance *instance)
{
	char path[128];
	char log[128];

	snprintf(path, sizeof(path), "%s/%s.json", temp_dir, instance->ip);
	snprintf(log, sizeof(log), "%s/%s.log", temp_dir, instance->ip);
	instance->starts++;
	instance->pid = fork();
	if (instance->pid < 0)
		not_run("cannot fork");
	if (instance->pid > 0) {
		record("instance %s:%u starts as process %d", instance->ip,
		       instance->front, (int)instance->pid);
		return;
	}
	/* It must not outlive this program, however that ends. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	int fd = open(log, O_CREAT | O_WRONLY | O_APPEND, 0600);

	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execl(binary, binary, "run", "-c", path, (char *)NULL);
	_exit(127);
}

static uint64_t resident_kb(pid_t pid)
{
	char path[64];
	char line[256];
	uint64_t kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
		if (strncmp(line, "VmRSS:", 6) == 0)
			kb = strtoull(line + 6, NULL, 10);
	}
	if (file != NULL)
		fclose(file);
	return kb;
}

/* Kills what exceeds its memory, and starts again what has ended. */
static void watch_process(struct instance *instance)
{
	uint64_t kb;
	int status;

	if (instance->pid == 0) {
		if (!instance->stopped &&
		    now_ms() >= instance->ended_ms + RESTART_MS)
			start_process(instance);
		return;
	}
	if (waitpid(instance->pid, &status, WNOHANG) == instance->pid) {
		record("instance %s: process %d ended, %s %d", instance->ip,
		       (int)instance->pid,
		       WIFSIGNALED(status) ? "signal" : "exit",
		       WIFSIGNALED(status) ? WTERMSIG(status) :
					     WEXITSTATUS(status));
		instance->pid = 0;
		instance->ended_ms = now_ms();
		return;
	}
	kb = resident_kb(instance->pid);
	if (kb > instance->peak_kb)
		instance->peak_kb = kb;
	if (kb <= (uint64_t)instance->memory_mb * 1024)
		return;
	record("instance %s holds %llu KB, more than its %u MB: killed",
	       instance->ip, (unsigned long long)kb, instance->memory_mb);
	instance->memory_kills++;
	kill(instance->pid, SIGKILL);
}

static void *watch_processes(void *data)
{
	uint32_t i;

	(void)data;
	for (;;) {
		pthread_mutex_lock(&process_lock);
		for (i = 0; i < instance_count && !ending; i++)
			watch_process(&instances[i]);
		pthread_mutex_unlock(&process_lock);
		sleep_ms(WATCH_PERIOD_MS);
	}
	return NULL;
}

void instances_start(void)
{
	char seeds[256] = "[";
	uint32_t i;

	set_defaults();
	for (i = 0; i < instance_count && i < 3; i++)
		snprintf(seeds + strlen(seeds), sizeof(seeds) - strlen(seeds),
			 "%s\"%s:%u\"", i > 0 ? "," : "", instances[i].ip,
			 instances[i].control);
	strcat(seeds, "]");
	setting("seeds", seeds);
	pthread_mutex_lock(&process_lock);
	for (i = 0; i < instance_count; i++) {
		write_settings(&instances[i]);
		start_process(&instances[i]);
	}
	pthread_mutex_unlock(&process_lock);
	start_thread(watch_processes, NULL);
}

static bool is_ready(const struct instance *instance)
{
	static const char question[] = "GET /readiness HTTP/1.1\r\n"
				       "Host: platform\r\n\r\n";
	char text[64] = "";
	int fd = connect_to(instance->ip, instance->ready, false);
	ssize_t got;

	if (fd < 0)
		return false;
	got = send_all(fd, question, strlen(question)) ?
		      recv(fd, text, sizeof(text) - 1, 0) :
		      -1;
	close(fd);
	return got > 12 && strncmp(text + 9, "200", 3) == 0;
}

void instances_wait_ready(int64_t limit_ms)
{
	int64_t until = now_ms() + limit_ms;
	uint32_t ready = 0;
	uint32_t i;

	while (ready < instance_count) {
		if (now_ms() > until)
			not_run("the instances are not ready");
		sleep_ms(50);
		for (ready = 0, i = 0; i < instance_count; i++)
			ready += is_ready(&instances[i]);
	}
	record("all instances are ready");
}

void instance_signal(struct instance *instance, int signal_number)
{
	pthread_mutex_lock(&process_lock);
	record("platform sends signal %d to instance %s", signal_number,
	       instance->ip);
	if (signal_number == SIGTERM)
		instance->stopped = true;
	if (instance->pid > 0)
		kill(instance->pid, signal_number);
	pthread_mutex_unlock(&process_lock);
}

/* --- clients ------------------------------------------------------------- */

int client_connect(const struct instance *instance, bool slow_reader)
{
	return connect_to(instance->ip, instance->front, slow_reader);
}

static bool send_request(int fd, const struct request *request)
{
	static char filler[65536];
	uint64_t left = request->body_bytes;
	char head[1024];

	memset(filler, 'b', sizeof(filler));
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: small.example\r\n"
		 "Nutmegcrank-Request-Id: %s\r\n"
		 "Nutmegcrank-Deadline-Ms: %u\r\n",
		 request->method, request->path, request->id,
		 request->deadline_ms);
	if (left > 0)
		snprintf(head + strlen(head), sizeof(head) - strlen(head),
			 "Content-Length: %llu\r\n", (unsigned long long)left);
	strcat(head, "\r\n");
	if (!send_all(fd, head, strlen(head)))
		return false;
	while (left > 0) {
		size_t length = left < sizeof(filler) ? (size_t)left :
							sizeof(filler);

		if (!send_all(fd, filler, length))
			return false;
		left -= length;
	}
	return true;
}

/* Reads a body at the client's pace; returns the bytes that came. */
static int64_t read_body(struct reader *reader, int64_t length,
			 uint64_t bytes_per_s)
{
	int64_t step = bytes_per_s > 0 ? (int64_t)(bytes_per_s / 50) : length;
	int64_t next = clock_ms();
	int64_t got = 0;

	while (got < length) {
		int64_t want = length - got < step ? length - got : step;
		int64_t came = reader_skip(reader, want);

		got += came;
		if (came < want)
			break;
		if (bytes_per_s == 0)
			continue;
		next += 20;
		sleep_ms(next - clock_ms());
	}
	return got;
}

struct answer client_send(int fd, const struct request *request)
{
	struct answer answer = { .length = -1 };
	struct reader *reader = calloc(1, sizeof(*reader));
	int64_t began = now_ms();
	char head[16384];
	char text[128];

	reader->fd = fd;
	record("client sends %s: %s %s, body %llu", request->id,
	       request->method, request->path,
	       (unsigned long long)request->body_bytes);
	if (!send_request(fd, request))
		record("client cannot send all of %s", request->id);
	if (reader_head(reader, head, sizeof(head))) {
		answer.status = atoi(head + 9);
		answer.signed_by_upstream =
			head_field(head, "Nutmegcrank-Upstream-Signature", text,
				   sizeof(text));
		if (head_field(head, "Connection", text, sizeof(text)))
			answer.close = strcasecmp(text, "close") == 0;
		if (head_field(head, "Content-Length", text, sizeof(text)))
			answer.length = strtoll(text, NULL, 10);
		if (answer.length >= 0)
			answer.got = read_body(reader, answer.length,
					       request->read_bytes_per_s);
		answer.whole = answer.got == answer.length;
	}
	answer.took_ms = now_ms() - began;
	record("client gets for %s: %s %d, %lld of %lld bytes%s, after %lld ms",
	       request->id, answer.whole ? "status" : "NO WHOLE ANSWER, status",
	       answer.status, (long long)answer.got, (long long)answer.length,
	       answer.signed_by_upstream ? ", signed" : "",
	       (long long)answer.took_ms);
	free(reader);
	return answer;
}
