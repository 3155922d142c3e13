/*
 * Decides whether an upstream may get a request now, and if not, why and until
 * when. All reasons not to use an upstream come together here.
 *
 * Upstreams of another software version than the one that began a stream count
 * as out of service for the rest of that stream, so that no rule that protects
 * a whole service from being emptied brings them back.
 *
 * Load pattern: an upstream in trouble shows it in several ways at once. It
 * turns requests away and asks for a pause, names a limit, is still cold, or is
 * ejected for its errors. Each of these protects it for its own time, and the
 * longest one counts. When all upstreams of a service are in trouble, the
 * earliest end tells a caller when to come back. eligibility_check()
 * serves placement; eligibility_check_send() repeats, right before a send, the
 * part that can't be overruled. What applies only while engine memory is scarce
 * is decided in core/engine_admission.
 */
#ifndef GODWITVALE_CORE_ELIGIBILITY_H
#define GODWITVALE_CORE_ELIGIBILITY_H

#include <stdbool.h>

#include "godwitvale/core/time_defs.h"

/// Why an upstream may not get a request.
enum eligibility_reason {
	ELIGIBLE = 0,
	/* It is out of service. */
	INELIGIBLE_GONE,      /// it isn't in the directory
	INELIGIBLE_RESTARTED, /// its id has another incarnation now
	INELIGIBLE_DRAINING,
	INELIGIBLE_LEAVING,   /// it has itself said that it leaves
	INELIGIBLE_RELOCATED, /// another upstream has its address
	INELIGIBLE_EVACUATED, /// its zone is evacuated
	INELIGIBLE_VERSION,   /// a stream must go on at another version
	/* It is in service, but may not be used by this request. */
	INELIGIBLE_TRIED, /// the request was sent to it before
	/* It is in service, but may not be used for a while. */
	INELIGIBLE_EJECTED,
	INELIGIBLE_PAUSED,  /// it has asked for a pause
	INELIGIBLE_FULL,    /// it has turned requests away
	INELIGIBLE_LIMITED, /// the limit that it has named is used up
	/// the next request of its low limit isn't due yet, and may then be
	/// another instance's
	INELIGIBLE_TURN,
	INELIGIBLE_COLD,        /// this instance's share of its cold rate is
	INELIGIBLE_CONNECTIONS, /// this instance's share of connections is
	INELIGIBLE_PLACE, /// it is brittle, and this instance's places are used
};

/// What is known of an upstream. A time that isn't in the future has no effect.
struct eligibility_inputs {
	bool is_draining;
	bool is_leaving;
	bool is_relocated;
	bool is_evacuated;
	bool has_other_version; /// than the stream that is to go on there
	bool was_tried;
	usec_t ejected_until;
	usec_t paused_until;
	usec_t full_until;
	usec_t limit_permit_at; /// USEC_NEVER: other instances use it up
	bool limit_has_turns;   /// other instances may take that permit first
	bool lacks_cold_permit;
	bool lacks_connections;
	bool lacks_place;
};

/// How a request comes to be sent to an upstream.
enum send_path {
	SEND_FIRST = 0,    /// first attempt
	SEND_RETRY,        /// another attempt, before the caller has anything
	SEND_FORWARDED,    /// attempt for another instance
	SEND_TAKE_UP,      /// the caller takes up a stream that was cut
	SEND_CONTINUATION, /// a cut stream goes on elsewhere, without a copy
	SEND_CHECKED,      /// the upstream's version was checked meanwhile
	SEND_COPY,         /// a generation's memory goes to the upstream
	SEND_RESUME,       /// a stream goes on from the copy at the upstream
	SEND_N_PATHS,
};

/// How long a stream may be resumed at an upstream after this instance has
/// learnt that it drains. The copy of the stream is only there, and the
/// upstream accepts requests for drain_ms, 2 s or more, from the store's
/// acknowledgement on; the rest of that is for the change to become known.
#define ELIGIBILITY_RESUME_GRACE (1 * USEC_PER_SEC)

/// What is known of an upstream to which a request is about to be sent.
struct send_inputs {
	bool is_known;        /// it is in the directory
	bool is_same_process; /// with the incarnation that was chosen
	bool is_draining;
	bool is_leaving;       /// it has itself said that it leaves
	usec_t draining_since; /// valid if `is_draining`
	usec_t leaving_since;  /// valid if `is_leaving`
	bool is_relocated;
	bool is_evacuated;
	usec_t paused_until;
};

/// Whether an upstream may get a request.
struct eligibility {
	enum eligibility_reason reason;
	usec_t until; /// when the reason ends; USEC_NEVER: unknown or never
};

bool eligibility_is_in_service(const struct eligibility_inputs *inputs);
struct eligibility eligibility_check(
    const struct eligibility_inputs *inputs, usec_t now);
struct eligibility eligibility_check_send(
    const struct send_inputs *inputs, enum send_path path, usec_t now);
const char *eligibility_path_name(enum send_path path);
const char *eligibility_reason_name(enum eligibility_reason reason);

#endif
