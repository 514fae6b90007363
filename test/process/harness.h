#ifndef PROCESS_HARNESS_H
#define PROCESS_HARNESS_H

/**
 * DOC: helpers of the process tests: child processes, free ports and an HTTP
 * client
 */

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/**
 * program_path() - find a program in the build folder
 * @name: file name of the program
 *
 * NUTMEGCRANK_BUILD names the build folder; without it, it is the folder of
 * the test program.
 *
 * Return: path of the program.
 */
std::string program_path(const std::string &name);

/**
 * class child_process - a program that the test runs
 *
 * The destructor kills a process that still runs. Standard output and error are
 * recorded, and the destructor prints their end if the test has failed.
 */
class child_process {
    public:
	/**
	 * child_process() - start a program of the build folder
	 * @name: name in failure messages and above the printed output
	 * @args: file name of the program, then its arguments
	 */
	child_process(const std::string &name,
		      const std::vector<std::string> &args);
	~child_process();
	child_process(const child_process &) = delete;
	child_process &operator=(const child_process &) = delete;

	/* Sends a signal; fails the test if the process is gone. */
	void signal(int number) const;

	/*
	 * Waits for the process to exit. Returns its exit code, or -1 if it
	 * still runs after @limit_ms, if a signal ended it, or if it was waited
	 * for before.
	 */
	int wait_exit(uint32_t limit_ms);

	/* Sends SIGTERM, then wait_exit(). */
	int stop(uint32_t limit_ms);

	/* Returns the last 20,000 bytes that the process has printed. */
	std::string output() const;

    private:
	std::string name;
	pid_t pid;
	int output_fd;
	bool ended;
};

/**
 * free_port() - find a port that is unused for TCP and UDP
 *
 * The ports are below the kernel's range for outgoing connections.
 *
 * Return: port, a different one at each call until the range 12000 to 31000 is
 * used up.
 */
uint16_t free_port();

/**
 * free_ports() - find consecutive ports that are unused for TCP and UDP
 * @count: number of ports
 *
 * Return: first of the ports.
 */
uint16_t free_ports(uint32_t count);

/**
 * struct http_request - one HTTP request
 * @method: request method
 * @url: absolute URL
 * @headers: header lines, "Name: value"
 * @body: request body
 * @timeout_ms: limit for the whole exchange
 * @source: local IP address to connect from; empty for any
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
 * struct http_reply - the answer to a request
 * @code: 0 if a complete answer was received, else the CURLcode
 * @status: HTTP status, 0 if no status line was received
 * @headers: header values by lower-case name
 * @body: received part of the body
 */
struct http_reply {
	int code = 0;
	uint32_t status = 0;
	std::map<std::string, std::string> headers;
	std::string body;
};

/**
 * class http_client - HTTP client that reuses its connection for GET requests
 */
class http_client {
    public:
	http_client();
	~http_client();
	http_client(const http_client &) = delete;
	http_client &operator=(const http_client &) = delete;

	/* Sends a request and waits for the answer. */
	struct http_reply send(const struct http_request &request);

    private:
	void *handle;
};

/**
 * http_send() - send one request on a new connection
 * @request: request to send
 *
 * Return: answer or error.
 */
struct http_reply http_send(const struct http_request &request);

/**
 * http_get() - send one GET on a new connection
 * @url: absolute URL
 *
 * Return: answer or error.
 */
struct http_reply http_get(const std::string &url);

/**
 * http_put() - send one PUT on a new connection
 * @url: absolute URL
 * @body: request body
 *
 * Return: true if the status was 200.
 */
bool http_put(const std::string &url, const std::string &body);

/**
 * wait_for() - wait until a condition holds
 * @limit_ms: longest time to wait
 * @condition: predicate, evaluated every 10 ms
 *
 * Return: true if the condition held in time.
 */
template <typename condition_t>
bool wait_for(uint32_t limit_ms, condition_t condition);

/**
 * now_ms() - monotonic time in milliseconds
 */
uint64_t now_ms();

/**
 * unix_us() - wall clock time in microseconds since the Unix epoch
 */
uint64_t unix_us();

/**
 * sleep_ms() - block the calling thread
 * @duration_ms: time to sleep
 */
void sleep_ms(uint32_t duration_ms);

#define WAIT_POLL_INTERVAL_MS 10

template <typename condition_t>
bool wait_for(uint32_t limit_ms, condition_t condition)
{
	uint64_t deadline_ms = now_ms() + limit_ms;

	while (!condition()) {
		if (now_ms() >= deadline_ms)
			return false;
		sleep_ms(WAIT_POLL_INTERVAL_MS);
	}
	return true;
}

#endif
