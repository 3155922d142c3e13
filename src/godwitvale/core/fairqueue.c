/*
 * Start-time fair queueing over organisations. The virtual time of an
 * organisation is the cost of its started requests divided by its weight. The
 * organisation with the lowest virtual time starts the next request; if several
 * organisations have about the lowest virtual time, the request with the lowest
 * sort key starts. The sort key combines the priority of a request with the
 * time since which it waits. It does not change while the request waits, so
 * that ageing needs no updates.
 */
#include "godwitvale/core/fairqueue.h"

#include <glib.h>

/// Maximum number of organisations with virtual times within the slack whose
/// first requests are compared by sort key.
#define EVEN_ORGANISATIONS_MAX 8

/// Shortest time between two updates of a start rate, and the time constant of
/// the rate's decay, in microseconds.
#define RATE_UPDATE_INTERVAL (10 * USEC_PER_MSEC)
#define RATE_DECAY_SPAN (20.0 * USEC_PER_SEC)
/// Decayed time with waiting requests, in seconds, from which on a start rate
/// counts as known.
#define BACKLOG_SECONDS_MIN 2.0
/// Lower bound on the decayed number of starts when a wait is estimated from a
/// start rate.
#define STARTS_MIN 0.5
/// Upper bound on every estimate of a wait, in seconds.
#define WAIT_SECONDS_MAX 86400.0

/// Rate at which requests start while requests wait in the queue. Both sums
/// decay with time. Thus, if the queue's owner refuses many requests because of
/// a low rate, the rate becomes unknown after a while and is measured again.
struct start_rate {
	/// decayed time with waiting requests, in seconds
	double backlog_seconds;
	double starts; /// decayed number of starts in that time
	usec_t updated_at;
};

struct organisation {
	struct start_rate start_rate;
	uint32_t id;
	uint32_t weight;
	/// cost of the organisation's started requests divided by its weight;
	/// at least the queue's virtual time at the start of the current
	/// backlog
	double virtual_time;
	/// struct entry of the organisation's waiting requests, by sort key
	GSequence *entries;
	/// position in the queue's backlog; NULL if no request waits
	GSequenceIter *backlog_iter;
};

struct entry {
	struct fairqueue_item item;
	usec_t sort_key; /// the entry with the lowest sort key starts first
	struct organisation *organisation;
	GSequenceIter *key_iter;      /// position in the organisation's entries
	GSequenceIter *deadline_iter; /// position in the queue's deadlines
};

struct fairqueue {
	struct fairqueue_options options;
	GHashTable *entries;       /// request id -> struct entry
	GHashTable *organisations; /// organisation id -> struct organisation
	/// struct organisation by virtual time: those with waiting requests
	GSequence *backlog;
	GSequence *deadlines; /// struct entry by start deadline
	/// an organisation that joins the backlog gets at least this virtual
	/// time
	double virtual_time;
	/// total weight of the organisations in `backlog`
	uint64_t backlog_weight;
	/// start rate of all organisations together
	struct start_rate start_rate;
};

/// Compares entries by sort key, then by id.
///
/// @param left    struct entry
/// @param right   struct entry
/// @param unused  unused
/// @return as strcmp()
static int
compare_sort_keys(gconstpointer left, gconstpointer right, gpointer unused)
{
	const struct entry *a = left;
	const struct entry *b = right;

	(void)unused;
	if (a->sort_key != b->sort_key)
		return a->sort_key < b->sort_key ? -1 : 1;
	return a->item.id < b->item.id ? -1 : a->item.id > b->item.id;
}

/// Compares entries by start deadline, then by id.
///
/// @param left    struct entry
/// @param right   struct entry
/// @param unused  unused
/// @return as strcmp()
static int
compare_deadlines(gconstpointer left, gconstpointer right, gpointer unused)
{
	const struct entry *a = left;
	const struct entry *b = right;

	(void)unused;
	if (a->item.start_deadline != b->item.start_deadline)
		return a->item.start_deadline < b->item.start_deadline ? -1 : 1;
	return a->item.id < b->item.id ? -1 : a->item.id > b->item.id;
}

/// Compares organisations by virtual time, then by id.
///
/// @param left    struct organisation
/// @param right   struct organisation
/// @param unused  unused
/// @return as strcmp()
static int
compare_virtual_times(gconstpointer left, gconstpointer right, gpointer unused)
{
	const struct organisation *a = left;
	const struct organisation *b = right;

	(void)unused;
	if (a->virtual_time != b->virtual_time)
		return a->virtual_time < b->virtual_time ? -1 : 1;
	return a->id < b->id ? -1 : a->id > b->id;
}

/// Adds the time since the last update to a start rate and applies the decay.
/// Does nothing if the last update is less than RATE_UPDATE_INTERVAL ago.
///
/// @param rate         updated
/// @param now          current time
/// @param has_backlog  whether requests waited since the last update
static void
update_start_rate(struct start_rate *rate, usec_t now, bool has_backlog)
{
	usec_t span = now - rate->updated_at;
	double retained = 1 - MIN((double)span / RATE_DECAY_SPAN, 1);

	if (span < RATE_UPDATE_INTERVAL)
		return;
	rate->updated_at = now;
	if (has_backlog)
		rate->backlog_seconds += (double)span / USEC_PER_SEC;
	rate->backlog_seconds *= retained;
	rate->starts *= retained;
}

/// Updates the start rates of one organisation and of the whole queue.
///
/// @param queue         queue whose rate is updated
/// @param organisation  organisation whose rate is updated
/// @param now           current time
static void
update_start_rates(
    struct fairqueue *queue, struct organisation *organisation, usec_t now)
{
	update_start_rate(
	    &queue->start_rate, now, g_hash_table_size(queue->entries) > 0);
	update_start_rate(
	    &organisation->start_rate, now, organisation->backlog_iter != NULL);
}

/// Estimates the time until a number of requests have started.
///
/// @param rate    measured start rate
/// @param starts  number of requests
/// @return seconds; 0 if the rate isn't known yet
static double
estimate_seconds_to_start(const struct start_rate *rate, double starts)
{
	if (rate->backlog_seconds < BACKLOG_SECONDS_MIN)
		return 0;
	return starts * rate->backlog_seconds / MAX(rate->starts, STARTS_MIN);
}

/// Frees an organisation.
///
/// @param data  struct organisation
static void
organisation_free(gpointer data)
{
	struct organisation *organisation = data;

	g_sequence_free(organisation->entries);
	g_free(organisation);
}

/// Returns the record of an organisation, and creates the record if there is
/// none.
///
/// @param queue  owns the record
/// @param id     organisation id
/// @return the record
static struct organisation *
find_or_create_organisation(struct fairqueue *queue, uint32_t id)
{
	struct organisation *organisation =
	    g_hash_table_lookup(queue->organisations, GUINT_TO_POINTER(id));

	if (organisation != NULL)
		return organisation;
	organisation = g_new0(struct organisation, 1);
	organisation->id = id;
	organisation->weight = 1;
	organisation->entries = g_sequence_new(NULL);
	g_hash_table_insert(
	    queue->organisations, GUINT_TO_POINTER(id), organisation);
	return organisation;
}

/// Adds an organisation to the backlog, the organisations with waiting
/// requests. Raises the organisation's virtual time to that of the queue, so
/// that the organisation gets no credit for the time in which it was idle.
///
/// @param queue         queue with the backlog
/// @param organisation  an organisation that is not in the backlog
static void
add_to_backlog(struct fairqueue *queue, struct organisation *organisation)
{
	organisation->virtual_time =
	    MAX(organisation->virtual_time, queue->virtual_time);
	organisation->backlog_iter = g_sequence_insert_sorted(
	    queue->backlog, organisation, compare_virtual_times, NULL);
	queue->backlog_weight += organisation->weight;
}

/// Advances the virtual time of the queue to the lowest virtual time of the
/// organisations in its backlog.
///
/// @param queue  updated; unchanged if no requests wait
static void
advance_virtual_time(struct fairqueue *queue)
{
	GSequenceIter *first = g_sequence_get_begin_iter(queue->backlog);
	struct organisation *organisation;

	if (g_sequence_iter_is_end(first))
		return;
	organisation = g_sequence_get(first);
	queue->virtual_time =
	    MAX(queue->virtual_time, organisation->virtual_time);
}

/// Removes an entry from the queue and frees it. An organisation that has no
/// other entry leaves the backlog.
///
/// @param queue  queue that holds the entry
/// @param entry  freed
static void
remove_entry(struct fairqueue *queue, struct entry *entry)
{
	struct organisation *organisation = entry->organisation;

	g_sequence_remove(entry->key_iter);
	g_sequence_remove(entry->deadline_iter);
	if (g_sequence_is_empty(organisation->entries)) {
		g_sequence_remove(organisation->backlog_iter);
		organisation->backlog_iter = NULL;
		queue->backlog_weight -= organisation->weight;
	}
	g_hash_table_remove(queue->entries, GUINT_TO_POINTER(entry->item.id));
}

/// Returns the entry that an organisation would start first.
///
/// @param organisation  has at least one entry
/// @return the entry with the lowest sort key
static struct entry *
get_first_entry(const struct organisation *organisation)
{
	return g_sequence_get(g_sequence_get_begin_iter(organisation->entries));
}

/// Creates an empty queue.
///
/// @param options  copied
/// @return the queue; free with fairqueue_free()
struct fairqueue *
fairqueue_new(const struct fairqueue_options *options)
{
	struct fairqueue *queue = g_new0(struct fairqueue, 1);

	queue->options = *options;
	queue->start_rate.updated_at = options->now;
	queue->entries =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	queue->organisations = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, organisation_free);
	queue->backlog = g_sequence_new(NULL);
	queue->deadlines = g_sequence_new(NULL);
	return queue;
}

/// Changes the ageing span for requests that are added from now on. Requests
/// that already wait keep their sort keys.
///
/// @param queue        updated
/// @param ageing_span  wait time worth one priority level, in microseconds
void
fairqueue_set_ageing_span(struct fairqueue *queue, usec_t ageing_span)
{
	queue->options.ageing_span = ageing_span;
}

/// Frees a queue and all its entries.
///
/// @param queue  may be NULL
void
fairqueue_free(struct fairqueue *queue)
{
	if (queue == NULL)
		return;
	g_sequence_free(queue->deadlines);
	g_sequence_free(queue->backlog);
	g_hash_table_destroy(queue->entries);
	g_hash_table_destroy(queue->organisations);
	g_free(queue);
}

/// Adds a request to the queue. The request sets the weight of its organisation
/// unless other requests of the organisation are already waiting.
///
/// @param queue  updated
/// @param now    current time
/// @param item   copied; its id must not be in the queue already
void
fairqueue_push_request(
    struct fairqueue *queue, usec_t now, const struct fairqueue_item *item)
{
	struct organisation *organisation =
	    find_or_create_organisation(queue, item->organisation);
	struct entry *entry = g_new0(struct entry, 1);

	g_assert(item->id != 0 && item->weight != 0);
	update_start_rates(queue, organisation, now);
	if (organisation->backlog_iter == NULL) {
		organisation->weight = item->weight;
		add_to_backlog(queue, organisation);
	}
	entry->item = *item;
	entry->sort_key =
	    item->waiting_since - item->priority * queue->options.ageing_span;
	entry->organisation = organisation;
	entry->key_iter = g_sequence_insert_sorted(
	    organisation->entries, entry, compare_sort_keys, NULL);
	entry->deadline_iter = g_sequence_insert_sorted(
	    queue->deadlines, entry, compare_deadlines, NULL);
	g_hash_table_insert(queue->entries, GUINT_TO_POINTER(item->id), entry);
}

/// Returns the request that should start next: the one with the lowest sort key
/// of the organisations whose virtual times exceed the lowest virtual time by
/// no more than the queue's slack.
///
/// @param queue  queue to read
/// @return id of the request, or 0 if no request waits
uint32_t
fairqueue_peek(const struct fairqueue *queue)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue->backlog);
	struct entry *best = NULL;
	double limit = 0;

	for (int i = 0; i < EVEN_ORGANISATIONS_MAX; i++) {
		struct organisation *organisation;
		struct entry *first;

		if (g_sequence_iter_is_end(iter))
			break;
		organisation = g_sequence_get(iter);
		if (best == NULL)
			limit =
			    organisation->virtual_time + queue->options.slack;
		else if (organisation->virtual_time > limit)
			break;
		first = get_first_entry(organisation);
		if (best == NULL || first->sort_key < best->sort_key)
			best = first;
		iter = g_sequence_iter_next(iter);
	}
	return best == NULL ? 0 : best->item.id;
}

/// Removes a request that starts now, and charges its cost to its
/// organisation.
///
/// @param queue  updated
/// @param now    current time
/// @param id     id of a waiting request
void
fairqueue_start_request(struct fairqueue *queue, usec_t now, uint32_t id)
{
	struct entry *entry =
	    g_hash_table_lookup(queue->entries, GUINT_TO_POINTER(id));
	uint32_t organisation;
	double cost;

	g_assert(entry != NULL);
	update_start_rates(queue, entry->organisation, now);
	if (g_hash_table_size(queue->entries) > 1 ||
	    entry->item.waiting_since < now)
		queue->start_rate.starts += 1;
	if (g_sequence_get_length(entry->organisation->entries) > 1 ||
	    entry->item.waiting_since < now)
		entry->organisation->start_rate.starts += 1;
	advance_virtual_time(queue);
	organisation = entry->item.organisation;
	cost = entry->item.cost;
	remove_entry(queue, entry);
	fairqueue_charge_organisation(queue, organisation, cost);
}

/// Removes a request that will not start, without charging its cost.
///
/// @param queue  updated
/// @param now    current time
/// @param id     id of any request
/// @return false if the request was not in the queue
bool
fairqueue_remove_request(struct fairqueue *queue, usec_t now, uint32_t id)
{
	struct entry *entry =
	    g_hash_table_lookup(queue->entries, GUINT_TO_POINTER(id));

	if (entry == NULL)
		return false;
	update_start_rates(queue, entry->organisation, now);
	remove_entry(queue, entry);
	return true;
}

/// Charges a cost to an organisation, or refunds it, for example when a started
/// request returns to the queue without having run.
///
/// @param queue         updated
/// @param organisation  id of the organisation
/// @param cost          cost in the unit of the queue's items; negative for a
///                      refund
void
fairqueue_charge_organisation(
    struct fairqueue *queue, uint32_t organisation, double cost)
{
	struct organisation *record =
	    find_or_create_organisation(queue, organisation);

	record->virtual_time += cost / record->weight;
	if (record->backlog_iter != NULL)
		g_sequence_sort_changed(
		    record->backlog_iter, compare_virtual_times, NULL);
}

/// Returns the number of waiting requests of all organisations.
///
/// @param queue  queue to read
/// @return number of requests
unsigned
fairqueue_length(const struct fairqueue *queue)
{
	return g_hash_table_size(queue->entries);
}

/// Returns the number of waiting requests of one organisation.
///
/// @param queue         queue to read
/// @param organisation  id of the organisation
/// @return number of requests
unsigned
fairqueue_get_organisation_length(
    const struct fairqueue *queue, uint32_t organisation)
{
	struct organisation *record = g_hash_table_lookup(
	    queue->organisations, GUINT_TO_POINTER(organisation));

	return record == NULL ? 0 : g_sequence_get_length(record->entries);
}

/// Estimates how long a waiting request will still wait. The estimate uses the
/// start rate of the request's organisation. Until this rate is known, the
/// estimate uses the start rate of the whole queue and the organisation's fair
/// share.
///
/// @param queue  queue of the request; the start rates are updated
/// @param now    current time
/// @param id     id of a waiting request
/// @return span in microseconds; 0 if neither start rate is known yet
usec_t
fairqueue_estimate_wait(struct fairqueue *queue, usec_t now, uint32_t id)
{
	struct entry *entry =
	    g_hash_table_lookup(queue->entries, GUINT_TO_POINTER(id));
	struct organisation *organisation;
	double ahead;
	double ahead_in_queue;
	double wait;

	g_assert(entry != NULL);
	organisation = entry->organisation;
	update_start_rates(queue, organisation, now);
	ahead = g_sequence_iter_get_position(entry->key_iter);
	wait = estimate_seconds_to_start(&organisation->start_rate, ahead);
	if (organisation->start_rate.backlog_seconds < BACKLOG_SECONDS_MIN) {
		ahead_in_queue = ahead * (double)queue->backlog_weight /
		    organisation->weight;
		ahead_in_queue =
		    MIN(ahead_in_queue, fairqueue_length(queue) - 1);
		wait = estimate_seconds_to_start(
		    &queue->start_rate, ahead_in_queue);
	}
	return (usec_t)(MIN(wait, WAIT_SECONDS_MAX) * USEC_PER_SEC);
}

/// Lists the waiting requests with the earliest start deadlines, earliest
/// first.
///
/// @param queue      queue to read
/// @param n          capacity of the arrays
/// @param ids        filled in with the ids of the requests
/// @param deadlines  filled in with their start deadlines, or NULL
/// @return number of requests listed
unsigned
fairqueue_list_earliest_deadlines(const struct fairqueue *queue, unsigned n,
    uint32_t ids[], usec_t deadlines[])
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue->deadlines);
	unsigned n_found = 0;

	while (n_found < n && !g_sequence_iter_is_end(iter)) {
		const struct entry *entry = g_sequence_get(iter);

		ids[n_found] = entry->item.id;
		if (deadlines != NULL)
			deadlines[n_found] = entry->item.start_deadline;
		n_found++;
		iter = g_sequence_iter_next(iter);
	}
	return n_found;
}
