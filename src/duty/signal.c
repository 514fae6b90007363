#include "duty/signal.h"

#include "core/command.h"

#include <pthread.h>
#include <signal.h>

/* Tells the thread to end; no user sends it. */
#define SIGNAL_END SIGUSR2

struct signal_duty {
	struct ring *dispatch;
	pthread_t thread;
	sigset_t signals;
};

static bool block_signals(sigset_t *signals);
static void *signal_thread(void *data);

struct signal_duty *signal_start(struct ring *dispatch, GError **error)
{
	struct signal_duty *duty = g_new0(struct signal_duty, 1);

	duty->dispatch = dispatch;
	if (block_signals(&duty->signals) &&
	    pthread_create(&duty->thread, NULL, signal_thread, duty) == 0)
		return duty;
	g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
		    "signal: cannot make its thread");
	g_free(duty);
	return NULL;
}

void signal_stop(struct signal_duty *duty)
{
	if (!duty)
		return;
	pthread_kill(duty->thread, SIGNAL_END);
	pthread_join(duty->thread, NULL);
	g_free(duty);
}

static bool block_signals(sigset_t *signals)
{
	return sigemptyset(signals) == 0 && sigaddset(signals, SIGTERM) == 0 &&
	       sigaddset(signals, SIGINT) == 0 &&
	       sigaddset(signals, SIGNAL_END) == 0 &&
	       pthread_sigmask(SIG_BLOCK, signals, NULL) == 0;
}

static void *signal_thread(void *data)
{
	struct signal_duty *duty = data;
	struct command command = { .kind = COMMAND_LEAVE };
	int number;

	for (;;) {
		if (sigwait(&duty->signals, &number) != 0 ||
		    number == SIGNAL_END)
			return NULL;
		if (send_command(duty->dispatch, &command) != RING_OK)
			g_warning("signal: dispatch ring refused a stop");
		command.leave.hurry = true;
	}
}
