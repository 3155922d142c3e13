/*
 * Limits that upstreams in need name: how many requests a second each of them
 * takes from all instances together, for as long as it says so.
 *
 * Load pattern: an upstream that is slow names a limit of a few requests a
 * second, often fewer than there are instances. If each instance took the same
 * small part, all of them could still send their first request at the same
 * moment. Therefore only about as many instances use the upstream as the limit
 * allows requests in a second, chosen by rendezvous hashing, and each of them
 * has a token bucket that holds little. Instances tell each other of limits, so
 * that also those act on them that have had no answer of the upstream yet.
 *
 * The end of a limit is found only by a request. If an upstream whose limit is
 * a few requests a second or less has had none for a second, any instance may
 * send the next one, see paced_turns.h.
 *
 * The newest statement counts, whether it names a limit or says that there is
 * none. A limit that no answer has confirmed for RATE_LIMIT_TTL is dropped.
 */
#ifndef GODWITVALE_CORE_RATE_LIMITS_H
#define GODWITVALE_CORE_RATE_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/membership.h"
#include "godwitvale/core/time_defs.h"

/// Maximum number of statements that are sent to other instances at a time.
#define RATE_LIMIT_STATEMENTS_MAX 64
/// A limit that nobody has confirmed for this long is dropped.
#define RATE_LIMIT_TTL (60 * USEC_PER_SEC)

/// What an upstream last said.
struct rate_limit_statement {
	uint64_t upstream; /// hash of the upstream's id and incarnation
	double rate;       /// requests a second; negative: no limit
	usec_t at;         /// time of the answer
};

/// A request that an instance sends to an upstream with a low limit.
struct rate_limit_turn {
	uint64_t upstream; /// hash of the upstream's id and incarnation
	uint32_t number;
	uint64_t sender; /// hash of the instance's name; 0: this instance
	usec_t at;
};

/// When an instance may send a request to an upstream.
struct rate_limit_permit {
	usec_t at;
	bool is_turn; /// another instance may use it before
};

/// How a statement changes what is known of an upstream.
enum rate_limit_change {
	RATE_LIMIT_SAME = 0, /// no change that other instances must learn now
	RATE_LIMIT_NAMED,    /// a new limit, or a very different one
	RATE_LIMIT_LIFTED,
};

struct rate_limits;

struct rate_limits *rate_limits_new(void);
void rate_limits_free(struct rate_limits *limits);
enum rate_limit_change rate_limits_hear(
    struct rate_limits *limits, const struct rate_limit_statement *statement);
enum rate_limit_change rate_limits_merge(struct rate_limits *limits, usec_t now,
    const struct rate_limit_statement *statement);
unsigned rate_limits_count(const struct rate_limits *limits);
bool rate_limits_is_limited(
    const struct rate_limits *limits, uint64_t upstream);
struct rate_limit_permit rate_limits_next_permit(struct rate_limits *limits,
    usec_t now, uint64_t upstream, const struct membership *membership);
bool rate_limits_take_permit(struct rate_limits *limits, usec_t now,
    uint64_t upstream, struct rate_limit_turn *turn);
void rate_limits_hear_turn(
    struct rate_limits *limits, const struct rate_limit_turn *turn);
void rate_limits_forget(struct rate_limits *limits, uint64_t upstream);
void rate_limits_tick(struct rate_limits *limits, usec_t now);
size_t rate_limits_list(struct rate_limits *limits,
    struct rate_limit_statement *statements, size_t max);

#endif
