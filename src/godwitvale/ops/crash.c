/* Writes a stack trace to standard error when the process crashes. */
#include "godwitvale/ops/crash.h"

#include <signal.h>
#include <stddef.h>
#include <unistd.h>

#include <execinfo.h>

/// Maximum number of stack frames in a report.
#define CRASH_FRAMES 48

/// Signal handler: writes the stack trace, then raises the signal again with
/// its default action, which ends the process.
static void
on_crash(int signal_number)
{
	static const char head[] =
	    "crashed; stack trace, innermost frame first:\n";
	void *frames[CRASH_FRAMES];
	int n = backtrace(frames, CRASH_FRAMES);

	(void)!write(STDERR_FILENO, head, sizeof(head) - 1);
	backtrace_symbols_fd(frames, n, STDERR_FILENO);
	signal(signal_number, SIG_DFL);
	raise(signal_number);
}

/// Installs handlers that report the signals of a crash: SIGSEGV, SIGBUS,
/// SIGFPE and SIGABRT.
void
crash_report_enable(void)
{
	static const int signals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGABRT};
	struct sigaction action = {.sa_handler = on_crash};
	void *frame[1];

	/*
	 * The first call of backtrace() loads a library, which isn't safe in a
	 * signal handler.
	 */
	backtrace(frame, 1);
	sigemptyset(&action.sa_mask);
	for (size_t i = 0; i < sizeof(signals) / sizeof(signals[0]); i++)
		sigaction(signals[i], &action, NULL);
}
