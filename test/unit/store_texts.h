#ifndef TEST_UNIT_STORE_TEXTS_H
#define TEST_UNIT_STORE_TEXTS_H

/* Entries of backend servers and configurations as the store has them. */

#include <string>

inline std::string entry(const std::string &service, const std::string &address,
			 uint64_t born, const std::string &state = "ready",
			 uint64_t sequence = 1)
{
	return "{\"address\":\"" + address + "\",\"info\":{\"service\":\"" +
	       service +
	       "\",\"zone\":\"a\",\"version\":\"v1\",\"maxConcurrency\":3},"
	       "\"status\":"
	       "{\"state\":\"" +
	       state + "\",\"sequence\":" + std::to_string(sequence) +
	       ",\"warmupLeft\":\"0ms\"},\"born\":" + std::to_string(born) +
	       "}";
}

inline std::string config(uint64_t version, const std::string &service)
{
	return "{\"version\":\"r" + std::to_string(version) +
	       "\",\"services\":["
	       "{\"name\":\"desk\",\"healthPath\":\"/h\",\"maxConnections\":9},"
	       "{\"name\":\"rolls\",\"healthPath\":\"/h\",\"maxConnections\":9}"
	       "],\"hosts\":[{\"host\":\"x.example\",\"paths\":["
	       "{\"prefix\":\"/a/\",\"routeType\":\"safe\",\"timeout\":\"1s\","
	       "\"targetLatency\":\"1s\",\"priority\":1,\"maxAttempts\":2,"
	       "\"service\":\"" +
	       service + "\"}]}]}";
}

#endif
