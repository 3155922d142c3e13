/* Combines all reasons not to send a request to an upstream. */
#include "godwitvale/core/eligibility.h"

#include <stddef.h>

static const char *const reason_names[] = {
    [ELIGIBLE] = "eligible",
    [INELIGIBLE_GONE] = "gone",
    [INELIGIBLE_RESTARTED] = "restarted",
    [INELIGIBLE_DRAINING] = "draining",
    [INELIGIBLE_LEAVING] = "leaving",
    [INELIGIBLE_RELOCATED] = "relocated",
    [INELIGIBLE_EVACUATED] = "evacuated",
    [INELIGIBLE_VERSION] = "version",
    [INELIGIBLE_TRIED] = "tried",
    [INELIGIBLE_EJECTED] = "ejected",
    [INELIGIBLE_PAUSED] = "paused",
    [INELIGIBLE_FULL] = "full",
    [INELIGIBLE_LIMITED] = "limited",
    [INELIGIBLE_TURN] = "turn",
    [INELIGIBLE_COLD] = "cold",
    [INELIGIBLE_CONNECTIONS] = "connections",
    [INELIGIBLE_PLACE] = "place",
};

/// @param reason  why an upstream may not get a request
/// @return the reason as one word, for log lines
const char *
eligibility_reason_name(enum eligibility_reason reason)
{
	return reason_names[reason];
}

/// @param path  how a request comes to be sent
/// @return the path as one word, for log lines
const char *
eligibility_path_name(enum send_path path)
{
	static const char *const names[] = {
	    [SEND_FIRST] = "first",
	    [SEND_RETRY] = "retry",
	    [SEND_FORWARDED] = "forwarded",
	    [SEND_TAKE_UP] = "take-up",
	    [SEND_CONTINUATION] = "continuation",
	    [SEND_CHECKED] = "checked",
	    [SEND_COPY] = "copy",
	    [SEND_RESUME] = "resume",
	};

	return names[path];
}

/// Returns why an upstream is out of service.
///
/// @return ELIGIBLE if it is in service
static enum eligibility_reason
find_service_reason(const struct eligibility_inputs *inputs)
{
	if (inputs->is_draining)
		return INELIGIBLE_DRAINING;
	if (inputs->is_leaving)
		return INELIGIBLE_LEAVING;
	if (inputs->is_relocated)
		return INELIGIBLE_RELOCATED;
	if (inputs->is_evacuated)
		return INELIGIBLE_EVACUATED;
	if (inputs->has_other_version)
		return INELIGIBLE_VERSION;
	return ELIGIBLE;
}

/// @param inputs  what is known of an upstream
/// @return whether it takes requests at all, regardless of its load and health
bool
eligibility_is_in_service(const struct eligibility_inputs *inputs)
{
	return find_service_reason(inputs) == ELIGIBLE;
}

/// Adds a reason that ends at a time, unless another one lasts longer.
static void
add_reason(struct eligibility *eligibility, usec_t now,
    enum eligibility_reason reason, usec_t until)
{
	if (until <= now || until <= eligibility->until)
		return;
	eligibility->reason = reason;
	eligibility->until = until;
}

/// Decides whether an upstream may get a request.
///
/// @param inputs  what is known of the upstream
/// @param now     current time
/// @return the reason that lasts longest, or ELIGIBLE. Permits for a cold
///         upstream, connections and places come back at an unknown time, and
///         count as ending at once.
struct eligibility
eligibility_check(const struct eligibility_inputs *inputs, usec_t now)
{
	struct eligibility result = {.reason = find_service_reason(inputs)};

	if (result.reason == ELIGIBLE && inputs->was_tried)
		result.reason = INELIGIBLE_TRIED;
	if (result.reason != ELIGIBLE) {
		result.until = USEC_NEVER;
		return result;
	}
	add_reason(&result, now, INELIGIBLE_EJECTED, inputs->ejected_until);
	add_reason(&result, now, INELIGIBLE_PAUSED, inputs->paused_until);
	add_reason(&result, now, INELIGIBLE_FULL, inputs->full_until);
	add_reason(&result, now,
	    inputs->limit_has_turns ? INELIGIBLE_TURN : INELIGIBLE_LIMITED,
	    inputs->limit_permit_at);
	if (result.reason == ELIGIBLE && inputs->lacks_cold_permit)
		result = (struct eligibility){INELIGIBLE_COLD, now};
	if (result.reason == ELIGIBLE && inputs->lacks_connections)
		result = (struct eligibility){INELIGIBLE_CONNECTIONS, now};
	if (result.reason == ELIGIBLE && inputs->lacks_place)
		result = (struct eligibility){INELIGIBLE_PLACE, now};
	return result;
}

/// Returns why no request may be sent to an upstream, whatever the path.
///
/// @return ELIGIBLE if one may be, or if it only drains
static enum eligibility_reason
find_send_reason(const struct send_inputs *inputs)
{
	if (!inputs->is_known)
		return INELIGIBLE_GONE;
	if (!inputs->is_same_process)
		return INELIGIBLE_RESTARTED;
	if (inputs->is_relocated)
		return INELIGIBLE_RELOCATED;
	if (inputs->is_evacuated)
		return INELIGIBLE_EVACUATED;
	return ELIGIBLE;
}

/// Checks whether an upstream has drained for too long to take a request.
static bool
is_past_draining(usec_t since, enum send_path path, usec_t now)
{
	return path != SEND_RESUME || now >= since + ELIGIBILITY_RESUME_GRACE;
}

/// Decides whether a request may be sent to the upstream that was chosen for
/// it. Load and health of the upstream, and what else placement considers,
/// don't count: a choice that was made isn't reversed for these.
///
/// @param inputs  what is known of the upstream
/// @param path    how the request comes to be sent; only a stream whose copy is
///                at the upstream may be sent there for a while after the
///                upstream has begun to drain
/// @param now     current time
/// @return ELIGIBLE, or the first reason not to send it
struct eligibility
eligibility_check_send(
    const struct send_inputs *inputs, enum send_path path, usec_t now)
{
	struct eligibility result = {.reason = find_send_reason(inputs)};

	if (result.reason == ELIGIBLE && inputs->is_draining &&
	    is_past_draining(inputs->draining_since, path, now))
		result.reason = INELIGIBLE_DRAINING;
	if (result.reason == ELIGIBLE && inputs->is_leaving &&
	    is_past_draining(inputs->leaving_since, path, now))
		result.reason = INELIGIBLE_LEAVING;
	if (result.reason != ELIGIBLE)
		result.until = USEC_NEVER;
	else
		add_reason(
		    &result, now, INELIGIBLE_PAUSED, inputs->paused_until);
	return result;
}
