#include "load.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <json.h>
#include <math.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "core/clock.h"

#define CALLER_IP_FIRST UINT32_C(0x7f000201) /* 127.0.2.1 */
#define READ_BYTES 16384
#define EVENTS_MAX 256
#define ENTRIES_REFRESH_MARGIN_MS 1000
#define EXPIRE_INTERVAL_US (20 * US_PER_MS)
#define EXPIRE_MARGIN_US (500 * US_PER_MS)
#define ENTRIES_REQUEST UINT32_MAX

/**
 * struct caller - a simulated caller
 * @ip: source address of its connections
 * @entries: array of struct net_addr, servers that it sends requests to
 * @next_entry: counter that selects the next entry or server in turn
 * @refresh_us: time to request the entries again
 * @entries_requested: a request for entries is in progress
 */
struct caller {
	uint32_t ip;
	GArray *entries;
	uint32_t next_entry;
	uint64_t refresh_us;
	bool entries_requested;
};

/**
 * struct conn - a connection of a caller to a server
 * @fd: socket
 * @caller: caller that uses it
 * @to: address of the server
 * @sample: index of the request in progress, or ENTRIES_REQUEST
 * @busy: a request is in progress
 * @reused: an earlier request has ended on it
 * @resent: the request was sent on a reused connection before, which the
 *	server had closed
 * @started_us: scheduled start of the request
 * @out: bytes still to be sent
 * @in: bytes of the answer received so far
 */
struct conn {
	int32_t fd;
	struct caller *caller;
	struct net_addr to;
	uint32_t sample;
	bool busy;
	bool reused;
	bool resent;
	uint64_t started_us;
	GString *out;
	GString *in;
};

/**
 * struct load - state of a run
 * @plan: parameters
 * @samples: scheduled requests, with the outcome of those that have ended
 * @callers: array of plan->callers callers
 * @idle: GPtrArray of idle connections by key of caller and server
 * @conns: set of all connections
 * @rand: random numbers, seeded from the plan
 * @start_us: start of the run
 * @unfinished: scheduled requests that have not ended yet
 * @epoll_fd: watches all sockets and @timer_fd
 * @timer_fd: timer for the next scheduled start
 */
struct load {
	const struct load_plan *plan;
	GArray *samples;
	struct caller *callers;
	GHashTable *idle;
	GHashTable *conns;
	GRand *rand;
	uint64_t start_us;
	uint32_t unfinished;
	int32_t epoll_fd;
	int32_t timer_fd;
};

static void make_schedule(struct load *load);
static double rate_at(const struct load_stream *stream, double at_ms);
static double rate_peak(const struct load_stream *stream);
static gint compare_start(gconstpointer a, gconstpointer b);
static void make_callers(struct load *load);
static void wait_for_entries(struct load *load);
static void run_schedule(struct load *load);
static void set_timer(const struct load *load, uint64_t at_us);
static void start_request(struct load *load, uint32_t sample);
static void request_entries(struct load *load, struct caller *caller);
static void send_request(struct load *load, struct conn *conn);
static struct conn *acquire_conn(struct load *load, struct caller *caller,
				 struct net_addr to, bool force_new);
static struct conn *open_conn(struct load *load, struct caller *caller,
			      struct net_addr to);
static GPtrArray *idle_list(struct load *load, const struct caller *caller,
			    struct net_addr to);
static void handle_events(struct load *load, int32_t timeout_ms);
static void handle_conn(struct load *load, struct conn *conn, uint32_t events);
static bool flush(struct conn *conn);
static void read_conn(struct load *load, struct conn *conn);
static bool answer_complete(const struct conn *conn, size_t *body_at);
static void finish_request(struct load *load, struct conn *conn, bool complete,
			   size_t body_at);
static void apply_entries(struct load *load, struct conn *conn,
			  const char *body);
static enum load_outcome classify_answer(const struct load *load,
					 const struct conn *conn,
					 size_t body_at);
static void record_outcome(struct load *load, const struct conn *conn,
			   enum load_outcome outcome);
static void close_conn(struct load *load, struct conn *conn);
static void expire_requests(struct load *load);
static void clear_load(struct load *load);

GArray *load_run(const struct load_plan *plan)
{
	struct load load = { .plan = plan };
	struct epoll_event event = { .events = EPOLLIN };
	GArray *samples;

	load.rand = g_rand_new_with_seed(plan->seed);
	load.idle = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  (GDestroyNotify)g_ptr_array_unref);
	load.conns = g_hash_table_new(NULL, NULL);
	load.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	load.timer_fd =
		timerfd_create(CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK);
	if (load.epoll_fd < 0 || load.timer_fd < 0 ||
	    epoll_ctl(load.epoll_fd, EPOLL_CTL_ADD, load.timer_fd, &event) != 0)
		g_error("load: cannot create the epoll instance or the timer");
	make_schedule(&load);
	make_callers(&load);
	wait_for_entries(&load);
	run_schedule(&load);
	samples = load.samples;
	clear_load(&load);
	return samples;
}

/* Draws arrivals of a Poisson process of varying rate by thinning. */
static void make_schedule(struct load *load)
{
	const struct load_stream *stream;
	struct load_sample sample = { .outcome = LOAD_LATE };
	double peak;
	double at_ms;
	uint32_t i;

	load->samples = g_array_new(FALSE, TRUE, sizeof(struct load_sample));
	for (i = 0; i < load->plan->stream_count; i++) {
		stream = &load->plan->streams[i];
		peak = rate_peak(stream);
		sample.stream = i;
		at_ms = 0;
		while (peak > 0) {
			at_ms -= log(1.0 - g_rand_double(load->rand)) * 1000.0 /
				 peak;
			if (at_ms >= load->plan->span_ms)
				break;
			if (g_rand_double(load->rand) * peak >
			    rate_at(stream, at_ms))
				continue;
			sample.at_us = (uint64_t)(at_ms * 1000.0);
			g_array_append_val(load->samples, sample);
		}
	}
	g_array_sort(load->samples, compare_start);
}

static double rate_at(const struct load_stream *stream, double at_ms)
{
	const struct load_point *before;
	const struct load_point *after;
	uint32_t i;

	for (i = 1; i < stream->point_count; i++) {
		before = &stream->points[i - 1];
		after = &stream->points[i];
		if (at_ms >= after->at_ms)
			continue;
		return before->rate_per_s +
		       (after->rate_per_s - before->rate_per_s) *
			       (at_ms - before->at_ms) /
			       (after->at_ms - before->at_ms);
	}
	return stream->points[stream->point_count - 1].rate_per_s;
}

static double rate_peak(const struct load_stream *stream)
{
	double peak = 0;
	uint32_t i;

	for (i = 0; i < stream->point_count; i++)
		peak = MAX(peak, stream->points[i].rate_per_s);
	return peak;
}

static gint compare_start(gconstpointer a, gconstpointer b)
{
	const struct load_sample *first = a;
	const struct load_sample *second = b;

	if (first->at_us == second->at_us)
		return 0;
	return first->at_us < second->at_us ? -1 : 1;
}

static void make_callers(struct load *load)
{
	const struct load_plan *plan = load->plan;
	struct caller *caller;
	uint32_t i;

	load->callers = g_new0(struct caller, plan->callers);
	for (i = 0; i < plan->callers; i++) {
		caller = &load->callers[i];
		caller->ip = CALLER_IP_FIRST + i;
		caller->next_entry = i;
		caller->entries =
			g_array_new(FALSE, FALSE, sizeof(struct net_addr));
		caller->refresh_us = DEADLINE_NONE_US;
		if (!plan->service)
			g_array_append_vals(caller->entries, plan->servers,
					    plan->server_count);
	}
}

static void wait_for_entries(struct load *load)
{
	uint64_t deadline_us = clock_now_us() + 5 * US_PER_S;
	bool all = false;
	uint32_t i;

	if (!load->plan->service)
		return;
	for (i = 0; i < load->plan->callers; i++)
		request_entries(load, &load->callers[i]);
	while (!all && clock_now_us() < deadline_us) {
		handle_events(load, 20);
		all = true;
		for (i = 0; i < load->plan->callers; i++)
			all = all && load->callers[i].entries->len > 0;
	}
	if (!all)
		g_error("load: not all callers received entries within 5 s");
}

static void run_schedule(struct load *load)
{
	uint64_t expire_at_us = 0;
	uint32_t next = 0;
	uint64_t now_us;

	load->start_us = clock_now_us();
	load->unfinished = load->samples->len;
	while (load->unfinished > 0) {
		now_us = clock_now_us();
		while (next < load->samples->len &&
		       load->start_us + g_array_index(load->samples,
						      struct load_sample, next)
						.at_us <=
			       now_us)
			start_request(load, next++);
		if (next < load->samples->len)
			set_timer(load,
				  load->start_us +
					  g_array_index(load->samples,
							struct load_sample,
							next)
						  .at_us);
		handle_events(load, 10);
		if (now_us >= expire_at_us) {
			expire_requests(load);
			expire_at_us = now_us + EXPIRE_INTERVAL_US;
		}
	}
}

static void set_timer(const struct load *load, uint64_t at_us)
{
	struct itimerspec timer = {
		.it_value = { .tv_sec = (time_t)(at_us / US_PER_S),
			      .tv_nsec = (long)(at_us % US_PER_S * 1000) },
	};

	if (timerfd_settime(load->timer_fd, TFD_TIMER_ABSTIME, &timer, NULL) !=
	    0)
		g_error("load: cannot set the timer");
}

static void start_request(struct load *load, uint32_t sample)
{
	const struct load_sample *due =
		&g_array_index(load->samples, struct load_sample, sample);
	struct caller *caller = &load->callers[g_rand_int_range(
		load->rand, 0, (gint32)load->plan->callers)];
	uint64_t now_us = clock_now_us();
	struct conn *conn;

	if (now_us >= caller->refresh_us && !caller->entries_requested)
		request_entries(load, caller);
	conn = acquire_conn(
		load, caller,
		g_array_index(caller->entries, struct net_addr,
			      caller->next_entry++ % caller->entries->len),
		false);
	conn->sample = sample;
	conn->started_us = load->start_us + due->at_us;
	send_request(load, conn);
}

static void request_entries(struct load *load, struct caller *caller)
{
	const struct load_plan *plan = load->plan;
	struct net_addr to =
		plan->servers[caller->next_entry++ % plan->server_count];
	struct conn *conn = acquire_conn(load, caller, to, false);

	caller->entries_requested = true;
	conn->sample = ENTRIES_REQUEST;
	conn->started_us = clock_now_us();
	send_request(load, conn);
}

static void send_request(struct load *load, struct conn *conn)
{
	const struct load_plan *plan = load->plan;
	const struct load_sample *sample;
	uint64_t deadline_ms;

	conn->busy = true;
	g_string_truncate(conn->in, 0);
	if (conn->sample == ENTRIES_REQUEST) {
		g_string_printf(conn->out,
				"GET /.nutmegcrank/entries?service=%s HTTP/1.1"
				"\r\nHost: h\r\n\r\n",
				plan->service);
	} else {
		sample = &g_array_index(load->samples, struct load_sample,
					conn->sample);
		deadline_ms = clock_now().unix_ms + plan->budget_ms -
			      (clock_now_us() - conn->started_us) / US_PER_MS;
		g_string_printf(conn->out,
				"GET %s HTTP/1.1\r\nHost: h\r\n"
				"X-Request-Id: n%u\r\n"
				"Nutmegcrank-Deadline-Unix-Ms: %" PRIu64
				"\r\n\r\n",
				plan->streams[sample->stream].target,
				conn->sample, deadline_ms);
	}
	if (!flush(conn))
		finish_request(load, conn, false, 0);
}

static struct conn *acquire_conn(struct load *load, struct caller *caller,
				 struct net_addr to, bool force_new)
{
	GPtrArray *list = idle_list(load, caller, to);

	if (!force_new && list->len > 0)
		return g_ptr_array_remove_index(list, list->len - 1);
	return open_conn(load, caller, to);
}

static struct conn *open_conn(struct load *load, struct caller *caller,
			      struct net_addr to)
{
	struct conn *conn = g_new0(struct conn, 1);
	struct epoll_event event = { .events = EPOLLIN | EPOLLOUT | EPOLLET,
				     .data.ptr = conn };
	struct sockaddr_in local = { .sin_family = AF_INET,
				     .sin_addr.s_addr = htonl(caller->ip) };
	struct sockaddr_in peer = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(to.ip),
				    .sin_port = htons(to.port) };
	int one = 1;

	conn->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	conn->caller = caller;
	conn->to = to;
	conn->out = g_string_new(NULL);
	conn->in = g_string_new(NULL);
	if (conn->fd < 0 ||
	    setsockopt(conn->fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one,
		       sizeof(one)) != 0 ||
	    setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one)) !=
		    0 ||
	    bind(conn->fd, (struct sockaddr *)&local, sizeof(local)) != 0)
		g_error("load: cannot create or bind a socket");
	if (connect(conn->fd, (struct sockaddr *)&peer, sizeof(peer)) != 0 &&
	    errno != EINPROGRESS)
		g_debug("load: connect failed");
	if (epoll_ctl(load->epoll_fd, EPOLL_CTL_ADD, conn->fd, &event) != 0)
		g_error("load: cannot add a socket to epoll");
	g_hash_table_add(load->conns, conn);
	return conn;
}

/*
 * The key holds the low 16 bits of the caller's address, in which callers
 * differ, and the address and port of the server.
 */
static GPtrArray *idle_list(struct load *load, const struct caller *caller,
			    struct net_addr to)
{
	uint64_t key = (uint64_t)(caller->ip & 0xffff) << 48 |
		       (uint64_t)to.ip << 16 | to.port;
	GPtrArray *list = g_hash_table_lookup(load->idle, &key);
	uint64_t *key_copy;

	if (list)
		return list;
	key_copy = g_new(uint64_t, 1);
	*key_copy = key;
	list = g_ptr_array_new();
	g_hash_table_insert(load->idle, key_copy, list);
	return list;
}

/*
 * Ignores events of connections that an earlier event of the same epoll_wait()
 * has closed.
 */
static void handle_events(struct load *load, int32_t timeout_ms)
{
	struct epoll_event events[EVENTS_MAX];
	uint64_t ticks;
	int count = epoll_wait(load->epoll_fd, events, EVENTS_MAX, timeout_ms);
	int i;

	for (i = 0; i < count; i++) {
		/* Only the timer is registered without a connection. */
		if (!events[i].data.ptr) {
			if (read(load->timer_fd, &ticks, sizeof(ticks)) < 0)
				continue;
		} else if (g_hash_table_contains(load->conns,
						 events[i].data.ptr)) {
			handle_conn(load, events[i].data.ptr, events[i].events);
		}
	}
}

static void handle_conn(struct load *load, struct conn *conn, uint32_t events)
{
	if ((events & EPOLLOUT) && conn->out->len > 0 && !flush(conn)) {
		finish_request(load, conn, false, 0);
		return;
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_conn(load, conn);
}

/* Sends what the socket accepts. Returns false if the connection is lost. */
static bool flush(struct conn *conn)
{
	ssize_t n =
		send(conn->fd, conn->out->str, conn->out->len, MSG_NOSIGNAL);

	if (n < 0)
		return errno == EAGAIN || errno == EINPROGRESS ||
		       errno == ENOTCONN;
	g_string_erase(conn->out, 0, n);
	return true;
}

static void read_conn(struct load *load, struct conn *conn)
{
	char bytes[READ_BYTES];
	size_t body_at;
	ssize_t n;

	while ((n = recv(conn->fd, bytes, sizeof(bytes), 0)) > 0)
		g_string_append_len(conn->in, bytes, n);
	if (conn->busy && answer_complete(conn, &body_at)) {
		finish_request(load, conn, true, body_at);
		return;
	}
	if (n == 0 || (n < 0 && errno != EAGAIN))
		finish_request(load, conn, false, 0);
}

/*
 * Sets body_at to the start of the body. An answer without Content-Length never
 * counts as complete.
 */
static bool answer_complete(const struct conn *conn, size_t *body_at)
{
	const char *head_end = strstr(conn->in->str, "\r\n\r\n");
	const char *length = strstr(conn->in->str, "\r\nContent-Length: ");

	if (!head_end || !length || length > head_end)
		return false;
	*body_at = (size_t)(head_end + 4 - conn->in->str);
	return conn->in->len >=
	       *body_at + g_ascii_strtoull(length + 18, NULL, 10);
}

static void finish_request(struct load *load, struct conn *conn, bool complete,
			   size_t body_at)
{
	struct conn *other;
	bool closes = !complete || strstr(conn->in->str, "Connection: close");

	/*
	 * The server closed a reused connection before it answered: the
	 * request is sent again, once, on a new connection.
	 */
	if (conn->busy && !complete && conn->reused && !conn->resent &&
	    conn->in->len == 0) {
		other = acquire_conn(load, conn->caller, conn->to, true);
		other->sample = conn->sample;
		other->started_us = conn->started_us;
		other->resent = true;
		conn->busy = false;
		close_conn(load, conn);
		send_request(load, other);
		return;
	}
	if (conn->busy && conn->sample == ENTRIES_REQUEST)
		apply_entries(load, conn,
			      complete ? conn->in->str + body_at : "");
	else if (conn->busy)
		record_outcome(load, conn,
			       complete ? classify_answer(load, conn, body_at) :
					  LOAD_FAILED);
	conn->busy = false;
	conn->reused = true;
	conn->resent = false;
	if (closes) {
		close_conn(load, conn);
		return;
	}
	g_string_truncate(conn->in, 0);
	g_ptr_array_add(idle_list(load, conn->caller, conn->to), conn);
}

/*
 * Takes over the entries of an answer. If it has none, the caller keeps its
 * entries and may request them again after 100 ms.
 */
static void apply_entries(struct load *load, struct conn *conn,
			  const char *body)
{
	struct caller *caller = conn->caller;
	struct json_object *answer = json_tokener_parse(body);
	struct json_object *list;
	struct json_object *field;
	struct net_addr addr;
	uint64_t expires_ms;
	uint64_t now_ms = clock_now().unix_ms;
	size_t i;

	(void)load;
	caller->entries_requested = false;
	caller->refresh_us = clock_now_us() + 100 * US_PER_MS;
	if (!json_object_object_get_ex(answer, "entries", &list) ||
	    json_object_array_length(list) == 0) {
		json_object_put(answer);
		return;
	}
	g_array_set_size(caller->entries, 0);
	for (i = 0; i < json_object_array_length(list); i++) {
		struct json_object *entry = json_object_array_get_idx(list, i);

		json_object_object_get_ex(entry, "ip", &field);
		addr_ip_parse(json_object_get_string(field), &addr.ip);
		json_object_object_get_ex(entry, "port", &field);
		addr.port = (uint16_t)json_object_get_int(field);
		g_array_append_val(caller->entries, addr);
	}
	json_object_object_get_ex(answer, "expires_unix_ms", &field);
	expires_ms = json_object_get_uint64(field);
	json_object_put(answer);
	caller->refresh_us = clock_now_us();
	if (expires_ms > now_ms + ENTRIES_REFRESH_MARGIN_MS)
		caller->refresh_us +=
			(expires_ms - now_ms - ENTRIES_REFRESH_MARGIN_MS) *
			US_PER_MS;
}

static enum load_outcome classify_answer(const struct load *load,
					 const struct conn *conn,
					 size_t body_at)
{
	char id[32];

	(void)load;
	if (strncmp(conn->in->str, "HTTP/1.1 200", 12) != 0)
		return strstr(conn->in->str, "Outcome: not-run") ||
				       strstr(conn->in->str, "X-Shed: 1") ?
			       LOAD_REFUSED :
			       LOAD_FAILED;
	g_snprintf(id, sizeof(id), "\"id\":\"n%u\"", conn->sample);
	return strstr(conn->in->str + body_at, id) ? LOAD_SERVED : LOAD_WRONG;
}

static void record_outcome(struct load *load, const struct conn *conn,
			   enum load_outcome outcome)
{
	struct load_sample *sample =
		&g_array_index(load->samples, struct load_sample, conn->sample);

	sample->latency_us = clock_now_us() - conn->started_us;
	if (outcome == LOAD_SERVED &&
	    sample->latency_us > load->plan->budget_ms * US_PER_MS)
		outcome = LOAD_LATE;
	sample->outcome = outcome;
	load->unfinished--;
}

static void close_conn(struct load *load, struct conn *conn)
{
	g_ptr_array_remove_fast(idle_list(load, conn->caller, conn->to), conn);
	g_hash_table_remove(load->conns, conn);
	close(conn->fd);
	g_string_free(conn->out, TRUE);
	g_string_free(conn->in, TRUE);
	g_free(conn);
}

/* Gives up requests that exceed their budget by EXPIRE_MARGIN_US. */
static void expire_requests(struct load *load)
{
	uint64_t limit_us =
		load->plan->budget_ms * US_PER_MS + EXPIRE_MARGIN_US;
	uint64_t now_us = clock_now_us();
	GPtrArray *late = g_ptr_array_new();
	struct conn *conn;
	GHashTableIter iter;
	gpointer key;
	guint i;

	g_hash_table_iter_init(&iter, load->conns);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		conn = key;
		if (conn->busy && now_us > conn->started_us + limit_us)
			g_ptr_array_add(late, conn);
	}
	for (i = 0; i < late->len; i++) {
		conn = g_ptr_array_index(late, i);
		if (conn->sample == ENTRIES_REQUEST)
			apply_entries(load, conn, "");
		else
			record_outcome(load, conn, LOAD_LATE);
		close_conn(load, conn);
	}
	g_ptr_array_unref(late);
}

static void clear_load(struct load *load)
{
	GList *left = g_hash_table_get_keys(load->conns);
	GList *node;
	uint32_t i;

	for (node = left; node; node = node->next)
		close_conn(load, node->data);
	g_list_free(left);
	for (i = 0; i < load->plan->callers; i++)
		g_array_unref(load->callers[i].entries);
	g_free(load->callers);
	g_hash_table_unref(load->conns);
	g_hash_table_unref(load->idle);
	g_rand_free(load->rand);
	close(load->timer_fd);
	close(load->epoll_fd);
}
