#ifndef PROCESS_HARNESS_H
#define PROCESS_HARNESS_H

/**
 * DOC: what process tests share: child processes, ports and HTTP
 */

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/**
 * program_path() - a program of the build folder
 * @name: its name
 *
 * Return: its path.
 */
std::string program_path(const std::string &name);

/**
 * class child - a process that ends with the test
 *
 * Its output is kept and printed when the test has failed.
 */
class child {
    public:
	/**
	 * child() - start a program of the build folder
	 * @name: for messages
	 * @args: program and arguments
	 */
	child(const std::string &name, const std::vector<std::string> &args);
	~child();
	child(const child &) = delete;
	child &operator=(const child &) = delete;

	/* Sends a signal. */
	void signal(int number) const;

	/* Waits for the end; the exit code, or -1 when it lasts longer or a
	 * signal ended it. */
	int wait_exit(uint32_t limit_ms);

	/* SIGTERM and wait_exit(). */
	int stop(uint32_t limit_ms);

	/* All that it has printed. */
	std::string output() const;

    private:
	std::string name;
	pid_t pid;
	int output_fd;
	bool ended;
};

/**
 * free_port() - find a port that nothing uses
 *
 * Ports lie below the range that the kernel gives to outgoing connections.
 *
 * Return: a port, never the same one twice in a process.
 */
uint16_t free_port();

/**
 * free_ports() - find ports that nothing uses and that follow each other
 * @count: how many
 *
 * Return: the first.
 */
uint16_t free_ports(uint32_t count);

/**
 * struct http_request - what to ask
 * @method: request method
 * @url: whole URL
 * @headers: header lines
 * @body: request body
 * @timeout_ms: gives up then
 * @source: own IP number, empty for any
 */
struct http_request {
	std::string method = "GET";
	std::string url;
	std::vector<std::string> headers;
	std::string body;
	uint32_t timeout_ms = 5000;
	std::string source;
};

/**
 * struct http_reply - what came back
 * @code: 0 for a whole answer, else the CURLcode
 * @status: HTTP status, 0 for none
 * @headers: by lower-case name
 * @body: what came of it
 */
struct http_reply {
	int code = 0;
	uint32_t status = 0;
	std::map<std::string, std::string> headers;
	std::string body;
};

/**
 * class http_client - one caller; keeps its connection between requests
 */
class http_client {
    public:
	http_client();
	~http_client();
	http_client(const http_client &) = delete;
	http_client &operator=(const http_client &) = delete;

	struct http_reply ask(const struct http_request &request);

    private:
	void *handle;
};

/**
 * http_ask() - one request on a connection of its own
 * @request: what to ask
 *
 * Return: what came back.
 */
struct http_reply http_ask(const struct http_request &request);

/**
 * http_get() - one GET on a connection of its own
 * @url: whole URL
 *
 * Return: what came back.
 */
struct http_reply http_get(const std::string &url);

/**
 * http_put() - one PUT on a connection of its own
 * @url: whole URL
 * @body: request body
 *
 * Return: whether it was answered with 200.
 */
bool http_put(const std::string &url, const std::string &body);

/**
 * wait_for() - ask again until a condition holds
 * @limit_ms: gives up then
 * @condition: asked every few milliseconds
 *
 * Return: whether it held in time.
 */
template <typename condition_t>
bool wait_for(uint32_t limit_ms, condition_t condition);

/**
 * now_ms() - monotonic milliseconds
 */
uint64_t now_ms();

/**
 * unix_us() - wall clock, in microseconds
 */
uint64_t unix_us();

/**
 * pause_ms() - let time pass that a test's fault needs
 * @span_ms: how long
 */
void pause_ms(uint32_t span_ms);

#define WAIT_STEP_MS 10

template <typename condition_t>
bool wait_for(uint32_t limit_ms, condition_t condition)
{
	uint64_t deadline_ms = now_ms() + limit_ms;

	while (!condition()) {
		if (now_ms() >= deadline_ms)
			return false;
		pause_ms(WAIT_STEP_MS);
	}
	return true;
}

#endif
