/*
 * Internal types and functions shared by the quorum_*.c files. Other code must
 * include quorum.h instead.
 */
#ifndef GODWITVALE_CORE_QUORUM_PRIVATE_H
#define GODWITVALE_CORE_QUORUM_PRIVATE_H

#include "godwitvale/core/quorum.h"

/// Maximum number of claims that a voter records for one key. If the voter
/// learns more claims on the key, the key is contested: the voter rejects all
/// claims on the key until the claims that it could not record have expired.
#define QUORUM_KEY_CLAIMS_MAX 4
/// Maximum number of configurations of one shard that a voter or a learner
/// tracks. A configuration is the set of voters of a shard under one view.
#define QUORUM_CONFIGS_MAX 32
/// Number of times that the end of a claim and a handover, which voters do not
/// acknowledge, are sent.
#define QUORUM_UNACKED_SENDS 2
/// Number of shards of one batch, which start learning at the same time after a
/// view change, and the delay in microseconds between two batches.
#define QUORUM_LEARN_BATCH 16
#define QUORUM_LEARN_BATCH_INTERVAL (10 * USEC_PER_MSEC)
/// The delay between the resends of a learner or of a register operation starts
/// at resend_interval and doubles at most this many times.
#define QUORUM_BACKOFF_SHIFT_MAX 3
/// Maximum number of listed instances to which a shard's learner sends a PROBE
/// at a time. The same limit applies to instances that have left the list.
#define QUORUM_PROBE_BATCH 16
/// Interval in microseconds at which expired records are removed and a handover
/// is resent.
#define QUORUM_SWEEP_INTERVAL (USEC_PER_SEC)

/// A configuration: the voters of one shard under one view.
struct quorum_config {
	uint64_t revision; /// revision of the view; 0: no configuration
	unsigned n_voters;
	node_id voters[QUORUM_VOTERS_MAX];
};

/// Determines the type of a timer's owner.
enum quorum_timer_kind {
	QUORUM_TIMER_CLAIM = 1,
	QUORUM_TIMER_REGISTER_OP,
	QUORUM_TIMER_SHARD,
	QUORUM_TIMER_SWEEP,
};

/// A timer, embedded in a claim, register operation, shard or struct quorum.
struct quorum_timer {
	usec_t due;
	enum quorum_timer_kind kind;
	void *owner;         /// the object whose handler runs; NULL for SWEEP
	GSequenceIter *iter; /// position in the queue; NULL if not set
};

/// One claim on a key, as recorded by a voter.
struct quorum_recorded_claim {
	node_id holder; /// claimant
	uint64_t nonce;
	enum verdict verdict;
	usec_t expires_at;
};

/// Everything that a voter has recorded for a key.
struct quorum_entry {
	struct quorum_key key;
	uint64_t value; /// fencing number of a lease, or value of a register
	/// The key is contested before this time. Set when the voter learns a
	/// claim for which `claims` has no room.
	usec_t contested_until;
	unsigned n_claims;
	struct quorum_recorded_claim claims[QUORUM_KEY_CLAIMS_MAX];
};

/// The answer of one instance to a SEAL or PROBE of a learner.
struct quorum_answer {
	node_id from;
	bool complete;            /// all pages were received
	bool prior_votes_expired; /// see struct quorum_message
	uint64_t revision;        /// see struct quorum_message
	uint64_t ready_revision;  /// see struct quorum_message
	uint64_t floor_revision;  /// see struct quorum_message
	uint64_t nonce;           /// nonce of the SEAL or PROBE
	uint32_t serial; /// serial number that all pages of the answer share
	uint32_t n_pages;
	uint32_t n_pages_received;
	GByteArray *pages_received; /// one byte for each page; 1 if received
	GArray *records;            /// array of struct quorum_record
};

/// Progress of a voter that learns a shard's state, in one or more attempts.
struct quorum_learner {
	bool running;
	uint64_t nonce; /// of the SEALs and PROBEs of the current attempt
	usec_t attempt_deadline; /// 0 before the first attempt
	usec_t resend_at;
	unsigned n_failures; /// failed attempts under the current view
	unsigned n_resends;  /// resends in the current attempt
	/// Answers contained more configurations than `configs` has room for.
	bool configs_overflowed;
	unsigned n_configs;
	struct quorum_config configs[QUORUM_CONFIGS_MAX];
	/// struct quorum_answer to the SEALs of the current attempt.
	GPtrArray *answers;
	/// struct quorum_answer to the PROBEs sent under the current view.
	GPtrArray *probes;
	/// Index of the next listed member to probe, modulo the view's size.
	size_t next_probe_index;
};

/// State of one shard at this instance.
struct quorum_shard {
	struct quorum *quorum;
	uint32_t index;
	struct quorum_config config; /// configuration under the current view
	bool is_voter;               /// this instance is a voter of `config`
	/// Newest revision at which this instance was ready to vote; 0: this
	/// instance was never ready.
	uint64_t ready_revision;
	/// Highest revision of the SEALs that this instance accepted; 0: none.
	/// This instance does not vote under views of lower revisions.
	uint64_t sealed_revision;
	struct quorum_config active_config; /// configuration of ready_revision
	/// Configurations newer than `active_config` whose voters requested the
	/// shard's state with a SEAL.
	unsigned n_pending_configs;
	struct quorum_config pending_configs[QUORUM_CONFIGS_MAX];
	GHashTable *entries; /// maps struct quorum_key to struct quorum_entry
	struct quorum_learner learner;
	struct quorum_timer timer;
};

/// State of a claim at the claimant.
enum quorum_claim_state {
	QUORUM_CLAIM_VOTING = 1, /// the claimant collects votes for a grant
	QUORUM_CLAIM_FENCING,   /// second voting round: writes a fencing number
	QUORUM_CLAIM_GRANTED,   /// the claimant holds the key until `deadline`
	QUORUM_CLAIM_RENEWING,  /// granted; votes for a new term are collected
	QUORUM_CLAIM_REPORTING, /// the outcome is being sent to the voters
	QUORUM_CLAIM_ABANDONED, /// denied, lost or released; ABANDONs are sent
};

/// One claim of this instance.
struct quorum_claim {
	quorum_ticket ticket;
	enum quorum_claim_state state;
	struct quorum_key key;
	struct quorum_claim_options options;
	uint64_t nonce;
	uint32_t round; /// number of the current voting round
	/// Highest fencing number in the votes of the first round; from the
	/// FENCING round on, the fencing number of this claim.
	uint64_t fence;
	usec_t started_at; /// start of the claim or of its last renewal
	/// Votes of the current voting round count only before this time.
	usec_t round_deadline;
	usec_t deadline; /// end of the grant
	usec_t resend_at;
	/// Number of times that the end of the claim was sent, plus 1 while the
	/// ended claim is kept to answer late votes.
	unsigned n_sent;
	struct quorum_config config; /// voters of the current voting round
	unsigned votes; /// voters that voted: bit mask for config.voters
	/// Voters that rejected the claim in the current round because another
	/// claim holds the key or the key is contested, and that have not voted
	/// for the claim since: bit mask for config.voters.
	unsigned rejections;
	/// For each voter in `rejections`, the nonce of the claim that holds
	/// the key at this voter; 0 if the key is contested.
	uint64_t rival_nonces[QUORUM_VOTERS_MAX];
	/// Reason to report if the claim is denied; NONE is reported as
	/// TIMEOUT.
	enum quorum_reason reason;
	node_id holder; /// holder of the key, if a voter named one
	/// In state REPORTING, the outcome of this claim; before, the highest
	/// verdict that a voter reported for another claim on the key.
	enum verdict verdict;
	bool rival_known; /// a voter reported another claim, or a contested key
	usec_t retry_at;  /// when the lease of another holder expires
	struct quorum_timer timer;
};

/// A pending read or write of a version register.
struct quorum_register_op {
	struct quorum_key key;
	uint64_t nonce;
	bool is_read;    /// the operation is a read; its result is reported
	bool writing;    /// the current round writes `value` to the voters
	uint64_t value;  /// value to write, or highest value read
	usec_t deadline; /// end of a read; USEC_NEVER for a write
	unsigned n_sent; /// number of sends in the current round
	struct quorum_config config; /// voters of the current round
	unsigned voters_answered;    /// bit mask for config.voters
	/// Voters that have stored `value`: bit mask for config.voters.
	unsigned voters_with_value;
	struct quorum_timer timer;
};

/// Quorum state of one instance.
struct quorum {
	struct quorum_options options;
	struct view view; /// current view; revision 0 before the first one
	struct view previous_view; /// the view before the current one
	/// Earlier processes of this instance used no view of a higher
	/// revision; UINT64_MAX until this bound is known.
	uint64_t floor_revision;
	/// This instance learns shards, and therefore votes, only after a read
	/// of the membership list that started at or after this time.
	usec_t voting_starts_at;
	/// Time after which all votes of a process that has stopped, and of an
	/// instance that has left the list, have expired.
	usec_t state_lifetime;
	bool leaving;        /// set by quorum_leave()
	bool list_requested; /// no list has arrived since the last REFRESH_LIST
	uint32_t serial;     /// last serial number of an answer or a ticket
	unsigned n_learners_started; /// learners started under the current view
	unsigned n_handovers; /// number of times that the handover was sent
	struct quorum_shard *shards;
	/// Maps the node_id of an instance that has left the membership list to
	/// the time (usec_t) when this instance noticed the removal.
	GHashTable *delisted_since;
	GPtrArray *claims;   /// struct quorum_claim or NULL, indexed by ticket
	GArray *free_claims; /// indices of `claims` whose element is NULL
	GHashTable *claims_by_nonce; /// maps nonces to struct quorum_claim
	GHashTable *register_ops; /// maps nonces to struct quorum_register_op
	GSequence *timers; /// struct quorum_timer that are set, by due time
	struct quorum_timer sweep_timer;
	GQueue actions;  /// struct quorum_action for the embedding program
	GQueue loopback; /// struct quorum_message from this instance to itself
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
void quorum_config_for_key(const struct quorum *quorum,
    const struct quorum_key *key, struct quorum_config *config);
int quorum_config_find_voter(const struct quorum_config *config, node_id id);
unsigned quorum_config_majority(const struct quorum_config *config);
void quorum_update_delisted_times(struct quorum *quorum, usec_t now);
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
void quorum_voter_handle_message(struct quorum *quorum, usec_t now,
    node_id from, const struct quorum_message *message);
bool quorum_shard_is_ready(const struct quorum_shard *shard);

/* quorum_claim.c */
void quorum_claim_handle_answer(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);
void quorum_claim_tick(
    struct quorum *quorum, usec_t now, struct quorum_claim *claim);
void quorum_claim_restart_round(
    struct quorum *quorum, usec_t now, struct quorum_claim *claim);
void quorum_claim_free(struct quorum *quorum, struct quorum_claim *claim);

/* quorum_register.c */
void quorum_register_op_handle_answer(struct quorum *quorum, usec_t now,
    node_id from, const struct quorum_message *message);
void quorum_register_op_tick(
    struct quorum *quorum, usec_t now, struct quorum_register_op *op);
void quorum_register_op_restart_round(
    struct quorum *quorum, usec_t now, struct quorum_register_op *op);
void quorum_register_op_free(struct quorum_register_op *op);

/* quorum_seal.c */
void quorum_seal_handle_message(struct quorum *quorum, usec_t now, node_id from,
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
void quorum_learn_handle_page(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);

#endif
