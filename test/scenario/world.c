/* The world: virtual time, events, links, the membership list. */
#include "scenario.h"

#include <string.h>

#include "godwitvale/core/hash.h"

/// A step that waits for its time.
struct event {
	usec_t at;
	uint64_t serial;
	struct inst *owner;
	unsigned life;
	step_fn fn;
	void *data;
	bool owned;
};

static bool
before(const struct event *a, const struct event *b)
{
	return a->at < b->at || (a->at == b->at && a->serial < b->serial);
}

static void
heap_push(GPtrArray *heap, struct event *event)
{
	guint i = heap->len;

	g_ptr_array_add(heap, event);
	while (i > 0 && before(event, heap->pdata[(i - 1) / 2])) {
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
		    before(heap->pdata[child + 1], heap->pdata[child]))
			child++;
		if (!before(heap->pdata[child], last))
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

void
world_after(struct world *world, usec_t delay, struct inst *owner, step_fn fn,
    void *data, bool owned)
{
	struct event *event = g_new0(struct event, 1);

	event->at = world->now + MAX(delay, 0);
	event->serial = ++world->serial;
	event->owner = owner;
	event->life = owner == NULL ? 0 : owner->life;
	event->fn = fn;
	event->data = data;
	event->owned = owned;
	heap_push(world->events, event);
}

void
world_run(struct world *world, usec_t until)
{
	while (world->events->len > 0) {
		struct event *event = world->events->pdata[0];
		struct inst *owner = event->owner;

		if (event->at > until)
			break;
		heap_pop(world->events);
		world->now = event->at;
		if (owner != NULL && owner->life == event->life &&
		    owner->paused) {
			g_queue_push_tail(&owner->backlog, event);
			continue;
		}
		if (owner == NULL || owner->life == event->life)
			event->fn(world, event->data);
		event_free(event);
	}
	world->now = until;
}

/// Lets a paused instance go on: what waited happens now, in its old order,
/// its timers before all else or after it.
void
world_wake(struct world *world, struct inst *inst)
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
		event->serial = ++world->serial;
		heap_push(world->events, event);
	}
	if (tick == NULL)
		return;
	tick->at = world->now;
	tick->serial = ++world->serial;
	heap_push(world->events, tick);
}

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
	world->cuts = g_hash_table_new(g_direct_hash, g_direct_equal);
	world->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	world->violations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	world->trace = g_string_new(NULL);
	world->config.index = CONFIG_INDEX;
	world->members.index = MEMBERS_INDEX;
	world->latency = USEC_PER_MSEC;
	world->timing = (struct timing){.members = USEC_PER_SEC,
	    .report = 250 * USEC_PER_MSEC,
	    .claim = 1500 * USEC_PER_MSEC,
	    .lag = 10 * USEC_PER_SEC,
	    .fresh = 10 * USEC_PER_SEC,
	    .bundle = 3 * USEC_PER_SEC,
	    .progress = 5 * USEC_PER_SEC,
	    .resend = 60 * USEC_PER_SEC,
	    .tick = 10 * USEC_PER_MSEC,
	    .lease = 3 * USEC_PER_SEC,
	    .timeout = 5 * USEC_PER_SEC};
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
	g_hash_table_unref(world->cuts);
	g_hash_table_unref(world->by_id);
	g_hash_table_unref(world->violations);
	g_string_free(world->trace, TRUE);
	g_rand_free(world->random);
	g_free(world);
}

struct inst *
world_inst(struct world *world, const char *name)
{
	for (guint i = 0; i < world->insts->len; i++) {
		struct inst *inst = world->insts->pdata[i];

		if (strcmp(inst->end.name, name) == 0)
			return inst;
	}
	return NULL;
}

struct upstream *
world_upstream(struct world *world, const char *name)
{
	for (guint i = 0; i < world->upstreams->len; i++) {
		struct upstream *upstream = world->upstreams->pdata[i];

		if (strcmp(upstream->end.name, name) == 0)
			return upstream;
	}
	return NULL;
}

/// Cuts or mends one direction of a link.
void
world_cut(struct world *world, const struct endpoint *from,
    const struct endpoint *to, bool cut)
{
	gpointer key = GUINT_TO_POINTER(from->index << 16 | to->index);

	if (cut)
		g_hash_table_add(world->cuts, key);
	else
		g_hash_table_remove(world->cuts, key);
}

/// Tells whether anything passes from one end to the other now.
bool
world_passes(
    struct world *world, const struct endpoint *from, const struct endpoint *to)
{
	gpointer key = GUINT_TO_POINTER(from->index << 16 | to->index);

	return !g_hash_table_contains(world->cuts, key);
}

/// Tells whether a TCP exchange works, which needs both directions.
bool
world_linked(
    struct world *world, const struct endpoint *a, const struct endpoint *b)
{
	return world_passes(world, a, b) && world_passes(world, b, a);
}

/// Draws how long one message takes; what TCP loses, it sends again.
usec_t
world_delay(struct world *world, bool reliable)
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

/// Notes the present state of the instances as the list's next revision,
/// which it shows after its lag.
void
world_list_changed(struct world *world)
{
	struct listing *listing = world_alloc(world, sizeof(*listing));
	const struct listing *last = world->listings->len == 0
	    ? NULL
	    : world->listings->pdata[world->listings->len - 1];

	if (world->list_blind)
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

/// Reads the list: one reader may see it later than another.
struct listing *
world_listing(struct world *world)
{
	usec_t behind = 0;

	if (world->list_lag > 1)
		behind = g_rand_int_range(
		    world->random, 0, (gint32)(world->list_lag / 2));
	for (guint i = world->listings->len; i > 0; i--) {
		struct listing *listing = world->listings->pdata[i - 1];

		if (listing->shown_at + behind <= world->now)
			return listing;
	}
	return NULL;
}

/// Gives the number of a service: its first upstream's place. It is the same
/// in each play of a script, whatever was played before.
uint32_t
world_service(const struct world *world, const char *service)
{
	for (guint i = 0; i < world->upstreams->len; i++) {
		const struct upstream *up = world->upstreams->pdata[i];

		if (strcmp(up->service, service) == 0)
			return i + 1;
	}
	return world->upstreams->len + 1;
}

/// Tells whether a comma separated list names something.
bool
world_names(const char *list, const char *name)
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
