#include "duty/signal.h"

#include "codec/document_json.h"
#include "core/clock.h"
#include "core/command.h"

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

/* Sent only by signal_stop(), to end the thread. */
#define STOP_SIGNAL SIGUSR2
/* Interval at which the settings file is checked for a change. */
#define FILE_CHECK_INTERVAL_S 5

/**
 * struct signal_duty - state of the signal duty
 * @settings_path: settings file, NULL for none; not owned
 * @dispatch: ring of struct message to the dispatch duty, not owned
 * @thread: waits for the signals
 * @signals: signals that @thread waits for
 * @last_stat: status of the settings file at the last check
 */
struct signal_duty {
	const char *settings_path;
	struct ring *dispatch;
	pthread_t thread;
	sigset_t signals;
	struct stat last_stat;
};

static bool block_signals(sigset_t *signals);
static void *signal_thread(void *data);
static void request_leave(struct signal_duty *duty, bool hurry);
static bool record_file_change(struct signal_duty *duty);
static void reload(struct signal_duty *duty, const char *reason);

struct signal_duty *signal_start(const char *settings_path,
				 struct ring *dispatch, GError **error)
{
	struct signal_duty *duty = g_new0(struct signal_duty, 1);

	duty->settings_path = settings_path;
	duty->dispatch = dispatch;
	record_file_change(duty);
	if (block_signals(&duty->signals) &&
	    pthread_create(&duty->thread, NULL, signal_thread, duty) == 0)
		return duty;
	g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
		    "signal: cannot create its thread");
	g_free(duty);
	return NULL;
}

void signal_stop(struct signal_duty *duty)
{
	if (!duty)
		return;
	pthread_kill(duty->thread, STOP_SIGNAL);
	pthread_join(duty->thread, NULL);
	g_free(duty);
}

static bool block_signals(sigset_t *signals)
{
	return sigemptyset(signals) == 0 && sigaddset(signals, SIGTERM) == 0 &&
	       sigaddset(signals, SIGINT) == 0 &&
	       sigaddset(signals, SIGHUP) == 0 &&
	       sigaddset(signals, STOP_SIGNAL) == 0 &&
	       pthread_sigmask(SIG_BLOCK, signals, NULL) == 0;
}

static void *signal_thread(void *data)
{
	const struct timespec interval = { .tv_sec = FILE_CHECK_INTERVAL_S };
	struct signal_duty *duty = data;
	bool leaving = false;
	int number;

	for (;;) {
		number = sigtimedwait(&duty->signals, NULL, &interval);
		if (number < 0 && errno != EAGAIN && errno != EINTR) {
			g_critical("signal: cannot wait for signals: %s",
				   strerror(errno));
			return NULL;
		}
		if (number == STOP_SIGNAL)
			return NULL;
		if (number == SIGTERM || number == SIGINT) {
			request_leave(duty, leaving);
			leaving = true;
		} else if (number == SIGHUP) {
			record_file_change(duty);
			reload(duty, "SIGHUP");
		} else if (record_file_change(duty)) {
			reload(duty, "the file changed");
		}
	}
}

static void request_leave(struct signal_duty *duty, bool hurry)
{
	struct command command = { .kind = COMMAND_LEAVE };

	command.leave.signalled_us = clock_now_us();
	command.leave.hurry = hurry;
	g_message("signal: planned stop%s", hurry ? ", hurried" : "");
	if (send_command(duty->dispatch, &command) != RING_OK)
		g_warning("signal: dispatch ring refused a stop");
}

/* Return: whether the settings file has changed since the last call. */
static bool record_file_change(struct signal_duty *duty)
{
	struct stat now;
	bool changed;

	if (!duty->settings_path || stat(duty->settings_path, &now) != 0)
		return false;
	changed = now.st_ino != duty->last_stat.st_ino ||
		  now.st_size != duty->last_stat.st_size ||
		  now.st_mtim.tv_sec != duty->last_stat.st_mtim.tv_sec ||
		  now.st_mtim.tv_nsec != duty->last_stat.st_mtim.tv_nsec;
	duty->last_stat = now;
	return changed;
}

/* Only the seeds are reloaded; all else takes effect at the next start. */
static void reload(struct signal_duty *duty, const char *reason)
{
	struct command command = { .kind = COMMAND_SEEDS };
	struct settings settings;
	GError *error = NULL;

	if (!duty->settings_path)
		return;
	if (!settings_load(duty->settings_path, &settings, &error)) {
		g_warning("reload: %s: settings refused, those before stay in "
			  "force: %s",
			  reason, error->message);
		g_error_free(error);
		return;
	}
	memcpy(command.seeds.seeds, settings.seeds, sizeof(settings.seeds));
	command.seeds.count = settings.seed_count;
	if (send_command(duty->dispatch, &command) != RING_OK)
		g_warning("reload: dispatch ring refused the settings");
	else
		g_message("reload: %s: %u seeds in force", reason,
			  settings.seed_count);
}
