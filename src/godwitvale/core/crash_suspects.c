/* Weighs the crashes to which requests were exposed. */
#include "godwitvale/core/crash_suspects.h"

#include <string.h>

#include <glib.h>

#include "godwitvale/core/crash_causes.h"
#include "godwitvale/core/recent_times.h"

/// Crashes in series that suffice against a request.
#define CRASHES_ALONE 3
/// The same if another request was at all of them, too, or if two of them may
/// be one failure of links or of a zone: the next crash may tell.
#define CRASHES_ACCOMPANIED 4
/// Crashes that suffice if a segment explains others and the request was at
/// CRASHES_ACCOMPANIED of them in all: otherwise a request that crashes
/// upstreams beside a crashing segment would be retried too often.
#define CRASHES_BESIDE_SEGMENT 2
/// Time in which the reports of other instances arrive that may explain a
/// crash.
#define CRASH_REPORT_SPAN (100 * USEC_PER_MSEC)
/// A request that isn't in quarantine is forgotten this long after its last
/// crash.
#define CRASH_SUSPECT_TTL (60 * 60 * USEC_PER_SEC)
/// For this long other instances are told of a crash, or of the answer that has
/// cleared a request.
#define CRASH_NEWS_SPAN (60 * USEC_PER_SEC)
/// Time from the quarantine of a request to its first trial. One that was
/// answered before is likelier to be sound.
#define CRASH_TRIAL_DELAY (20 * USEC_PER_SEC)
#define CRASH_TRIAL_DELAY_KNOWN (2 * USEC_PER_SEC)
/// Time from one trial to the next.
#define CRASH_TRIAL_INTERVAL (60 * USEC_PER_SEC)
/// A later answer that is reported is taken over only if it differs by more;
/// otherwise a time that instances pass on would become later each time.
#define CRASH_TIME_TOLERANCE (500 * USEC_PER_MSEC)
/// Number of answered requests in each generation of the memory of them.
#define CRASH_ANSWERED_SIZE 2048

struct crash_suspects {
	crash_suspect_listener listener;
	void *owner;
	struct crash_suspect table[CRASH_SUSPECTS_MAX];
	size_t n;
	struct recent_times *answered;     /// when requests were last answered
	const struct quarantine *evidence; /// on segments; NULL: there is none
};

/// Creates an empty table.
///
/// @param listener  called on each change of a quarantine
/// @param owner     passed to the listener
/// @param evidence  on prompt segments, not owned; NULL: there is none
/// @return the table; free with crash_suspects_free()
struct crash_suspects *
crash_suspects_new(crash_suspect_listener listener, void *owner,
    const struct quarantine *evidence)
{
	struct crash_suspects *suspects = g_new0(struct crash_suspects, 1);

	suspects->listener = listener;
	suspects->owner = owner;
	suspects->evidence = evidence;
	suspects->answered = recent_times_new(CRASH_ANSWERED_SIZE);
	return suspects;
}

/// Frees a table, without calling the listener.
///
/// @param suspects  not NULL
void
crash_suspects_free(struct crash_suspects *suspects)
{
	recent_times_free(suspects->answered);
	g_free(suspects);
}

/// Finds what is known of a request.
static struct crash_suspect *
find_suspect(struct crash_suspects *suspects, uint64_t fingerprint)
{
	for (size_t i = 0; i < suspects->n; i++)
		if (suspects->table[i].fingerprint == fingerprint)
			return &suspects->table[i];
	return NULL;
}

/// @return time of a suspect's last crash; 0: it was cleared of all
static usec_t
last_crash_at(const struct crash_suspect *suspect)
{
	return suspect->n_exposures == 0
	    ? 0
	    : suspect->exposures[suspect->n_exposures - 1].crashed_at;
}

/// Checks whether two exposures are of the same crash.
static bool
is_same_crash(
    const struct crash_exposure *left, const struct crash_exposure *right)
{
	return left->upstream == right->upstream &&
	    ABS(left->crashed_at - right->crashed_at) < CRASH_SAME_SPAN;
}

/// Checks whether a request was at a crash.
static bool
was_at_crash(
    const struct crash_suspect *suspect, const struct crash_exposure *exposure)
{
	for (unsigned i = 0; i < suspect->n_exposures; i++)
		if (is_same_crash(&suspect->exposures[i], exposure))
			return true;
	return false;
}

/// Counts the crashes in series: each request was sent after the crash before.
static unsigned
count_series(const struct crash_exposure *exposures, unsigned n)
{
	usec_t last = G_MININT64;
	unsigned count = 0;

	for (unsigned i = 0; i < n; i++) {
		usec_t sent_at = exposures[i].crashed_at - exposures[i].span;

		if (count > 0 && sent_at + CRASH_TRANSIT < last)
			continue;
		last = exposures[i].crashed_at;
		count++;
	}
	return count;
}

/// @return number of crashes in series that a request was at
static unsigned
count_all(const struct crash_suspect *suspect)
{
	return count_series(suspect->exposures, suspect->n_exposures);
}

/// Checks whether a request was at a crash that has seen more crashes in series
/// than another one that was there, too.
static bool
is_explained(const struct crash_suspects *suspects,
    const struct crash_suspect *suspect, const struct crash_exposure *exposure)
{
	unsigned n = count_all(suspect);

	for (size_t i = 0; i < suspects->n; i++) {
		const struct crash_suspect *other = &suspects->table[i];

		if (other != suspect && was_at_crash(other, exposure) &&
		    count_all(other) > n)
			return true;
	}
	return false;
}

/// Checks whether another request was at all crashes of a suspect.
static bool
has_companion(
    const struct crash_suspects *suspects, const struct crash_suspect *suspect)
{
	for (size_t i = 0; i < suspects->n; i++) {
		const struct crash_suspect *other = &suspects->table[i];
		unsigned shared = 0;

		if (other == suspect)
			continue;
		for (unsigned e = 0; e < suspect->n_exposures; e++)
			shared += was_at_crash(other, &suspect->exposures[e]);
		if (shared == suspect->n_exposures)
			return true;
	}
	return false;
}

/// Checks whether two crashes of a suspect may be one failure of an instance's
/// links or of a zone.
static bool
was_at_failure(
    const struct crash_suspects *suspects, const struct crash_suspect *suspect)
{
	for (size_t i = 0; i < suspects->n; i++) {
		const struct crash_suspect *other = &suspects->table[i];

		for (unsigned e = 0; other != suspect && e < other->n_exposures;
		     e++)
			if (crash_causes_is_failure_beside(
				suspect, &other->exposures[e]))
				return true;
	}
	return false;
}

/// Checks whether another request was at an upstream that crashed before a
/// suspect was sent to it.
static bool
came_too_late(const struct crash_suspects *suspects,
    const struct crash_suspect *suspect, const struct crash_exposure *exposure)
{
	for (size_t i = 0; i < suspects->n; i++) {
		const struct crash_suspect *other = &suspects->table[i];

		for (unsigned e = 0; other != suspect && e < other->n_exposures;
		     e++)
			if (crash_causes_was_down(exposure,
				other->exposures[e].upstream,
				other->exposures[e].crashed_at))
				return true;
	}
	return false;
}

/// Counts the crashes in series of a suspect that no other request explains.
///
/// @param without_segments  leaves out those that a segment explains, too
static unsigned
count_unexplained(const struct crash_suspects *suspects,
    const struct crash_suspect *suspect, bool without_segments)
{
	struct crash_exposure unexplained[CRASH_EXPOSURES_MAX];
	unsigned n = 0;

	for (unsigned i = 0; i < suspect->n_exposures; i++) {
		const struct crash_exposure *exposure = &suspect->exposures[i];

		if ((!without_segments || exposure->cause == 0) &&
		    !is_explained(suspects, suspect, exposure) &&
		    !came_too_late(suspects, suspect, exposure))
			unexplained[n++] = *exposure;
	}
	return count_series(unexplained, n);
}

/// Checks whether the evidence suffices for a quarantine.
static bool
is_sufficient(
    const struct crash_suspects *suspects, struct crash_suspect *suspect)
{
	unsigned n_all;
	unsigned n;

	if (suspect->n_exposures < CRASHES_BESIDE_SEGMENT)
		return false;
	if (suspects->evidence != NULL)
		crash_causes_find(suspects->evidence, suspect);
	if (count_all(suspect) < CRASHES_ALONE)
		return false;
	n_all = count_unexplained(suspects, suspect, false);
	n = count_unexplained(suspects, suspect, true);
	if (n_all >= CRASHES_ACCOMPANIED && n >= CRASHES_BESIDE_SEGMENT)
		return true;
	return n >= CRASHES_ALONE && !has_companion(suspects, suspect) &&
	    !was_at_failure(suspects, suspect);
}

/// Begins the quarantine of a suspect.
static void
begin_quarantine(
    struct crash_suspects *suspects, struct crash_suspect *suspect, usec_t now)
{
	suspect->is_quarantined = true;
	suspect->matched_at = MAX(suspect->matched_at, now);
	if (suspect->n_trials == 0)
		suspect->trial_at = now +
		    (suspect->answered_at == 0 ? CRASH_TRIAL_DELAY
					       : CRASH_TRIAL_DELAY_KNOWN);
	suspects->listener(suspects->owner, CRASH_SUSPECT_QUARANTINED, suspect);
}

/// Ends the quarantine of a suspect, if it is in one.
static void
lift_quarantine(struct crash_suspects *suspects, struct crash_suspect *suspect)
{
	if (!suspect->is_quarantined)
		return;
	suspect->is_quarantined = false;
	suspects->listener(suspects->owner, CRASH_SUSPECT_LIFTED, suspect);
}

/// Begins and lifts quarantines as the evidence has it now. One begins only
/// when the reports of other instances have had the time to arrive.
static void
review(struct crash_suspects *suspects, usec_t now)
{
	for (size_t i = 0; i < suspects->n; i++) {
		struct crash_suspect *suspect = &suspects->table[i];

		if (!is_sufficient(suspects, suspect))
			lift_quarantine(suspects, suspect);
		else if (!suspect->is_quarantined &&
		    now >= suspect->news_at + CRASH_REPORT_SPAN)
			begin_quarantine(suspects, suspect, now);
	}
}

/// Removes the suspect at an index.
static void
remove_suspect(struct crash_suspects *suspects, size_t i)
{
	suspects->table[i] = suspects->table[--suspects->n];
}

/// Checks whether a suspect is to be forgotten before another one.
static bool
is_less_important(
    const struct crash_suspect *suspect, const struct crash_suspect *other)
{
	if (suspect->is_quarantined != other->is_quarantined)
		return other->is_quarantined;
	if (count_all(suspect) != count_all(other))
		return count_all(suspect) < count_all(other);
	return last_crash_at(suspect) < last_crash_at(other);
}

/// Returns the entry of a request, which is made if there is none. The least
/// important one makes room for it.
static struct crash_suspect *
get_suspect(struct crash_suspects *suspects, uint64_t fingerprint)
{
	struct crash_suspect *suspect = find_suspect(suspects, fingerprint);
	size_t least = 0;

	if (suspect != NULL)
		return suspect;
	if (suspects->n == CRASH_SUSPECTS_MAX) {
		for (size_t i = 1; i < suspects->n; i++)
			if (is_less_important(
				&suspects->table[i], &suspects->table[least]))
				least = i;
		remove_suspect(suspects, least);
	}
	suspect = &suspects->table[suspects->n++];
	*suspect = (struct crash_suspect){
	    .fingerprint = fingerprint,
	    .answered_at = recent_times_get(suspects->answered, fingerprint),
	    .trial_at = USEC_NEVER,
	};
	return suspect;
}

/// Forgets one crash of a suspect: the first that adds nothing to the series,
/// or else the oldest.
static void
make_room_for_exposure(struct crash_suspect *suspect)
{
	struct crash_exposure *exposures = suspect->exposures;
	unsigned dropped = 0;

	for (unsigned i = suspect->n_exposures; i > 1; i--)
		if (count_series(exposures, i) ==
		    count_series(exposures, i - 1))
			dropped = i - 1;
	suspect->n_exposures--;
	memmove(&exposures[dropped], &exposures[dropped + 1],
	    (suspect->n_exposures - dropped) * sizeof(*exposures));
}

/// Adds a crash to a suspect, in the order of time. Of several reports of one
/// crash, that of the latest sending counts.
///
/// @return whether this is new
static bool
insert_exposure(
    struct crash_suspect *suspect, const struct crash_exposure *exposure)
{
	unsigned at;

	for (unsigned i = 0; i < suspect->n_exposures; i++) {
		struct crash_exposure *known = &suspect->exposures[i];

		if (!is_same_crash(known, exposure))
			continue;
		known->is_weak = known->is_weak && exposure->is_weak;
		if (exposure->span >= known->span)
			return false;
		known->span = exposure->span;
		return true;
	}
	if (suspect->n_exposures == CRASH_EXPOSURES_MAX) {
		if (suspect->is_quarantined ||
		    exposure->crashed_at < suspect->exposures[0].crashed_at)
			return false;
		make_room_for_exposure(suspect);
	}
	at = suspect->n_exposures;
	while (at > 0 &&
	    suspect->exposures[at - 1].crashed_at > exposure->crashed_at)
		at--;
	memmove(&suspect->exposures[at + 1], &suspect->exposures[at],
	    (suspect->n_exposures - at) * sizeof(*exposure));
	suspect->exposures[at] = *exposure;
	suspect->n_exposures++;
	return true;
}

/// Adds a crash to which a request was exposed.
///
/// @param suspects     table to add to
/// @param now          current time
/// @param fingerprint  of the request
/// @param exposure     the crash; copied
/// @return whether this is new, so that other instances should learn of it
bool
crash_suspects_add(struct crash_suspects *suspects, usec_t now,
    uint64_t fingerprint, const struct crash_exposure *exposure)
{
	struct crash_suspect *suspect;

	if (now >= exposure->crashed_at + CRASH_SUSPECT_TTL)
		return false;
	suspect = get_suspect(suspects, fingerprint);
	if (exposure->crashed_at <= suspect->answered_at) {
		suspect->is_answer_untold = true;
		return false;
	}
	if (!insert_exposure(suspect, exposure))
		return false;
	suspect->news_at = now;
	review(suspects, now);
	return true;
}

/// Notes the segments of a request's prompt, which don't explain its crashes.
/// Other instances don't report them.
///
/// @param suspects     table to search
/// @param fingerprint  of the request, which this instance has
/// @param segments     segments of the request
/// @param n_segments   number of segments, up to QUARANTINE_SEGMENTS_MAX
void
crash_suspects_set_segments(struct crash_suspects *suspects,
    uint64_t fingerprint, const uint64_t *segments, unsigned n_segments)
{
	struct crash_suspect *suspect =
	    suspects->n == 0 ? NULL : find_suspect(suspects, fingerprint);

	if (suspect == NULL || suspect->segments.n == n_segments)
		return;
	suspect->segments.n = n_segments;
	memcpy(suspect->segments.ids, segments, n_segments * sizeof(*segments));
}

/// Removes the crashes of a suspect that it was answered after.
static void
drop_exposures(struct crash_suspect *suspect, usec_t answered_at)
{
	unsigned n_kept = 0;

	for (unsigned i = 0; i < suspect->n_exposures; i++)
		if (suspect->exposures[i].crashed_at > answered_at)
			suspect->exposures[n_kept++] = suspect->exposures[i];
	suspect->n_exposures = n_kept;
}

/// Notes that a request was answered: an upstream has run it and not crashed.
///
/// @param suspects     table to add to
/// @param at           time of the answer
/// @param fingerprint  of the request
/// @return whether this clears it of a crash, so that other instances should
///         learn of it
bool
crash_suspects_note_answered(
    struct crash_suspects *suspects, usec_t at, uint64_t fingerprint)
{
	struct crash_suspect *suspect;
	unsigned n_before;
	bool is_untold;

	recent_times_set(suspects->answered, fingerprint, at);
	suspect = suspects->n == 0 ? NULL : find_suspect(suspects, fingerprint);
	if (suspect == NULL)
		return false;
	n_before = suspect->n_exposures;
	suspect->answered_at = MAX(suspect->answered_at, at);
	drop_exposures(suspect, at);
	is_untold = suspect->is_answer_untold;
	suspect->is_answer_untold = false;
	if (suspect->n_exposures == n_before)
		return is_untold;
	suspect->n_trials = 0;
	review(suspects, at);
	return true;
}

/// Adds what another instance knows of a request.
///
/// @param suspects  table to add to
/// @param now       current time
/// @param reported  what the other instance knows
void
crash_suspects_merge(struct crash_suspects *suspects, usec_t now,
    const struct crash_suspect *reported)
{
	uint64_t fingerprint = reported->fingerprint;
	usec_t known = recent_times_get(suspects->answered, fingerprint);
	struct crash_suspect *suspect;

	if (reported->answered_at != 0 &&
	    (known == 0 ||
		reported->answered_at > known + CRASH_TIME_TOLERANCE))
		crash_suspects_note_answered(
		    suspects, reported->answered_at, fingerprint);
	for (unsigned i = 0; i < reported->n_exposures; i++)
		crash_suspects_add(
		    suspects, now, fingerprint, &reported->exposures[i]);
	suspect = find_suspect(suspects, fingerprint);
	if (suspect == NULL || suspect->n_exposures == 0)
		return;
	if (reported->matched_at > suspect->matched_at + CRASH_TIME_TOLERANCE)
		suspect->matched_at = reported->matched_at;
	if (reported->n_trials > suspect->n_trials) {
		suspect->n_trials = reported->n_trials;
		suspect->trial_at = reported->trial_at;
	}
}

/// Checks whether a request must be refused.
///
/// @param suspects     table to search
/// @param now          current time
/// @param fingerprint  of the request
/// @return the suspect if it is in quarantine, or NULL; valid until the next
///         change. If its `trial_at` has come, the request may be tried after
///         all: see crash_suspects_begin_trial().
const struct crash_suspect *
crash_suspects_match(
    struct crash_suspects *suspects, usec_t now, uint64_t fingerprint)
{
	struct crash_suspect *suspect =
	    suspects->n == 0 ? NULL : find_suspect(suspects, fingerprint);

	if (suspect == NULL)
		return NULL;
	if (!suspect->is_quarantined && suspect->n_exposures >= CRASHES_ALONE)
		review(suspects, now);
	if (!suspect->is_quarantined)
		return NULL;
	suspect->matched_at = now;
	return suspect;
}

/// Begins a trial of a request in quarantine, and sets the time of the next
/// one.
///
/// @param suspects     table to search
/// @param now          current time
/// @param fingerprint  of the request that is sent
void
crash_suspects_begin_trial(
    struct crash_suspects *suspects, usec_t now, uint64_t fingerprint)
{
	struct crash_suspect *suspect = find_suspect(suspects, fingerprint);
	unsigned max_trials;

	if (suspect == NULL)
		return;
	max_trials = suspect->answered_at == 0 ? CRASH_SUSPECT_TRIALS_UNKNOWN
					       : CRASH_SUSPECT_TRIALS_KNOWN;
	suspect->n_trials++;
	suspect->trial_at = suspect->n_trials < max_trials
	    ? now + CRASH_TRIAL_INTERVAL
	    : USEC_NEVER;
}

/// Checks whether a suspect is of no use any more.
static bool
is_obsolete(const struct crash_suspect *suspect, usec_t now)
{
	if (suspect->is_quarantined)
		return now >= suspect->matched_at + CRASH_SUSPECT_IDLE_SPAN;
	if (suspect->n_exposures == 0)
		return now >= suspect->answered_at + CRASH_NEWS_SPAN;
	return now >= last_crash_at(suspect) + CRASH_SUSPECT_TTL;
}

/// Forgets suspects that are of no use any more, and weighs the evidence again.
///
/// @param suspects  table to check
/// @param now       current time
void
crash_suspects_tick(struct crash_suspects *suspects, usec_t now)
{
	for (size_t i = 0; i < suspects->n;) {
		struct crash_suspect suspect = suspects->table[i];

		if (!is_obsolete(&suspect, now)) {
			i++;
			continue;
		}
		remove_suspect(suspects, i);
		if (suspect.is_quarantined)
			suspects->listener(
			    suspects->owner, CRASH_SUSPECT_EXPIRED, &suspect);
	}
	review(suspects, now);
}

/// Checks whether other instances need to hear of a suspect.
static bool
is_news(const struct crash_suspect *suspect, usec_t now)
{
	return suspect->is_quarantined ||
	    now <
	    MAX(last_crash_at(suspect), suspect->answered_at) + CRASH_NEWS_SPAN;
}

/// Lists what other instances need to hear, the most important first.
///
/// @param suspects  table to list
/// @param now       current time
/// @param listed    filled in
/// @param max       number of elements in `listed`, at least one
/// @return number of elements filled in
size_t
crash_suspects_list(const struct crash_suspects *suspects, usec_t now,
    struct crash_suspect *listed, size_t max)
{
	size_t n = 0;

	for (size_t i = 0; i < suspects->n; i++) {
		const struct crash_suspect *suspect = &suspects->table[i];
		size_t at = n;

		if (!is_news(suspect, now))
			continue;
		while (at > 0 && is_less_important(&listed[at - 1], suspect))
			at--;
		if (at == max)
			continue;
		n = MIN(n + 1, max);
		memmove(&listed[at + 1], &listed[at],
		    (n - at - 1) * sizeof(*listed));
		listed[at] = *suspect;
	}
	return n;
}
