/*
 * Evidence on prompt segments, shared by the modules of the quarantine:
 * quarantine_tally.c weighs it, quarantine_memory.c decides what is kept, and
 * quarantine.c keeps the rules.
 */
#ifndef GODWITVALE_CORE_QUARANTINE_PRIVATE_H
#define GODWITVALE_CORE_QUARANTINE_PRIVATE_H

#include "godwitvale/core/quarantine.h"

struct recent_times;

struct quarantine {
	quarantine_listener listener;
	void *owner;
	struct quarantine_crash crashes[QUARANTINE_CRASHES_MAX];
	size_t n_crashes; /// oldest first
	struct quarantine_rule rules[QUARANTINE_RULES_MAX];
	size_t n_rules;
	struct recent_times *safe; /// when segments were last answered
	bool has_answers;          /// any segment ever was
	usec_t review_at;          /// time to weigh the crashes again; 0: none
	struct quarantine_rule matched; /// what quarantine_match() returned
};

/// Crashes that count against one segment.
struct crash_tally {
	const struct quarantine_crash *crashes[QUARANTINE_CRASHES_MAX];
	size_t n;
};

bool quarantine_is_same_crash(
    const struct quarantine_crash *a, const struct quarantine_crash *b);
unsigned quarantine_count_crashes(
    const struct quarantine *quarantine, uint64_t segment);
struct crash_tally quarantine_tally_crashes(
    const struct quarantine *quarantine, uint64_t segment);
bool quarantine_is_sufficient(struct quarantine *quarantine, usec_t now,
    const struct crash_tally *tally, uint64_t segment);
bool quarantine_remove_safe(
    const struct quarantine *quarantine, struct segment_set *set, usec_t since);
struct segment_set quarantine_find_common(
    const struct quarantine *quarantine, const struct crash_tally *tally);

bool quarantine_has_waited_less(
    const struct quarantine *quarantine, const struct quarantine_crash *early);
void quarantine_remove_early(
    struct quarantine *quarantine, const struct quarantine_crash *crash);
bool quarantine_is_refuted(
    const struct quarantine *quarantine, const struct quarantine_crash *crash);
void quarantine_make_room(struct quarantine *quarantine);
bool quarantine_is_beyond_memory(
    const struct quarantine *quarantine, const struct quarantine_crash *crash);

#endif
