/* Collects the evidence on prompt segments and keeps the rules on them. */
#include "godwitvale/core/quarantine.h"

#include <string.h>

#include <glib.h>

#include "godwitvale/core/quarantine_private.h"
#include "godwitvale/core/recent_times.h"

/// A crash is forgotten after this time.
#define QUARANTINE_CRASH_TTL (60 * 60 * USEC_PER_SEC)
/// A crash that isn't known is taken over only if it isn't older than this. It
/// is less than QUARANTINE_CRASH_TTL, so that a crash that was forgotten here
/// isn't learnt again from an instance that forgets it next.
#define QUARANTINE_NEWS_TTL (QUARANTINE_CRASH_TTL / 2)
/// A crash whose segments were all answered since is kept for this long, until
/// the other instances have learnt of the answers.
#define QUARANTINE_REFUTED_TTL (60 * USEC_PER_SEC)
/// Time from a rule to its first trial; each later pause is three times as
/// long as the one before.
#define QUARANTINE_FIRST_TRIAL_DELAY (20 * USEC_PER_SEC)
#define QUARANTINE_TRIAL_DELAY_FACTOR 3
/// Time from a trial to that of another rule, whose crash might end the first
/// one without a result.
#define QUARANTINE_TRIAL_SPACING (5 * USEC_PER_SEC)
/// A request with a segment that more crashes have in common than any other is
/// tried this much later than others. It would crash an engine and use the
/// trial up, though the rule may be wrong for the other requests.
#define QUARANTINE_SUSPECT_DELAY (30 * USEC_PER_SEC)
/// Times that other instances report may be late by this much. A later time is
/// taken over only if it differs by more; otherwise a time that instances pass
/// on to each other would become later each time.
#define QUARANTINE_TIME_TOLERANCE (500 * USEC_PER_MSEC)
/// Number of segments in each of the two generations of the safe segments.
#define QUARANTINE_GENERATION_SIZE 2048

/// Creates a quarantine without evidence.
///
/// @param listener  called on each change of a rule
/// @param owner     passed to the listener
/// @return the quarantine; free with quarantine_free()
struct quarantine *
quarantine_new(quarantine_listener listener, void *owner)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->listener = listener;
	quarantine->owner = owner;
	quarantine->safe = recent_times_new(QUARANTINE_GENERATION_SIZE);
	return quarantine;
}

/// Frees a quarantine, without calling the listener.
///
/// @param quarantine  not NULL
void
quarantine_free(struct quarantine *quarantine)
{
	recent_times_free(quarantine->safe);
	g_free(quarantine);
}

/// Removes a rule.
static void
remove_rule(struct quarantine *quarantine, size_t i)
{
	quarantine->rules[i] = quarantine->rules[--quarantine->n_rules];
}

/// Removes a rule and reports why.
static void
end_rule(struct quarantine *quarantine, size_t i, enum quarantine_change change)
{
	struct quarantine_rule ended = quarantine->rules[i];

	remove_rule(quarantine, i);
	quarantine->listener(quarantine->owner, change, &ended);
}

/// Replaces the rule that matched a request least recently, if there is no
/// room for another one.
static void
make_room_for_rule(struct quarantine *quarantine)
{
	size_t idlest = 0;

	if (quarantine->n_rules < QUARANTINE_RULES_MAX)
		return;
	for (size_t i = 1; i < quarantine->n_rules; i++)
		if (quarantine->rules[i].matched_at <
		    quarantine->rules[idlest].matched_at)
			idlest = i;
	end_rule(quarantine, idlest, QUARANTINE_EXPIRED);
}

/// Returns the later of a known time and a reported one.
static usec_t
merge_time(usec_t known, usec_t reported)
{
	return reported > known + QUARANTINE_TIME_TOLERANCE ? reported : known;
}

/// Merges what two rules on the same segments say.
static void
merge_rule(struct quarantine_rule *rule, const struct quarantine_rule *other)
{
	rule->n_crashes = MAX(rule->n_crashes, other->n_crashes);
	rule->crashed_at = merge_time(rule->crashed_at, other->crashed_at);
	rule->matched_at = merge_time(rule->matched_at, other->matched_at);
	if (other->n_trials <= rule->n_trials)
		return;
	rule->n_trials = other->n_trials;
	rule->trial_at = other->trial_at;
}

/// Puts a rule in force. A rule that covers the same requests and more
/// takes it in; rules that cover fewer requests are replaced.
static void
put_rule(struct quarantine *quarantine, const struct quarantine_rule *added)
{
	struct quarantine_rule rule = *added;
	enum quarantine_change change = QUARANTINE_FORMED;

	for (size_t i = 0; i < quarantine->n_rules; i++) {
		struct quarantine_rule *other = &quarantine->rules[i];

		if (segment_set_contains(&rule.segments, &other->segments)) {
			merge_rule(other, &rule);
			return;
		}
	}
	for (size_t i = 0; i < quarantine->n_rules;) {
		const struct quarantine_rule *other = &quarantine->rules[i];

		if (segment_set_contains(&other->segments, &rule.segments)) {
			merge_rule(&rule, other);
			remove_rule(quarantine, i);
			change = QUARANTINE_NARROWED;
		} else {
			i++;
		}
	}
	make_room_for_rule(quarantine);
	quarantine->rules[quarantine->n_rules++] = rule;
	quarantine->listener(quarantine->owner, change, &rule);
}

/// Counts a trial of a rule, and sets the time of the next one.
static void
count_trial(struct quarantine_rule *rule, usec_t now)
{
	usec_t delay = QUARANTINE_FIRST_TRIAL_DELAY;

	rule->n_trials++;
	for (unsigned i = 0; i < rule->n_trials; i++)
		delay *= QUARANTINE_TRIAL_DELAY_FACTOR;
	rule->trial_at =
	    rule->n_trials < QUARANTINE_TRIALS_MAX ? now + delay : USEC_NEVER;
}

/// Puts rules in force for the segments of a crash against which there is
/// enough evidence.
///
/// @param before  rule whose trials the new ones take over, or NULL
static void
update_rules(struct quarantine *quarantine, usec_t now,
    const struct segment_set *segments, const struct quarantine_rule *before)
{
	for (unsigned i = 0; i < segments->n; i++) {
		struct crash_tally tally =
		    quarantine_tally_crashes(quarantine, segments->ids[i]);
		struct quarantine_rule rule = {
		    .n_crashes = (unsigned)tally.n,
		    .n_trials = before == NULL ? 0 : before->n_trials,
		    .matched_at = now,
		    .trial_at = before == NULL
			? now + QUARANTINE_FIRST_TRIAL_DELAY
			: before->trial_at,
		};

		if (tally.n == 0 ||
		    !quarantine_is_sufficient(
			quarantine, now, &tally, segments->ids[i]))
			continue;
		rule.crashed_at = tally.crashes[tally.n - 1]->at;
		rule.segments = quarantine_find_common(quarantine, &tally);
		if (rule.segments.n > 0)
			put_rule(quarantine, &rule);
	}
}

/// Weighs the crashes again, if the reports on the last one have had the time
/// to arrive.
static void
review_crashes(struct quarantine *quarantine, usec_t now)
{
	if (quarantine->review_at == 0 || now < quarantine->review_at)
		return;
	quarantine->review_at = 0;
	for (size_t i = 0; i < quarantine->n_crashes; i++) {
		struct segment_set segments = quarantine->crashes[i].segments;

		update_rules(quarantine, now, &segments, NULL);
	}
}

/// Adds a crash that this or another instance has observed.
///
/// @param quarantine  evidence to add to
/// @param now         current time
/// @param crash       the crash; copied
/// @return false if the crash was known or is old, its request had no segments,
///         or it was early and another request explains it better
bool
quarantine_add_crash(struct quarantine *quarantine, usec_t now,
    const struct quarantine_crash *crash)
{
	struct segment_set segments = crash->segments;
	size_t at;

	if (crash->segments.n == 0 || now > crash->at + QUARANTINE_NEWS_TTL)
		return false;
	for (size_t i = 0; i < quarantine->n_crashes; i++)
		if (quarantine->crashes[i].id == crash->id)
			return false;
	if (crash->is_early && quarantine_has_waited_less(quarantine, crash))
		return false;
	if (crash->is_early)
		quarantine_remove_early(quarantine, crash);
	if (quarantine_is_beyond_memory(quarantine, crash))
		return false;
	quarantine_make_room(quarantine);
	at = quarantine->n_crashes;
	while (at > 0 && quarantine->crashes[at - 1].at > crash->at)
		at--;
	memmove(&quarantine->crashes[at + 1], &quarantine->crashes[at],
	    (quarantine->n_crashes - at) * sizeof(*crash));
	quarantine->n_crashes++;
	quarantine->crashes[at] = *crash;
	update_rules(quarantine, now, &segments, NULL);
	return true;
}

/// Puts rules in force for the crashes that a lifted rule had explained. They
/// take over its trials, but one remains: they may be wrong, too.
static void
replace_lifted_rule(
    struct quarantine *quarantine, usec_t now, struct quarantine_rule lifted)
{
	struct quarantine_crash crashes[QUARANTINE_CRASHES_MAX];
	size_t n = quarantine_list_crashes(
	    quarantine, crashes, QUARANTINE_CRASHES_MAX);

	if (lifted.trial_at == USEC_NEVER) {
		lifted.n_trials = QUARANTINE_TRIALS_MAX - 2;
		count_trial(&lifted, now);
	}
	for (size_t i = 0; i < n; i++)
		if (segment_set_contains(
			&crashes[i].segments, &lifted.segments))
			update_rules(
			    quarantine, now, &crashes[i].segments, &lifted);
}

/// Narrows the rules that name segments which were answered since, and lifts
/// those that name no others.
///
/// @param now  current time
/// @return whether a rule has changed
static bool
review_rules(struct quarantine *quarantine, usec_t now)
{
	struct quarantine_rule lifted[QUARANTINE_RULES_MAX];
	size_t n_lifted = 0;
	bool changed = false;

	for (size_t i = 0; i < quarantine->n_rules;) {
		struct quarantine_rule *rule = &quarantine->rules[i];
		struct quarantine_rule before = *rule;

		if (!quarantine_remove_safe(
			quarantine, &rule->segments, rule->crashed_at)) {
			i++;
			continue;
		}
		changed = true;
		if (rule->segments.n > 0) {
			quarantine->listener(
			    quarantine->owner, QUARANTINE_NARROWED, rule);
			i++;
		} else {
			*rule = before;
			lifted[n_lifted++] = before;
			end_rule(quarantine, i, QUARANTINE_LIFTED);
		}
	}
	for (size_t i = 0; i < n_lifted; i++)
		replace_lifted_rule(quarantine, now, lifted[i]);
	return changed;
}

/// Adds segments of a request that this instance has seen answered: its engine
/// wrote the beginning of the answer and didn't crash.
///
/// @param quarantine  evidence to add to
/// @param at          time of the answer
/// @param segments    segments of the request
/// @param n_segments  number of segments
/// @return whether a rule has changed, which other instances should learn
bool
quarantine_add_safe(struct quarantine *quarantine, usec_t at,
    const uint64_t *segments, unsigned n_segments)
{
	for (unsigned i = 0; i < n_segments; i++)
		recent_times_set(quarantine->safe, segments[i], at);
	quarantine->has_answers = quarantine->has_answers || n_segments > 0;
	return review_rules(quarantine, at);
}

/// Adds a segment that another instance has seen answered.
///
/// @param quarantine  evidence to add to
/// @param segment     id of the segment
/// @param at          time of the answer
void
quarantine_merge_safe(
    struct quarantine *quarantine, uint64_t segment, usec_t at)
{
	usec_t known = recent_times_get(quarantine->safe, segment);

	if (known == 0 || merge_time(known, at) != known)
		quarantine_add_safe(quarantine, at, &segment, 1);
}

/// Adds a rule of another instance. Segments that were answered since are
/// left out of it.
///
/// @param quarantine  evidence to add to
/// @param now         current time
/// @param rule     the rule; copied
void
quarantine_merge_rule(struct quarantine *quarantine, usec_t now,
    const struct quarantine_rule *rule)
{
	struct quarantine_rule added = *rule;

	if (now >= added.matched_at + QUARANTINE_IDLE_SPAN)
		return;
	quarantine_remove_safe(quarantine, &added.segments, added.crashed_at);
	if (added.segments.n > 0)
		put_rule(quarantine, &added);
}

/// Finds the next of the rules that cover a request.
///
/// @param set    segments of the request
/// @param after  the rule before; NULL: finds the first one
static struct quarantine_rule *
find_next_rule(struct quarantine *quarantine, const struct segment_set *set,
    const struct quarantine_rule *after)
{
	size_t first =
	    after == NULL ? 0 : (size_t)(after - quarantine->rules) + 1;

	for (size_t i = first; i < quarantine->n_rules; i++)
		if (segment_set_contains(set, &quarantine->rules[i].segments))
			return &quarantine->rules[i];
	return NULL;
}

/// Finds the largest number of crashes with one segment of a set that a rule
/// doesn't name.
static unsigned
count_crashes_beside(const struct quarantine *quarantine,
    const struct segment_set *set, const struct quarantine_rule *rule)
{
	unsigned max = 0;

	for (unsigned i = 0; i < set->n; i++)
		if (!segment_set_has(&rule->segments, set->ids[i]))
			max = MAX(max,
			    quarantine_count_crashes(quarantine, set->ids[i]));
	return max;
}

/// Checks whether a request has the segment that is most likely to crash
/// engines, of those that a rule doesn't name.
static bool
is_prime_suspect(const struct quarantine *quarantine,
    const struct segment_set *set, const struct quarantine_rule *rule)
{
	unsigned n = count_crashes_beside(quarantine, set, rule);

	if (n == 0)
		return false;
	for (size_t i = 0; i < quarantine->n_crashes; i++)
		if (count_crashes_beside(
			quarantine, &quarantine->crashes[i].segments, rule) > n)
			return false;
	return true;
}

/// Checks whether a request must be refused. If several rules cover it, it may
/// be tried only when it may be under all of them.
///
/// @param quarantine  rules to check
/// @param now         current time
/// @param segments    segments of the request
/// @param n_segments  number of segments
/// @return the rule that covers the request, or NULL; valid until the next
///         change. Of several ones, that with the latest trial. If its
///         `trial_at` has come, the request may be tried after all: see
///         quarantine_begin_trial().
const struct quarantine_rule *
quarantine_match(struct quarantine *quarantine, usec_t now,
    const uint64_t *segments, unsigned n_segments)
{
	struct quarantine_rule *rule = NULL;
	struct quarantine_rule *latest = NULL;
	struct segment_set set;

	review_crashes(quarantine, now);
	if (quarantine->n_rules == 0)
		return NULL;
	set = segment_set_from_list(segments, n_segments);
	while ((rule = find_next_rule(quarantine, &set, rule)) != NULL) {
		rule->matched_at = now;
		if (latest == NULL || rule->trial_at > latest->trial_at)
			latest = rule;
	}
	if (latest == NULL)
		return NULL;
	quarantine->matched = *latest;
	if (latest->trial_at <= now &&
	    is_prime_suspect(quarantine, &set, latest))
		quarantine->matched.trial_at += QUARANTINE_SUSPECT_DELAY;
	return &quarantine->matched;
}

/// Begins a trial of all rules that cover a request. Others are tried later.
///
/// @param quarantine  rules
/// @param now         current time
/// @param segments    segments of the request that is sent
/// @param n_segments  number of segments
void
quarantine_begin_trial(struct quarantine *quarantine, usec_t now,
    const uint64_t *segments, unsigned n_segments)
{
	struct segment_set set = segment_set_from_list(segments, n_segments);

	for (size_t i = 0; i < quarantine->n_rules; i++) {
		struct quarantine_rule *rule = &quarantine->rules[i];

		if (segment_set_contains(&set, &rule->segments))
			count_trial(rule, now);
		else
			rule->trial_at =
			    MAX(rule->trial_at, now + QUARANTINE_TRIAL_SPACING);
	}
}

/// Checks whether a crash is old, or all of its segments were answered since.
static bool
is_obsolete(const struct quarantine *quarantine, usec_t now,
    const struct quarantine_crash *crash)
{
	if (now >= crash->at + QUARANTINE_CRASH_TTL)
		return true;
	return quarantine_is_refuted(quarantine, crash) &&
	    now >= crash->at + QUARANTINE_REFUTED_TTL;
}

/// Forgets obsolete crashes, ends idle rules, and weighs late reports.
///
/// @param quarantine  evidence to check
/// @param now         current time
void
quarantine_tick(struct quarantine *quarantine, usec_t now)
{
	size_t n_kept = 0;

	review_crashes(quarantine, now);
	for (size_t i = 0; i < quarantine->n_crashes; i++)
		if (!is_obsolete(quarantine, now, &quarantine->crashes[i]))
			quarantine->crashes[n_kept++] = quarantine->crashes[i];
	quarantine->n_crashes = n_kept;
	for (size_t i = 0; i < quarantine->n_rules;)
		if (now >=
		    quarantine->rules[i].matched_at + QUARANTINE_IDLE_SPAN)
			end_rule(quarantine, i, QUARANTINE_EXPIRED);
		else
			i++;
}

/// Lists the crashes that are remembered, oldest first.
///
/// @param quarantine  evidence
/// @param crashes     filled in
/// @param max         number of elements in `crashes`
/// @return number of elements filled in
size_t
quarantine_list_crashes(const struct quarantine *quarantine,
    struct quarantine_crash *crashes, size_t max)
{
	size_t n = MIN(quarantine->n_crashes, max);

	memcpy(crashes, quarantine->crashes, n * sizeof(*crashes));
	return n;
}

/// @param quarantine  rules
/// @return number of rules in force
size_t
quarantine_count_rules(const struct quarantine *quarantine)
{
	return quarantine->n_rules;
}

/// Lists the rules in force.
///
/// @param quarantine  rules
/// @param rules    filled in
/// @param max         number of elements in `rules`
/// @return number of elements filled in
size_t
quarantine_list_rules(const struct quarantine *quarantine,
    struct quarantine_rule *rules, size_t max)
{
	size_t n = MIN(quarantine->n_rules, max);

	memcpy(rules, quarantine->rules, n * sizeof(*rules));
	return n;
}

/// Adds a segment to a list of safe ones if it was ever answered and isn't
/// listed yet.
static size_t
append_safe(const struct quarantine *quarantine, uint64_t segment,
    struct quarantine_safe *safe, size_t n)
{
	usec_t at = recent_times_get(quarantine->safe, segment);

	if (at == 0)
		return n;
	for (size_t i = 0; i < n; i++)
		if (safe[i].segment == segment)
			return n;
	safe[n] = (struct quarantine_safe){segment, at};
	return n + 1;
}

/// Lists when the segments of the remembered crashes were last answered;
/// segments of the newest crashes first.
///
/// @param quarantine  evidence
/// @param safe       filled in
/// @param max         number of elements in `safe`
/// @return number of elements filled in
size_t
quarantine_list_safe(const struct quarantine *quarantine,
    struct quarantine_safe *safe, size_t max)
{
	size_t n = 0;

	for (size_t c = quarantine->n_crashes; c > 0; c--) {
		const struct segment_set *segments =
		    &quarantine->crashes[c - 1].segments;

		for (unsigned i = 0; i < segments->n && n < max; i++)
			n = append_safe(quarantine, segments->ids[i], safe, n);
	}
	return n;
}

/// @param quarantine  evidence
/// @param segment     id of a segment
/// @return time at which an engine last answered a request with the segment;
///         0: not known
usec_t
quarantine_safe_at(const struct quarantine *quarantine, uint64_t segment)
{
	return recent_times_get(quarantine->safe, segment);
}

/// Returns a number that is the same for a rule on the same segments at all
/// instances.
///
/// @param rule  a rule
/// @return the number
uint64_t
quarantine_rule_key(const struct quarantine_rule *rule)
{
	uint64_t key = rule->n_trials;

	for (unsigned i = 0; i < rule->segments.n; i++)
		key ^= rule->segments.ids[i];
	return key;
}
