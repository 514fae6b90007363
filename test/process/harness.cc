#include "harness.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <gtest/gtest.h>
#include <libgen.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <mutex>
#include <thread>

namespace
{

const uint16_t PORT_FIRST = 12000;
const uint16_t PORT_LAST = 31000;
const uint32_t OUTPUT_MAX_BYTES = 20000;
const uint32_t KILL_WAIT_MS = 5000;

std::string build_dir()
{
	char path[4096];
	ssize_t length_bytes =
		readlink("/proc/self/exe", path, sizeof(path) - 1);
	const char *dir = getenv("NUTMEGCRANK_BUILD");

	if (dir != NULL)
		return dir;
	path[length_bytes < 0 ? 0 : length_bytes] = '\0';
	return dirname(path);
}

bool port_free(int type, uint16_t port)
{
	struct sockaddr_in addr = {};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	int on = 1;
	bool bound;

	addr.sin_family = AF_INET;
	addr.sin_port = htons(port);
	/* Connections of an earlier test in TIME_WAIT do not occupy a port. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	bound = bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0;
	close(fd);
	return bound;
}

uint32_t env_number(const char *variable, uint32_t fallback)
{
	const char *value = getenv(variable);

	return value == NULL ? fallback : (uint32_t)strtoul(value, NULL, 10);
}

/*
 * Each gtest shard has its own part of the port range. Within it, an ephemeral
 * port from the kernel selects the first port, so that independent test runs on
 * the same machine are unlikely to start at the same one. Start ports are
 * multiples of 100 in the first half of the part.
 */
uint16_t first_port()
{
	struct sockaddr_in addr = {};
	socklen_t addr_bytes = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	uint32_t range =
		(PORT_LAST - PORT_FIRST) / env_number("GTEST_TOTAL_SHARDS", 1);
	uint32_t first =
		PORT_FIRST + range * env_number("GTEST_SHARD_INDEX", 0);

	addr.sin_family = AF_INET;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&addr, &addr_bytes) != 0)
		addr.sin_port = 0;
	close(fd);
	return (uint16_t)(first + ntohs(addr.sin_port) % (range / 200) * 100);
}

size_t append_body(char *bytes, size_t size, size_t count, void *data)
{
	struct http_reply *reply = (struct http_reply *)data;

	reply->body.append(bytes, size * count);
	return size * count;
}

size_t store_header(char *bytes, size_t size, size_t count, void *data)
{
	struct http_reply *reply = (struct http_reply *)data;
	std::string line(bytes, size * count);
	size_t colon = line.find(':');
	std::string name = line.substr(0, colon);

	if (colon == std::string::npos)
		return size * count;
	for (char &c : name)
		c = (char)tolower(c);
	line = line.substr(colon + 1);
	line.erase(0, line.find_first_not_of(" "));
	line.erase(line.find_last_not_of("\r\n") + 1);
	reply->headers[name] = line;
	return size * count;
}

} // namespace

std::string program_path(const std::string &name)
{
	return build_dir() + "/" + name;
}

child_process::child_process(const std::string &name,
			     const std::vector<std::string> &args)
    : name(name), pid(-1), output_fd(-1), ended(false)
{
	std::string program = program_path(args[0]);
	std::vector<char *> argv;
	pid_t parent = getpid();

	argv.push_back(const_cast<char *>(program.c_str()));
	for (size_t i = 1; i < args.size(); i++)
		argv.push_back(const_cast<char *>(args[i].c_str()));
	argv.push_back(NULL);
	output_fd = memfd_create(name.c_str(), MFD_CLOEXEC);
	pid = fork();
	if (pid != 0)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent || dup2(output_fd, STDOUT_FILENO) < 0 ||
	    dup2(output_fd, STDERR_FILENO) < 0)
		_exit(126);
	execv(program.c_str(), argv.data());
	_exit(127);
}

child_process::~child_process()
{
	if (!ended) {
		signal(SIGCONT);
		signal(SIGKILL);
		wait_exit(KILL_WAIT_MS);
	}
	if (testing::Test::HasFailure())
		printf("--- %s\n%s\n", name.c_str(), output().c_str());
	close(output_fd);
}

void child_process::signal(int number) const
{
	if (!ended && kill(pid, number) != 0)
		ADD_FAILURE() << name << " has exited already";
}

int child_process::wait_exit(uint32_t limit_ms)
{
	int status = 0;

	if (ended)
		return -1;
	ended = wait_for(limit_ms, [this, &status] {
		return waitpid(pid, &status, WNOHANG) == pid;
	});
	return ended && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int child_process::stop(uint32_t limit_ms)
{
	signal(SIGTERM);
	return wait_exit(limit_ms);
}

std::string child_process::output() const
{
	off_t end = lseek(output_fd, 0, SEEK_END);
	off_t begin = end > (off_t)OUTPUT_MAX_BYTES ? end - OUTPUT_MAX_BYTES :
						      0;
	std::string text((size_t)(end - begin), '\0');

	if (pread(output_fd, &text[0], text.size(), begin) < 0)
		return "";
	return text;
}

uint16_t free_port()
{
	return free_ports(1);
}

uint16_t free_ports(uint32_t count)
{
	static std::mutex lock;
	static uint16_t next = first_port();
	std::lock_guard<std::mutex> guard(lock);
	uint16_t first = next;

	for (uint32_t found = 0; found < count; next++) {
		if (next + count > PORT_LAST)
			first = next = PORT_FIRST;
		if (port_free(SOCK_STREAM, next) && port_free(SOCK_DGRAM, next))
			found++;
		else
			found = 0;
		if (found == 0)
			first = next + 1;
	}
	return first;
}

http_client::http_client() : handle(curl_easy_init())
{
}

http_client::~http_client()
{
	curl_easy_cleanup(handle);
}

struct http_reply http_client::send(const struct http_request &request)
{
	CURL *curl = (CURL *)handle;
	struct curl_slist *headers = NULL;
	struct http_reply reply;
	long status = 0;

	curl_easy_reset(curl);
	for (const auto &line : request.headers)
		headers = curl_slist_append(headers, line.c_str());
	curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)request.timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, store_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reply);
	/*
	 * On a reused connection that the server has closed, libcurl repeats
	 * the request by itself; a request that is not idempotent could run
	 * twice.
	 */
	if (request.method != "GET")
		curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	if (!request.source.empty())
		curl_easy_setopt(curl, CURLOPT_INTERFACE,
				 request.source.c_str());
	if (!request.body.empty()) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
				 request.body.c_str());
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
				 (long)request.body.size());
	}
	reply.code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	reply.status = (uint32_t)status;
	curl_slist_free_all(headers);
	return reply;
}

struct http_reply http_send(const struct http_request &request)
{
	http_client client;

	return client.send(request);
}

struct http_reply http_get(const std::string &url)
{
	struct http_request request;

	request.url = url;
	return http_send(request);
}

bool http_put(const std::string &url, const std::string &body)
{
	struct http_request request;
	struct http_reply reply;

	request.method = "PUT";
	request.url = url;
	request.body = body;
	reply = http_send(request);
	if (reply.code == 0 && reply.status == 200)
		return true;
	fprintf(stderr, "PUT %s: code %d, status %u\n", url.c_str(), reply.code,
		reply.status);
	return false;
}

uint64_t now_ms()
{
	return (uint64_t)std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

uint64_t unix_us()
{
	return (uint64_t)std::chrono::duration_cast<std::chrono::microseconds>(
		       std::chrono::system_clock::now().time_since_epoch())
		.count();
}

void sleep_ms(uint32_t duration_ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}
