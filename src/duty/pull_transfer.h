#ifndef DUTY_PULL_TRANSFER_H
#define DUTY_PULL_TRANSFER_H

/**
 * DOC: one pull from another instance over TCP
 *
 * One call for each connection; the other side closes it after its reply.
 */

#include "codec/peer_rpc.h"

/**
 * enum pull_result - how far a transfer is
 */
enum pull_result { PULL_RUNNING, PULL_DONE, PULL_FAILED };

/**
 * struct pull_transfer - a pull on its way
 * @from: whom it goes to
 * @call: the call
 * @fd: socket
 * @deadline_us: it has failed then
 * @out: owned call record
 * @sent_bytes: of @out
 * @in: owned, what came of the reply
 */
struct pull_transfer {
	struct net_addr from;
	struct peer_call call;
	int fd;
	uint64_t deadline_us;
	GByteArray *out;
	uint32_t sent_bytes;
	GByteArray *in;
};

/**
 * pull_transfer_begin() - connect
 * @ip: own address, host byte order
 * @from: to whom
 * @call: the call; its xid is set here
 * @error: set on failure
 *
 * Return: a transfer to be freed with pull_transfer_free(), or NULL.
 */
struct pull_transfer *pull_transfer_begin(uint32_t ip, struct net_addr from,
					  const struct peer_call *call,
					  GError **error);

/**
 * pull_transfer_events() - what the transfer waits for
 * @transfer: the transfer
 *
 * Return: events for poll().
 */
int16_t pull_transfer_events(const struct pull_transfer *transfer);

/**
 * pull_transfer_advance() - send and receive what can be without waiting
 * @transfer: the transfer
 * @now_us: boot-time now
 * @error: set with PULL_FAILED
 *
 * Return: PULL_DONE when the whole reply is in @transfer->in.
 */
enum pull_result pull_transfer_advance(struct pull_transfer *transfer,
				       uint64_t now_us, GError **error);

/**
 * pull_transfer_free() - close and free a transfer
 * @transfer: the transfer, or NULL
 */
void pull_transfer_free(struct pull_transfer *transfer);

#endif
