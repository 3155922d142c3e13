/*
 * Stand-ins and clients for the cases of the second review: the platform's
 * store, workers, the start and the end of entry instances, and HTTP clients.
 * Everything runs on loopback addresses and the real clock. The store, the
 * workers and the clients are threads of the case's own process; the instances
 * are processes of their own.
 */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RIG_ENTRIES_MAX 10
#define RIG_WORKERS_MAX 24
#define RIG_TEXT_MAX 256

/* Exit codes of a case. */
#define RIG_HELD 0
#define RIG_BROKEN 1
#define RIG_NOT_RUN 2

/// How a case is started: run by rig_main().
struct rig {
	bool trouble;       /// false with TROUBLE=0
	const char *binary; /// target/godwitvale
	char dir[RIG_TEXT_MAX];
};

extern struct rig rig;

/// Starts a case: reads the arguments, opens record.txt, makes a directory.
void rig_open(int argc, char **argv);
/// Ends all processes, removes the directory and exits.
_Noreturn void rig_exit(int status, const char *reason);
/// Writes a line with the time to record.txt.
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/// @return milliseconds since the start of the case
int64_t rig_now(void);
/// Sleeps until a time, as rig_now() tells it.
void rig_sleep_until(int64_t at);
/// @return a TCP port of 127.0.0.1 on which nothing listens
uint16_t rig_free_port(void);

/* The store. It keeps `history_ms` of its history, as the settings say. */
void rig_store_start(int64_t history_ms);
void rig_store_put(const char *key, const char *value);
void rig_store_delete(const char *key);
uint16_t rig_store_port(void);

/// One worker: an engine that streams events, or a plain service.
struct rig_worker {
	char id[32];
	const char *service;
	const char *zone;
	const char *version; /// of its software
	bool is_engine;
	int event_ms;   /// interval of a stream's events
	int request_ms; /// work of a plain request
	int first_ms;   /// from the arrival of a request to its first event
	int silent_ms;  /// length of a silence between two events
	int n_silences; /// after each of the first so many events
	uint16_t port;
	int64_t born;
	unsigned sequence;
	bool draining;
	bool is_down;               /// it has crashed and isn't back
	const char *crash_parts[2]; /// of prompts, which crash it; NULL: none
	int down_ms;                /// from a crash until it is back
	int listener;
	int connections[256]; /// open ones; 0: free
};

/// Called when a worker crashes. May be NULL.
extern void (*rig_on_crash)(const struct rig_worker *worker);

/// Starts a worker, which registers itself and writes a heartbeat every 1.2 s.
struct rig_worker *rig_worker_start(const char *service, const char *version,
    bool is_engine, int event_ms, int request_ms);

/// Crashes a worker, which is back under its id after `down_ms`.
void rig_worker_crash(struct rig_worker *worker);

/// Called when a worker begins to run a request. May be NULL.
extern void (*rig_on_run)(
    const struct rig_worker *worker, const char *attempt, const char *last);

/* The instances, at 127.0.1.N with the same ports. */
void rig_entries_prepare(unsigned n);
void rig_entry_start(unsigned i);
void rig_entry_signal(unsigned i, int signal);
/// Waits for the end of an instance's process.
void rig_entry_wait(unsigned i);
bool rig_entry_is_ready(unsigned i);
/// Waits until all instances are ready, or ends the case as not run.
void rig_entries_await_ready(void);
/// @return when the process was started last
int64_t rig_entry_started_at(unsigned i);

/// A client's request, and what came of it.
struct rig_call {
	unsigned entry;
	const char *method;
	const char *path;
	const char *host;
	const char *key;
	char id[64];             /// Attempt-Id
	char resumes[64];        /// ""
	long last_event;         /// -1: none
	int deadline_ms;         /// named, and kept
	const char *more_fields; /// complete lines, or NULL
	const char *body;        /// NULL: none
	/// the client closes its connection after this time; 0: never
	int64_t leave_at;
	int fd;     /// kept connection that is used; 0: a new one is opened
	bool keeps; /// the connection is kept open, in `fd`

	int status; /// 0: no answer
	char head[4096];
	char retry_after[32];
	bool is_complete; /// the answer has its end
	long first_id;    /// of the events; -1: none
	long last_id;
	bool is_in_order; /// event ids follow one another
	int64_t sent_at;
	int64_t ended_at;
	char version[32]; /// software version that the last event names
};

/// Makes a call and waits for its end.
void rig_call_run(struct rig_call *call);
/// Makes calls at the same time and waits for the end of all.
void rig_calls_run(struct rig_call *calls, unsigned n);
/// The same, without waiting; the result is passed to rig_calls_join().
void *rig_calls_start(struct rig_call *calls, unsigned n);
void rig_calls_join(void *started);

#endif
