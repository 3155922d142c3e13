/*
 * Keeps the recent results of all instances' requests to the upstreams of plain
 * services, and decides which upstreams are ejected, tried and returned.
 */
#include "godwitvale/core/fleet_outcomes.h"

#include <limits.h>
#include <math.h>
#include <string.h>

#include <glib.h>

#include "godwitvale/core/hash.h"

/// Share of failures of an upstream that is to be ejected.
#define OUTCOMES_FAILING_SHARE 0.9
/// Lowest share of failures that counts as normal. It is well above that of
/// healthy upstreams, at most one in seven.
#define OUTCOMES_NORMAL_SHARE_MIN 0.25
/// What counts as normal is this multiple of the share at the service's best
/// other upstream, plus OUTCOMES_NORMAL_MARGIN.
#define OUTCOMES_NORMAL_FACTOR 1.5
#define OUTCOMES_NORMAL_MARGIN 0.05
/// If even more is normal, the service is at fault, and no upstream is ejected.
#define OUTCOMES_NORMAL_SHARE_MAX 0.6
/// Sum that ejects an upstream: ten failures without a served request. With a
/// share of 14 % and 28 requests a second at an upstream, chance reaches it
/// less than once in weeks, by Lundberg's bound of exp(-1.5 * sum).
#define OUTCOMES_EJECT_SUM 12.0
/// All results of a service are told at once if an upstream has so many
/// failures more than twice those of the service's best other upstream. With
/// normal errors, this is rare.
#define OUTCOMES_SUSPECT_FAILURES 4
#define OUTCOMES_SUSPECT_FACTOR 2
/// Slots in which these failures are counted, besides the whole window: a
/// second, in which a busy upstream that begins to fail stands out.
#define OUTCOMES_SUSPECT_SLOTS 8
/// Results of another upstream that are needed for a comparison.
#define OUTCOMES_OTHER_RESULTS_MIN 3
/// Failures other than errors that count of one instance. So many alone don't
/// reach OUTCOMES_EJECT_SUM, as its links may be broken.
#define OUTCOMES_CUT_PER_INSTANCE 5
/// Errors of one instance that eject an upstream although no other saw one.
#define OUTCOMES_ERRORS_OF_ONE 10
/// Time from which on the served requests of others are complete: they are
/// told within 50 ms, and take as long to arrive and to be looked at.
#define OUTCOMES_REPORT_SPAN FLEET_OUTCOMES_SLOT
/// From an ejection to the first trial.
#define OUTCOMES_FIRST_TRIAL_DELAY (400 * USEC_PER_MSEC)
/// From the result of a trial to the next one.
#define OUTCOMES_TRIAL_INTERVAL (250 * USEC_PER_MSEC)
/// If the first instance in the order of turns has no request to try, the next
/// one may try this much later, beside the first. It takes several, as one
/// instance may have no request that may be repeated for seconds.
#define OUTCOMES_TURN_STEP (150 * USEC_PER_MSEC)
/// A trial without a result keeps others from trying for this long.
#define OUTCOMES_TRIAL_TIMEOUT (2 * USEC_PER_SEC)
/// An ejection ends if no failure is known that is younger than this.
#define OUTCOMES_EVIDENCE_TTL (5 * USEC_PER_SEC)
/// Heartbeats that repeat a message, as it may be lost.
#define OUTCOMES_REPEATS 3

struct service_outcomes {
	GPtrArray *upstreams; /// struct upstream_outcomes *, not owned
	usec_t suspect_since; /// all its results are told; 0: only failures
};

/// Ejection of an upstream.
struct ejection {
	usec_t at; /// 0: it isn't ejected
	struct fleet_outcome_evidence evidence;
};

struct upstream_outcomes {
	uint64_t upstream;
	struct service_outcomes *service;
	struct fleet_outcome_report own;
	GHashTable *reports; /// sender -> struct fleet_outcome_report *
	struct ejection ejection;
	usec_t
	    cleared_at; /// a later trial was served; older results don't count
	usec_t trial_due_at;
	usec_t trial_busy_until;
	uint64_t trial_seed;  /// differs after each trial
	uint64_t ranked_task; /// for which `rank` is valid; 0: none
	unsigned rank;        /// of this instance in the order of turns
};

/// Requests of this instance that were served last, by any upstream, whose
/// fingerprints are kept.
#define OUTCOMES_SERVED_KEPT 256

/// Number of the last message of an instance.
struct sender {
	uint64_t incarnation;
	uint64_t number;
	usec_t heard_at;
};

struct fleet_outcomes {
	uint64_t own;          /// hash of this instance's name
	GHashTable *upstreams; /// hash -> struct upstream_outcomes *
	GHashTable *services;  /// hash -> struct service_outcomes *
	GHashTable *senders;   /// hash -> struct sender *
	uint64_t n_messages;
	uint64_t served[OUTCOMES_SERVED_KEPT]; /// fingerprints
	unsigned n_served; /// ever; the newest is at (n_served - 1) modulo
	unsigned n_ejected;
	unsigned n_repeats; /// heartbeats that still repeat the last message
	bool has_news;
};

/// Results of an upstream in each slot, of all instances.
struct slot_sums {
	int64_t oldest_slot;
	unsigned served[FLEET_OUTCOMES_SLOTS];
	unsigned failed[FLEET_OUTCOMES_SLOTS];
	unsigned by_result[OUTLIER_UNREACHABLE + 1];
	unsigned n_instances;       /// that saw failures
	unsigned errors_of_one_max; /// largest number that one instance saw
	usec_t newest_failure_at;   /// 0: none
	GHashTable *fingerprints;   /// of the failures
};

/// A cumulative sum and the slot in which it began.
struct cusum {
	double sum;
	int64_t first_slot;
};

static void
free_service(gpointer data)
{
	struct service_outcomes *service = data;

	g_ptr_array_unref(service->upstreams);
	g_free(service);
}

static void
free_upstream(gpointer data)
{
	struct upstream_outcomes *upstream = data;

	g_ptr_array_remove_fast(upstream->service->upstreams, upstream);
	g_hash_table_unref(upstream->reports);
	g_free(upstream);
}

/// Creates an empty table.
///
/// @param own  hash of this instance's name
/// @return the table; free with fleet_outcomes_free()
struct fleet_outcomes *
fleet_outcomes_new(uint64_t own)
{
	struct fleet_outcomes *outcomes = g_new0(struct fleet_outcomes, 1);

	outcomes->own = own;
	outcomes->upstreams = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_upstream);
	outcomes->services = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, free_service);
	outcomes->senders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return outcomes;
}

/// Frees a table.
///
/// @param outcomes  not NULL
void
fleet_outcomes_free(struct fleet_outcomes *outcomes)
{
	g_hash_table_unref(outcomes->upstreams);
	g_hash_table_unref(outcomes->services);
	g_hash_table_unref(outcomes->senders);
	g_free(outcomes);
}

static struct upstream_outcomes *
find_upstream(const struct fleet_outcomes *outcomes, uint64_t upstream)
{
	return g_hash_table_lookup(outcomes->upstreams, &upstream);
}

static struct service_outcomes *
get_service(struct fleet_outcomes *outcomes, uint64_t key)
{
	struct service_outcomes *service =
	    g_hash_table_lookup(outcomes->services, &key);

	if (service != NULL)
		return service;
	service = g_new0(struct service_outcomes, 1);
	service->upstreams = g_ptr_array_new();
	g_hash_table_insert(
	    outcomes->services, g_memdup2(&key, sizeof(key)), service);
	return service;
}

/// Returns the record of an upstream; creates it if it doesn't exist.
static struct upstream_outcomes *
get_upstream(struct fleet_outcomes *outcomes, uint64_t key, uint64_t service)
{
	struct upstream_outcomes *upstream = find_upstream(outcomes, key);

	if (upstream != NULL)
		return upstream;
	upstream = g_new0(struct upstream_outcomes, 1);
	upstream->upstream = key;
	upstream->service = get_service(outcomes, service);
	upstream->own.upstream = key;
	upstream->own.service = service;
	upstream->reports =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g_ptr_array_add(upstream->service->upstreams, upstream);
	g_hash_table_insert(outcomes->upstreams, &upstream->upstream, upstream);
	return upstream;
}

/// Notes that the other instances must be told soon.
static void
set_news(struct fleet_outcomes *outcomes)
{
	outcomes->has_news = true;
	outcomes->n_repeats = OUTCOMES_REPEATS;
}

/// Clears the slots of a report that begin with the current one's window.
static void
advance_slots(struct fleet_outcome_report *report, int64_t slot)
{
	int64_t first =
	    MAX(report->newest_slot + 1, slot - FLEET_OUTCOMES_SLOTS + 1);

	for (int64_t i = first; i <= slot; i++)
		report->served[i % FLEET_OUTCOMES_SLOTS] = 0;
	report->newest_slot = MAX(report->newest_slot, slot);
}

/// Drops the failures that are too old, and the oldest one if there is no room
/// for another. They are in order of time.
static void
drop_old_failures(struct fleet_outcome_report *report, usec_t now)
{
	unsigned n_old = 0;

	while (n_old < report->n_failures &&
	    report->failures[n_old].at <= now - FLEET_OUTCOMES_WINDOW)
		n_old++;
	if (n_old == 0 && report->n_failures == FLEET_OUTCOMES_FAILURES_MAX)
		n_old = 1;
	report->n_failures -= n_old;
	memmove(report->failures, report->failures + n_old,
	    report->n_failures * sizeof(report->failures[0]));
}

/// Remembers the fingerprint of a request that was served.
static void
note_served(struct fleet_outcomes *outcomes, uint64_t fingerprint)
{
	outcomes->served[outcomes->n_served++ % OUTCOMES_SERVED_KEPT] =
	    fingerprint;
}

/// Checks whether an upstream has served the same request lately. Then the
/// request isn't at fault for a failure.
static bool
was_served(const struct fleet_outcomes *outcomes, uint64_t fingerprint)
{
	for (unsigned i = 0; i < OUTCOMES_SERVED_KEPT; i++)
		if (outcomes->served[i] == fingerprint)
			return true;
	return false;
}

/// Adds a failure, unless the same request has failed at this upstream before:
/// the request may be at fault.
///
/// @return false if it isn't added
static bool
add_failure(struct fleet_outcome_report *report, usec_t now,
    const struct fleet_outcome_sample *sample)
{
	for (unsigned i = 0; i < report->n_failures; i++)
		if (sample->fingerprint != 0 &&
		    report->failures[i].fingerprint == sample->fingerprint &&
		    report->failures[i].at > now - FLEET_OUTCOMES_WINDOW)
			return false;
	drop_old_failures(report, now);
	report->failures[report->n_failures++] = (struct fleet_outcome_failure){
	    now, sample->result, sample->fingerprint};
	return true;
}

/// Computes until when a running trial keeps others from trying.
static void
update_busy(struct upstream_outcomes *upstream)
{
	const struct fleet_trial *own = &upstream->own.trial;
	GHashTableIter iter;
	void *value;

	upstream->trial_busy_until = own->state == FLEET_TRIAL_RUNNING
	    ? own->at + OUTCOMES_TRIAL_TIMEOUT
	    : 0;
	g_hash_table_iter_init(&iter, upstream->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_trial *trial =
		    &((const struct fleet_outcome_report *)value)->trial;

		if (trial->state == FLEET_TRIAL_RUNNING)
			upstream->trial_busy_until =
			    MAX(upstream->trial_busy_until,
				trial->at + OUTCOMES_TRIAL_TIMEOUT);
	}
}

/// Handles the result of a trial of this or another instance.
///
/// @param sender  hash of the instance's name
static void
note_trial_end(struct upstream_outcomes *upstream, usec_t now, uint64_t sender,
    const struct fleet_trial *trial)
{
	if (trial->state == FLEET_TRIAL_SERVED)
		upstream->cleared_at = MAX(upstream->cleared_at, trial->at);
	upstream->trial_due_at =
	    MAX(upstream->trial_due_at, now + OUTCOMES_TRIAL_INTERVAL);
	upstream->trial_seed = hash_pair(sender, trial->number);
}

/// Ends the trial of this instance that runs, if any.
///
/// @return whether one ran
static bool
end_own_trial(struct upstream_outcomes *upstream, usec_t now, uint64_t own,
    enum outlier_result result)
{
	struct fleet_trial *trial = &upstream->own.trial;

	if (trial->state != FLEET_TRIAL_RUNNING)
		return false;
	trial->state =
	    result == OUTLIER_SERVED ? FLEET_TRIAL_SERVED : FLEET_TRIAL_FAILED;
	note_trial_end(upstream, now, own, trial);
	update_busy(upstream);
	return true;
}

/// Records the result of a request of this instance.
///
/// @param outcomes  table of results
/// @param now       current time
/// @param sample    the result
void
fleet_outcomes_record(struct fleet_outcomes *outcomes, usec_t now,
    const struct fleet_outcome_sample *sample)
{
	struct upstream_outcomes *upstream =
	    get_upstream(outcomes, sample->upstream, sample->service);
	struct fleet_outcome_report *own = &upstream->own;
	int64_t slot = now / FLEET_OUTCOMES_SLOT;
	uint8_t *served = &own->served[slot % FLEET_OUTCOMES_SLOTS];
	bool is_news =
	    end_own_trial(upstream, now, outcomes->own, sample->result);

	advance_slots(own, slot);
	if (sample->result != OUTLIER_SERVED) {
		struct fleet_outcome_sample failure = *sample;

		if (was_served(outcomes, sample->fingerprint))
			failure.fingerprint = 0;
		is_news |= add_failure(own, now, &failure);
	} else {
		note_served(outcomes, sample->fingerprint);
		if (*served < UINT8_MAX)
			(*served)++;
	}
	if (is_news || upstream->service->suspect_since != 0)
		set_news(outcomes);
}

/// Checks whether a message is newer than those that came before it, and notes
/// its number.
static bool
accept_message(struct fleet_outcomes *outcomes, usec_t now,
    const struct fleet_outcome_source *source)
{
	struct sender *sender =
	    g_hash_table_lookup(outcomes->senders, &source->sender);

	if (sender == NULL) {
		sender = g_new0(struct sender, 1);
		g_hash_table_insert(outcomes->senders,
		    g_memdup2(&source->sender, sizeof(source->sender)), sender);
	}
	if (source->incarnation < sender->incarnation ||
	    (source->incarnation == sender->incarnation &&
		source->number <= sender->number))
		return false;
	*sender = (struct sender){source->incarnation, source->number, now};
	return true;
}

/// Checks whether a report tells of the end of a trial that wasn't known.
static bool
is_trial_end(const struct fleet_trial *known, const struct fleet_trial *trial)
{
	if (trial->state != FLEET_TRIAL_SERVED &&
	    trial->state != FLEET_TRIAL_FAILED)
		return false;
	return known == NULL || known->state != trial->state ||
	    known->number != trial->number;
}

/// Takes over what another instance has seen of an upstream.
static void
hear_report(struct fleet_outcomes *outcomes, usec_t now, uint64_t sender,
    const struct fleet_outcome_report *report)
{
	struct upstream_outcomes *upstream =
	    get_upstream(outcomes, report->upstream, report->service);
	const struct fleet_outcome_report *known =
	    g_hash_table_lookup(upstream->reports, &sender);

	if (is_trial_end(known == NULL ? NULL : &known->trial, &report->trial))
		note_trial_end(upstream, now, sender, &report->trial);
	g_hash_table_replace(upstream->reports,
	    g_memdup2(&sender, sizeof(sender)),
	    g_memdup2(report, sizeof(*report)));
	update_busy(upstream);
}

/// Takes over the results of another instance. They replace the earlier ones of
/// the same upstreams, so that lost and repeated messages do no harm.
///
/// @param outcomes   table of results
/// @param now        current time
/// @param source     sender and number of the message
/// @param reports    what the sender has seen; times by this instance's clock
/// @param n_reports  number of elements
/// @return false if a later message of the sender came before
bool
fleet_outcomes_hear(struct fleet_outcomes *outcomes, usec_t now,
    const struct fleet_outcome_source *source,
    const struct fleet_outcome_report *reports, size_t n_reports)
{
	if (!accept_message(outcomes, now, source))
		return false;
	for (size_t i = 0; i < n_reports; i++)
		hear_report(outcomes, now, source->sender, &reports[i]);
	return true;
}

/// Checks whether a failure of an instance counts.
///
/// @param n_cuts  number of the instance's failures other than errors so far
static bool
does_failure_count(struct slot_sums *sums,
    const struct fleet_outcome_failure *failure, unsigned *n_cuts)
{
	if (failure->result != OUTLIER_ERROR &&
	    ++*n_cuts > OUTCOMES_CUT_PER_INSTANCE)
		return false;
	return failure->fingerprint == 0 ||
	    g_hash_table_add(
		sums->fingerprints, (gpointer)&failure->fingerprint);
}

/// Adds the failures of one instance.
///
/// @param after  failures up to this time don't count
static void
add_failures(struct slot_sums *sums, const struct fleet_outcome_report *report,
    usec_t after)
{
	unsigned n_cuts = 0;
	unsigned n_errors = 0;
	unsigned n_counted = 0;

	for (unsigned i = 0; i < report->n_failures; i++) {
		const struct fleet_outcome_failure *failure =
		    &report->failures[i];
		int64_t index =
		    failure->at / FLEET_OUTCOMES_SLOT - sums->oldest_slot;

		if (failure->at <= after || index < 0 ||
		    index >= FLEET_OUTCOMES_SLOTS)
			continue;
		sums->newest_failure_at =
		    MAX(sums->newest_failure_at, failure->at);
		if (!does_failure_count(sums, failure, &n_cuts))
			continue;
		sums->failed[index]++;
		sums->by_result[failure->result]++;
		n_errors += failure->result == OUTLIER_ERROR;
		n_counted++;
	}
	sums->n_instances += n_counted > 0;
	sums->errors_of_one_max = MAX(sums->errors_of_one_max, n_errors);
}

/// Adds the served requests of one instance.
static void
add_served(struct slot_sums *sums, const struct fleet_outcome_report *report,
    usec_t after)
{
	for (int64_t i = 0; i < FLEET_OUTCOMES_SLOTS; i++) {
		int64_t slot = sums->oldest_slot + i;

		if (slot > report->newest_slot ||
		    slot <= report->newest_slot - FLEET_OUTCOMES_SLOTS ||
		    slot < 0 || slot <= after / FLEET_OUTCOMES_SLOT)
			continue;
		sums->served[i] += report->served[slot % FLEET_OUTCOMES_SLOTS];
	}
}

/// Sums up the failures that all instances have seen.
static void
sum_up_failures(const struct upstream_outcomes *upstream, usec_t now,
    struct slot_sums *sums)
{
	usec_t after = upstream->cleared_at;
	GHashTableIter iter;
	void *report;

	memset(sums, 0, sizeof(*sums));
	sums->oldest_slot =
	    now / FLEET_OUTCOMES_SLOT - FLEET_OUTCOMES_SLOTS + 1;
	sums->fingerprints = g_hash_table_new(g_int64_hash, g_int64_equal);
	add_failures(sums, &upstream->own, after);
	g_hash_table_iter_init(&iter, upstream->reports);
	while (g_hash_table_iter_next(&iter, NULL, &report))
		add_failures(sums, report, after);
	g_clear_pointer(&sums->fingerprints, g_hash_table_unref);
}

/// Sums up the results of all instances.
static void
sum_up(const struct upstream_outcomes *upstream, usec_t now,
    struct slot_sums *sums)
{
	usec_t after = upstream->cleared_at;
	GHashTableIter iter;
	void *report;

	sum_up_failures(upstream, now, sums);
	add_served(sums, &upstream->own, after);
	g_hash_table_iter_init(&iter, upstream->reports);
	while (g_hash_table_iter_next(&iter, NULL, &report))
		add_served(sums, report, after);
}

/// Computes the cumulative sum of an upstream's log-likelihood ratios.
///
/// @param normal   share of failures that is normal
/// @param n_slots  number of slots that count, from the oldest one on
static struct cusum
compute_cusum(const struct slot_sums *sums, double normal, unsigned n_slots)
{
	double failed = log(OUTCOMES_FAILING_SHARE / normal);
	double served = log((1 - OUTCOMES_FAILING_SHARE) / (1 - normal));
	struct cusum cusum = {0, sums->oldest_slot};

	for (unsigned i = 0; i < n_slots; i++) {
		cusum.sum += served * sums->served[i];
		if (cusum.sum <= 0) {
			cusum.sum = 0;
			cusum.first_slot = sums->oldest_slot + i;
		}
		cusum.sum += failed * sums->failed[i];
	}
	return cusum;
}

/// Finds the lowest share of failures among the other upstreams of a service
/// that aren't ejected.
///
/// @param first_slot  slot from which on results count
/// @return the share; 1 if there is no other upstream with enough results
static double
find_best_share(
    const struct upstream_outcomes *upstream, usec_t now, int64_t first_slot)
{
	const GPtrArray *others = upstream->service->upstreams;
	double best = 1;

	for (guint i = 0; i < others->len; i++) {
		const struct upstream_outcomes *other = others->pdata[i];
		struct slot_sums sums;
		unsigned n_served = 0;
		unsigned n_failed = 0;

		if (other == upstream || other->ejection.at != 0)
			continue;
		sum_up(other, now, &sums);
		for (int64_t j = MAX(first_slot - sums.oldest_slot, 0);
		     j < FLEET_OUTCOMES_SLOTS; j++) {
			n_served += sums.served[j];
			n_failed += sums.failed[j];
		}
		if (n_served + n_failed >= OUTCOMES_OTHER_RESULTS_MIN)
			best =
			    MIN(best, (double)n_failed / (n_served + n_failed));
	}
	return best;
}

/// Checks whether enough instances have seen an upstream fail.
static bool
is_seen_by_enough(const struct slot_sums *sums)
{
	return sums->n_instances >= 2 ||
	    sums->errors_of_one_max >= OUTCOMES_ERRORS_OF_ONE;
}

/// Checks whether an upstream is to be ejected.
static bool
should_eject(const struct upstream_outcomes *upstream, usec_t now,
    const struct slot_sums *sums)
{
	unsigned n_slots = FLEET_OUTCOMES_SLOTS - 1;
	struct cusum cusum =
	    compute_cusum(sums, OUTCOMES_NORMAL_SHARE_MIN, n_slots);
	double normal;

	if (cusum.sum < OUTCOMES_EJECT_SUM || !is_seen_by_enough(sums) ||
	    upstream->service->suspect_since == 0 ||
	    now < upstream->service->suspect_since + OUTCOMES_REPORT_SPAN)
		return false;
	normal = OUTCOMES_NORMAL_FACTOR *
		find_best_share(upstream, now, cusum.first_slot) +
	    OUTCOMES_NORMAL_MARGIN;
	normal = MAX(normal, OUTCOMES_NORMAL_SHARE_MIN);
	return normal <= OUTCOMES_NORMAL_SHARE_MAX &&
	    compute_cusum(sums, normal, n_slots).sum >= OUTCOMES_EJECT_SUM;
}

/// Describes what an ejection is based on.
static struct fleet_outcome_evidence
describe_evidence(const struct slot_sums *sums)
{
	struct cusum cusum = compute_cusum(
	    sums, OUTCOMES_NORMAL_SHARE_MIN, FLEET_OUTCOMES_SLOTS);
	struct fleet_outcome_evidence evidence = {
	    .n_errors = sums->by_result[OUTLIER_ERROR],
	    .n_broken = sums->by_result[OUTLIER_BROKEN],
	    .n_unreachable = sums->by_result[OUTLIER_UNREACHABLE],
	    .n_instances = sums->n_instances,
	};

	for (int64_t i = cusum.first_slot - sums->oldest_slot;
	     i < FLEET_OUTCOMES_SLOTS; i++)
		evidence.n_served += sums->served[i];
	return evidence;
}

/// Ejects an upstream.
static void
eject(struct fleet_outcomes *outcomes, struct upstream_outcomes *upstream,
    usec_t now, const struct slot_sums *sums,
    struct fleet_outcome_change *change)
{
	upstream->ejection = (struct ejection){now, describe_evidence(sums)};
	upstream->trial_due_at =
	    MAX(upstream->trial_due_at, now + OUTCOMES_FIRST_TRIAL_DELAY);
	outcomes->n_ejected++;
	*change = (struct fleet_outcome_change){
	    .upstream = upstream->upstream,
	    .evidence = upstream->ejection.evidence,
	    .event = FLEET_OUTCOME_EJECTED,
	};
}

/// Ends the ejection of an upstream.
static void
end_ejection(struct fleet_outcomes *outcomes,
    struct upstream_outcomes *upstream, usec_t now,
    enum fleet_outcome_event event, struct fleet_outcome_change *change)
{
	*change = (struct fleet_outcome_change){
	    .upstream = upstream->upstream,
	    .span = now - upstream->ejection.at,
	    .evidence = upstream->ejection.evidence,
	    .event = event,
	};
	upstream->ejection.at = 0;
	/* The results that led to the ejection must not repeat it. */
	upstream->cleared_at =
	    MAX(upstream->cleared_at, event == FLEET_OUTCOME_EXPIRED ? now : 0);
	outcomes->n_ejected--;
}

/// Checks whether any instance has told of a failure of an upstream.
static bool
has_failures(const struct upstream_outcomes *upstream)
{
	return upstream->own.n_failures > 0 || upstream->ejection.at != 0 ||
	    g_hash_table_size(upstream->reports) > 0;
}

/// Ejects an upstream if its results are reason to.
///
/// @return whether it did
static bool
consider_ejection(struct fleet_outcomes *outcomes,
    struct upstream_outcomes *upstream, usec_t now,
    struct fleet_outcome_change *change)
{
	struct slot_sums sums;

	if (upstream->service->suspect_since == 0 || !has_failures(upstream))
		return false;
	sum_up(upstream, now, &sums);
	if (!should_eject(upstream, now, &sums))
		return false;
	eject(outcomes, upstream, now, &sums, change);
	return true;
}

/// Ends the ejection of an upstream if a trial was served, or if there is no
/// evidence any more.
///
/// @return whether it did
static bool
consider_return(struct fleet_outcomes *outcomes,
    struct upstream_outcomes *upstream, usec_t now,
    struct fleet_outcome_change *change)
{
	usec_t ejected_at = upstream->ejection.at;
	enum fleet_outcome_event event = FLEET_OUTCOME_EXPIRED;
	struct slot_sums sums;

	sum_up_failures(upstream, now, &sums);
	if (upstream->cleared_at >= ejected_at)
		event = FLEET_OUTCOME_RETURNED;
	else if (now <
	    MAX(sums.newest_failure_at, ejected_at) + OUTCOMES_EVIDENCE_TTL)
		return false;
	end_ejection(outcomes, upstream, now, event, change);
	return true;
}

/// Checks whether an instance has seen nothing of an upstream for long.
static bool
is_report_over(const struct fleet_outcome_report *report, usec_t now)
{
	usec_t since = now - FLEET_OUTCOMES_WINDOW;
	usec_t newest = report->newest_slot * FLEET_OUTCOMES_SLOT;

	return newest <= since && report->trial.at <= since &&
	    (report->n_failures == 0 ||
		report->failures[report->n_failures - 1].at <= since);
}

static gboolean
is_other_report_over(gpointer sender, gpointer report, gpointer now)
{
	(void)sender;
	return is_report_over(report, *(const usec_t *)now);
}

static gboolean
is_sender_gone(gpointer key, gpointer sender, gpointer now)
{
	(void)key;
	return ((const struct sender *)sender)->heard_at <=
	    *(const usec_t *)now - 2 * FLEET_OUTCOMES_WINDOW;
}

/// Removes what is too old of an upstream.
///
/// @return whether nothing is left
static bool
expire_upstream(struct upstream_outcomes *upstream, usec_t now)
{
	g_hash_table_foreach_remove(
	    upstream->reports, is_other_report_over, &now);
	return g_hash_table_size(upstream->reports) == 0 &&
	    upstream->ejection.at == 0 && is_report_over(&upstream->own, now);
}

/// Failures of an upstream in the last second and in the whole window.
struct failure_counts {
	unsigned recent;
	unsigned all;
};

/// Counts the failures of an upstream.
static struct failure_counts
count_failures(const struct upstream_outcomes *upstream, usec_t now)
{
	struct failure_counts counts = {0};
	struct slot_sums sums;

	if (!has_failures(upstream))
		return counts;
	sum_up_failures(upstream, now, &sums);
	for (unsigned i = 0; i < FLEET_OUTCOMES_SLOTS; i++) {
		counts.all += sums.failed[i];
		if (i >= FLEET_OUTCOMES_SLOTS - OUTCOMES_SUSPECT_SLOTS)
			counts.recent += sums.failed[i];
	}
	return counts;
}

/// Checks whether an upstream has many more failures than the best other one.
static bool
stands_out(unsigned most, unsigned least)
{
	return most >=
	    OUTCOMES_SUSPECT_FAILURES + OUTCOMES_SUSPECT_FACTOR * least;
}

/// Checks whether all results of a service are to be told: one of its upstreams
/// is ejected, or has many more failures than another.
static bool
is_service_suspect(const struct service_outcomes *service, usec_t now)
{
	struct failure_counts most = {0};
	struct failure_counts least = {UINT_MAX, UINT_MAX};

	for (guint i = 0; i < service->upstreams->len; i++) {
		const struct upstream_outcomes *upstream =
		    service->upstreams->pdata[i];
		struct failure_counts counts;

		if (upstream->ejection.at != 0)
			return true;
		counts = count_failures(upstream, now);
		most.recent = MAX(most.recent, counts.recent);
		most.all = MAX(most.all, counts.all);
		least.recent = MIN(least.recent, counts.recent);
		least.all = MIN(least.all, counts.all);
	}
	return stands_out(most.recent, MIN(least.recent, most.recent)) ||
	    stands_out(most.all, MIN(least.all, most.all));
}

/// Marks a service if all its results are to be told.
static void
mark_service(struct fleet_outcomes *outcomes, struct service_outcomes *service,
    usec_t now)
{
	if (!is_service_suspect(service, now)) {
		service->suspect_since = 0;
	} else if (service->suspect_since == 0) {
		service->suspect_since = now;
		set_news(outcomes);
	}
}

/// Removes old results, and decides on ejections and their ends. Called often,
/// at least each 50 ms.
///
/// @param outcomes  table of results
/// @param now       current time
/// @param changes   filled in
/// @param max       number of elements in `changes`
/// @return number of elements filled in
size_t
fleet_outcomes_tick(struct fleet_outcomes *outcomes, usec_t now,
    struct fleet_outcome_change *changes, size_t max)
{
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	g_hash_table_foreach_remove(outcomes->senders, is_sender_gone, &now);
	g_hash_table_iter_init(&iter, outcomes->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		mark_service(outcomes, value, now);
	g_hash_table_iter_init(&iter, outcomes->upstreams);
	while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct upstream_outcomes *upstream = value;

		if (expire_upstream(upstream, now))
			g_hash_table_iter_remove(&iter);
		else if (upstream->ejection.at != 0)
			n += consider_return(
			    outcomes, upstream, now, &changes[n]);
		else
			n += consider_ejection(
			    outcomes, upstream, now, &changes[n]);
	}
	return n;
}

/// @param outcomes  table of results
/// @return whether the other instances must be told soon
bool
fleet_outcomes_has_news(const struct fleet_outcomes *outcomes)
{
	return outcomes->has_news;
}

/// Checks with each heartbeat whether the last message must be repeated, as it
/// may be lost.
///
/// @param outcomes  table of results
/// @return whether to repeat it
bool
fleet_outcomes_take_repeat(struct fleet_outcomes *outcomes)
{
	if (outcomes->n_repeats == 0)
		return outcomes->n_ejected > 0;
	outcomes->n_repeats--;
	return true;
}

/// Checks whether this instance tells the others of an upstream.
///
/// @param is_failing  whether only own failures and trials count
static bool
is_told(const struct upstream_outcomes *upstream, usec_t now, bool is_failing)
{
	const struct fleet_outcome_report *own = &upstream->own;
	usec_t since = now - FLEET_OUTCOMES_WINDOW;
	bool has_failed = own->n_failures > 0 &&
	    own->failures[own->n_failures - 1].at > since;
	bool fails = has_failed ||
	    (own->trial.state != FLEET_TRIAL_NONE && own->trial.at > since);

	if (is_failing)
		return fails;
	return !fails && upstream->service->suspect_since != 0 &&
	    !is_report_over(own, now);
}

/// Lists what the other instances are to be told: this instance's results at
/// the upstreams of which it has seen failures, then those at the other
/// upstreams of suspect services.
///
/// @param outcomes  table of results
/// @param now       current time
/// @param reports   filled in
/// @param max       number of elements in `reports`
/// @param number    set to the number of the message
/// @return number of elements filled in
size_t
fleet_outcomes_list(struct fleet_outcomes *outcomes, usec_t now,
    struct fleet_outcome_report *reports, size_t max, uint64_t *number)
{
	size_t n = 0;

	for (int pass = 0; pass < 2; pass++) {
		GHashTableIter iter;
		void *value;

		g_hash_table_iter_init(&iter, outcomes->upstreams);
		while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
			struct upstream_outcomes *upstream = value;

			if (!is_told(upstream, now, pass == 0))
				continue;
			advance_slots(
			    &upstream->own, now / FLEET_OUTCOMES_SLOT);
			reports[n++] = upstream->own;
		}
	}
	outcomes->has_news = false;
	*number = ++outcomes->n_messages;
	return n;
}

/// @param outcomes  table of results
/// @return whether any upstream is ejected
bool
fleet_outcomes_has_ejected(const struct fleet_outcomes *outcomes)
{
	return outcomes->n_ejected > 0;
}

/// @param outcomes  table of results
/// @return number of upstreams that are ejected
unsigned
fleet_outcomes_count_ejected(const struct fleet_outcomes *outcomes)
{
	return outcomes->n_ejected;
}

/// @param outcomes  table of results
/// @param upstream  hash of its id and incarnation
/// @return whether the upstream is ejected
bool
fleet_outcomes_is_ejected(
    const struct fleet_outcomes *outcomes, uint64_t upstream)
{
	const struct upstream_outcomes *found;

	if (outcomes->n_ejected == 0)
		return false;
	found = find_upstream(outcomes, upstream);
	return found != NULL && found->ejection.at != 0;
}

/// Checks whether this instance may send a trial request to an ejected
/// upstream.
///
/// @param outcomes    table of results
/// @param now         current time
/// @param upstream    hash of its id and incarnation
/// @param membership  ranks the instances
/// @return whether a trial is due and it is this instance's turn
bool
fleet_outcomes_may_try(struct fleet_outcomes *outcomes, usec_t now,
    uint64_t upstream, const struct membership *membership)
{
	struct upstream_outcomes *found = find_upstream(outcomes, upstream);
	uint64_t task;

	if (found == NULL || found->ejection.at == 0 ||
	    now < found->trial_due_at || now < found->trial_busy_until)
		return false;
	task = hash_pair(upstream, found->trial_seed);
	if (task != found->ranked_task) {
		found->ranked_task = task;
		found->rank = membership_task_rank(membership, task);
	}
	return now >= found->trial_due_at + found->rank * OUTCOMES_TURN_STEP;
}

/// Notes that this instance sends a trial request. The others must be told at
/// once.
///
/// @param outcomes  table of results
/// @param now       current time
/// @param upstream  hash of its id and incarnation
void
fleet_outcomes_begin_trial(
    struct fleet_outcomes *outcomes, usec_t now, uint64_t upstream)
{
	struct upstream_outcomes *found = find_upstream(outcomes, upstream);

	if (found == NULL)
		return;
	found->own.trial = (struct fleet_trial){
	    FLEET_TRIAL_RUNNING, found->own.trial.number + 1, now};
	update_busy(found);
	set_news(outcomes);
}
