/*
 * Declares the scenario runner: a simulation under virtual time in which
 * instances, built from the core modules of src/, run against fake networks,
 * upstreams and platform services.
 */
#ifndef SCENARIO_SCENARIO_H
#define SCENARIO_SCENARIO_H

#include "godwitvale/core/bundle_freshness.h"
#include "godwitvale/core/quorum.h"
#include "godwitvale/core/relay.h"
#include "godwitvale/core/router.h"

struct world;
struct inst;
struct upstream;
typedef void (*event_fn)(struct world *world, void *data);

/// Deliberately broken variants of the modules around the quorum, as bits of
/// world.naive; the bits below 1 << 16 are those of enum quorum_naive. The
/// checks must report a violation under each variant.
enum naive {
	/// Admits new work without reading the bundle's version register.
	NAIVE_NO_AUTHORITY = 1 << 16,
	/// Each instance limits its load on cold upstreams without slot leases.
	NAIVE_NO_SLOTS = 1 << 17,
	/// Passes on every stream event, including duplicates and strays.
	NAIVE_RAW_RELAY = 1 << 18,
	/// Restarts a failed generation after the caller received tokens of it.
	NAIVE_SPLICE = 1 << 19,
	/// A draining instance stops while requests are still in flight.
	NAIVE_CUT_DRAIN = 1 << 20,
	/// A refusal's verdict covers only this arrival, not earlier arrivals
	/// of the same request.
	NAIVE_ARRIVAL_VERDICT = 1 << 21,
	/// An older bundle replaces a newer bundle.
	NAIVE_REVERT = 1 << 22,
	/// Answers of services are matched to requests by order of arrival.
	NAIVE_CROSSED = 1 << 23,
	/// Sends a request again although its unanswered attempt may have run.
	NAIVE_RESEND = 1 << 24,
	/// Skips all checks right before the send: grant, bundle and service.
	NAIVE_NO_CONFIRM = 1 << 25,
	/// Checks that the bundle is current before the claim, but not again
	/// right before the send.
	NAIVE_EARLY_CONFIRM = 1 << 26,
};

/// Time settings of the fleet, as in the daemon's settings file.
struct timing {
	usec_t members_interval; /// between reads of the membership list
	usec_t report_interval;  /// between load reports of an upstream
	usec_t claim_timeout;    /// of a claim at the quorum
	usec_t list_lag;         /// assumed maximum lag of the membership list
	usec_t list_freshness;   /// maximum age of a voter's membership list
	usec_t bundle_freshness; /// time for which a version read is valid
	usec_t progress_timeout; /// between two events of a generation
	usec_t resend_window;    /// in which callers repeat a request
	usec_t tick_interval;    /// between two ticks of an instance
	usec_t lease_term;       /// of a slot lease
	usec_t answer_timeout;   /// of a plain service or a joined answer
};

/// Endpoint indexes: upstreams count from 0, instances from
/// INSTANCE_INDEX_BASE; the two platform services have fixed indexes.
#define INSTANCE_INDEX_BASE 0x4000
#define CONFIG_INDEX 0x7000
#define MEMBERS_INDEX 0x7001

/// An end of a network link: an instance, an upstream or a platform service.
struct endpoint {
	char *name;
	uint32_t index; /// unique; 16 bits of the key of a cut link
	uint32_t zone;  /// GQuark of the zone's name
};

/// A published bundle: its version and what it takes out of service.
struct bundle {
	uint64_t version;
	usec_t published_at;
	usec_t accepted_at; /// first read of the version from the register by
			    /// an instance; USEC_NEVER before
	char *taken_out[3]; /// names of zones, upstreams, instances, each a
			    /// comma-separated list or NULL
};

/// Outcome of a call: pending, answered in full, refused before any token
/// reached the caller, or failed after tokens reached the caller.
enum outcome { OUTCOME_NONE, OUTCOME_WHOLE, OUTCOME_REFUSED, OUTCOME_FAILED };

/// A connection from an instance to an upstream.
struct conn {
	struct inst *inst;
	unsigned incarnation; /// of the instance at the time of connecting
	struct upstream *upstream;
	uint64_t epoch; /// of the upstream's start
	struct call *call;
	bool resume;     /// resumes a generation instead of starting a run
	bool silent;     /// a cut link dropped data; nothing arrives any more
	bool closed;     /// the instance closed the connection
	uint32_t offset; /// first token that a resume asks for
	uint64_t generation; /// ID of the generation that a resume asks for
};

/// One arrival of a caller's request at one instance.
struct call {
	char *id;
	char *service;
	struct inst *inst;
	unsigned incarnation; /// of the instance at the arrival
	usec_t arrived_at;    /// world time
	bool engine, idempotent, stream;
	uint32_t tokens; /// length of the answer of an engine
	struct quorum_key key;
	quorum_ticket ticket; /// of the claim on the key; 0 without a claim
	bool granted;
	router_request routed_request; /// 0 while the router has no request
	struct upstream *upstream;
	struct conn *conn;
	struct relay relay;
	enum verdict verdict;
	usec_t timeout_at;   /// instance's clock
	node_id join_holder; /// instance whose answer the call waits for, or 0
	usec_t join_due;     /// next query to join_holder, instance's clock
	uint64_t bundle_version; /// bundle in force when the request was sent
	/* What the caller received, and what the checks record. */
	enum outcome outcome;
	const char *reason;
	uint64_t generation;   /// ID of the generation that the tokens are of
	uint32_t n_tokens;     /// tokens passed to the caller
	uint32_t total;        /// tokens of the whole answer
	bool reported_not_run; /// a refusal said "not run": no run may start
	bool ran;              /// an upstream started a run
	bool abandoned;    /// the instance stopped or refused the connection
	const char *group; /// name of the series of calls, or NULL
};

/// One run of a request at an upstream.
struct work {
	struct upstream *upstream;
	uint64_t epoch;      /// of the upstream's start
	uint64_t generation; /// ID of the generation; 0 at a plain service
	struct call *call;
	struct conn *conn;              /// receives the events or the answer
	usec_t started_at;              /// world time
	uint32_t n_generated, n_tokens; /// tokens so far, and in all
	bool done;
};

/// A fake upstream: an engine or a plain service.
struct upstream {
	struct endpoint end;
	char *service;
	bool engine, idempotent, up;
	bool garble; /// duplicates, drops and mislabels events of streams
	uint32_t cold_limit, max_running; /// concurrent runs
	usec_t warm_span; /// time after a start until max_running applies
	usec_t work_span; /// duration of a run at a plain service
	usec_t started_at, stopped_at; /// world time
	uint64_t epoch;                /// of the last start, unique
	bool stop_noticed;   /// the last stop outlasted BOUND_COLD_NOTICED,
			     /// so that instances noticed the stop
	GPtrArray *work;     /// running struct work
	GPtrArray *finished; /// finished generations, which can be resumed
	GPtrArray *conns;
};

/// What an instance knows of a peer from its last echo.
struct peer_state {
	uint64_t boot;      /// boot ID; 0 before the first echo
	uint64_t version;   /// of the peer's bundle
	usec_t answered_at; /// instance's clock
};

/// One instance: the core modules, and a model of the daemon's code that
/// connects them. Times are on the instance's own clock.
struct inst {
	struct endpoint end;
	node_id id;
	struct world *world;
	bool up, paused, draining, listed;
	unsigned incarnation; /// counts starts and stops
	uint64_t boot;        /// boot ID, random for each start
	double clock_rate;    /// ratio to world time
	usec_t clock_offset;  /// clock's value at clock_set_at
	usec_t clock_set_at;  /// world time
	GRand *random;
	struct quorum *quorum;
	struct router *router;
	struct bundle_freshness bundle_freshness;
	struct quorum_key register_key;  /// of the bundle's version register
	const struct bundle *bundle;     /// in force, or NULL
	bool taken_out;                  /// out of service by the bundle
	bool fetching;                   /// a fetch from a peer is in flight
	GHashTable *peer_states;         /// node_id to struct peer_state
	GArray *slots;                   /// of struct slot_claim
	GPtrArray *calls;                /// unfinished calls
	router_upstream *router_handles; /// by upstream index; 0: not added
	uint64_t *in_service; /// by upstream index; 0: out of service
	GQueue backlog;       /// events that fell due while paused
	struct listing *list; /// last read of the membership list, or NULL
	usec_t members_due, config_due, heartbeat_due, report_due, leave_after;
	unsigned config_failures; /// consecutive failed reads
	bool members_pending, config_pending;
	GHashTable *pending_reports; /// upstreams with a load request in flight
};

/// One revision of the membership list.
struct listing {
	uint64_t revision;
	usec_t shown_at;  /// world time from which reads may return it
	GArray *members;  /// of struct view_member
	GPtrArray *insts; /// the same members as struct inst
};

/// The whole simulation.
struct world {
	usec_t now, start;
	uint64_t last_serial; /// of the last scheduled event
	GRand *random;
	GPtrArray *events; /// binary heap of struct event, next event first
	GPtrArray *arena;  /// blocks freed with the world
	GPtrArray *insts, *upstreams, *calls, *bundles, *listings;
	GHashTable *cut_links;   /// set of sender's index << 16 | receiver's
	GHashTable *insts_by_id; /// node_id to struct inst
	struct timing timing;
	usec_t latency, jitter;          /// one-way delay, and its random part
	double loss, dup;                /// probabilities for each message
	struct endpoint config, members; /// the platform's two services
	const struct bundle *served_bundle; /// by the config service, or NULL
	usec_t list_lag;        /// bound on the real staleness of list reads
	GHashTable *violations; /// name of a check to its first message
	GString *trace;
	uint64_t last_generation_id, last_epoch; /// last used
	uint64_t n_quorum_messages, n_quorum_bytes;
	uint64_t n_hellos, n_hello_bytes; /// heartbeats and their echoes
	unsigned naive; /// bits of enum naive and enum quorum_naive
	unsigned voters, shards;
	bool config_down;   /// the config service answers no reads
	bool config_stale;  /// the config service serves no newer bundles
	bool list_frozen;   /// changes of instances aren't recorded in the list
	bool measure_bytes; /// counts n_quorum_bytes
};

/* world.c: virtual time, events, network links, the membership list */
struct world *world_new(void);
void world_free(struct world *world);
void world_schedule(struct world *world, usec_t delay, struct inst *owner,
    event_fn fn, void *data, bool owned);
void world_run_until(struct world *world, usec_t until);
void world_resume_inst(struct world *world, struct inst *inst);
void *world_alloc(struct world *world, size_t size);
struct inst *world_find_inst(struct world *world, const char *name);
struct upstream *world_find_upstream(struct world *world, const char *name);
void world_set_link_cut(struct world *world, const struct endpoint *from,
    const struct endpoint *to, bool cut);
bool world_is_connected(
    struct world *world, const struct endpoint *a, const struct endpoint *b);
bool world_is_reachable(struct world *world, const struct endpoint *from,
    const struct endpoint *to);
usec_t world_draw_delay(struct world *world, bool reliable);
void world_record_listing(struct world *world);
struct listing *world_read_listing(struct world *world);
uint32_t world_service_id(const struct world *world, const char *service);
bool world_name_in_list(const char *list, const char *name);

/* inst.c: life cycle of an instance, its reads of the platform */
struct inst *inst_new(struct world *world, const char *name, uint32_t zone);
void inst_start(struct inst *inst);
void inst_stop(struct inst *inst);
void inst_tick(struct world *world, void *data);
void inst_start_draining(struct inst *inst);
void inst_free(struct inst *inst);
usec_t inst_now(const struct inst *inst);
void inst_accept_bundle(struct inst *inst, const struct bundle *bundle);
void inst_fetch_bundle(struct inst *inst, struct inst *from);
void inst_run_actions(struct inst *inst);

/* peer.c: messages between instances */
void peer_send_quorum_message(
    struct inst *inst, node_id to, const struct quorum_message *m);
void peer_send_heartbeats(struct inst *inst);
unsigned peer_count_fresh(struct inst *inst, uint64_t *highest);

/* request.c: processing of a call by an instance */
void request_arrive(struct world *world, void *data);
void request_handle_router_action(
    struct inst *inst, const struct router_action *action);
void request_handle_claim_result(
    struct inst *inst, const struct quorum_action *action);
void request_tick(struct call *call);
void request_handle_stream_event(
    struct conn *conn, uint64_t generation, uint32_t offset, bool end);
void request_handle_conn_loss(
    struct conn *conn, bool generation_gone, bool not_run);
void request_handle_service_answer(
    struct conn *conn, const struct call *answered_call);

/* upstream.c: fakes of engines and plain services */
struct upstream *upstream_new(struct world *world, const char *name);
void upstream_start(struct world *world, struct upstream *upstream);
void upstream_stop(struct world *world, struct upstream *upstream);
void upstream_send_request(struct world *world, struct conn *conn);
void upstream_request_load(struct inst *inst, struct upstream *upstream);
uint32_t upstream_current_limit(
    const struct world *world, const struct upstream *up);

/* checks.c: invariants */
void check_report_violation(struct world *world, const char *name,
    const char *format, ...) G_GNUC_PRINTF(3, 4);
void check_sent_request(struct call *call);
void check_run_start(struct upstream *upstream, struct call *call);
void check_token(struct call *call, uint64_t generation, uint32_t offset);
void check_answer(struct call *call, const struct call *answered_call);
void check_refusal(struct call *call, usec_t retry_at);
void check_cold_load(struct upstream *upstream);
void check_clear_lost_acceptance(struct world *world);
void check_unanswered_calls(struct world *world);
unsigned check_count_runs(const struct world *world, const char *id);

/* script.c: the script language and the check of expectations */
bool script_run(const char *text, GString *out);
struct world *script_play(const char *text, GString *out, bool *ok);

/* command.c: commands of the script language */
bool command_run(struct world *world, int argc, char **argv);
bool command_parse_span(const char *text, usec_t *span);
const char *command_find_value(int argc, char **argv, const char *name);

/* soak.c: scripts of random calls and faults */
char *soak_create_script(uint32_t seed);

/* cost.c: message and memory costs of fleets */
void cost_print_fleets(void);

#endif
