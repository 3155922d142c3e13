/*
 * Start-time fair queueing over organisations. Priority and age give a fixed
 * sort key, so ageing costs nothing while requests wait.
 */
#include "godwitvale/core/fairqueue.h"

#include <glib.h>

/// Organisations compared by priority where their costs are even.
#define EVEN_ORGANISATIONS_MAX 8

struct organisation {
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
	queue->entries =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	queue->organisations = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, organisation_free);
	queue->backlog = g_sequence_new(NULL);
	queue->deadlines = g_sequence_new(NULL);
	return queue;
}

/// Changes what waiting is worth, for entries that come from now on.
///
/// @param queue        the queue
/// @param ageing_span  waiting this long is worth one priority
void
fairqueue_set_ageing(struct fairqueue *queue, usec_t ageing_span)
{
	queue->options.ageing_span = ageing_span;
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
/// @param item   the request; its id must not be waiting already
void
fairqueue_push(struct fairqueue *queue, const struct fairqueue_item *item)
{
	struct organisation *organisation =
	    organisation_of(queue, item->organisation);
	struct entry *entry = g_new0(struct entry, 1);

	g_assert(item->id != 0 && item->weight != 0);
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
/// @param id     a waiting request
void
fairqueue_start(struct fairqueue *queue, uint32_t id)
{
	struct entry *entry =
	    g_hash_table_lookup(queue->entries, GUINT_TO_POINTER(id));
	uint32_t organisation;
	double cost;

	g_assert(entry != NULL);
	raise_floor(queue);
	organisation = entry->item.organisation;
	cost = entry->item.cost;
	drop(queue, entry);
	fairqueue_charge(queue, organisation, cost);
}

/// Takes a request out that will not start.
///
/// @param queue  the queue
/// @param id     a request
/// @return false when it wasn't waiting
bool
fairqueue_remove(struct fairqueue *queue, uint32_t id)
{
	struct entry *entry =
	    g_hash_table_lookup(queue->entries, GUINT_TO_POINTER(id));

	if (entry == NULL)
		return false;
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

/// Estimates how many requests start before this one.
///
/// @param queue  the queue
/// @param id     a waiting request
/// @return starts ahead of it, of all organisations
double
fairqueue_ahead(const struct fairqueue *queue, uint32_t id)
{
	struct entry *entry =
	    g_hash_table_lookup(queue->entries, GUINT_TO_POINTER(id));
	double own;
	double share;

	g_assert(entry != NULL);
	own = g_sequence_iter_get_position(entry->place);
	share = (double)queue->waiting_weight / entry->organisation->weight;
	return MIN(own * share, fairqueue_length(queue) - 1);
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
