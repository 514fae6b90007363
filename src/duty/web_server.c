#include "duty/web_server.h"

#include <pthread.h>
#include <unistd.h>

#include "core/clock.h"
#include "duty/net_socket.h"
#include "ring/ring.h"

/* Interval at which a stop that is not done wakes the acceptor again. */
#define WAKE_INTERVAL_US (20 * US_PER_MS)

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
