/*
 * Exit codes of the command line, and error messages, which name the file, the
 * JSON path and what to do.
 */
#include <gtest/gtest.h>

#include <unistd.h>

#include <cstring>
#include <fstream>
#include <sstream>

#include "harness.h"

namespace
{

const uint32_t EXIT_LIMIT_MS = 10000;

struct cli_case {
	std::vector<std::string> args;
	int code;
	const char *expected; /* part of the output */
};

const struct cli_case cli_cases[] = {
	{ { "--version" }, 0, "nutmegcrank " },
	{ { "--help" }, 0, "Commands:" },
	{ { "run", "--help" }, 0, "--config=FILE" },
	{ { "check", "--help" }, 0, "FILE..." },
	{ { "status", "--help" }, 0, "ADDR [SERVICE]" },
	{ { "audit", "--help" }, 0, "--follow" },
	{ { "entries", "--help" }, 0, "ADDR SERVICE" },
	{ { "audit", "--version" }, 0, "nutmegcrank " },
	{ {}, 64, "no command" },
	{ { "frobnicate" }, 64, "frobnicate: unknown command" },
	{ { "--frobnicate" }, 64, "unrecognized option" },
	{ { "run" }, 64, "-c FILE" },
	{ { "run", "-c", "/nonexistent" }, 1, "/nonexistent: document: " },
	{ { "check" }, 64, "no file" },
	{ { "check", "/nonexistent" }, 1, "; name a readable file" },
	{ { "check", "examples/huon-lookup.json", ".clang-format" },
	  1,
	  ".clang-format: line 1, column 1: not an object" },
	{ { "status" }, 64, "no address" },
	{ { "status", "localhost:80" },
	  64,
	  "localhost:80: not an IPv4 address" },
	{ { "status", "127.0.0.1:9", "a b" }, 64, "a b: not a service name" },
	{ { "status", "127.0.0.1:9", "a", "b" }, 64, "too many arguments" },
	{ { "status", "127.0.0.1:9" }, 1, "; see that the instance runs" },
	{ { "audit", "127.0.0.1:9", "--since", "-1" },
	  64,
	  "-1: not a sequence number" },
	{ { "audit", "127.0.0.1:9", "--follow" }, 1, "; see that the" },
	{ { "entries", "127.0.0.1:9" }, 64, "a service" },
	{ { "entries", "127.0.0.1:9", "gallery" }, 1, "; see that the" },
};

TEST(CliTest, ExitCodesAndMessages)
{
	for (const auto &c : cli_cases) {
		std::vector<std::string> args = { "nutmegcrank" };

		args.insert(args.end(), c.args.begin(), c.args.end());
		child_process cli("nutmegcrank", args);
		EXPECT_EQ(cli.wait_exit(EXIT_LIMIT_MS), c.code) << cli.output();
		EXPECT_NE(cli.output().find(c.expected), std::string::npos)
			<< cli.output();
	}
}

const char *const examples[] = {
	"examples/vranic-settings.json",     "examples/vranic-gallery.json",
	"examples/vranic-registration.json", "examples/huon-settings.json",
	"examples/huon-roster.json",	     "examples/huon-lookup.json",
	"examples/local-settings.json",	     "examples/local-gallery.json",
};

TEST(CliTest, CheckAcceptsTheExamples)
{
	std::vector<std::string> args = { "nutmegcrank", "check" };

	args.insert(args.end(), std::begin(examples), std::end(examples));
	child_process check("check", args);
	EXPECT_EQ(check.wait_exit(EXIT_LIMIT_MS), 0) << check.output();
	for (const char *path : examples)
		EXPECT_NE(check.output().find(std::string(path) + ": accepted"),
			  std::string::npos);
}

struct invalid_case {
	const char *example; /* file name without .json */
	const char *original; /* text to replace, which makes it invalid */
	const char *replacement;
	const char *message; /* begin of the error message after the path */
};

const struct invalid_case invalid_cases[] = {
	{ "vranic-settings", "\"a\"", "\"\"",
	  "failure_domain: \"\" is not a name" },
	{ "vranic-settings", "10.1.1.10:8081", "10.1.1.10",
	  "peers: \"10.1.1.10\" is not an IPv4 address" },
	{ "vranic-settings", "\"worker_threads\": 128", "\"worker_threads\": 1",
	  "worker_threads: 1 is out of range; write 4 to 4096" },
	{ "vranic-settings", "\"level\": \"message\"", "\"level\": \"loud\"",
	  "log.level: \"loud\" is unknown; write one of error, " },
	{ "vranic-settings", "}\n}", "},\n}", "line " },
	{ "vranic-gallery", "\"port\": 9000", "\"port\": 90000",
	  "backends[0].port: 90000 is out of range; write 1 to 65535" },
	{ "vranic-gallery", "\"slots\": 36", "\"slots\": 61",
	  "healthy_floor: 61 slots are above all slots" },
	{ "vranic-gallery", "\"long\": true", "\"lengthy\": true",
	  "routes[2].lengthy: unknown field; " },
	{ "vranic-registration", "\"methods\": [\"PUT\"]",
	  "\"methods\": [\"PULL\"]",
	  "routes[2].methods[0]: PULL is not a method; write GET" },
	{ "vranic-registration", "\"probe_path\": \"/health\"",
	  "\"probe_path\": \"health\"",
	  "probe_path: \"health\" is not a path; begin with /" },
	{ "huon-roster", "\"class\": \"swap\"", "\"class\": \"shift\"",
	  "routes[0].class: shift is not a class; " },
	{ "huon-lookup", "10.2.1.202", "10.2.1.201",
	  "backends[4]: same ip and port as backends[0]; keep one" },
};

std::string read_file(const std::string &path)
{
	std::ifstream file(path);
	std::stringstream text;

	text << file.rdbuf();
	return text.str();
}

TEST(CliTest, CheckRefusesBrokenExamples)
{
	std::string path = testing::TempDir() + "/nutmegcrank-broken-" +
			   std::to_string(getpid()) + ".json";

	for (const auto &c : invalid_cases) {
		std::string text = read_file(std::string("examples/") +
					     c.example + ".json");
		size_t at = text.find(c.original);

		SCOPED_TRACE(c.message);
		ASSERT_NE(at, std::string::npos);
		text.replace(at, strlen(c.original), c.replacement);
		std::ofstream(path) << text;
		child_process check("check", { "nutmegcrank", "check", path });
		EXPECT_EQ(check.wait_exit(EXIT_LIMIT_MS), 1);
		EXPECT_EQ(check.output().find(path + ": " + c.message), 0U)
			<< check.output();
		EXPECT_NE(check.output().find("; "), std::string::npos);
	}
	unlink(path.c_str());
}

} // namespace
