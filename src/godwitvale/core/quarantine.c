/* Weighs the evidence on prompt segments and keeps the verdicts on them. */
#include "godwitvale/core/quarantine.h"

#include <string.h>

#include <glib.h>

/// Crashes of different engines that convict a segment no engine has answered.
#define QUARANTINE_CRASHES_UNKNOWN 2
/// Crashes of different engines that convict a segment that was sound before.
#define QUARANTINE_CRASHES_KNOWN 4
/// Crashes that convict a segment even if they are of the same engine.
#define QUARANTINE_CRASHES_ANY 4
/// Crashes closer to each other count as one: when a machine or a zone fails,
/// many engines end at the same moment.
#define QUARANTINE_CRASH_SPACING (250 * USEC_PER_MSEC)
/// A crash is forgotten after this time.
#define QUARANTINE_CRASH_TTL (60 * 60 * USEC_PER_SEC)
/// A crash that isn't known is taken over only if it isn't older than this. It
/// is less than QUARANTINE_CRASH_TTL, so that a crash that was forgotten here
/// isn't learnt again from an instance that forgets it next.
#define QUARANTINE_NEWS_TTL (QUARANTINE_CRASH_TTL / 2)
/// A crash whose segments were all answered since is kept for this long, until
/// the other instances have learnt of the answers.
#define QUARANTINE_REFUTED_TTL (60 * USEC_PER_SEC)
/// Time from a verdict to its first trial; each later pause is three times as
/// long as the one before.
#define QUARANTINE_FIRST_TRIAL_DELAY (20 * USEC_PER_SEC)
#define QUARANTINE_TRIAL_DELAY_FACTOR 3
/// Times that other instances report may be late by this much. A later time is
/// taken over only if it differs by more; otherwise a time that instances pass
/// on to each other would become later each time.
#define QUARANTINE_TIME_TOLERANCE (500 * USEC_PER_MSEC)
/// Number of segments in each of the two generations of the sound segments.
#define QUARANTINE_GENERATION_SIZE 2048

struct quarantine {
	quarantine_listener listener;
	void *owner;
	struct quarantine_crash crashes[QUARANTINE_CRASHES_MAX];
	size_t n_crashes; /// oldest first
	struct quarantine_verdict verdicts[QUARANTINE_VERDICTS_MAX];
	size_t n_verdicts;
	/// Segment -> usec_t *, when it was last answered. When the newer
	/// generation is full, the older one is dropped.
	GHashTable *sound_newer;
	GHashTable *sound_older;
};

/// Crashes that count against one segment.
struct indictment {
	const struct quarantine_crash *crashes[QUARANTINE_CRASHES_MAX];
	size_t n;
	size_t n_upstreams; /// number of different engines
};

/// Checks whether a set has a segment.
static bool
set_has(const struct segment_set *set, uint64_t segment)
{
	for (unsigned i = 0; i < set->n; i++)
		if (set->ids[i] == segment)
			return true;
	return false;
}

/// Checks whether a set has all segments of another one.
static bool
set_contains(const struct segment_set *set, const struct segment_set *other)
{
	for (unsigned i = 0; i < other->n; i++)
		if (!set_has(set, other->ids[i]))
			return false;
	return true;
}

/// Builds a set from a list; drops repeated segments and those beyond
/// QUARANTINE_SEGMENTS_MAX.
static struct segment_set
set_from_list(const uint64_t *segments, unsigned n_segments)
{
	struct segment_set set = {.n = 0};

	for (unsigned i = 0; i < n_segments && set.n < QUARANTINE_SEGMENTS_MAX;
	     i++)
		if (!set_has(&set, segments[i]))
			set.ids[set.n++] = segments[i];
	return set;
}

/// Removes the segment at an index; the order of the others may change.
static void
set_remove_at(struct segment_set *set, unsigned i)
{
	set->ids[i] = set->ids[--set->n];
}

/// @return an empty table of times by segment
static GHashTable *
new_generation(void)
{
	return g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, g_free);
}

/// Creates a quarantine without evidence.
///
/// @param listener  called on each change of a verdict
/// @param owner     passed to the listener
/// @return the quarantine; free with quarantine_free()
struct quarantine *
quarantine_new(quarantine_listener listener, void *owner)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->listener = listener;
	quarantine->owner = owner;
	quarantine->sound_newer = new_generation();
	quarantine->sound_older = new_generation();
	return quarantine;
}

/// Frees a quarantine, without calling the listener.
///
/// @param quarantine  not NULL
void
quarantine_free(struct quarantine *quarantine)
{
	g_hash_table_unref(quarantine->sound_newer);
	g_hash_table_unref(quarantine->sound_older);
	g_free(quarantine);
}

/// @return when a segment was last answered; 0: never, as far as is known
static usec_t
find_sound_at(const struct quarantine *quarantine, uint64_t segment)
{
	const usec_t *at =
	    g_hash_table_lookup(quarantine->sound_newer, &segment);

	if (at == NULL)
		at = g_hash_table_lookup(quarantine->sound_older, &segment);
	return at == NULL ? 0 : *at;
}

/// Records when a segment was answered, unless a later time is known.
static void
set_sound_at(struct quarantine *quarantine, uint64_t segment, usec_t at)
{
	at = MAX(at, find_sound_at(quarantine, segment));
	if (g_hash_table_size(quarantine->sound_newer) >=
	    QUARANTINE_GENERATION_SIZE) {
		g_hash_table_unref(quarantine->sound_older);
		quarantine->sound_older = quarantine->sound_newer;
		quarantine->sound_newer = new_generation();
	}
	g_hash_table_replace(quarantine->sound_newer,
	    g_memdup2(&segment, sizeof(segment)), g_memdup2(&at, sizeof(at)));
}

/// Checks whether a verdict that doesn't name a segment explains a crash. Such
/// a crash isn't evidence against that segment.
static bool
is_explained_otherwise(const struct quarantine *quarantine,
    const struct quarantine_crash *crash, uint64_t segment)
{
	for (size_t i = 0; i < quarantine->n_verdicts; i++) {
		const struct segment_set *named =
		    &quarantine->verdicts[i].segments;

		if (set_contains(&crash->segments, named) &&
		    !set_has(named, segment))
			return true;
	}
	return false;
}

/// Adds a crash to an indictment, unless it was too close to the one before.
static void
indict(struct indictment *indictment, const struct quarantine_crash *crash)
{
	bool is_other_upstream = true;

	if (indictment->n > 0 &&
	    crash->at < indictment->crashes[indictment->n - 1]->at +
		    QUARANTINE_CRASH_SPACING)
		return;
	for (size_t i = 0; i < indictment->n; i++)
		if (indictment->crashes[i]->upstream == crash->upstream)
			is_other_upstream = false;
	indictment->crashes[indictment->n++] = crash;
	indictment->n_upstreams += is_other_upstream;
}

/// Lists the crashes that count against a segment: those since it was last
/// answered that no other verdict explains.
static struct indictment
make_indictment(const struct quarantine *quarantine, uint64_t segment)
{
	struct indictment indictment = {.n = 0};
	usec_t sound_at = find_sound_at(quarantine, segment);

	for (size_t i = 0; i < quarantine->n_crashes; i++) {
		const struct quarantine_crash *crash = &quarantine->crashes[i];

		if (crash->at > sound_at &&
		    set_has(&crash->segments, segment) &&
		    !is_explained_otherwise(quarantine, crash, segment))
			indict(&indictment, crash);
	}
	return indictment;
}

/// Checks whether the crashes suffice to convict a segment.
static bool
is_convicted(const struct quarantine *quarantine,
    const struct indictment *indictment, uint64_t segment)
{
	size_t n_required = find_sound_at(quarantine, segment) == 0
	    ? QUARANTINE_CRASHES_UNKNOWN
	    : QUARANTINE_CRASHES_KNOWN;

	return indictment->n_upstreams >= n_required ||
	    indictment->n >= QUARANTINE_CRASHES_ANY;
}

/// Removes the segments that were answered after a time.
///
/// @return whether a segment was removed
static bool
remove_sound_segments(
    const struct quarantine *quarantine, struct segment_set *set, usec_t since)
{
	unsigned n_before = set->n;

	for (unsigned i = 0; i < set->n;)
		if (find_sound_at(quarantine, set->ids[i]) > since)
			set_remove_at(set, i);
		else
			i++;
	return set->n != n_before;
}

/// Returns the segments that all crashes of an indictment have in common and
/// that may be the cause.
static struct segment_set
find_common_segments(
    const struct quarantine *quarantine, const struct indictment *indictment)
{
	struct segment_set common = indictment->crashes[0]->segments;
	struct segment_set unknown;

	for (size_t c = 1; c < indictment->n; c++)
		for (unsigned i = 0; i < common.n;)
			if (set_has(&indictment->crashes[c]->segments,
				common.ids[i]))
				i++;
			else
				set_remove_at(&common, i);
	remove_sound_segments(quarantine, &common, indictment->crashes[0]->at);
	/* A segment that was sound before is blamed only for lack of others. */
	unknown = common;
	remove_sound_segments(quarantine, &unknown, 0);
	return unknown.n > 0 ? unknown : common;
}

/// Removes a verdict.
static void
remove_verdict(struct quarantine *quarantine, size_t i)
{
	quarantine->verdicts[i] =
	    quarantine->verdicts[--quarantine->n_verdicts];
}

/// Removes a verdict and reports why.
static void
end_verdict(
    struct quarantine *quarantine, size_t i, enum quarantine_change change)
{
	struct quarantine_verdict ended = quarantine->verdicts[i];

	remove_verdict(quarantine, i);
	quarantine->listener(quarantine->owner, change, &ended);
}

/// Replaces the verdict that matched a request least recently, if there is no
/// room for another one.
static void
make_room_for_verdict(struct quarantine *quarantine)
{
	size_t idlest = 0;

	if (quarantine->n_verdicts < QUARANTINE_VERDICTS_MAX)
		return;
	for (size_t i = 1; i < quarantine->n_verdicts; i++)
		if (quarantine->verdicts[i].matched_at <
		    quarantine->verdicts[idlest].matched_at)
			idlest = i;
	end_verdict(quarantine, idlest, QUARANTINE_EXPIRED);
}

/// Returns the later of a known time and a reported one.
static usec_t
merge_time(usec_t known, usec_t reported)
{
	return reported > known + QUARANTINE_TIME_TOLERANCE ? reported : known;
}

/// Merges what two verdicts on the same segments say.
static void
merge_verdict(
    struct quarantine_verdict *verdict, const struct quarantine_verdict *other)
{
	verdict->n_crashes = MAX(verdict->n_crashes, other->n_crashes);
	verdict->crashed_at =
	    merge_time(verdict->crashed_at, other->crashed_at);
	verdict->matched_at =
	    merge_time(verdict->matched_at, other->matched_at);
	if (other->n_trials <= verdict->n_trials)
		return;
	verdict->n_trials = other->n_trials;
	verdict->trial_at = other->trial_at;
}

/// Puts a verdict in force. A verdict that covers the same requests and more
/// takes it in; verdicts that cover fewer requests are replaced.
static void
put_verdict(
    struct quarantine *quarantine, const struct quarantine_verdict *added)
{
	struct quarantine_verdict verdict = *added;
	enum quarantine_change change = QUARANTINE_FORMED;

	for (size_t i = 0; i < quarantine->n_verdicts; i++) {
		struct quarantine_verdict *other = &quarantine->verdicts[i];

		if (set_contains(&verdict.segments, &other->segments)) {
			merge_verdict(other, &verdict);
			return;
		}
	}
	for (size_t i = 0; i < quarantine->n_verdicts;) {
		const struct quarantine_verdict *other =
		    &quarantine->verdicts[i];

		if (set_contains(&other->segments, &verdict.segments)) {
			merge_verdict(&verdict, other);
			remove_verdict(quarantine, i);
			change = QUARANTINE_NARROWED;
		} else {
			i++;
		}
	}
	make_room_for_verdict(quarantine);
	quarantine->verdicts[quarantine->n_verdicts++] = verdict;
	quarantine->listener(quarantine->owner, change, &verdict);
}

/// Convicts the segments of a crash against which there is enough evidence.
static void
judge_crash(struct quarantine *quarantine, usec_t now,
    const struct segment_set *segments)
{
	for (unsigned i = 0; i < segments->n; i++) {
		struct indictment indictment =
		    make_indictment(quarantine, segments->ids[i]);
		struct quarantine_verdict verdict = {
		    .n_crashes = (unsigned)indictment.n,
		    .matched_at = now,
		    .trial_at = now + QUARANTINE_FIRST_TRIAL_DELAY,
		};

		if (!is_convicted(quarantine, &indictment, segments->ids[i]))
			continue;
		verdict.crashed_at = indictment.crashes[indictment.n - 1]->at;
		verdict.segments =
		    find_common_segments(quarantine, &indictment);
		if (verdict.segments.n > 0)
			put_verdict(quarantine, &verdict);
	}
}

/// Adds a crash that this or another instance has observed.
///
/// @param quarantine  evidence to add to
/// @param now         current time
/// @param crash       the crash; copied
/// @return false if the crash was known or is old, or its request had no
///         segments
bool
quarantine_add_crash(struct quarantine *quarantine, usec_t now,
    const struct quarantine_crash *crash)
{
	size_t at = quarantine->n_crashes;
	struct segment_set segments = crash->segments;

	if (crash->segments.n == 0 || now > crash->at + QUARANTINE_NEWS_TTL)
		return false;
	for (size_t i = 0; i < quarantine->n_crashes; i++)
		if (quarantine->crashes[i].id == crash->id)
			return false;
	while (at > 0 && quarantine->crashes[at - 1].at > crash->at)
		at--;
	if (quarantine->n_crashes == QUARANTINE_CRASHES_MAX) {
		if (at == 0)
			return false;
		at--;
		memmove(&quarantine->crashes[0], &quarantine->crashes[1],
		    at * sizeof(*crash));
	} else {
		memmove(&quarantine->crashes[at + 1], &quarantine->crashes[at],
		    (quarantine->n_crashes - at) * sizeof(*crash));
		quarantine->n_crashes++;
	}
	quarantine->crashes[at] = *crash;
	judge_crash(quarantine, now, &segments);
	return true;
}

/// Narrows the verdicts that name segments which were answered since, and lifts
/// those that name no others.
///
/// @return whether a verdict has changed
static bool
review_verdicts(struct quarantine *quarantine)
{
	bool changed = false;

	for (size_t i = 0; i < quarantine->n_verdicts;) {
		struct quarantine_verdict *verdict = &quarantine->verdicts[i];
		struct quarantine_verdict before = *verdict;

		if (!remove_sound_segments(
			quarantine, &verdict->segments, verdict->crashed_at)) {
			i++;
			continue;
		}
		changed = true;
		if (verdict->segments.n > 0) {
			quarantine->listener(
			    quarantine->owner, QUARANTINE_NARROWED, verdict);
			i++;
		} else {
			*verdict = before;
			end_verdict(quarantine, i, QUARANTINE_LIFTED);
		}
	}
	return changed;
}

/// Adds segments of a request that this instance has seen answered: its engine
/// wrote the beginning of the answer and didn't crash.
///
/// @param quarantine  evidence to add to
/// @param at          time of the answer
/// @param segments    segments of the request
/// @param n_segments  number of segments
/// @return whether a verdict has changed, which other instances should learn
bool
quarantine_add_sound(struct quarantine *quarantine, usec_t at,
    const uint64_t *segments, unsigned n_segments)
{
	for (unsigned i = 0; i < n_segments; i++)
		set_sound_at(quarantine, segments[i], at);
	return review_verdicts(quarantine);
}

/// Adds a segment that another instance has seen answered.
///
/// @param quarantine  evidence to add to
/// @param segment     id of the segment
/// @param at          time of the answer
void
quarantine_merge_sound(
    struct quarantine *quarantine, uint64_t segment, usec_t at)
{
	usec_t known = find_sound_at(quarantine, segment);

	if (known == 0 || merge_time(known, at) != known)
		quarantine_add_sound(quarantine, at, &segment, 1);
}

/// Adds a verdict of another instance. Segments that were answered since are
/// left out of it.
///
/// @param quarantine  evidence to add to
/// @param now         current time
/// @param verdict     the verdict; copied
void
quarantine_merge_verdict(struct quarantine *quarantine, usec_t now,
    const struct quarantine_verdict *verdict)
{
	struct quarantine_verdict added = *verdict;

	if (now >= added.matched_at + QUARANTINE_IDLE_SPAN)
		return;
	remove_sound_segments(quarantine, &added.segments, added.crashed_at);
	if (added.segments.n > 0)
		put_verdict(quarantine, &added);
}

/// Finds the verdict that covers a request.
static struct quarantine_verdict *
find_verdict(struct quarantine *quarantine, const uint64_t *segments,
    unsigned n_segments)
{
	struct segment_set set;

	if (quarantine->n_verdicts == 0)
		return NULL;
	set = set_from_list(segments, n_segments);
	for (size_t i = 0; i < quarantine->n_verdicts; i++)
		if (set_contains(&set, &quarantine->verdicts[i].segments))
			return &quarantine->verdicts[i];
	return NULL;
}

/// Checks whether a request must be refused.
///
/// @param quarantine  verdicts to check
/// @param now         current time
/// @param segments    segments of the request
/// @param n_segments  number of segments
/// @return the verdict that covers the request, or NULL; valid until the next
///         change. If its `trial_at` has come, the request may be tried after
///         all: see quarantine_begin_trial().
const struct quarantine_verdict *
quarantine_match(struct quarantine *quarantine, usec_t now,
    const uint64_t *segments, unsigned n_segments)
{
	struct quarantine_verdict *verdict =
	    find_verdict(quarantine, segments, n_segments);

	if (verdict != NULL)
		verdict->matched_at = now;
	return verdict;
}

/// Begins a trial of the verdict that covers a request, and sets the time of
/// the next one.
///
/// @param quarantine  verdicts
/// @param now         current time
/// @param segments    segments of the request that is sent
/// @param n_segments  number of segments
void
quarantine_begin_trial(struct quarantine *quarantine, usec_t now,
    const uint64_t *segments, unsigned n_segments)
{
	struct quarantine_verdict *verdict =
	    find_verdict(quarantine, segments, n_segments);
	usec_t delay = QUARANTINE_FIRST_TRIAL_DELAY;

	if (verdict == NULL)
		return;
	verdict->n_trials++;
	for (unsigned i = 0; i < verdict->n_trials; i++)
		delay *= QUARANTINE_TRIAL_DELAY_FACTOR;
	verdict->trial_at = verdict->n_trials < QUARANTINE_TRIALS_MAX
	    ? now + delay
	    : USEC_NEVER;
}

/// Checks whether a crash is old, or all of its segments were answered since.
static bool
is_obsolete(const struct quarantine *quarantine, usec_t now,
    const struct quarantine_crash *crash)
{
	struct segment_set suspects = crash->segments;

	if (now >= crash->at + QUARANTINE_CRASH_TTL)
		return true;
	remove_sound_segments(quarantine, &suspects, crash->at);
	return suspects.n == 0 && now >= crash->at + QUARANTINE_REFUTED_TTL;
}

/// Forgets obsolete crashes and ends idle verdicts.
///
/// @param quarantine  evidence to check
/// @param now         current time
void
quarantine_tick(struct quarantine *quarantine, usec_t now)
{
	size_t n_kept = 0;

	for (size_t i = 0; i < quarantine->n_crashes; i++)
		if (!is_obsolete(quarantine, now, &quarantine->crashes[i]))
			quarantine->crashes[n_kept++] = quarantine->crashes[i];
	quarantine->n_crashes = n_kept;
	for (size_t i = 0; i < quarantine->n_verdicts;)
		if (now >=
		    quarantine->verdicts[i].matched_at + QUARANTINE_IDLE_SPAN)
			end_verdict(quarantine, i, QUARANTINE_EXPIRED);
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

/// @param quarantine  verdicts
/// @return number of verdicts in force
size_t
quarantine_count_verdicts(const struct quarantine *quarantine)
{
	return quarantine->n_verdicts;
}

/// Lists the verdicts in force.
///
/// @param quarantine  verdicts
/// @param verdicts    filled in
/// @param max         number of elements in `verdicts`
/// @return number of elements filled in
size_t
quarantine_list_verdicts(const struct quarantine *quarantine,
    struct quarantine_verdict *verdicts, size_t max)
{
	size_t n = MIN(quarantine->n_verdicts, max);

	memcpy(verdicts, quarantine->verdicts, n * sizeof(*verdicts));
	return n;
}

/// Adds a segment to a list of sound ones if it was ever answered and isn't
/// listed yet.
static size_t
append_sound(const struct quarantine *quarantine, uint64_t segment,
    struct quarantine_sound *sound, size_t n)
{
	usec_t at = find_sound_at(quarantine, segment);

	if (at == 0)
		return n;
	for (size_t i = 0; i < n; i++)
		if (sound[i].segment == segment)
			return n;
	sound[n] = (struct quarantine_sound){segment, at};
	return n + 1;
}

/// Lists when the segments of the remembered crashes were last answered;
/// segments of the newest crashes first.
///
/// @param quarantine  evidence
/// @param sound       filled in
/// @param max         number of elements in `sound`
/// @return number of elements filled in
size_t
quarantine_list_sound(const struct quarantine *quarantine,
    struct quarantine_sound *sound, size_t max)
{
	size_t n = 0;

	for (size_t c = quarantine->n_crashes; c > 0; c--) {
		const struct segment_set *segments =
		    &quarantine->crashes[c - 1].segments;

		for (unsigned i = 0; i < segments->n && n < max; i++)
			n = append_sound(
			    quarantine, segments->ids[i], sound, n);
	}
	return n;
}

/// Returns a number that is the same for a verdict on the same segments at all
/// instances.
///
/// @param verdict  a verdict
/// @return the number
uint64_t
quarantine_verdict_key(const struct quarantine_verdict *verdict)
{
	uint64_t key = verdict->n_trials;

	for (unsigned i = 0; i < verdict->segments.n; i++)
		key ^= verdict->segments.ids[i];
	return key;
}
