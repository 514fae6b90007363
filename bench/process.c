#include "process.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <libgen.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "core/clock.h"

#define PORT_FIRST 12000
#define PORT_RANGE 100
#define PORT_RANGES 180
#define HTTP_TIMEOUT_MS 2000L
#define HTTP_RETRY_INTERVAL_MS 20

static char *program_path(const char *name);
static bool port_is_free(uint16_t port);
static long http_request(const char *url, const char *put_body, GString *body);
static size_t append_body(char *bytes, size_t size, size_t count, void *data);

int32_t process_start(const char *const *args)
{
	char *path = program_path(args[0]);
	pid_t parent = getpid();
	pid_t pid = fork();
	int null_fd;

	if (pid < 0)
		g_error("bench: cannot fork a child process");
	if (pid > 0) {
		g_free(path);
		return pid;
	}
	null_fd = open("/dev/null", O_RDWR | O_CLOEXEC);
	if (prctl(PR_SET_PDEATHSIG, SIGKILL) != 0 || getppid() != parent ||
	    dup2(null_fd, STDOUT_FILENO) < 0 ||
	    dup2(null_fd, STDERR_FILENO) < 0)
		_exit(EXIT_FAILURE);
	execv(path, (char *const *)args);
	_exit(EXIT_FAILURE);
}

void process_stop(int32_t pid)
{
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

uint64_t process_cpu_us(int32_t pid)
{
	char path[64];
	char *text = NULL;
	char **fields;
	char *after;
	uint64_t ticks = 0;

	snprintf(path, sizeof(path), "/proc/%d/stat", pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	/* User and system time are fields 12 and 13 after the program name. */
	after = strrchr(text, ')');
	fields = g_strsplit(after ? after + 2 : "", " ", 16);
	if (g_strv_length(fields) > 13)
		ticks = g_ascii_strtoull(fields[11], NULL, 10) +
			g_ascii_strtoull(fields[12], NULL, 10);
	g_strfreev(fields);
	g_free(text);
	return ticks * US_PER_S / (uint64_t)sysconf(_SC_CLK_TCK);
}

uint16_t ports_find(uint32_t count)
{
	static uint32_t range_index;
	uint32_t first;
	uint32_t i;

	if (range_index == 0)
		range_index = (uint32_t)getpid();
	for (;;) {
		first = PORT_FIRST + range_index++ % PORT_RANGES * PORT_RANGE;
		for (i = 0; i < count; i++) {
			if (!port_is_free((uint16_t)(first + i)))
				break;
		}
		if (i == count)
			return (uint16_t)first;
	}
}

bool http_put_text(const char *url, const char *text)
{
	return http_request(url, text, NULL) == 200;
}

bool http_wait_ok(const char *url, uint32_t timeout_ms)
{
	uint64_t deadline_us = clock_now_us() + timeout_ms * US_PER_MS;

	while (http_request(url, NULL, NULL) != 200) {
		if (clock_now_us() > deadline_us)
			return false;
		poll(NULL, 0, HTTP_RETRY_INTERVAL_MS);
	}
	return true;
}

char *http_get_text(const char *url)
{
	GString *body = g_string_new(NULL);
	bool ok = http_request(url, NULL, body) == 200;

	return g_string_free(body, !ok);
}

static char *program_path(const char *name)
{
	char self[4096];
	ssize_t length = readlink("/proc/self/exe", self, sizeof(self) - 1);

	self[length < 0 ? 0 : length] = '\0';
	return g_strdup_printf("%s/%s", dirname(self), name);
}

static bool port_is_free(uint16_t port)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_free;

	if (fd < 0)
		return false;
	is_free = bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0;
	close(fd);
	return is_free;
}

/* Returns the HTTP status, 0 if there was no answer. */
static long http_request(const char *url, const char *put_body, GString *body)
{
	CURL *easy = curl_easy_init();
	long status = 0;

	if (!easy)
		g_error("bench: curl_easy_init failed");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, HTTP_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
	if (put_body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, put_body);
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
	}
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	return status;
}

static size_t append_body(char *bytes, size_t size, size_t count, void *data)
{
	GString *body = data;

	if (body)
		g_string_append_len(body, bytes, (gssize)(size * count));
	return size * count;
}
