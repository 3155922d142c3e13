/*
 * Chooses the hub of this instance: the member that passes its messages on to
 * all others, and theirs to it.
 *
 * Load pattern: when each of several hundred instances sends its heartbeats and
 * loads to all others, the datagrams grow with the square of the fleet. A few
 * hubs gather and pass them on. Instances choose by themselves among the same
 * few members of their availability zone, and leave a hub that falls silent.
 */
#ifndef GODWITVALE_CORE_HUB_CHOICE_H
#define GODWITVALE_CORE_HUB_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/membership.h"
#include "godwitvale/core/time_defs.h"

/// A fleet that has been smaller for this long sends directly again.
#define HUB_SMALL_SPAN (5 * USEC_PER_SEC)
/// Number of subscribers for each hub of a zone.
#define HUB_SUBSCRIBERS 16
/// A hub that sends nothing for this long isn't used any more.
#define HUB_SILENCE_MAX (600 * USEC_PER_MSEC)
/// Time for which a hub that has failed isn't chosen again.
#define HUB_FAILED_SPAN (5 * USEC_PER_SEC)
/// Links of this rate and faster are preferred for hubs, in Mbit/s.
#define HUB_FAST_LINK_MBPS 100
/// Maximum number of failed hubs that are remembered.
#define HUB_FAILED_MAX 8

/// What this instance knows of itself.
struct hub_self {
	uint64_t name_hash;
	uint64_t zone; /// hash of its availability zone
	uint64_t link_mbps;
	bool leaving;
	bool has_subscribers; /// other instances use it as their hub
};

/// A hub that isn't chosen for some time.
struct hub_failed {
	uint64_t name_hash;
	usec_t until;
};

/// State of the choice; embedded by value. All zero at the start.
struct hub_choice {
	uint64_t hub;       /// hash of its name; 0: none chosen yet
	usec_t silent_at;   /// when the hub counts as silent
	usec_t rejudged_at; /// when its reach may be judged again
	struct hub_failed failed[HUB_FAILED_MAX];
	unsigned n_failures; /// so far
};

/// What an update of the choice has done.
enum hub_change {
	HUB_KEPT = 0,
	HUB_CHOSEN,  /// another one, by the members that are known now
	HUB_SILENT,  /// another one, as the last one was silent
	HUB_CUT_OFF, /// another one, as little reached this instance through it
};

enum hub_change hub_choice_update(struct hub_choice *choice,
    const struct membership *membership, const struct hub_self *self,
    usec_t now);
void hub_choice_note_heard(
    struct hub_choice *choice, uint64_t name_hash, usec_t now);

#endif
