#ifndef CLIENTS_H
#define CLIENTS_H

/**
 * DOC: what the clients of several cases have in common
 */

#include "testbed.h"

/* LOST allows this many requests without an answer. */
#define LOST_ALLOWED 3
#define PAYMENTS 8

/**
 * struct payment - an unsafe request that takes a while, on a kept connection
 * @instance: instance that the client is connected to
 * @start_ms: when it is sent, by now_ms()
 * @request: the request
 * @answer: its answer
 */
struct payment {
	struct instance *instance;
	int64_t start_ms;
	struct request request;
	struct answer answer;
};

/* Sends a short request, which must be answered: the connection is kept then. */
int open_kept(struct instance *instance, const char *name, uint32_t index);
/*
 * Starts PAYMENTS clients that send an unsafe request at @start_ms, at whose
 * upstream the work takes @work_ms.
 */
void payments_start(struct instance *instance, int64_t start_ms,
		    uint32_t work_ms);
/*
 * Waits for the payments. Return: how many were passed on to an upstream and
 * ended without an answer.
 */
uint32_t payments_lost(void);
/* Records memory and losses and ends the case. */
void judge_lost(uint32_t lost) __attribute__((noreturn));

#endif
