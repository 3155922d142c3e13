/* Reports of crashes: the calls that led there, on standard error. */
#include "godwitvale/ops/crash.h"

#include <signal.h>
#include <stddef.h>
#include <unistd.h>

#include <execinfo.h>

/// Calls that are told at most.
#define CRASH_FRAMES 48

/// Signal handler: tells the calls, then lets the signal end the process.
static void
on_crash(int number)
{
	static const char head[] = "crashed; calls, innermost first:\n";
	void *frames[CRASH_FRAMES];
	int n = backtrace(frames, CRASH_FRAMES);

	(void)!write(STDERR_FILENO, head, sizeof(head) - 1);
	backtrace_symbols_fd(frames, n, STDERR_FILENO);
	signal(number, SIG_DFL);
	raise(number);
}

/// Has crashes reported.
void
crash_report_enable(void)
{
	static const int numbers[] = {SIGSEGV, SIGBUS, SIGFPE, SIGABRT};
	struct sigaction action = {.sa_handler = on_crash};
	void *frame[1];

	/* The first call loads a library, which a handler must not. */
	backtrace(frame, 1);
	sigemptyset(&action.sa_mask);
	for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++)
		sigaction(numbers[i], &action, NULL);
}
