#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

/**
 * DOC: stand-ins for the external systems, one mode in each file
 *
 * Each mode parses its own arguments, serves until SIGTERM or SIGINT and
 * returns an exit status.
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
 * store_main() - key-value store with revisions and watches
 * @argc: count of @argv
 * @argv: the mode's arguments, its name first
 *
 * Return: exit status.
 */
int store_main(int argc, char **argv);

/**
 * backend_main() - backend servers, one on each port
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
 * wait_for_termination() - block until SIGTERM or SIGINT
 *
 * main() blocks both signals before any thread is started.
 */
void wait_for_termination(void);

#endif
