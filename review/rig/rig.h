/*
 * Stand-ins for the review's scripts: the platform's store, workers, clients,
 * and the processes under test. Plain POSIX threads; shares no code with the
 * project.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RIG_WORKERS_MAX 64
#define RIG_INSTANCES_MAX 8
#define RIG_HEAD_MAX 16384

/* --- time and record ---------------------------------------------------- */

/// @return milliseconds since the case began
double rig_now(void);
void rig_sleep_until(double ms);
void rig_sleep(double ms);
/// Writes a line with the time to record.txt.
void rig_log(const char *format, ...) __attribute__((format(printf, 1, 2)));
/// @return whether the disruption is to happen (TROUBLE isn't 0)
bool rig_trouble(void);
/// Ends the case because it could not run: exit status 2.
void rig_cannot_run(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));
/// Ends the case: stops all processes; status 1 if the rule was broken.
void rig_finish(bool broken) __attribute__((noreturn));
/// Opens the record and a temporary folder.
void rig_start(void);

/* --- the store ------------------------------------------------------------ */

void rig_store_start(void);
/// Writes an item; returns its revision.
uint64_t rig_store_put(const char *key, const char *value);
void rig_store_delete(const char *key);
/// Makes the store silent: it takes calls and answers none, also those that it
/// has. When it is well again, the connections of before stay silent.
void rig_store_set_silent(bool silent);
/// Lets watches hear nothing for a second, while changes are made, then drops
/// the history and cuts them.
void rig_store_compact(void);

/* --- workers -------------------------------------------------------------- */

struct rig_run {
	struct rig_run *next;
	char id[80];
	int events;        /// made so far; also the id of the last one
	int prompt_tokens;
	int copied_tokens; /// to the worker of the last move
	volatile bool stop; /// a move with "last" has ended it
	volatile bool stopped;
};

struct rig_worker {
	char id[64];
	const char *service;
	const char *zone;
	const char *version;
	int port;
	int fd;
	uint64_t born;
	volatile bool running;
	volatile bool draining;
	volatile double leaves_at; /// 0: unknown
	int event_ms;              /// time from event to event
	int first_ms;              /// time to the first event
	int plain_ms;              /// time of a plain request
	size_t plain_bytes;        /// length of a plain answer
	unsigned sequence;
	pthread_mutex_t lock;
	struct rig_run *runs;
	/// May answer a request itself; returns false to have it served.
	bool (*intercept)(struct rig_worker *worker, int fd, const char *head);
	int conns[512];
	int n_conns;
	double next_heartbeat_at;
	double lost_heartbeat_span; /// see rig_worker_lose_heartbeat()
	double draining_at; /// when the store had accepted that it drains
	pthread_mutex_t link; /// transfers run one after another
};

/// Starts a worker and registers it in the store.
struct rig_worker *rig_worker_start(const char *id, const char *service,
    const char *zone, const char *version);
/// Reports in the store that the worker drains.
void rig_worker_drain(struct rig_worker *worker);
/// The store takes the worker's next heartbeat late, after so many
/// milliseconds, and never answers it. The worker goes on with the next one.
void rig_worker_lose_heartbeat(struct rig_worker *worker, double ms);
/// Ends the worker: its entry is removed and its connections are closed.
void rig_worker_exit(struct rig_worker *worker);
/// Called for each request that reaches a worker and is meant for it.
extern void (*rig_on_arrival)(
    struct rig_worker *worker, const char *head, double at);

/* --- the operator --------------------------------------------------------- */

/// Writes the configuration: routes as JSON objects, and the services "lm"
/// (an engine) and "shop".
void rig_configure(const char *routes);
/// The same, with the keys of the only tenant as a JSON list.
void rig_configure_keys(const char *routes, const char *keys);

/* --- instances ------------------------------------------------------------ */

struct rig_instance {
	char name[32];
	char ip[32];
	const char *zone;
	int pid;
};

extern int rig_caller_port;
struct rig_instance *rig_instance_new(const char *name, const char *zone);
void rig_instance_run(struct rig_instance *instance);
void rig_instance_signal(struct rig_instance *instance, int signal);
/// Waits for the process to end.
void rig_instance_reap(struct rig_instance *instance);
bool rig_instance_is_ready(const struct rig_instance *instance);
void rig_instance_wait_ready(const struct rig_instance *instance);

/* --- HTTP ----------------------------------------------------------------- */

/// How fast a connection is read.
struct rig_pace {
	size_t bytes; /// at a time; 0: as fast as they come
	double pause_ms;
};

/// A connection with a read buffer.
struct rig_conn {
	int fd;
	char *buf;
	size_t len, cap;
	bool ended; /// orderly
	bool failed; /// reset or timed out
	struct rig_pace pace;
};

/// Receive buffer of connections that are opened from now on; 0: the usual.
extern int rig_receive_buffer;
/// Longest segment that such connections take, as on Ethernet; 0: the usual.
extern int rig_segment_bytes;
bool rig_conn_open(struct rig_conn *conn, const char *ip, int port);
void rig_conn_wrap(struct rig_conn *conn, int fd);
void rig_conn_close(struct rig_conn *conn);
bool rig_conn_send(struct rig_conn *conn, const char *bytes, size_t len);
/// Reads more bytes. @return false at the end or at the deadline
bool rig_conn_fill(struct rig_conn *conn, double deadline);
/// Removes bytes from the front of the buffer.
void rig_conn_drop(struct rig_conn *conn, size_t len);
/// Reads a head. @return its length, with the empty line; 0: none
size_t rig_conn_head(struct rig_conn *conn, double deadline);
/// Copies a field's value; an empty text if there is none.
void rig_field(
    const char *head, const char *name, char *value, size_t size);
/// Reads a whole body that has a length, or chunks, into a new string.
/// @return NULL: it is incomplete
char *rig_conn_body(
    struct rig_conn *conn, const char *head, size_t *len, double deadline);
/// Reads the next chunk. @return its length; 0: last chunk; -1: broken off
long rig_conn_chunk(struct rig_conn *conn, char *out, size_t size,
    double deadline);

#endif
