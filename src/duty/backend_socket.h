#ifndef DUTY_BACKEND_SOCKET_H
#define DUTY_BACKEND_SOCKET_H

/**
 * DOC: sockets towards backend servers
 */

#include "core/units.h"

/**
 * backend_socket_open() - make a TCP socket for a connection to a backend server
 * @own_ip: address it comes from, host byte order; 0 for any
 *
 * Keep-alive and a bound on unacknowledged data let a silent connection be
 * found.
 *
 * Return: the socket, or -1.
 */
int32_t backend_socket_open(uint32_t own_ip);

#endif
