/* Shares out trials among instances, and ends the requests in quarantine. */
#include "godwitvale/entry/guard_common.h"

#include "godwitvale/core/hash.h"

/// If the instance that may try a quarantined request gets none within this
/// time, another instance may try one.
#define GUARD_TRIAL_TURN (5 * USEC_PER_SEC)

/// Checks whether this instance may try a request in quarantine.
///
/// @param entry     this instance
/// @param rule      number of the quarantine, the same at all instances
/// @param trial_at  time from which it may be tried
/// @param now       current time
/// @return whether it is due, and no other instance's turn
bool
guard_has_turn(
    const struct entry *entry, uint64_t rule, usec_t trial_at, usec_t now)
{
	uint64_t turn;

	if (now < trial_at)
		return false;
	turn = (uint64_t)((now - trial_at) / GUARD_TRIAL_TURN);
	return membership_task_rank(
		   peers_membership(entry->peers), hash_pair(rule, turn)) == 0;
}

/// Checks whether a request must be ended: it isn't a trial and the caller has
/// nothing of an answer yet.
static bool
is_to_be_ended(
    const struct entry_request *request, guard_covers covers, void *owner)
{
	return !request->is_done && !request->is_trial &&
	    !request->response_started && request->events_sent == 0 &&
	    covers(owner, request);
}

/// Ends the requests that a new quarantine covers, before they crash more
/// upstreams.
///
/// @param entry   instance whose requests are checked
/// @param covers  checks whether the quarantine covers a request
/// @param owner   passed to `covers`
/// @param outcome  one word for the log and the metrics
void
guard_end_covered(
    struct entry *entry, guard_covers covers, void *owner, const char *outcome)
{
	GList *requests = g_hash_table_get_keys(entry->requests);

	for (GList *l = requests; l != NULL; l = l->next)
		entry_request_ref(l->data);
	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;

		if (is_to_be_ended(request, covers, owner))
			entry_request_refuse_quarantined(request, outcome);
		entry_request_unref(request);
	}
	g_list_free(requests);
}
