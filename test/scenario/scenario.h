/*
 * Types of the scenario runner: a world under virtual time in which instances
 * made of the core's parts meet fakes of the network and the platform.
 */
#ifndef SCENARIO_SCENARIO_H
#define SCENARIO_SCENARIO_H

#include "godwitvale/core/authority.h"
#include "godwitvale/core/quorum.h"
#include "godwitvale/core/relay.h"
#include "godwitvale/core/router.h"

struct world;
struct inst;
struct upstream;
typedef void (*step_fn)(struct world *world, void *data);

/// Broken variants of the parts around the quorum, beside enum quorum_naive.
enum naive {
	NAIVE_AUTHORITY = 1 << 16, /// new work without asking the register
	NAIVE_SLOTS = 1 << 17,     /// each instance limits cold upstreams alone
	NAIVE_RELAY = 1 << 18,     /// every event is passed on
	NAIVE_SPLICE = 1 << 19,    /// a lost stream starts anew in the middle
	NAIVE_DRAIN = 1 << 20,     /// leaving cuts what is under way
	NAIVE_VERDICT = 1 << 21,   /// a refusal speaks of this arrival only
	NAIVE_REVERT = 1 << 22,    /// an older bundle replaces a newer one
	NAIVE_CROSSED = 1 << 23,   /// answers are matched by their order
	NAIVE_RESEND = 1 << 24,    /// a call without an answer is sent again
	NAIVE_CONFIRM = 1 << 25,   /// nothing is asked again before the send
	NAIVE_EARLY = 1 << 26, /// the bundle is confirmed before the claim only
};

/// Spans of the fleet's settings, as in the daemon's settings file.
struct timing {
	usec_t members, report, claim, lag, fresh, bundle, progress, resend;
	usec_t tick, lease, timeout;
};

/// Instances are numbered from here on, upstreams from 0.
#define INSTANCE_INDEX 0x4000
#define CONFIG_INDEX 0x7000
#define MEMBERS_INDEX 0x7001

/// An end of a link: an instance or an upstream.
struct endpoint {
	char *name;
	uint32_t index;
	uint32_t zone;
};

/// One published bundle: its version and what it takes out.
struct bundle {
	uint64_t version;
	usec_t published_at;
	usec_t accepted_at; /// USEC_NEVER: not yet
	char *out[3];       /// zones, upstreams, instances; comma separated
};

enum outcome { OUTCOME_NONE, OUTCOME_WHOLE, OUTCOME_REFUSED, OUTCOME_FAILED };

/// A connection from an instance to an upstream.
struct conn {
	struct inst *inst;
	unsigned life;
	struct upstream *upstream;
	uint64_t epoch;
	struct call *call;
	bool resume;
	bool silent; /// nothing passes any more
	bool closed;
	uint32_t offset; /// of a resumed generation
	uint64_t generation;
};

/// One arrival of a caller's request at one instance.
struct call {
	char *id;
	char *service;
	struct inst *inst;
	unsigned life;
	usec_t arrived_at;
	bool engine, idempotent, stream;
	uint32_t tokens;
	struct quorum_key key;
	quorum_ticket ticket;
	bool granted;
	router_request routed;
	struct upstream *upstream;
	struct conn *conn;
	struct relay relay;
	enum verdict verdict;
	usec_t timeout_at; /// instance's clock
	node_id join_holder;
	usec_t join_due;
	uint64_t bundle; /// version under which it was sent
	/* What the caller saw, and what the checks know. */
	enum outcome outcome;
	const char *reason;
	uint64_t generation;
	uint32_t n_tokens;
	uint32_t total;
	bool not_run_said; /// no run of it may begin any more
	bool ran;
	bool abandoned;    /// its instance is gone
	const char *group; /// of a series of calls, or NULL
};

/// One piece of work at an upstream.
struct work {
	struct upstream *upstream;
	uint64_t epoch;
	uint64_t generation;
	struct call *call;
	struct conn *conn;
	usec_t began_at;
	uint32_t made, total;
	bool over;
};

struct upstream {
	struct endpoint end;
	char *service;
	bool engine, idempotent, up, garble;
	uint32_t cold_limit, max_running;
	usec_t warm_span, work_span, started_at, stopped_at;
	uint64_t epoch;
	bool noticed; /// its last stop lasted long enough to be seen
	GPtrArray *work;
	GPtrArray *finished; /// generations that can still be resumed
	GPtrArray *conns;
};

/// What an instance knows of a peer.
struct contact {
	uint64_t boot, version;
	usec_t answered_at;
};

/// One instance: the core's parts and the daemon's glue between them.
struct inst {
	struct endpoint end;
	node_id id;
	struct world *world;
	bool up, paused, draining, listed;
	unsigned life;
	uint64_t boot;
	double rate; /// its clock's, 1: true
	usec_t offset, from;
	GRand *random;
	struct quorum *quorum;
	struct router *router;
	struct authority authority;
	struct quorum_key register_key;
	const struct bundle *bundle;
	bool taken_out, fetching;
	GHashTable *contacts; /// node_id to struct contact
	GArray *slots;
	GPtrArray *calls;
	router_upstream *handles; /// by upstream
	uint64_t *in_service;
	GQueue backlog; /// events that came while paused
	struct listing *list;
	usec_t members_due, config_due, heartbeat_due, report_due, leave_after;
	unsigned config_failures;
	bool members_pending, config_pending;
	GHashTable *pending_reports;
};

/// One state of the membership list.
struct listing {
	uint64_t revision;
	usec_t shown_at;
	GArray *members; /// of struct view_member
	GPtrArray *insts;
};

struct world {
	usec_t now, start;
	uint64_t serial;
	GRand *random;
	GPtrArray *events; /// heap
	GPtrArray *arena;
	GPtrArray *insts, *upstreams, *calls, *bundles, *listings;
	GHashTable *cuts, *by_id;
	struct timing timing;
	usec_t latency, jitter;
	double loss, dup;
	struct endpoint config, members; /// the platform's two services
	const struct bundle *served;
	usec_t list_lag;
	GHashTable *violations; /// name to first text
	GString *trace;
	uint64_t next_generation, next_epoch;
	uint64_t n_messages, n_bytes; /// of the quorum
	uint64_t n_hellos, hello_bytes;
	unsigned naive, voters, shards;
	bool config_down;
	bool config_stale;
	bool list_blind; /// the list misses what happens now
	bool measure;
};

/* world.c: time, events, links, the platform */
struct world *world_new(void);
void world_free(struct world *world);
void world_after(struct world *world, usec_t delay, struct inst *owner,
    step_fn fn, void *data, bool owned);
void world_run(struct world *world, usec_t until);
void world_wake(struct world *world, struct inst *inst);
void *world_alloc(struct world *world, size_t size);
struct inst *world_inst(struct world *world, const char *name);
struct upstream *world_upstream(struct world *world, const char *name);
void world_cut(struct world *world, const struct endpoint *from,
    const struct endpoint *to, bool cut);
bool world_linked(
    struct world *world, const struct endpoint *a, const struct endpoint *b);
bool world_passes(struct world *world, const struct endpoint *from,
    const struct endpoint *to);
usec_t world_delay(struct world *world, bool reliable);
void world_list_changed(struct world *world);
struct listing *world_listing(struct world *world);
uint32_t world_service(const struct world *world, const char *service);
bool world_names(const char *list, const char *name);

/* inst.c: life cycle and platform of an instance */
struct inst *inst_new(struct world *world, const char *name, uint32_t zone);
void inst_start(struct inst *inst);
void inst_stop(struct inst *inst);
void inst_tick(struct world *world, void *data);
void inst_leave(struct inst *inst);
void inst_free(struct inst *inst);
usec_t inst_now(const struct inst *inst);
void inst_offer(struct inst *inst, const struct bundle *bundle);
void inst_fetch(struct inst *inst, struct inst *from);
void inst_drive(struct inst *inst);

/* peer.c: messages between instances */
void peer_say(struct inst *inst, node_id to, const struct quorum_message *m);
void peer_heartbeat(struct inst *inst);
unsigned peer_answered(struct inst *inst, uint64_t *highest);

/* request.c: the way of a call through an instance */
void request_arrive(struct world *world, void *data);
void request_routed(struct inst *inst, const struct router_action *action);
void request_claimed(struct inst *inst, const struct quorum_action *action);
void request_tick(struct call *call);
void request_event(
    struct conn *conn, uint64_t generation, uint32_t offset, bool end);
void request_lost(struct conn *conn, bool gone, bool not_run);
void request_answered(struct conn *conn, const struct call *of);

/* backend.c: fakes of engines and plain services */
struct upstream *upstream_new(struct world *world, const char *name);
void upstream_start(struct world *world, struct upstream *upstream);
void upstream_kill(struct world *world, struct upstream *upstream);
void upstream_open(struct world *world, struct conn *conn);
void upstream_report(struct inst *inst, struct upstream *upstream);
uint32_t upstream_limit(const struct world *world, const struct upstream *up);

/* checks.c: invariants */
void violate(struct world *world, const char *name, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
void check_send(struct call *call);
void check_run(struct upstream *upstream, struct call *call);
void check_token(struct call *call, uint64_t generation, uint32_t offset);
void check_answer(struct call *call, const struct call *of);
void check_refusal(struct call *call, usec_t retry_at);
void check_cold(struct upstream *upstream);
void check_known(struct world *world);
void check_end(struct world *world);
unsigned check_runs(const struct world *world, const char *id);

/* script.c: the language */
bool script_run(const char *text, GString *out);
struct world *script_play(const char *text, GString *out, bool *ok);

/* command.c: what a line of a script does */
bool command_run(struct world *world, int argc, char **argv);
bool command_span(const char *text, usec_t *span);
const char *command_value(int argc, char **argv, const char *name);

/* soak.c: random schedules */
char *soak_script(uint32_t seed);

/* cost.c: messages and memory */
void cost_print(void);

#endif
