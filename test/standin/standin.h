#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

/**
 * DOC: stand-ins for the outside systems, one mode a file
 *
 * Each parses its own arguments, serves until SIGTERM or SIGINT and returns an
 * exit status.
 */

/**
 * config_main() - the platform's configuration service and instance list
 * @argc: count of @argv
 * @argv: the mode's arguments, its name first
 *
 * Return: exit status.
 */
int config_main(int argc, char **argv);

/**
 * store_main() - the users' platform's store
 * @argc: count of @argv
 * @argv: the mode's arguments, its name first
 *
 * Return: exit status.
 */
int store_main(int argc, char **argv);

/**
 * backend_main() - backend servers, one a port
 * @argc: count of @argv
 * @argv: the mode's arguments, its name first
 *
 * Return: exit status.
 */
int backend_main(int argc, char **argv);

/**
 * fault_main() - TCP and UDP proxy that injects faults
 * @argc: count of @argv
 * @argv: the mode's arguments, its name first
 *
 * Return: exit status.
 */
int fault_main(int argc, char **argv);

/**
 * wait_for_end() - block until SIGTERM or SIGINT
 *
 * main() has blocked both before any thread began.
 */
void wait_for_end(void);

#endif
