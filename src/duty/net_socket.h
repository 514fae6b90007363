#ifndef DUTY_NET_SOCKET_H
#define DUTY_NET_SOCKET_H

/**
 * DOC: non-blocking sockets bound to an address of this instance
 *
 * Errors are of DUTY_ERROR for sockets that a duty needs to start, else of
 * PEER_ERROR. The caller owns the descriptors.
 */

#include <netinet/in.h>

#include "core/error.h"
#include "core/ids.h"

/**
 * net_socket_listen() - open a datagram socket or a listening stream socket
 * @type: SOCK_DGRAM or SOCK_STREAM
 * @addr: address and port to bind to
 * @error: set on failure
 *
 * Return: a descriptor, or -1.
 */
int net_socket_listen(int type, struct net_addr addr, GError **error);

/**
 * net_socket_udp_sender() - open a datagram socket with any free port
 * @ip: source address, host byte order
 * @error: set on failure
 *
 * Return: a descriptor, or -1.
 */
int net_socket_udp_sender(uint32_t ip, GError **error);

/**
 * net_socket_connect() - start a TCP connection
 * @ip: source address, host byte order
 * @to: address and port of the peer
 * @error: set on failure
 *
 * Return: a descriptor that becomes writable once it is connected, or -1.
 */
int net_socket_connect(uint32_t ip, struct net_addr to, GError **error);

/**
 * net_socket_addr() - convert an address for the socket calls
 * @addr: the address
 *
 * Return: the same address and port in network byte order.
 */
struct sockaddr_in net_socket_addr(struct net_addr addr);

#endif
