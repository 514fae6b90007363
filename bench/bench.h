#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

/**
 * DOC: measurements, each a subcommand in a file of its own
 */

#include "core/units.h"

/**
 * enum bench_kind - measurement to run
 * @BENCH_NONE: none given or an unknown one
 * @BENCH_PEAK: see bench_peak()
 * @BENCH_BLOCKING: see bench_blocking()
 * @BENCH_LATENCY: see bench_latency()
 * @BENCH_DETECTION: see bench_detection()
 * @BENCH_FAILOVER: see bench_failover()
 * @BENCH_CONTROL: see bench_control()
 */
enum bench_kind {
	BENCH_NONE,
	BENCH_PEAK,
	BENCH_BLOCKING,
	BENCH_LATENCY,
	BENCH_DETECTION,
	BENCH_FAILOVER,
	BENCH_CONTROL,
};

/**
 * struct bench_args - parsed command line
 * @kind: measurement to run
 * @seed: seed of all random numbers
 */
struct bench_args {
	enum bench_kind kind;
	uint32_t seed;
};

/**
 * bench_peak() - goodput and latency while demand rises from 0.3 to 3 times
 *	the capacity and falls back
 * @args: command line
 *
 * Return: exit status of the program.
 */
int bench_peak(const struct bench_args *args);

/**
 * bench_blocking() - latency of short requests without and with an overload of
 *	long ones
 * @args: command line
 *
 * Return: exit status of the program.
 */
int bench_blocking(const struct bench_args *args);

/**
 * bench_latency() - latency and CPU time that an instance adds to a request
 * @args: command line
 *
 * Return: exit status of the program.
 */
int bench_latency(const struct bench_args *args);

/**
 * bench_detection() - time to detect faulty backend servers, and ejections of
 *	healthy ones, in a simulated fleet
 * @args: command line
 *
 * Return: exit status of the program.
 */
int bench_detection(const struct bench_args *args);

/**
 * bench_failover() - requests served, refused and failed after a home is
 *	killed that the platform still lists
 * @args: command line
 *
 * Return: exit status of the program.
 */
int bench_failover(const struct bench_args *args);

/**
 * bench_control() - CPU time, memory and traffic of an idle instance, by fleet
 *	size
 * @args: command line
 *
 * Return: exit status of the program.
 */
int bench_control(const struct bench_args *args);

#endif
