#ifndef DUTY_NET_SOCKET_H
#define DUTY_NET_SOCKET_H

/**
 * DOC: sockets at the own address, all non-blocking
 *
 * Errors are of DUTY_ERROR for sockets that a duty needs to start, else of
 * PEER_ERROR. The caller owns the descriptor.
 */

#include <netinet/in.h>

#include "core/error.h"
#include "core/ids.h"

/**
 * net_socket_listen() - open a server's socket
 * @type: SOCK_DGRAM or SOCK_STREAM
 * @addr: where
 * @error: set on failure
 *
 * Return: a descriptor, or -1.
 */
int net_socket_listen(int type, struct net_addr addr, GError **error);

/**
 * net_socket_udp_sender() - open a socket that only sends datagrams
 * @ip: own address, host byte order
 * @error: set on failure
 *
 * Return: a descriptor, or -1.
 */
int net_socket_udp_sender(uint32_t ip, GError **error);

/**
 * net_socket_connect() - begin a connection
 * @ip: own address, host byte order
 * @to: to whom
 * @error: set on failure
 *
 * Return: a descriptor that is writable once it is connected, or -1.
 */
int net_socket_connect(uint32_t ip, struct net_addr to, GError **error);

/**
 * net_socket_addr() - convert an address
 * @addr: the address
 *
 * Return: the same for the socket calls.
 */
struct sockaddr_in net_socket_addr(struct net_addr addr);

#endif
