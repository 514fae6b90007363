#ifndef DUTY_BACKEND_SOCKET_H
#define DUTY_BACKEND_SOCKET_H

/**
 * DOC: TCP sockets for connections to backend servers
 */

#include "core/units.h"

/**
 * backend_socket_open() - open a TCP socket bound to the instance's address
 * @own_ip: source address, host byte order; 0 for any
 *
 * The socket has TCP keep-alive and a TCP user timeout, so that a connection
 * whose peer no longer responds is detected.
 *
 * Return: the descriptor, owned by the caller, or -1.
 */
int32_t backend_socket_open(uint32_t own_ip);

#endif
