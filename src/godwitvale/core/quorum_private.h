/*
 * What the modules of the quorum part share. Not installed for embedders'
 * use: everything here may change.
 */
#ifndef GODWITVALE_CORE_QUORUM_PRIVATE_H
#define GODWITVALE_CORE_QUORUM_PRIVATE_H

#include "godwitvale/core/quorum.h"

/// Claims on one key that a voter tells apart; more make it contested.
#define QUORUM_KEY_CLAIMS 4
/// Configurations of a shard that a voter or learner keeps track of.
#define QUORUM_CONFIGS_MAX 32
/// Messages that are never answered are sent this many times.
#define QUORUM_REPEATS 2
/// Shards that start learning in one step, and the pause to the next step.
#define QUORUM_LEARN_BATCH 16
#define QUORUM_LEARN_PAUSE (10 * USEC_PER_MSEC)
/// Learning is retried with pauses doubling up to resend_interval << this.
#define QUORUM_BACKOFF_SHIFT_MAX 3
/// Members that one shard's learner probes at a time.
#define QUORUM_PROBE_BATCH 16
/// Forgotten records are swept out once in this span.
#define QUORUM_SWEEP_INTERVAL (USEC_PER_SEC)

/// The voters of one shard under one view.
struct quorum_config {
	uint64_t revision;
	unsigned n_voters;
	node_id voters[QUORUM_VOTERS_MAX];
};

enum quorum_timer_kind {
	QUORUM_TIMER_TICKET = 1,
	QUORUM_TIMER_TASK,
	QUORUM_TIMER_SHARD,
	QUORUM_TIMER_SWEEP,
};

/// A point in time at which its owner wants to run.
struct quorum_timer {
	usec_t due;
	enum quorum_timer_kind kind;
	void *owner;
	GSequenceIter *iter; /// NULL while not set
};

/// One claim on a key, as a voter remembers it.
struct quorum_holding {
	node_id holder;
	uint64_t nonce;
	enum verdict verdict;
	usec_t forget_at;
};

/// All that a voter remembers of a key.
struct quorum_entry {
	struct quorum_key key;
	uint64_t number;
	usec_t contested_until; /// more claims were learnt than fit
	unsigned n_holdings;
	struct quorum_holding holdings[QUORUM_KEY_CLAIMS];
};

/// What one instance answered to a learner.
struct quorum_answer {
	node_id from;
	bool complete; /// all pages came
	bool lapsed;   /// see struct quorum_message
	uint64_t revision;
	uint64_t ready_revision;
	uint64_t floor_revision;
	uint64_t nonce;  /// of the question
	uint32_t serial; /// of the answer that the pages belong to
	uint32_t n_pages;
	uint32_t n_seen;
	GByteArray *seen; /// a byte a page
	GArray *records;  /// of struct quorum_record
};

/// An attempt of a voter to learn a shard's state.
struct quorum_learner {
	bool running;
	uint64_t nonce;
	usec_t ends_at;
	usec_t resend_at;
	unsigned failures;
	unsigned n_resends;
	bool overflow; /// more configurations were named than fit
	unsigned n_configs;
	struct quorum_config configs[QUORUM_CONFIGS_MAX];
	GPtrArray *answers; /// of struct quorum_answer, to this attempt
	GPtrArray *probes;  /// of struct quorum_answer, under this view
	size_t probe_next;  /// index of the member to be probed next
};

/// One instance's part in one shard.
struct quorum_shard {
	struct quorum *quorum;
	uint32_t index;
	struct quorum_config config; /// under the current view
	bool voter;                  /// of that configuration
	uint64_t ready_revision;     /// newest one that it was ready in
	uint64_t sealed;             /// no vote below this revision
	struct quorum_config active; /// configuration of ready_revision
	/// Configurations that asked for the state after `active`.
	unsigned n_later;
	struct quorum_config later[QUORUM_CONFIGS_MAX];
	GHashTable *entries; /// struct quorum_key to struct quorum_entry
	struct quorum_learner learner;
	struct quorum_timer timer;
};

enum quorum_ticket_state {
	QUORUM_TICKET_ASKING = 1, /// collects votes
	QUORUM_TICKET_FENCING,    /// has votes, writes its fencing number
	QUORUM_TICKET_GRANTED,
	QUORUM_TICKET_RENEWING, /// granted, and collects votes for longer
	QUORUM_TICKET_REPORTED, /// finished; the outcome is being sent
	QUORUM_TICKET_DROPPED,  /// never acts again; voters are told so
};

/// One claim of this instance.
struct quorum_claim {
	quorum_ticket ticket;
	enum quorum_ticket_state state;
	struct quorum_key key;
	struct quorum_claim_options options;
	uint64_t nonce;
	uint32_t round;
	uint64_t number;       /// highest heard, then the one chosen
	usec_t asked_at;       /// of this round
	usec_t round_deadline; /// votes of this round count before it
	usec_t deadline;       /// of the grant
	usec_t resend_at;
	unsigned n_sent;
	struct quorum_config config;
	unsigned voted;    /// bit mask over config.voters
	unsigned rejected; /// bit mask over config.voters
	/// Nonces of the claims that `rejected` voters hold; 0: contested.
	uint64_t held_nonce[QUORUM_VOTERS_MAX];
	enum quorum_reason reason;
	node_id holder;
	enum verdict verdict;
	bool known_held; /// some voter knows of another claim
	usec_t retry_at;
	struct quorum_timer timer;
};

/// A read or a raise of a version register.
struct quorum_task {
	struct quorum_key key;
	uint64_t nonce;
	bool read;    /// the value is to be reported
	bool writing; /// the value is being written
	uint64_t number;
	usec_t deadline; /// of a read
	unsigned n_sent;
	struct quorum_config config;
	unsigned answered; /// bit mask over config.voters
	unsigned highest;  /// those among them that hold `number`
	struct quorum_timer timer;
};

struct quorum {
	struct quorum_options options;
	struct view view;        /// revision 0: none yet
	struct view previous;    /// the one before
	uint64_t floor_revision; /// UINT64_MAX until the list is surely newer
	usec_t gate;             /// no vote before this
	usec_t lost_span;        /// after this, lost state is of no account
	bool leaving;            /// quorum_leave() was called
	bool list_wanted;        /// ACTION_LIST is out since the last view
	uint32_t serial;         /// of answers and tickets
	unsigned n_starting;     /// shards that began to learn in this view
	unsigned n_handovers;    /// times that the state was handed over
	struct quorum_shard *shards;
	GHashTable *delisted;     /// node_id to usec_t: gone since
	GPtrArray *claims;        /// by index of the ticket
	GArray *free_claims;      /// indices
	GHashTable *claim_nonces; /// nonce to struct quorum_claim
	GHashTable *tasks;        /// nonce to struct quorum_task
	GSequence *timers;
	struct quorum_timer sweep;
	GQueue actions;  /// of struct quorum_action
	GQueue loopback; /// of struct quorum_message, to itself
};

/* quorum.c */
uint64_t quorum_random(struct quorum *quorum);
usec_t quorum_jitter(struct quorum *quorum, usec_t span);
void quorum_send(
    struct quorum *quorum, node_id to, const struct quorum_message *message);
struct quorum_action *quorum_emit(
    struct quorum *quorum, enum quorum_action_type type);
void quorum_drain(struct quorum *quorum, usec_t now);
void quorum_want_list(struct quorum *quorum);
bool quorum_is_naive(const struct quorum *quorum, enum quorum_naive flag);
struct quorum_shard *quorum_key_shard(
    const struct quorum *quorum, const struct quorum_key *key);

/* quorum_timer.c */
void quorum_timer_set(
    struct quorum *quorum, struct quorum_timer *timer, usec_t due);
void quorum_timer_clear(struct quorum_timer *timer);
struct quorum_timer *quorum_timer_pop(struct quorum *quorum, usec_t now);
usec_t quorum_timer_next(const struct quorum *quorum);

/* quorum_view.c */
void quorum_view_copy(struct view *to, const struct view *from);
void quorum_view_clear(struct view *view);
bool quorum_view_has(const struct view *view, node_id id);
void quorum_config_make(const struct quorum *quorum, const struct view *view,
    uint32_t shard, struct quorum_config *config);
void quorum_config_for_claim(const struct quorum *quorum,
    const struct quorum_key *key, struct quorum_config *config);
int quorum_config_index(const struct quorum_config *config, node_id id);
unsigned quorum_majority(const struct quorum_config *config);
void quorum_note_delisted(struct quorum *quorum, usec_t now);
bool quorum_is_gone(struct quorum *quorum, usec_t now, node_id id);

/* quorum_record.c */
GHashTable *quorum_entries_new(void);
struct quorum_entry *quorum_entry_get(
    struct quorum_shard *shard, const struct quorum_key *key);
struct quorum_entry *quorum_entry_find(
    const struct quorum_shard *shard, const struct quorum_key *key);
void quorum_entry_expire(struct quorum_entry *entry, usec_t now);
struct quorum_holding *quorum_entry_hold(struct quorum_entry *entry,
    node_id holder, uint64_t nonce, usec_t forget_at);
void quorum_entry_abandon(
    struct quorum_entry *entry, node_id holder, uint64_t nonce);
void quorum_shard_sweep(struct quorum_shard *shard, usec_t now);
void quorum_record_merge(
    struct quorum_shard *shard, usec_t now, const struct quorum_record *record);
void quorum_records_collect(
    struct quorum_shard *shard, usec_t now, GArray *records);

/* quorum_voter.c */
void quorum_voter_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);
bool quorum_shard_ready(const struct quorum_shard *shard);

/* quorum_claim.c */
void quorum_claim_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);
void quorum_claim_tick(
    struct quorum *quorum, usec_t now, struct quorum_claim *claim);
void quorum_claim_new_view(
    struct quorum *quorum, usec_t now, struct quorum_claim *claim);
void quorum_claim_free(struct quorum *quorum, struct quorum_claim *claim);

/* quorum_register.c */
void quorum_task_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);
void quorum_task_tick(
    struct quorum *quorum, usec_t now, struct quorum_task *task);
void quorum_task_new_view(
    struct quorum *quorum, usec_t now, struct quorum_task *task);
void quorum_task_free(struct quorum_task *task);

/* quorum_seal.c */
void quorum_seal_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);
void quorum_hand_over(struct quorum *quorum, usec_t now);
void quorum_prune_later(struct quorum_shard *shard, uint64_t revision);
bool quorum_is_lapsed(const struct quorum_shard *shard, usec_t now);

/* quorum_answer.c */
struct quorum_answer *quorum_answer_find(
    const GPtrArray *answers, node_id from);
struct quorum_answer *quorum_answer_add_page(
    GPtrArray *answers, node_id from, const struct quorum_message *message);
GPtrArray *quorum_answers_new(void);

/* quorum_cover.c */
bool quorum_knows_enough(struct quorum_shard *shard, usec_t now);
uint64_t quorum_newest_active(const struct quorum_shard *shard);

/* quorum_learn.c */
void quorum_learn_start(struct quorum_shard *shard, usec_t now);
void quorum_learn_stop(struct quorum_shard *shard);
void quorum_learn_tick(struct quorum_shard *shard, usec_t now);
void quorum_learn_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);

#endif
