/*
 * The log of one instance: the reader of its standard output stalls, or the
 * instance reads its settings file again on SIGHUP.
 */
#include <gtest/gtest.h>

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "harness.h"

namespace
{

#define WAIT_LIMIT_MS 5000
#define PIPE_BYTES 4096
/*
 * Each refused request logs about 300 bytes, so that the requests log more than
 * the pipe and the log ring hold.
 */
#define REQUEST_COUNT 6000

/**
 * class LoggedProcess - an instance whose log goes to a small pipe
 *
 * The pipe is read by read_output() only, so that it fills up in between.
 */
class LoggedProcess {
    public:
	explicit LoggedProcess(const std::string &seeds)
	    : callers_(address(free_port())), operators_(address(free_port())),
	      path_(testing::TempDir() + "/nutmegcrank-log-" +
		    std::to_string(getpid()) + ".json")
	{
		int ends[2];

		write_settings(seeds);
		EXPECT_EQ(pipe(ends), 0);
		EXPECT_GT(fcntl(ends[1], F_SETPIPE_SZ, PIPE_BYTES), 0);
		pid_ = fork();
		if (pid_ == 0) {
			dup2(ends[1], STDOUT_FILENO);
			close(ends[0]);
			close(ends[1]);
			execl(program_path("nutmegcrank").c_str(),
			      "nutmegcrank", "run", "-c", path_.c_str(),
			      (char *)nullptr);
			_exit(127);
		}
		close(ends[1]);
		output_fd_ = ends[0];
	}
	~LoggedProcess()
	{
		if (pid_ > 0) {
			kill(pid_, SIGKILL);
			waitpid(pid_, nullptr, 0);
		}
		close(output_fd_);
		unlink(path_.c_str());
	}
	LoggedProcess(const LoggedProcess &) = delete;
	LoggedProcess &operator=(const LoggedProcess &) = delete;

	void write_settings(const std::string &seeds)
	{
		if (peers_.empty())
			peers_ = address(free_port());
		std::ofstream(path_)
			<< "{\"callers\":\"" << callers_ << "\",\"peers\":\""
			<< peers_ << "\",\"operators\":\"" << operators_
			<< "\",\"failure_domain\":\"a\",\"platform\":"
			   "\"127.0.0.1:9\",\"seeds\":["
			<< seeds
			<< "],\"log\":{\"format\":\"json\",\"requests\":"
			   "\"all\"},\"entries_ttl_ms\":500,"
			   "\"stop_grace\":\"1s\"}";
	}
	bool live() const
	{
		return http_get("http://" + operators_ + "/live").status == 200;
	}
	std::string callers_url() const
	{
		return "http://" + callers_ + "/x";
	}
	void signal(int number) const
	{
		EXPECT_EQ(kill(pid_, number), 0);
	}
	/* Returns the output, read until none has come for @wait_ms. */
	std::string read_output(int wait_ms) const
	{
		struct pollfd poll_fd = { output_fd_, POLLIN, 0 };
		std::string text;
		char bytes[PIPE_BYTES];
		ssize_t count;

		while (poll(&poll_fd, 1, wait_ms) > 0) {
			count = read(output_fd_, bytes, sizeof(bytes));
			if (count <= 0)
				break;
			text.append(bytes, (size_t)count);
		}
		return text;
	}
	int wait_exit()
	{
		int status = 0;

		if (!wait_for(WAIT_LIMIT_MS, [&] {
			    return waitpid(pid_, &status, WNOHANG) == pid_;
		    }))
			return -1;
		pid_ = 0;
		return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	}

    private:
	static std::string address(uint16_t port)
	{
		return "127.0.0.1:" + std::to_string(port);
	}
	std::string callers_;
	std::string operators_;
	std::string peers_;
	std::string path_;
	pid_t pid_ = 0;
	int output_fd_ = -1;
};

TEST(LogTest, StalledReaderDoesNotBlockRequests)
{
	LoggedProcess process("");
	http_client client;
	struct http_request request;
	uint64_t longest_ms = 0;

	ASSERT_TRUE(wait_for(WAIT_LIMIT_MS, [&] { return process.live(); }));
	request.url = process.callers_url();
	for (uint32_t i = 0; i < REQUEST_COUNT; i++) {
		uint64_t begin_ms = now_ms();
		struct http_reply reply = client.send(request);

		ASSERT_EQ(reply.status, 503u);
		longest_ms = std::max(longest_ms, now_ms() - begin_ms);
	}
	EXPECT_LT(longest_ms, 1000u);
	std::string output = process.read_output(500);

	EXPECT_NE(output.find("lines dropped"), std::string::npos);
	process.signal(SIGTERM);
	process.read_output(1500);
	EXPECT_EQ(process.wait_exit(), 0);
}

TEST(LogTest, SighupReloadsSettings)
{
	LoggedProcess process("\"127.0.0.1:10\"");

	ASSERT_TRUE(wait_for(WAIT_LIMIT_MS, [&] { return process.live(); }));
	process.write_settings("\"127.0.0.1:10\",\"127.0.0.1:11\"");
	process.signal(SIGHUP);
	EXPECT_NE(process.read_output(500).find("SIGHUP: 2 seeds in force"),
		  std::string::npos);
	EXPECT_TRUE(process.live());
	process.write_settings("nonsense");
	process.signal(SIGHUP);
	EXPECT_NE(process.read_output(500).find("settings refused"),
		  std::string::npos);
	EXPECT_TRUE(process.live());
	process.signal(SIGTERM);
	EXPECT_NE(process.read_output(1500).find("planned stop done"),
		  std::string::npos);
	EXPECT_EQ(process.wait_exit(), 0);
}

} // namespace
