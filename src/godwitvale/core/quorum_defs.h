/*
 * Types of the quorum part: exclusive grants, leases and version registers
 * kept in the memory of a few voting instances a key.
 */
#ifndef GODWITVALE_CORE_QUORUM_DEFS_H
#define GODWITVALE_CORE_QUORUM_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"
#include "godwitvale/core/verdict_defs.h"

/// An instance, by the hash of its name; 0 is none.
typedef uint64_t node_id;

/// The most voters that a key has.
#define QUORUM_VOTERS_MAX 7
/// The most records that one message of state carries.
#define QUORUM_PAGE_RECORDS 16

/// What a key stands for.
enum quorum_kind {
	QUORUM_ONCE = 1,    /// a request that runs at most once
	QUORUM_LEASE = 2,   /// an exclusive lease that lapses unless renewed
	QUORUM_VERSION = 3, /// a number that only rises
};

/// A key: 128 bits of hash over what it names, and its kind.
struct quorum_key {
	uint64_t high;
	uint64_t low;
	enum quorum_kind kind;
};

/// One instance of the membership list.
struct view_member {
	node_id id;
	uint32_t zone; /// hash of the availability zone's name
	bool leaving;  /// still listed, but gets no new duties
};

/// One answer of the membership list.
struct view {
	uint64_t revision; /// the list's own number, which only rises
	usec_t asked_at;   /// when this answer was asked for
	struct view_member *members;
	size_t n_members;
};

/// What one voter remembers of a key.
struct quorum_record {
	struct quorum_key key;
	node_id holder;
	uint64_t nonce;       /// the claim of that holder
	uint64_t number;      /// fence of a lease; value of a version register
	enum verdict verdict; /// outcome of a QUORUM_ONCE key
	bool contested;       /// differing holders were learnt for it
	usec_t forget_at;     /// on the keeper's clock; a span in messages
};

enum quorum_message_type {
	QUORUM_CLAIM = 1, /// claimant to voter: vote for me
	QUORUM_VOTE,      /// voter to claimant: yes
	QUORUM_REJECT,    /// voter to claimant: no, with why
	QUORUM_ABANDON,   /// claimant to voter: never sent, forget me
	QUORUM_OUTCOME,   /// claimant to voter: the verdict
	QUORUM_SEAL,      /// voter of a newer view to voter of an older one
	QUORUM_STATE,     /// the answer: records, a page at a time
	QUORUM_PROBE,     /// new voter to anyone: which views do you know?
	QUORUM_PROBE_REPLY,
	QUORUM_READ,     /// read a version register
	QUORUM_VALUE,    /// its value at one voter
	QUORUM_HANDOVER, /// a leaving voter's records
};

enum quorum_reason {
	QUORUM_REASON_NONE = 0,
	QUORUM_REASON_HELD,      /// another claimant holds the key
	QUORUM_REASON_CONTESTED, /// who holds it can't be told
	QUORUM_REASON_NOT_READY, /// the voter has not learnt its state yet
	QUORUM_REASON_OLD_VIEW,  /// the claimant's view is older
	QUORUM_REASON_NEW_VIEW,  /// the voter's view is older
	QUORUM_REASON_SEALED,    /// this view's shard has moved on
	QUORUM_REASON_STALE,     /// the voter's list is too old to vote by
	QUORUM_REASON_TIMEOUT,   /// no majority before the deadline
};

/// A message between instances; which fields count depends on the type.
struct quorum_message {
	enum quorum_message_type type;
	enum quorum_reason reason;
	uint64_t revision; /// view under which it was sent
	uint32_t shard;
	uint64_t sender_boot; /// tells lives of one instance apart
	uint64_t nonce;       /// ties an answer to its question
	struct quorum_key key;
	node_id holder;
	/// Fence or version; REJECT: nonce of the claim that holds the key.
	uint64_t number;
	enum verdict verdict;
	usec_t span;    /// term of a lease, or what is left of one
	uint32_t round; /// round of a claim, echoed; serial of an answer
	/// STATE: the newest revision that the sender was ready in; 0: none.
	/// SEAL: the newest revision known to the sender to have been active.
	uint64_t ready_revision;
	/// STATE: no former life of the sender saw a revision above this one.
	uint64_t floor_revision;
	/// STATE: the sender started so long ago that all its former lives
	/// promised has lapsed.
	bool lapsed;
	uint32_t page;    /// page of a STATE or HANDOVER
	uint32_t n_pages; /// pages in all
	bool ready;       /// sender may vote in that view's shard
	/// STATE, PROBE_REPLY: voters of one view that was active or asked for
	/// the state; each page carries one. SEAL: voters of the asker's view.
	uint64_t known_revision;
	uint32_t n_known_voters;
	node_id known_voters[QUORUM_VOTERS_MAX];
	uint32_t n_records;
	struct quorum_record records[QUORUM_PAGE_RECORDS];
};

/// How a claim is made. All zero for QUORUM_ONCE.
struct quorum_claim_options {
	usec_t lease_term;    /// LEASE: at most resend_window
	bool fenced;          /// LEASE: with a fencing number, one round more
	uint64_t fence_floor; /// the number is to be above this one
};

/// Handle of a claim in the claimant's table; 0 is none.
typedef uint32_t quorum_ticket;

enum quorum_action_type {
	QUORUM_ACTION_SEND = 1, /// deliver `message` to instance `to`
	QUORUM_ACTION_GRANTED,  /// `ticket` holds its key until `deadline`
	QUORUM_ACTION_DENIED,   /// `ticket` does not; with holder and verdict
	QUORUM_ACTION_LOST,    /// a lease held by `ticket` could not be renewed
	QUORUM_ACTION_VERSION, /// `number` is the highest value of `key`
	QUORUM_ACTION_ISOLATED, /// no majority answered a read of `key`
	QUORUM_ACTION_LIST,     /// a peer knows a newer list: read it now
};

/// What the embedding program is to do or to know.
struct quorum_action {
	enum quorum_action_type type;
	node_id to;
	struct quorum_message message;
	quorum_ticket ticket;
	struct quorum_key key;
	enum quorum_reason reason;
	node_id holder;       /// of a denied key, when known
	uint64_t number;      /// fence of a granted lease, or a version
	enum verdict verdict; /// of a denied key: what is known of earlier runs
	usec_t deadline;      /// GRANTED: act before; DENIED: retry from
};

/// Deliberately broken variants, with which the proofs must fail.
enum quorum_naive {
	QUORUM_NAIVE_NONE = 0,
	QUORUM_NAIVE_LOCAL = 1 << 0,       /// each instance decides alone
	QUORUM_NAIVE_OWNER = 1 << 1,       /// one owner a key, no majority
	QUORUM_NAIVE_NO_SEAL = 1 << 2,     /// a new view starts empty at once
	QUORUM_NAIVE_BLANK_VOTES = 1 << 3, /// a restarted voter votes at once
	QUORUM_NAIVE_LATE_TIMER = 1 << 4,  /// deadlines not checked on acting
	QUORUM_NAIVE_LEASE_FROM_ANSWER = 1 << 5, /// lease counts from answer
};

/// How an instance's part is built. Spans are in microseconds.
struct quorum_options {
	node_id self;
	uint64_t boot; /// random, new at every start
	GRand *random; /// owned by the caller
	usec_t started_at;
	unsigned n_voters;      /// voters a key; 0: 5
	unsigned n_shards;      /// power of two; 0: 64
	usec_t claim_timeout;   /// a claim is granted within this or never
	usec_t resend_window;   /// callers may repeat a request within this
	usec_t list_lag;        /// the membership list lags by at most this
	usec_t list_freshness;  /// a voter's list is at most this old
	usec_t resend_interval; /// unanswered messages go out again
	unsigned naive;         /// of enum quorum_naive
};

#endif
