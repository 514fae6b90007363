#include "duty/web_server.h"

#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"
#include "duty/net_socket.h"
#include "ring/ring.h"

/* Interval at which a stop that is not done wakes the acceptor again. */
#define WAKE_INTERVAL_US (20 * US_PER_MS)
/* Has the number of each open file of this process. */
#define OPEN_FILES_DIR "/proc/self/fd"

/**
 * struct web_server - one CivetWeb server
 * @context: owned
 * @wake: address that the server listens on
 * @stopped: ring of bool, gets an item when the server has stopped
 * @stopper: with web_server_stop(), waits for the server's threads
 */
struct web_server {
	struct mg_context *context;
	struct net_addr wake;
	struct ring *stopped;
	pthread_t stopper;
};

static void *stopper_thread(void *data);
static void wake_acceptor(const struct web_server *server);
static void close_unserved(const struct web_server *server);
static bool accepted_by(const struct web_server *server, int fd);

struct web_server *web_server_start(const struct web_server_options *options,
				    GError **error)
{
	const char *settings[] = { "listening_ports",
				   options->listen,
				   "num_threads",
				   options->threads,
				   "request_timeout_ms",
				   options->request_timeout_ms,
				   "enable_keep_alive",
				   "no",
				   "tcp_nodelay",
				   "1",
				   NULL };
	struct web_server *server = g_new0(struct web_server, 1);

	mg_init_library(0);
	server->context = mg_start(options->callbacks, options->data, settings);
	if (server->context) {
		server->wake = options->wake;
		server->stopped = ring_new(sizeof(bool), 1, 0);
		return server;
	}
	g_set_error(error, DUTY_ERROR, DUTY_ERROR_LISTEN,
		    "%s: %s: cannot listen; choose free addresses",
		    options->name, options->listen);
	mg_exit_library();
	g_free(server);
	return NULL;
}

bool web_server_stop(struct web_server *server, uint64_t deadline_us)
{
	uint64_t wait_until_us;
	bool stopped = false;

	if (pthread_create(&server->stopper, NULL, stopper_thread, server) != 0)
		return false;
	while (!stopped && clock_now_us() < deadline_us) {
		wake_acceptor(server);
		wait_until_us =
			MIN(clock_now_us() + WAKE_INTERVAL_US, deadline_us);
		if (ring_pop(server->stopped, &stopped, wait_until_us) !=
		    RING_OK)
			stopped = false;
	}
	if (!stopped)
		return false;
	pthread_join(server->stopper, NULL);
	close_unserved(server);
	mg_exit_library();
	ring_free(server->stopped);
	g_free(server);
	return true;
}

static void *stopper_thread(void *data)
{
	const bool stopped = true;
	struct web_server *server = data;

	mg_stop(server->context);
	if (ring_push(server->stopped, &stopped) != RING_OK)
		g_warning("web server: cannot report that it has stopped");
	return NULL;
}

/*
 * CivetWeb's acceptor looks at its stop flag only every 2 s, or when a
 * connection comes in.
 */
static void wake_acceptor(const struct web_server *server)
{
	GError *error = NULL;
	int fd = net_socket_connect(server->wake.ip, server->wake, &error);

	if (fd >= 0) {
		close(fd);
		return;
	}
	g_debug("web server: %s", error->message);
	g_error_free(error);
}

/*
 * A connection that was accepted right before the stop is served by no thread
 * any more and not closed by CivetWeb; its client would wait for nothing. All
 * of the server's threads have ended, so nothing else uses its sockets.
 */
static void close_unserved(const struct web_server *server)
{
	GError *error = NULL;
	GDir *dir = g_dir_open(OPEN_FILES_DIR, 0, &error);
	const char *name;
	int fd;

	if (!dir) {
		g_warning("web server: %s", error->message);
		g_error_free(error);
		return;
	}
	while ((name = g_dir_read_name(dir)) != NULL) {
		fd = (int)g_ascii_strtoll(name, NULL, 10);
		if (accepted_by(server, fd) && close(fd) != 0)
			g_warning("web server: cannot close a connection: %s",
				  g_strerror(errno));
	}
	g_dir_close(dir);
}

static bool accepted_by(const struct web_server *server, int fd)
{
	struct sockaddr_in local = { 0 };
	socklen_t local_bytes = sizeof(local);

	if (getsockname(fd, (struct sockaddr *)&local, &local_bytes) != 0)
		return false;
	return local.sin_family == AF_INET &&
	       ntohl(local.sin_addr.s_addr) == server->wake.ip &&
	       ntohs(local.sin_port) == server->wake.port;
}
