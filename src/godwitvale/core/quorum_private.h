/*
 * Internal types and functions shared by the quorum_*.c files. Other code must
 * include quorum.h instead.
 */
#ifndef GODWITVALE_CORE_QUORUM_PRIVATE_H
#define GODWITVALE_CORE_QUORUM_PRIVATE_H

#include "godwitvale/core/quorum.h"

/// Maximum number of claims that a voter records for one key. If more are
/// learnt, the key is contested.
#define QUORUM_KEY_CLAIMS_MAX 4
/// Maximum number of configurations of a shard that a voter or learner tracks.
#define QUORUM_CONFIGS_MAX 32
/// Number of times that messages without an answer are sent.
#define QUORUM_UNACKED_SENDS 2
/// Number of shards that start learning together, and the time in microseconds
/// until the next batch starts.
#define QUORUM_LEARN_BATCH 16
#define QUORUM_LEARN_BATCH_INTERVAL (10 * USEC_PER_MSEC)
/// Retries back off exponentially, up to a delay of resend_interval << this.
#define QUORUM_BACKOFF_SHIFT_MAX 3
/// Maximum number of listed, and of delisted, instances that a shard's learner
/// probes at a time.
#define QUORUM_PROBE_BATCH 16
/// Interval in microseconds at which expired records are removed.
#define QUORUM_SWEEP_INTERVAL (USEC_PER_SEC)

/// The voters of one shard under one view.
struct quorum_config {
	uint64_t revision;
	unsigned n_voters;
	node_id voters[QUORUM_VOTERS_MAX];
};

enum quorum_timer_kind {
	QUORUM_TIMER_CLAIM = 1,
	QUORUM_TIMER_REGISTER_OP,
	QUORUM_TIMER_SHARD,
	QUORUM_TIMER_SWEEP,
};

/// A timer that runs its owner's handler when due.
struct quorum_timer {
	usec_t due;
	enum quorum_timer_kind kind;
	void *owner;
	GSequenceIter *iter; /// NULL if the timer is not set
};

/// One claim on a key, as recorded by a voter.
struct quorum_recorded_claim {
	node_id holder;
	uint64_t nonce;
	enum verdict verdict;
	usec_t expires_at;
};

/// Everything that a voter has recorded for a key.
struct quorum_entry {
	struct quorum_key key;
	uint64_t value;
	usec_t contested_until; /// set if more claims were learnt than fit
	unsigned n_claims;
	struct quorum_recorded_claim claims[QUORUM_KEY_CLAIMS_MAX];
};

/// The answer of one instance to a learner.
struct quorum_answer {
	node_id from;
	bool complete;            /// all pages were received
	bool prior_votes_expired; /// see struct quorum_message
	uint64_t revision;
	uint64_t ready_revision;
	uint64_t floor_revision;
	uint64_t nonce;  /// nonce of the request
	uint32_t serial; /// serial of the answer to which the pages belong
	uint32_t n_pages;
	uint32_t n_pages_received;
	GByteArray *pages_received; /// one byte for each page; 1 if received
	GArray *records;            /// array of struct quorum_record
};

/// State of a voter that learns a shard's state, in one or more attempts.
struct quorum_learner {
	bool running;
	uint64_t nonce;
	usec_t attempt_deadline;
	usec_t resend_at;
	unsigned n_failures;
	unsigned n_resends;
	bool configs_overflowed; /// answers named more configurations than fit
	unsigned n_configs;
	struct quorum_config configs[QUORUM_CONFIGS_MAX];
	GPtrArray *answers; /// struct quorum_answer to SEALs of this attempt
	GPtrArray *probes;  /// struct quorum_answer to PROBEs under this view
	size_t next_probe_index; /// the next member to probe
};

/// State of one shard at this instance.
struct quorum_shard {
	struct quorum *quorum;
	uint32_t index;
	struct quorum_config config; /// under the current view
	bool is_voter;               /// this instance is a voter of `config`
	uint64_t ready_revision;     /// newest one this instance was ready in
	uint64_t sealed_revision;    /// no votes below this revision
	struct quorum_config active_config; /// configuration of ready_revision
	/// Configurations after `active_config` that asked for the state.
	unsigned n_pending_configs;
	struct quorum_config pending_configs[QUORUM_CONFIGS_MAX];
	GHashTable *entries; /// maps struct quorum_key to struct quorum_entry
	struct quorum_learner learner;
	struct quorum_timer timer;
};

enum quorum_claim_state {
	QUORUM_CLAIM_VOTING = 1, /// collects votes
	QUORUM_CLAIM_FENCING,    /// has a majority; writes its fencing number
	QUORUM_CLAIM_GRANTED,
	QUORUM_CLAIM_RENEWING,  /// granted; collects votes for another term
	QUORUM_CLAIM_REPORTED,  /// finished; the outcome is being sent
	QUORUM_CLAIM_ABANDONED, /// will never act; voters are being notified
};

/// One claim of this instance.
struct quorum_claim {
	quorum_ticket ticket;
	enum quorum_claim_state state;
	struct quorum_key key;
	struct quorum_claim_options options;
	uint64_t nonce;
	uint32_t round;
	uint64_t fence;    /// highest value in votes, later the assigned number
	usec_t started_at; /// start of the claim or of its last renewal
	usec_t round_deadline; /// votes of this round count only before this
	usec_t deadline;       /// end of the grant
	usec_t resend_at;
	unsigned n_sent;
	struct quorum_config config;
	unsigned votes;      /// bit mask indexed like config.voters
	unsigned rejections; /// bit mask indexed like config.voters
	/// For each voter in `rejections`, the nonce of the claim that it has
	/// recorded; 0 if the key is contested.
	uint64_t rival_nonces[QUORUM_VOTERS_MAX];
	enum quorum_reason reason;
	node_id holder;
	enum verdict verdict;
	bool rival_known; /// at least one voter knows of another claim
	usec_t retry_at;
	struct quorum_timer timer;
};

/// A pending read or write of a version register.
struct quorum_register_op {
	struct quorum_key key;
	uint64_t nonce;
	bool is_read; /// report the value when the operation ends
	bool writing; /// the current round writes the value
	uint64_t value;
	usec_t deadline; /// USEC_NEVER for a write
	unsigned n_sent;
	struct quorum_config config;
	unsigned answered;          /// bit mask indexed like config.voters
	unsigned voters_with_value; /// voters in `answered` that have `value`
	struct quorum_timer timer;
};

/// Quorum state of one instance.
struct quorum {
	struct quorum_options options;
	struct view view; /// current view; revision 0 before the first one
	struct view previous_view; /// the view before the current one
	uint64_t floor_revision;   /// UINT64_MAX until it is known
	usec_t voting_starts_at;   /// no votes before this time
	usec_t state_lifetime;     /// time in which all lost state expires
	bool leaving;              /// set by quorum_leave()
	bool list_requested; /// REFRESH_LIST was queued since the last view
	uint32_t serial;     /// last serial of an answer or ticket
	unsigned n_learners_started; /// learners started under this view
	unsigned n_handovers;        /// number of handovers sent
	struct quorum_shard *shards;
	GHashTable *delisted_since; /// maps node_id to usec_t
	GPtrArray *claims;   /// struct quorum_claim, by index in the ticket
	GArray *free_claims; /// unused indices of `claims`
	GHashTable *claims_by_nonce; /// maps nonces to struct quorum_claim
	GHashTable *register_ops; /// maps nonces to struct quorum_register_op
	GSequence *timers;
	struct quorum_timer sweep_timer;
	GQueue actions;  /// struct quorum_action for the embedding program
	GQueue loopback; /// struct quorum_message to this instance itself
};

/* quorum.c */
uint64_t quorum_random_nonce(struct quorum *quorum);
usec_t quorum_add_jitter(struct quorum *quorum, usec_t span);
void quorum_send(
    struct quorum *quorum, node_id to, const struct quorum_message *message);
struct quorum_action *quorum_queue_action(
    struct quorum *quorum, enum quorum_action_type type);
void quorum_deliver_loopback(struct quorum *quorum, usec_t now);
void quorum_request_list(struct quorum *quorum);
bool quorum_is_naive(const struct quorum *quorum, enum quorum_naive flag);
struct quorum_shard *quorum_key_shard(
    const struct quorum *quorum, const struct quorum_key *key);

/* quorum_timer.c */
void quorum_timer_set(
    struct quorum *quorum, struct quorum_timer *timer, usec_t due);
void quorum_timer_clear(struct quorum_timer *timer);
struct quorum_timer *quorum_timer_pop(struct quorum *quorum, usec_t now);
usec_t quorum_timer_next_due(const struct quorum *quorum);

/* quorum_view.c */
void quorum_view_copy(struct view *to, const struct view *from);
void quorum_view_clear(struct view *view);
bool quorum_view_contains(const struct view *view, node_id id);
void quorum_config_compute(const struct quorum *quorum, const struct view *view,
    uint32_t shard, struct quorum_config *config);
void quorum_config_for_claim(const struct quorum *quorum,
    const struct quorum_key *key, struct quorum_config *config);
int quorum_config_index(const struct quorum_config *config, node_id id);
unsigned quorum_majority(const struct quorum_config *config);
void quorum_update_delisted(struct quorum *quorum, usec_t now);
bool quorum_is_long_delisted(struct quorum *quorum, usec_t now, node_id id);

/* quorum_record.c */
GHashTable *quorum_entries_new(void);
struct quorum_entry *quorum_entry_get_or_create(
    struct quorum_shard *shard, const struct quorum_key *key);
struct quorum_entry *quorum_entry_find(
    const struct quorum_shard *shard, const struct quorum_key *key);
void quorum_entry_remove_expired(struct quorum_entry *entry, usec_t now);
struct quorum_recorded_claim *quorum_entry_add_claim(struct quorum_entry *entry,
    node_id holder, uint64_t nonce, usec_t expires_at);
void quorum_entry_remove_claim(
    struct quorum_entry *entry, node_id holder, uint64_t nonce);
void quorum_shard_remove_expired(struct quorum_shard *shard, usec_t now);
void quorum_record_merge(
    struct quorum_shard *shard, usec_t now, const struct quorum_record *record);
void quorum_records_collect(
    struct quorum_shard *shard, usec_t now, GArray *records);

/* quorum_voter.c */
void quorum_voter_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);
bool quorum_shard_is_ready(const struct quorum_shard *shard);

/* quorum_claim.c */
void quorum_claim_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);
void quorum_claim_tick(
    struct quorum *quorum, usec_t now, struct quorum_claim *claim);
void quorum_claim_restart_round(
    struct quorum *quorum, usec_t now, struct quorum_claim *claim);
void quorum_claim_free(struct quorum *quorum, struct quorum_claim *claim);

/* quorum_register.c */
void quorum_register_op_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);
void quorum_register_op_tick(
    struct quorum *quorum, usec_t now, struct quorum_register_op *op);
void quorum_register_op_restart_round(
    struct quorum *quorum, usec_t now, struct quorum_register_op *op);
void quorum_register_op_free(struct quorum_register_op *op);

/* quorum_seal.c */
void quorum_seal_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);
void quorum_send_handover(struct quorum *quorum, usec_t now);
void quorum_prune_pending_configs(
    struct quorum_shard *shard, uint64_t revision);
bool quorum_prior_votes_expired(const struct quorum_shard *shard, usec_t now);

/* quorum_answer.c */
struct quorum_answer *quorum_answer_find(
    const GPtrArray *answers, node_id from);
struct quorum_answer *quorum_answer_add_page(
    GPtrArray *answers, node_id from, const struct quorum_message *message);
GPtrArray *quorum_answers_new(void);

/* quorum_coverage.c */
bool quorum_learn_is_complete(struct quorum_shard *shard, usec_t now);
uint64_t quorum_newest_active_revision(const struct quorum_shard *shard);

/* quorum_learn.c */
void quorum_learn_start(struct quorum_shard *shard, usec_t now);
void quorum_learn_stop(struct quorum_shard *shard);
void quorum_learn_tick(struct quorum_shard *shard, usec_t now);
void quorum_learn_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);

#endif
