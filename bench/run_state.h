/* What the parts of a bench run share. */
#ifndef GODWITVALE_BENCH_RUN_STATE_H
#define GODWITVALE_BENCH_RUN_STATE_H

#include "events.h"
#include "run.h"

#include "godwitvale/core/router.h"

enum record_state {
	RECORD_WAITING = 0, /// in an entry's queue
	RECORD_SENT,
	RECORD_DONE,
	RECORD_REFUSED,
	RECORD_FAILED, /// answered with a failure
};

/// One request, for the fakes and the measures.
struct record {
	struct job job; /// first: the engine hands it back
	struct arrival arrival;
	unsigned entry;
	unsigned upstream;
	router_request handle;
	enum record_state state;
	usec_t submitted_at;
	usec_t first_at; /// of the try that counted; 0: not started
	usec_t done_at;
};

struct cache_event {
	usec_t at;
	uint64_t block;
	bool stored;
};

/// One upstream: an engine, or a plain service.
struct fake {
	unsigned zone;
	struct engine *engine; /// NULL: a plain service
	usec_t step_ends;
	struct router_load_report published;
	usec_t published_at;
	GArray *cache_log; /// struct cache_event
	GQueue waiting;    /// service: struct record
	GPtrArray *running;
	uint64_t start_epoch;
	usec_t started_at;
	uint64_t over_limit;
	int *slot_holder; /// the exact table that stands for the quorum
};

/// One entry instance.
struct entry {
	struct router *router;
	GRand *random;
	unsigned zone;
	GHashTable *records;   /// router_request -> struct record
	GHashTable *upstreams; /// router_upstream -> index from 1
	router_upstream *handles;
	guint *cache_read; /// place in each upstream's log
	usec_t tick_at;
};

struct run {
	struct engine_listener listener; /// first: the engines hand it back
	struct run_options options;
	GRand *random; /// arrivals: the same for every policy
	GRand *noise;  /// what gets lost
	struct events *events;
	usec_t now;
	unsigned n_fakes;
	struct fake *fakes;
	struct entry *entries;
	GPtrArray *records; /// struct record
	struct spans *gaps;
	usec_t stalled;
	uint64_t preempted_from;
	uint64_t preempted_to;
};

enum run_event {
	EVENT_GENERATION = 1, /// the next one arrives
	EVENT_LOOKUP,
	EVENT_ARRIVE, /// a sent request reaches its upstream
	EVENT_STEP,   /// an engine's step ends
	EVENT_SERVED, /// a plain call ends
	EVENT_ANSWER, /// its entry learns of the end
	EVENT_TICK,
	EVENT_PUBLISH,
	EVENT_POLL,
	EVENT_REPORTS,
	EVENT_SLOT,
	EVENT_SET_SERVICE,
	EVENT_RESTART,
	EVENT_SNAPSHOT,
};

/* run.c */
void run_push(struct run *run, usec_t after, enum run_event type,
    unsigned entry, unsigned upstream, uint64_t value, void *data);
void run_pump(struct run *run, unsigned entry);

/* run_fakes.c */
void run_fakes_init(struct run *run);
void run_fakes_free(struct run *run);
void run_arrive(struct run *run, struct record *record);
void run_step(struct run *run, unsigned upstream);
void run_served(struct run *run, unsigned upstream, struct record *record);
void run_restart(struct run *run, unsigned upstream, usec_t down_for);
void run_publish(struct run *run, unsigned upstream);
bool run_is_up(const struct run *run, unsigned upstream);
uint64_t run_preemptions(const struct run *run);

/* run_values.c */
void run_values(const struct run *run, double values[N_MEASURES]);

#endif
