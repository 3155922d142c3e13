/*
 * Small stand-ins for the cases of the third review: the platform's store,
 * workers, clients, and the start of entry instances. Each case is one program
 * that links them. All addresses are loopback addresses, and ports are free
 * ones. Nothing here depends on the project's code.
 */
#ifndef REVIEW_STAND3_H
#define REVIEW_STAND3_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HEARTBEAT_MS 1200
#define INSTANCES_MAX 4
#define WORKERS_MAX 16

/* Exit codes of a case. */
enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

/// A received HTTP request or response.
struct message {
	char *head; /// start line and fields, NUL-terminated
	char method[16];
	char target[256];
	int status;
	char *body;
	size_t len;
	bool complete; /// the whole body came, as its framing says
};

/* Time and record. */
double now_s(void);         /// seconds since the start of the case
void sleep_s(double seconds);
void sleep_until(double at); /// `at` as of now_s()
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void not_run(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

/// Begins a case: arguments are the program of the instances and the path of
/// record.txt. Ends all processes at exit.
void case_begin(int argc, char **argv);
/// Whether the disruption is to be played: TROUBLE isn't 0.
bool case_has_trouble(void);

/* Store. */
void store_start(void);
void store_put(const char *key, const char *value);
void store_delete(const char *key);
void store_save_copy(void);
/// Comes back from the saved copy: connections end, revisions go back, the era
/// rises by one.
void store_restore_copy(void);
uint64_t store_revision(void);

/* Workers. */
struct worker;
/// Answers one request. Returns whether the connection is kept.
typedef bool (*worker_handler)(
    struct worker *worker, int fd, const struct message *request);

struct worker {
	const char *id;
	const char *service;
	const char *zone;
	const char *version; /// of its software
	const char *state;   /// "ready" or "draining"
	worker_handler handle;
	int slots;
	uint64_t born;
	unsigned sequence;
	int listener;
	uint16_t port;
	bool registers; /// writes its entry, and again with each heartbeat
	bool own_process;
	pid_t pid; /// of its process, with `own_process`
	unsigned n_runs;
};

void worker_start(struct worker *worker);
/// Writes the worker's entry into the store.
void worker_write_entry(struct worker *worker);
/// Crashes the worker: its connections are reset and its port is closed. It
/// doesn't write its entry any more, which stays.
void worker_crash(struct worker *worker);
/// Starts it again at its port, as another process: with a new `born`.
void worker_restart(struct worker *worker);
/// Kills the process of a worker with `own_process`; its entry stays.
void worker_kill_process(struct worker *worker);

/// As worker_crash() and worker_kill_process(), after a time.
void worker_crash_later(struct worker *worker, double seconds);
void worker_kill_process_later(struct worker *worker, double seconds);

/* Instances. */
struct instance {
	const char *name;
	char ip[32];
	pid_t pid;
};

extern struct instance instances[INSTANCES_MAX];
/// Writes the settings of n instances and starts them; waits until all are
/// ready.
void instances_start(unsigned n);
void instance_kill(struct instance *instance);
void instance_run(struct instance *instance);
void instance_wait_ready(struct instance *instance);

/* Messages. */
/// Value of a field of a head; "" if it is missing. Static buffer per thread.
const char *message_field(const struct message *message, const char *name);
void message_free(struct message *message);
void send_text(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void send_bytes(int fd, const void *bytes, size_t len);

/* Clients. */
struct call {
	const struct instance *instance;
	const char *method;
	const char *path;
	const char *key;
	char id[40];
	int deadline_ms;
	const char *fields; /// further fields, each with its line end; or NULL
	size_t body_len;    /// bytes "x"
	struct message answer;
	double sent_at;
	double ended_at;
};

/// Sends a request as a client and reads the answer. `id` is filled in if it is
/// empty.
void call_make(struct call *call);
/// The same for several calls at a time.
void calls_make(struct call *calls, unsigned n);

/// Writes a configuration: the usual routes, and these keys of the tenant "t1".
void config_write(unsigned version, const char *keys);

#endif
