/*
 * Start-time fair queueing over organisations. Priority and age give a fixed
 * sort key, so ageing costs nothing while requests wait.
 */
#include "godwitvale/core/fairqueue.h"

#include <glib.h>

/// Organisations compared by priority where their costs are even.
#define EVEN_ORGANISATIONS_MAX 8

/// Starts are counted at this grain, and forgotten over this time.
#define MARK_SPAN (10 * USEC_PER_MSEC)
#define FADE_SPAN (20.0 * USEC_PER_SEC)
/// Backlogged time before a rate of starts is trusted, in seconds.
#define BUSY_MIN 2.0
/// Starts that a rate is worked out from at least.
#define STARTS_MIN 0.5
/// No wait is expected to be longer than this, in seconds.
#define WAIT_MAX 86400.0

/// How fast requests start while others wait. Both sums fade with time, so
/// that a queue which refuses much finds out again how fast requests start.
struct pace {
	double busy; /// seconds with a backlog
	double starts;
	usec_t marked_at;
};

struct organisation {
	struct pace pace;
	uint32_t id;
	uint32_t weight;
	double spent;           /// cost of its starts by weight
	GSequence *items;       /// struct entry by key
	GSequenceIter *backlog; /// place among the waiting; NULL: none waits
};

struct entry {
	struct fairqueue_item item;
	usec_t key; /// lower goes first
	struct organisation *organisation;
	GSequenceIter *place;
	GSequenceIter *deadline;
};

struct fairqueue {
	struct fairqueue_options options;
	GHashTable *entries;       /// id -> struct entry
	GHashTable *organisations; /// id -> struct organisation
	GSequence *backlog;        /// struct organisation by spent
	GSequence *deadlines;      /// struct entry by deadline
	double spent_floor;        /// what an idle organisation comes back with
	uint64_t waiting_weight;
	struct pace pace; /// of all organisations together
};

/// Orders entries by key, then by id.
///
/// @param left    struct entry
/// @param right   struct entry
/// @param unused  unused
/// @return as strcmp()
static int
compare_keys(gconstpointer left, gconstpointer right, gpointer unused)
{
	const struct entry *a = left;
	const struct entry *b = right;

	(void)unused;
	if (a->key != b->key)
		return a->key < b->key ? -1 : 1;
	return a->item.id < b->item.id ? -1 : a->item.id > b->item.id;
}

/// Orders entries by deadline, then by id.
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
	if (a->item.deadline != b->item.deadline)
		return a->item.deadline < b->item.deadline ? -1 : 1;
	return a->item.id < b->item.id ? -1 : a->item.id > b->item.id;
}

/// Orders organisations by what they have spent, then by id.
///
/// @param left    struct organisation
/// @param right   struct organisation
/// @param unused  unused
/// @return as strcmp()
static int
compare_spent(gconstpointer left, gconstpointer right, gpointer unused)
{
	const struct organisation *a = left;
	const struct organisation *b = right;

	(void)unused;
	if (a->spent != b->spent)
		return a->spent < b->spent ? -1 : 1;
	return a->id < b->id ? -1 : a->id > b->id;
}

/// Accounts for the time since the last step.
///
/// @param pace  changed
/// @param now   current time
/// @param busy  whether requests waited
static void
mark_pace(struct pace *pace, usec_t now, bool busy)
{
	usec_t span = now - pace->marked_at;
	double left = 1 - MIN((double)span / FADE_SPAN, 1);

	if (span < MARK_SPAN)
		return;
	pace->marked_at = now;
	if (busy)
		pace->busy += (double)span / USEC_PER_SEC;
	pace->busy *= left;
	pace->starts *= left;
}

/// Accounts for the time since the last step, of one organisation and of all.
///
/// @param queue         the queue
/// @param organisation  the organisation
/// @param now           current time
static void
mark_both(
    struct fairqueue *queue, struct organisation *organisation, usec_t now)
{
	mark_pace(&queue->pace, now, g_hash_table_size(queue->entries) > 0);
	mark_pace(&organisation->pace, now, organisation->backlog != NULL);
}

/// Says how long a number of starts takes.
///
/// @param pace    how fast requests start
/// @param starts  how many
/// @return seconds; 0 when the pace isn't known
static double
pace_span(const struct pace *pace, double starts)
{
	if (pace->busy < BUSY_MIN)
		return 0;
	return starts * pace->busy / MAX(pace->starts, STARTS_MIN);
}

/// Frees an organisation.
///
/// @param data  struct organisation
static void
organisation_free(gpointer data)
{
	struct organisation *organisation = data;

	g_sequence_free(organisation->items);
	g_free(organisation);
}

/// Finds or makes an organisation.
///
/// @param queue  the queue
/// @param id     the organisation
/// @return its record
static struct organisation *
organisation_of(struct fairqueue *queue, uint32_t id)
{
	struct organisation *organisation =
	    g_hash_table_lookup(queue->organisations, GUINT_TO_POINTER(id));

	if (organisation != NULL)
		return organisation;
	organisation = g_new0(struct organisation, 1);
	organisation->id = id;
	organisation->weight = 1;
	organisation->items = g_sequence_new(NULL);
	g_hash_table_insert(
	    queue->organisations, GUINT_TO_POINTER(id), organisation);
	return organisation;
}

/// Enters an organisation among the waiting ones. An idle time earns it no
/// credit.
///
/// @param queue         the queue
/// @param organisation  one without a place there
static void
enter_backlog(struct fairqueue *queue, struct organisation *organisation)
{
	organisation->spent = MAX(organisation->spent, queue->spent_floor);
	organisation->backlog = g_sequence_insert_sorted(
	    queue->backlog, organisation, compare_spent, NULL);
	queue->waiting_weight += organisation->weight;
}

/// Raises the floor to the least that a waiting organisation has spent.
///
/// @param queue  the queue
static void
raise_floor(struct fairqueue *queue)
{
	GSequenceIter *first = g_sequence_get_begin_iter(queue->backlog);
	struct organisation *organisation;

	if (g_sequence_iter_is_end(first))
		return;
	organisation = g_sequence_get(first);
	queue->spent_floor = MAX(queue->spent_floor, organisation->spent);
}

/// Takes an entry out of all orders and frees it.
///
/// @param queue  the queue
/// @param entry  the entry
static void
drop(struct fairqueue *queue, struct entry *entry)
{
	struct organisation *organisation = entry->organisation;

	g_sequence_remove(entry->place);
	g_sequence_remove(entry->deadline);
	if (g_sequence_is_empty(organisation->items)) {
		g_sequence_remove(organisation->backlog);
		organisation->backlog = NULL;
		queue->waiting_weight -= organisation->weight;
	}
	g_hash_table_remove(queue->entries, GUINT_TO_POINTER(entry->item.id));
}

/// Gives the entry that an organisation would start first.
///
/// @param organisation  one that waits
/// @return the entry
static struct entry *
first_of(const struct organisation *organisation)
{
	return g_sequence_get(g_sequence_get_begin_iter(organisation->items));
}

/// Makes an empty queue.
///
/// @param options  spans in microseconds, slack in units of cost
/// @return the queue; free with fairqueue_free()
struct fairqueue *
fairqueue_new(const struct fairqueue_options *options)
{
	struct fairqueue *queue = g_new0(struct fairqueue, 1);

	queue->options = *options;
	queue->pace.marked_at = options->now;
	queue->entries =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	queue->organisations = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, organisation_free);
	queue->backlog = g_sequence_new(NULL);
	queue->deadlines = g_sequence_new(NULL);
	return queue;
}

/// Frees the queue and what waits in it.
///
/// @param queue  the queue or NULL
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

/// Enters a request.
///
/// @param queue  the queue
/// @param now    current time
/// @param item   the request; its id must not be waiting already
void
fairqueue_push(
    struct fairqueue *queue, usec_t now, const struct fairqueue_item *item)
{
	struct organisation *organisation =
	    organisation_of(queue, item->organisation);
	struct entry *entry = g_new0(struct entry, 1);

	g_assert(item->id != 0 && item->weight != 0);
	mark_both(queue, organisation, now);
	if (organisation->backlog == NULL) {
		organisation->weight = item->weight;
		enter_backlog(queue, organisation);
	}
	entry->item = *item;
	entry->key = item->since - item->priority * queue->options.ageing_span;
	entry->organisation = organisation;
	entry->place = g_sequence_insert_sorted(
	    organisation->items, entry, compare_keys, NULL);
	entry->deadline = g_sequence_insert_sorted(
	    queue->deadlines, entry, compare_deadlines, NULL);
	g_hash_table_insert(queue->entries, GUINT_TO_POINTER(item->id), entry);
}

/// Names the request that should start next.
///
/// @param queue  the queue
/// @return its id, or 0 when none waits
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
			limit = organisation->spent + queue->options.slack;
		else if (organisation->spent > limit)
			break;
		first = first_of(organisation);
		if (best == NULL || first->key < best->key)
			best = first;
		iter = g_sequence_iter_next(iter);
	}
	return best == NULL ? 0 : best->item.id;
}

/// Takes a request out because it starts, and charges its organisation.
///
/// @param queue  the queue
/// @param now    current time
/// @param id     a waiting request
void
fairqueue_start(struct fairqueue *queue, usec_t now, uint32_t id)
{
	struct entry *entry =
	    g_hash_table_lookup(queue->entries, GUINT_TO_POINTER(id));
	uint32_t organisation;
	double cost;

	g_assert(entry != NULL);
	mark_both(queue, entry->organisation, now);
	if (g_hash_table_size(queue->entries) > 1 || entry->item.since < now)
		queue->pace.starts += 1;
	if (g_sequence_get_length(entry->organisation->items) > 1 ||
	    entry->item.since < now)
		entry->organisation->pace.starts += 1;
	raise_floor(queue);
	organisation = entry->item.organisation;
	cost = entry->item.cost;
	drop(queue, entry);
	fairqueue_charge(queue, organisation, cost);
}

/// Takes a request out that will not start.
///
/// @param queue  the queue
/// @param now    current time
/// @param id     a request
/// @return false when it wasn't waiting
bool
fairqueue_remove(struct fairqueue *queue, usec_t now, uint32_t id)
{
	struct entry *entry =
	    g_hash_table_lookup(queue->entries, GUINT_TO_POINTER(id));

	if (entry == NULL)
		return false;
	mark_both(queue, entry->organisation, now);
	drop(queue, entry);
	return true;
}

/// Charges an organisation, as when a request cost more than was thought.
///
/// @param queue         the queue
/// @param organisation  whom
/// @param cost          what to add; negative gives back
void
fairqueue_charge(struct fairqueue *queue, uint32_t organisation, double cost)
{
	struct organisation *record = organisation_of(queue, organisation);

	record->spent += cost / record->weight;
	if (record->backlog != NULL)
		g_sequence_sort_changed(record->backlog, compare_spent, NULL);
}

/// Counts the waiting requests.
///
/// @param queue  the queue
/// @return how many
unsigned
fairqueue_length(const struct fairqueue *queue)
{
	return g_hash_table_size(queue->entries);
}

/// Counts the waiting requests of one organisation.
///
/// @param queue         the queue
/// @param organisation  whose
/// @return how many
unsigned
fairqueue_organisation_length(
    const struct fairqueue *queue, uint32_t organisation)
{
	struct organisation *record = g_hash_table_lookup(
	    queue->organisations, GUINT_TO_POINTER(organisation));

	return record == NULL ? 0 : g_sequence_get_length(record->items);
}

/// Estimates how long a request will wait: by the pace at which its own
/// organisation's requests start, or where that isn't known, by the pace of
/// all and its fair share.
///
/// @param queue  the queue
/// @param now    current time
/// @param id     a waiting request
/// @return span; 0 when no pace is known yet
usec_t
fairqueue_wait(struct fairqueue *queue, usec_t now, uint32_t id)
{
	struct entry *entry =
	    g_hash_table_lookup(queue->entries, GUINT_TO_POINTER(id));
	struct organisation *organisation;
	double ahead;
	double all;
	double wait;

	g_assert(entry != NULL);
	organisation = entry->organisation;
	mark_both(queue, organisation, now);
	ahead = g_sequence_iter_get_position(entry->place);
	wait = pace_span(&organisation->pace, ahead);
	if (organisation->pace.busy < BUSY_MIN) {
		all = ahead * (double)queue->waiting_weight /
		    organisation->weight;
		all = MIN(all, fairqueue_length(queue) - 1);
		wait = pace_span(&queue->pace, all);
	}
	return (usec_t)(MIN(wait, WAIT_MAX) * USEC_PER_SEC);
}

/// Names the requests whose deadlines come first.
///
/// @param queue      the queue
/// @param n          how many at most
/// @param ids        filled in
/// @param deadlines  filled in, or NULL
/// @return how many were filled in
unsigned
fairqueue_earliest(const struct fairqueue *queue, unsigned n, uint32_t ids[],
    usec_t deadlines[])
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue->deadlines);
	unsigned found = 0;

	while (found < n && !g_sequence_iter_is_end(iter)) {
		const struct entry *entry = g_sequence_get(iter);

		ids[found] = entry->item.id;
		if (deadlines != NULL)
			deadlines[found] = entry->item.deadline;
		found++;
		iter = g_sequence_iter_next(iter);
	}
	return found;
}
