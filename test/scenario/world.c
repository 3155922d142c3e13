/*
 * Simulates virtual time with its event queue, network links between
 * endpoints, and the membership list of the platform.
 */
#include "scenario.h"

#include <string.h>

#include "godwitvale/core/hash.h"

/// A scheduled call of a function. An event of an instance is dropped when the
/// instance has stopped or restarted before the event is due.
struct event {
	usec_t at;
	uint64_t serial;      /// order of events that are due at the same time
	struct inst *owner;   /// NULL for an event of the simulation
	unsigned incarnation; /// of owner when the event was scheduled
	event_fn fn;
	void *data;
	bool owned; /// data is freed with the event
};

static bool
event_precedes(const struct event *a, const struct event *b)
{
	return a->at < b->at || (a->at == b->at && a->serial < b->serial);
}

static void
heap_push(GPtrArray *heap, struct event *event)
{
	guint i = heap->len;

	g_ptr_array_add(heap, event);
	while (i > 0 && event_precedes(event, heap->pdata[(i - 1) / 2])) {
		heap->pdata[i] = heap->pdata[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	heap->pdata[i] = event;
}

static struct event *
heap_pop(GPtrArray *heap)
{
	struct event *first = heap->pdata[0];
	struct event *last = heap->pdata[heap->len - 1];
	guint i = 0;

	g_ptr_array_set_size(heap, (gint)heap->len - 1);
	while (heap->len > 0) {
		guint child = 2 * i + 1;

		if (child >= heap->len)
			break;
		if (child + 1 < heap->len &&
		    event_precedes(heap->pdata[child + 1], heap->pdata[child]))
			child++;
		if (!event_precedes(heap->pdata[child], last))
			break;
		heap->pdata[i] = heap->pdata[child];
		i = child;
	}
	if (heap->len > 0)
		heap->pdata[i] = last;
	return first;
}

static void
event_free(struct event *event)
{
	if (event->owned)
		g_free(event->data);
	g_free(event);
}

/// Schedules a call of fn.
/// @param owner  instance that must not stop before the call, or NULL
/// @param owned  whether data is freed after the call
void
world_schedule(struct world *world, usec_t delay, struct inst *owner,
    event_fn fn, void *data, bool owned)
{
	struct event *event = g_new0(struct event, 1);

	event->at = world->now + MAX(delay, 0);
	event->serial = ++world->last_serial;
	event->owner = owner;
	event->incarnation = owner == NULL ? 0 : owner->incarnation;
	event->fn = fn;
	event->data = data;
	event->owned = owned;
	heap_push(world->events, event);
}

/// Runs all events that are due up to a time, and advances the time to that.
void
world_run_until(struct world *world, usec_t until)
{
	while (world->events->len > 0) {
		struct event *event = world->events->pdata[0];
		struct inst *owner = event->owner;

		if (event->at > until)
			break;
		heap_pop(world->events);
		world->now = event->at;
		if (owner != NULL && owner->incarnation == event->incarnation &&
		    owner->paused) {
			g_queue_push_tail(&owner->backlog, event);
			continue;
		}
		if (owner == NULL || owner->incarnation == event->incarnation)
			event->fn(world, event->data);
		event_free(event);
	}
	world->now = until;
}

/// Resumes a paused instance: its delayed events run now in their old order.
/// Its tick runs in that order too or, at random, after all other events.
void
world_resume_inst(struct world *world, struct inst *inst)
{
	struct event *event;
	bool timers_first = g_rand_boolean(world->random);
	struct event *tick = NULL;

	inst->paused = false;
	while ((event = g_queue_pop_head(&inst->backlog)) != NULL) {
		if (event->fn == inst_tick && !timers_first) {
			tick = event;
			continue;
		}
		event->at = world->now;
		event->serial = ++world->last_serial;
		heap_push(world->events, event);
	}
	if (tick == NULL)
		return;
	tick->at = world->now;
	tick->serial = ++world->last_serial;
	heap_push(world->events, tick);
}

/// Allocates zeroed memory that is freed with the world.
void *
world_alloc(struct world *world, size_t size)
{
	void *data = g_malloc0(size);

	g_ptr_array_add(world->arena, data);
	return data;
}

struct world *
world_new(void)
{
	struct world *world = g_new0(struct world, 1);

	world->random = g_rand_new_with_seed(1);
	world->events = g_ptr_array_new();
	world->arena = g_ptr_array_new_with_free_func(g_free);
	world->insts = g_ptr_array_new();
	world->upstreams = g_ptr_array_new();
	world->calls = g_ptr_array_new();
	world->bundles = g_ptr_array_new();
	world->listings = g_ptr_array_new();
	world->cut_links = g_hash_table_new(g_direct_hash, g_direct_equal);
	world->insts_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	world->violations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	world->trace = g_string_new(NULL);
	world->config.index = CONFIG_INDEX;
	world->members.index = MEMBERS_INDEX;
	world->latency = USEC_PER_MSEC;
	world->timing = (struct timing){.members_interval = USEC_PER_SEC,
	    .report_interval = 250 * USEC_PER_MSEC,
	    .claim_timeout = 1500 * USEC_PER_MSEC,
	    .list_lag = 10 * USEC_PER_SEC,
	    .list_freshness = 10 * USEC_PER_SEC,
	    .bundle_freshness = 3 * USEC_PER_SEC,
	    .progress_timeout = 5 * USEC_PER_SEC,
	    .resend_window = 60 * USEC_PER_SEC,
	    .tick_interval = 10 * USEC_PER_MSEC,
	    .lease_term = 3 * USEC_PER_SEC,
	    .answer_timeout = 5 * USEC_PER_SEC};
	world->list_lag = USEC_PER_SEC;
	return world;
}

void
world_free(struct world *world)
{
	for (guint i = 0; i < world->insts->len; i++)
		inst_free(world->insts->pdata[i]);
	for (guint i = 0; i < world->events->len; i++)
		event_free(world->events->pdata[i]);
	for (guint i = 0; i < world->listings->len; i++) {
		struct listing *listing = world->listings->pdata[i];

		g_array_unref(listing->members);
		g_ptr_array_unref(listing->insts);
	}
	for (guint i = 0; i < world->upstreams->len; i++) {
		struct upstream *upstream = world->upstreams->pdata[i];

		g_ptr_array_unref(upstream->work);
		g_ptr_array_unref(upstream->finished);
		g_ptr_array_unref(upstream->conns);
	}
	g_ptr_array_unref(world->events);
	g_ptr_array_unref(world->insts);
	g_ptr_array_unref(world->upstreams);
	g_ptr_array_unref(world->calls);
	g_ptr_array_unref(world->bundles);
	g_ptr_array_unref(world->listings);
	g_ptr_array_unref(world->arena);
	g_hash_table_unref(world->cut_links);
	g_hash_table_unref(world->insts_by_id);
	g_hash_table_unref(world->violations);
	g_string_free(world->trace, TRUE);
	g_rand_free(world->random);
	g_free(world);
}

struct inst *
world_find_inst(struct world *world, const char *name)
{
	for (guint i = 0; i < world->insts->len; i++) {
		struct inst *inst = world->insts->pdata[i];

		if (strcmp(inst->end.name, name) == 0)
			return inst;
	}
	return NULL;
}

struct upstream *
world_find_upstream(struct world *world, const char *name)
{
	for (guint i = 0; i < world->upstreams->len; i++) {
		struct upstream *upstream = world->upstreams->pdata[i];

		if (strcmp(upstream->end.name, name) == 0)
			return upstream;
	}
	return NULL;
}

/// Cuts or restores one direction of a link.
void
world_set_link_cut(struct world *world, const struct endpoint *from,
    const struct endpoint *to, bool cut)
{
	gpointer key = GUINT_TO_POINTER(from->index << 16 | to->index);

	if (cut)
		g_hash_table_add(world->cut_links, key);
	else
		g_hash_table_remove(world->cut_links, key);
}

/// Reports whether one direction of a link is not cut.
bool
world_is_reachable(
    struct world *world, const struct endpoint *from, const struct endpoint *to)
{
	gpointer key = GUINT_TO_POINTER(from->index << 16 | to->index);

	return !g_hash_table_contains(world->cut_links, key);
}

/// Reports whether a TCP exchange works: both directions must not be cut.
bool
world_is_connected(
    struct world *world, const struct endpoint *a, const struct endpoint *b)
{
	return world_is_reachable(world, a, b) &&
	    world_is_reachable(world, b, a);
}

/// Returns a random one-way delay of a message.
/// @param reliable  whether a lost message is retransmitted, as by TCP, which
/// adds 200 ms to its delay
usec_t
world_draw_delay(struct world *world, bool reliable)
{
	usec_t delay = world->latency;

	if (world->jitter > 0)
		delay +=
		    g_rand_int_range(world->random, 0, (gint32)world->jitter);
	if (reliable && world->loss > 0 &&
	    g_rand_double(world->random) < world->loss)
		delay += 200 * USEC_PER_MSEC;
	return delay;
}

/// Records the present state of the instances as the next revision of the
/// membership list. Reads return the revision after a random lag of up to half
/// of list_lag.
void
world_record_listing(struct world *world)
{
	struct listing *listing = world_alloc(world, sizeof(*listing));
	const struct listing *last = world->listings->len == 0
	    ? NULL
	    : world->listings->pdata[world->listings->len - 1];

	if (world->list_frozen)
		return;
	listing->revision = world->listings->len + 1;
	listing->shown_at = world->now;
	if (world->list_lag > 1)
		listing->shown_at += g_rand_int_range(
		    world->random, 0, (gint32)(world->list_lag / 2));
	if (last != NULL)
		listing->shown_at = MAX(listing->shown_at, last->shown_at);
	listing->members =
	    g_array_new(FALSE, FALSE, sizeof(struct view_member));
	listing->insts = g_ptr_array_new();
	for (guint i = 0; i < world->insts->len; i++) {
		struct inst *inst = world->insts->pdata[i];
		struct view_member member = {.id = inst->id,
		    .zone = inst->end.zone,
		    .leaving = inst->draining};

		if (!inst->up)
			continue;
		g_array_append_val(listing->members, member);
		g_ptr_array_add(listing->insts, inst);
	}
	g_ptr_array_add(world->listings, listing);
}

/// Reads the membership list. Each read lags by a random time of up to half of
/// list_lag, so readers may see different revisions at the same time.
/// @return the newest visible revision, or NULL
struct listing *
world_read_listing(struct world *world)
{
	usec_t reader_lag = 0;

	if (world->list_lag > 1)
		reader_lag = g_rand_int_range(
		    world->random, 0, (gint32)(world->list_lag / 2));
	for (guint i = world->listings->len; i > 0; i--) {
		struct listing *listing = world->listings->pdata[i - 1];

		if (listing->shown_at + reader_lag <= world->now)
			return listing;
	}
	return NULL;
}

/// Returns the ID of a service: the position of its first upstream, from 1.
/// Unlike a quark, the ID does not depend on scripts that ran before.
uint32_t
world_service_id(const struct world *world, const char *service)
{
	for (guint i = 0; i < world->upstreams->len; i++) {
		const struct upstream *up = world->upstreams->pdata[i];

		if (strcmp(up->service, service) == 0)
			return i + 1;
	}
	return world->upstreams->len + 1;
}

/// Reports whether a comma-separated list contains a name.
/// @param list  may be NULL, which contains no name
bool
world_name_in_list(const char *list, const char *name)
{
	char **names;
	bool found;

	if (list == NULL)
		return false;
	names = g_strsplit(list, ",", -1);
	found = g_strv_contains((const char *const *)names, name);
	g_strfreev(names);
	return found;
}
