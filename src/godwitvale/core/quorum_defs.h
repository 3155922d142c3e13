/*
 * Types of the quorum module, which grants exclusive claims and leases, and
 * stores version registers. The state of each key is replicated in the memory
 * of a few voting instances.
 *
 * A view is the membership list at one revision. Keys are divided into shards;
 * all keys of a shard have the same voters under a view. A voter is ready to
 * vote in a shard under its current view once it has learnt the shard's state
 * from the voters of earlier views. A revision at which some voter was ready,
 * and the view of that revision, are called active.
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
/// Maximum number of records in one page of a STATE or HANDOVER message.
#define QUORUM_PAGE_RECORDS 16

/// What is granted or stored under a key.
enum quorum_key_kind {
	QUORUM_ONCE = 1,    /// a request that is executed at most once
	QUORUM_LEASE = 2,   /// an exclusive lease that expires unless renewed
	QUORUM_VERSION = 3, /// a version register, whose value never decreases
};

/// A key: a 128-bit hash of its scope and name, and its kind.
struct quorum_key {
	uint64_t high; /// upper 64 bits of the hash
	uint64_t low;  /// lower 64 bits of the hash
	enum quorum_key_kind kind;
};

/// One instance on the membership list.
struct view_member {
	node_id id;
	uint32_t zone; /// hash of the availability zone's name
	bool leaving;  /// still listed, but gets no new tasks as it shuts down
};

/// A view: the membership list as returned by one read.
struct view {
	uint64_t revision; /// revision of the membership list; never decreases
	usec_t requested_at; /// start of the read, on the local clock
	struct view_member *members;
	size_t n_members;
};

/// One recorded claim on a key, or the value or contested state of a key, as
/// voters send them to each other.
struct quorum_record {
	struct quorum_key key;
	node_id holder; /// claimant; 0: the record contains no claim
	uint64_t nonce; /// identifies the holder's claim
	uint64_t value; /// fencing number of a lease, or value of a register
	enum verdict verdict; /// outcome of the claim; QUORUM_ONCE keys only
	/// The sender has learnt more claims on the key than it can record.
	bool contested;
	/// Remaining lifetime of the claim, or of the contested state, in
	/// microseconds.
	usec_t expires_in;
};

/// Messages of the protocol. A claimant requests a key for itself; a learner is
/// a voter that is not ready yet and collects the state of a shard.
enum quorum_message_type {
	QUORUM_CLAIM = 1,   /// claimant or writer to voter: requests a vote
	QUORUM_VOTE,        /// voter to claimant or writer: the vote
	QUORUM_REJECT,      /// refuses a CLAIM, READ or SEAL, with a reason
	QUORUM_ABANDON,     /// claimant to voter: removes an unused claim
	QUORUM_OUTCOME,     /// claimant to voter: the verdict on the request
	QUORUM_SEAL,        /// learner to voter: stop voting, send the state
	QUORUM_STATE,       /// answer to a SEAL: one page of records
	QUORUM_PROBE,       /// learner to any instance: requests known views
	QUORUM_PROBE_REPLY, /// answer to a PROBE: one page of known views
	QUORUM_READ,        /// reader to voter: requests a register's value
	QUORUM_VALUE,       /// answer to a READ: the value at one voter
	QUORUM_HANDOVER,    /// leaving voter to voter: one page of records
};

/// Why a voter rejected a message, or why a claim was denied.
enum quorum_reason {
	QUORUM_REASON_NONE = 0,
	QUORUM_REASON_HELD,      /// another claimant holds the key
	QUORUM_REASON_CONTESTED, /// the voter can't determine the holder
	QUORUM_REASON_NOT_READY, /// the voter has not learnt the shard's state
	QUORUM_REASON_OLD_VIEW,  /// the sender's view is older than the voter's
	QUORUM_REASON_NEW_VIEW,  /// the voter's view is older than the sender's
	QUORUM_REASON_SEALED, /// sealed for a newer view, or the voter leaves
	QUORUM_REASON_STALE_LIST, /// the voter's membership list is too old
	QUORUM_REASON_TIMEOUT,    /// no majority voted before the deadline
};

/// A message between instances. The type determines which fields are used.
struct quorum_message {
	enum quorum_message_type type;
	enum quorum_reason reason;
	/// STATE, PROBE_REPLY, HANDOVER and a REJECT of a SEAL: revision of the
	/// sender's current view. Other requests: revision of the view under
	/// which the sender selected the voters. Other answers: the revision of
	/// the request.
	uint64_t revision;
	uint32_t shard;
	uint64_t sender_boot_id; /// identifies the sender's process
	uint64_t nonce;          /// matches an answer to its request
	struct quorum_key key;
	node_id holder; /// REJECT: holder of the key, if known
	/// Fencing number of a lease, or value of a register. REJECT: nonce of
	/// the claim that holds the key; 0 if the key is contested.
	uint64_t value;
	enum verdict verdict;
	/// Lease term in microseconds. REJECT: remaining lifetime of the claim
	/// that holds the key.
	usec_t duration;
	/// CLAIM, ABANDON, OUTCOME: number of the claim's voting round, which
	/// VOTE and REJECT repeat. STATE, PROBE_REPLY, HANDOVER: serial number
	/// that all pages of one answer share.
	uint32_t sequence;
	/// STATE, PROBE_REPLY: newest revision at which the sender was ready to
	/// vote in the shard; 0: the sender was never ready. SEAL: newest
	/// active revision that the sender knows.
	uint64_t ready_revision;
	/// STATE, PROBE_REPLY: no earlier process of the sender used a view of
	/// a higher revision. UINT64_MAX until the sender knows this bound.
	uint64_t floor_revision;
	/// STATE, PROBE_REPLY: the sender's process has never been ready, and
	/// started so long ago that all votes of earlier processes of the
	/// sender have expired.
	bool prior_votes_expired;
	uint32_t page;    /// index of this page
	uint32_t n_pages; /// total number of pages of the answer
	bool ready; /// the sender is ready to vote in the shard at `revision`
	/// STATE, PROBE_REPLY: revision of one view that was active, or whose
	/// voters requested the shard's state with a SEAL, and the shard's
	/// voters under that view. Each page contains at most one such view;
	/// revision 0 means none.
	/// SEAL: the shard's voters under the sender's view.
	uint64_t known_revision;
	uint32_t n_known_voters;
	node_id known_voters[QUORUM_VOTERS_MAX];
	uint32_t n_records;
	struct quorum_record records[QUORUM_PAGE_RECORDS];
};

/// Options of a claim. All zero for QUORUM_ONCE.
struct quorum_claim_options {
	/// LEASE: duration of a grant or renewal, in microseconds; at most
	/// resend_window.
	usec_t lease_term;
	/// LEASE: after the first majority of votes, a second voting round
	/// assigns a fencing number.
	bool fenced;
	uint64_t fence_floor; /// the fencing number is greater than this value
};

/// Handle of a claim in the claimant's table; 0 means no claim.
typedef uint32_t quorum_ticket;

enum quorum_action_type {
	QUORUM_ACTION_SEND = 1,     /// deliver `message` to instance `to`
	QUORUM_ACTION_GRANTED,      /// `ticket` holds its key until `deadline`
	QUORUM_ACTION_DENIED,       /// `ticket` was not granted its key
	QUORUM_ACTION_LEASE_LOST,   /// the lease of `ticket` has expired
	QUORUM_ACTION_VERSION_READ, /// `value` was read from register `key`
	QUORUM_ACTION_READ_FAILED,  /// no majority answered a read of `key`
	QUORUM_ACTION_REFRESH_LIST, /// read the membership list now
};

/// An action that the embedding program must perform, or a result that is
/// reported to the program.
struct quorum_action {
	enum quorum_action_type type;
	node_id to;                    /// SEND: receiving instance
	struct quorum_message message; /// SEND: message to deliver
	quorum_ticket ticket; /// GRANTED, DENIED, LEASE_LOST: the claim
	struct quorum_key key;
	enum quorum_reason reason; /// DENIED: why
	node_id holder;            /// DENIED: holder of the key, if known
	uint64_t value; /// fencing number of a lease, or value of a register
	/// DENIED: whether another claimant may have executed the request.
	enum verdict verdict;
	/// GRANTED: the claimant must act before this time. DENIED: earliest
	/// time of a retry.
	usec_t deadline;
};

/// Deliberately broken variants of the protocol. Tests check that each variant
/// violates the guarantees.
enum quorum_naive {
	QUORUM_NAIVE_NONE = 0,
	QUORUM_NAIVE_LOCAL = 1 << 0,   /// a claimant collects only its own vote
	QUORUM_NAIVE_OWNER = 1 << 1,   /// each key has a single voter
	QUORUM_NAIVE_NO_SEAL = 1 << 2, /// new voters vote without state
	QUORUM_NAIVE_BLANK_VOTES = 1 << 3, /// a restarted voter votes at once
	QUORUM_NAIVE_LATE_TIMER = 1 << 4,  /// deadlines are not enforced
	/// A lease term counts from the arrival of the votes, not from the
	/// request.
	QUORUM_NAIVE_LEASE_FROM_ANSWER = 1 << 5,
};

/// Options of an instance's quorum state. Times are in microseconds.
struct quorum_options {
	node_id self;
	uint64_t boot_id; /// random; differs at each start of the process
	GRand *random;    /// owned by the caller
	usec_t started_at;
	unsigned n_voters; /// maximum number of voters of each key; 0 selects 5
	unsigned n_shards; /// number of shards, a power of two; 0 selects 64
	usec_t claim_timeout; /// time after which an ungranted claim is denied
	usec_t resend_window; /// time within which callers may repeat a request
	/// Maximum lag of the membership list: a read returns all changes that
	/// were made at least this long before the read started.
	usec_t list_lag;
	/// A voter votes only within this time after the start of its last read
	/// of the membership list.
	usec_t list_freshness;
	usec_t resend_interval; /// base delay before a message is resent
	unsigned naive;         /// flags of enum quorum_naive
};

#endif
