/*
 * Types of the quorum module: exclusive grants, leases and version registers,
 * each replicated in the memory of a few voting instances.
 */
#ifndef GODWITVALE_CORE_QUORUM_DEFS_H
#define GODWITVALE_CORE_QUORUM_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"
#include "godwitvale/core/verdict_defs.h"

/// Identifies an instance by the hash of its name; 0 means no instance.
typedef uint64_t node_id;

/// Maximum number of voters of a key.
#define QUORUM_VOTERS_MAX 7
/// Maximum number of records in one page of a STATE or HANDOVER.
#define QUORUM_PAGE_RECORDS 16

/// What is granted or stored under a key.
enum quorum_key_kind {
	QUORUM_ONCE = 1,    /// a request that runs at most once
	QUORUM_LEASE = 2,   /// an exclusive lease that expires unless renewed
	QUORUM_VERSION = 3, /// a version register: a value that never decreases
};

/// A key: a 128-bit hash of its scope and name, and its kind.
struct quorum_key {
	uint64_t high;
	uint64_t low;
	enum quorum_key_kind kind;
};

/// One instance on the membership list.
struct view_member {
	node_id id;
	uint32_t zone; /// hash of the availability zone's name
	bool leaving;  /// still listed, but gets no new tasks
};

/// A view of the membership, as returned by one read of the list.
struct view {
	uint64_t revision;   /// revision of the list, which never decreases
	usec_t requested_at; /// when this answer was requested
	struct view_member *members;
	size_t n_members;
};

/// One record of a key, as voters send it to each other.
struct quorum_record {
	struct quorum_key key;
	node_id holder;
	uint64_t nonce; /// identifies the holder's claim
	uint64_t value; /// fencing number of a lease, or value of a register
	enum verdict verdict; /// outcome of a QUORUM_ONCE key
	bool contested;       /// too many claims were learnt to keep them all
	usec_t expires_in;    /// remaining time, in microseconds
};

enum quorum_message_type {
	QUORUM_CLAIM = 1,   /// claimant to voter: requests a vote
	QUORUM_VOTE,        /// voter to claimant: the vote
	QUORUM_REJECT,      /// voter to claimant: no vote, with a reason
	QUORUM_ABANDON,     /// claimant to voter: removes an unused claim
	QUORUM_OUTCOME,     /// claimant to voter: the verdict on the request
	QUORUM_SEAL,        /// learner to voter: stop voting, send the state
	QUORUM_STATE,       /// the answer to a SEAL: one page of records
	QUORUM_PROBE,       /// learner to any instance: requests known views
	QUORUM_PROBE_REPLY, /// the answer to a PROBE: one page
	QUORUM_READ,        /// requests the value of a version register
	QUORUM_VALUE,       /// the answer to a READ: the value at one voter
	QUORUM_HANDOVER,    /// one page of a leaving voter's records
};

enum quorum_reason {
	QUORUM_REASON_NONE = 0,
	QUORUM_REASON_HELD,       /// another claimant holds the key
	QUORUM_REASON_CONTESTED,  /// the voter can't determine the holder
	QUORUM_REASON_NOT_READY,  /// the voter is still learning the state
	QUORUM_REASON_OLD_VIEW,   /// the claimant's view is older
	QUORUM_REASON_NEW_VIEW,   /// the voter's view is older
	QUORUM_REASON_SEALED,     /// sealed by a newer view, or voter leaves
	QUORUM_REASON_STALE_LIST, /// the voter's membership list is too old
	QUORUM_REASON_TIMEOUT,    /// no majority before the deadline
};

/// A message between instances. The type determines which fields are used.
struct quorum_message {
	enum quorum_message_type type;
	enum quorum_reason reason;
	uint64_t revision; /// revision of the view under which it was sent
	uint32_t shard;
	uint64_t sender_boot_id; /// identifies the process that sent it
	uint64_t nonce;          /// matches an answer to its request
	struct quorum_key key;
	node_id holder;
	/// Fencing number or version. REJECT: nonce of the claim that holds the
	/// key.
	uint64_t value;
	enum verdict verdict;
	usec_t duration;   /// lease term. REJECT: remaining time
	uint32_t sequence; /// round of a claim, echoed; serial of an answer
	/// STATE: the newest revision in which the sender was ready; 0: none.
	/// SEAL: the newest revision that the sender knows to have been active.
	uint64_t ready_revision;
	/// STATE: earlier processes of the sender saw no revision above this.
	uint64_t floor_revision;
	/// STATE: the sender started so long ago that all votes of its earlier
	/// processes have expired.
	bool prior_votes_expired;
	uint32_t page;    /// index of this page
	uint32_t n_pages; /// total number of pages
	bool ready;       /// the sender may vote in the shard under that view
	/// STATE, PROBE_REPLY: voters under one view that was active or whose
	/// voters asked for the state; each page carries one such view.
	/// SEAL: voters under the sender's view.
	uint64_t known_revision;
	uint32_t n_known_voters;
	node_id known_voters[QUORUM_VOTERS_MAX];
	uint32_t n_records;
	struct quorum_record records[QUORUM_PAGE_RECORDS];
};

/// Options of a claim. All zero for QUORUM_ONCE.
struct quorum_claim_options {
	usec_t lease_term; /// LEASE: at most resend_window
	bool fenced;       /// LEASE: assign a fencing number, in one more round
	uint64_t fence_floor; /// the fencing number must be greater than this
};

/// Handle of a claim in the claimant's table; 0 means no claim.
typedef uint32_t quorum_ticket;

enum quorum_action_type {
	QUORUM_ACTION_SEND = 1,     /// deliver `message` to instance `to`
	QUORUM_ACTION_GRANTED,      /// `ticket` holds its key until `deadline`
	QUORUM_ACTION_DENIED,       /// `ticket` was not granted its key
	QUORUM_ACTION_LEASE_LOST,   /// `ticket` was not renewed in time
	QUORUM_ACTION_VERSION_READ, /// `value` is the highest value of `key`
	QUORUM_ACTION_READ_FAILED,  /// no majority answered the read of `key`
	QUORUM_ACTION_REFRESH_LIST, /// a newer list is needed: read it now
};

/// An action for the embedding program, or a result for it.
struct quorum_action {
	enum quorum_action_type type;
	node_id to;
	struct quorum_message message;
	quorum_ticket ticket;
	struct quorum_key key;
	enum quorum_reason reason;
	node_id holder;       /// DENIED: holder of the key, if known
	uint64_t value;       /// fencing number of a lease, or a version
	enum verdict verdict; /// DENIED: what is known of other runs
	usec_t deadline;      /// GRANTED: act before; DENIED: earliest retry
};

/// Deliberately broken variants. Tests check that they violate the guarantees.
enum quorum_naive {
	QUORUM_NAIVE_NONE = 0,
	QUORUM_NAIVE_LOCAL = 1 << 0,   /// each instance asks only itself
	QUORUM_NAIVE_OWNER = 1 << 1,   /// one voter for each key, no majority
	QUORUM_NAIVE_NO_SEAL = 1 << 2, /// a new view votes without records
	QUORUM_NAIVE_BLANK_VOTES = 1 << 3, /// a restarted voter votes at once
	QUORUM_NAIVE_LATE_TIMER = 1 << 4,  /// deadlines are not enforced
	QUORUM_NAIVE_LEASE_FROM_ANSWER = 1 << 5, /// term counts from the answer
};

/// Options of an instance's quorum state. Times are in microseconds.
struct quorum_options {
	node_id self;
	uint64_t boot_id; /// random; differs at each start of the process
	GRand *random;    /// owned by the caller
	usec_t started_at;
	unsigned n_voters;     /// voters of each key; 0 selects 5
	unsigned n_shards;     /// a power of two; 0 selects 64
	usec_t claim_timeout;  /// a claim not granted by then is denied
	usec_t resend_window;  /// callers may repeat a request within this time
	usec_t list_lag;       /// maximum lag of the membership list
	usec_t list_freshness; /// maximum age of a voter's list
	usec_t resend_interval; /// time between resends
	unsigned naive;         /// flags of enum quorum_naive
};

#endif
