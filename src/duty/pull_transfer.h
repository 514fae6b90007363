#ifndef DUTY_PULL_TRANSFER_H
#define DUTY_PULL_TRANSFER_H

/**
 * DOC: one pull from another instance over TCP
 *
 * Each connection carries one call; the peer closes it after its reply.
 */

#include "codec/peer_rpc.h"

/**
 * enum pull_result - state of a transfer
 * @PULL_RUNNING: waits for its socket
 * @PULL_DONE: the peer has sent its reply and closed the connection
 * @PULL_FAILED: deadline exceeded, a socket error, or a reply that is too large
 */
enum pull_result { PULL_RUNNING, PULL_DONE, PULL_FAILED };

/**
 * struct pull_transfer - a pull in progress
 * @from: address of the peer
 * @call: call to send to the peer
 * @fd: socket, owned
 * @deadline_us: boot time at which it fails
 * @out: owned, the encoded call
 * @sent_bytes: bytes of @out sent so far
 * @in: owned, bytes of the reply received so far
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
 * pull_transfer_begin() - begin to connect to a peer
 * @ip: own address, host byte order
 * @from: address of the peer
 * @call: call to send to the peer; its xid is set here
 * @error: set when NULL is returned
 *
 * Return: a transfer to be freed with pull_transfer_free(), or NULL.
 */
struct pull_transfer *pull_transfer_begin(uint32_t ip, struct net_addr from,
					  const struct peer_call *call,
					  GError **error);

/**
 * pull_transfer_events() - socket events that the transfer waits for
 * @transfer: the transfer
 *
 * Return: events for poll().
 */
int16_t pull_transfer_events(const struct pull_transfer *transfer);

/**
 * pull_transfer_advance() - send and receive as far as possible without waiting
 * @transfer: the transfer
 * @now_us: current boot time
 * @error: set with PULL_FAILED
 *
 * Return: state of the transfer; with PULL_DONE the reply is in @transfer->in.
 */
enum pull_result pull_transfer_advance(struct pull_transfer *transfer,
				       uint64_t now_us, GError **error);

/**
 * pull_transfer_free() - close and free a transfer
 * @transfer: the transfer, or NULL
 */
void pull_transfer_free(struct pull_transfer *transfer);

#endif
