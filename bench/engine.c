/* The fake engine. Its parameters are fixed in docs/design/0003. */
#include "engine.h"

/// Time of a step: base, per running generation, per token in memory.
#define STEP_BASE (14 * USEC_PER_MSEC)
#define STEP_PER_JOB 250.0
#define STEP_PER_TOKEN 0.05
/// Prefill: tokens in one step at most, and its speed.
#define PREFILL_PER_STEP 2048
#define PREFILL_USEC_PER_TOKEN 125.0
/// Memory that admission leaves free.
#define WATERMARK 0.99
/// Cold and over its limit: each whole excess slows a step this much.
#define COLD_SLOWDOWN 3.0
/// Cold and this many times over its limit: it falls over.
#define COLD_COLLAPSE 3
#define COLLAPSE_DOWN (5 * USEC_PER_SEC)
/// Progress is told every so many tokens.
#define PROGRESS_TOKENS 32

/// A block in the prefix cache.
struct cached {
	uint64_t block;
	GList link; /// in the order of use
};

struct engine {
	struct engine_options options;
	uint64_t start_epoch;
	usec_t started_at;
	GPtrArray *running; /// struct job, oldest first
	GPtrArray *waiting; /// struct job, last one goes first
	uint64_t used;      /// tokens held by running jobs
	usec_t step_began;
	bool stepping;
	GHashTable *cache;  /// block -> struct cached
	GQueue cache_order; /// least recently used first
	struct engine_totals totals;
};

static uint32_t
job_size(const struct job *job)
{
	return job->prompt + job->generated;
}

/* The waiting job that should start later sorts first. */
static gint
compare_waiting(gconstpointer left, gconstpointer right)
{
	const struct job *a = *(struct job *const *)left;
	const struct job *b = *(struct job *const *)right;

	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	return a->arrived > b->arrived ? -1 : a->arrived < b->arrived;
}

static uint32_t
cold_limit(const struct engine *engine, usec_t now)
{
	const struct engine_options *options = &engine->options;
	double warm = (double)(now - engine->started_at) / options->warm_span;
	uint32_t span = options->max_running - options->cold_limit;

	if (warm >= 1)
		return options->max_running;
	return options->cold_limit + (uint32_t)(span * MAX(warm, 0));
}

static void
cache_trim(struct engine *engine)
{
	struct engine_listener *listener = engine->options.listener;
	uint64_t left = engine->options.memory_tokens - engine->used;

	while (engine->cache_order.length > left / ENGINE_BLOCK_TOKENS) {
		struct cached *oldest = engine->cache_order.head->data;

		listener->cache_event(listener, engine, oldest->block, false);
		g_queue_unlink(&engine->cache_order, &oldest->link);
		g_hash_table_remove(engine->cache, &oldest->block);
	}
}

static void
cache_store(struct engine *engine, uint64_t block)
{
	struct engine_listener *listener = engine->options.listener;
	struct cached *cached = g_hash_table_lookup(engine->cache, &block);

	if (cached != NULL) {
		g_queue_unlink(&engine->cache_order, &cached->link);
		g_queue_push_tail_link(&engine->cache_order, &cached->link);
		return;
	}
	cached = g_new0(struct cached, 1);
	cached->block = block;
	cached->link.data = cached;
	g_hash_table_insert(engine->cache, &cached->block, cached);
	g_queue_push_tail_link(&engine->cache_order, &cached->link);
	listener->cache_event(listener, engine, block, true);
}

/* Starts a job: memory is taken, cached blocks need no prefill. */
static void
start_job(struct engine *engine, struct job *job)
{
	uint32_t cached = 0;

	while (cached < job->n_prefix &&
	    g_hash_table_contains(engine->cache, &job->prefix[cached]))
		cached++;
	for (unsigned i = 0; i < job->n_prefix; i++)
		cache_store(engine, job->prefix[i]);
	cached = MIN(cached * ENGINE_BLOCK_TOKENS, job->prompt - 1);
	job->prefill_left = job_size(job) - cached;
	engine->totals.cached += cached;
	if (job->last_token != 0)
		engine->totals.recomputed += job->prefill_left;
	engine->used += job_size(job);
	g_ptr_array_add(engine->running, job);
}

static void
admit(struct engine *engine)
{
	double limit = WATERMARK * engine->options.memory_tokens;

	while (engine->waiting->len > 0 &&
	    engine->running->len < engine->options.max_running) {
		struct job *job =
		    engine->waiting->pdata[engine->waiting->len - 1];

		if ((double)engine->used + job_size(job) > limit &&
		    engine->running->len > 0)
			return;
		g_ptr_array_remove_index(
		    engine->waiting, engine->waiting->len - 1);
		start_job(engine, job);
		cache_trim(engine);
	}
}

static void
wait_in_queue(struct engine *engine, struct job *job)
{
	g_ptr_array_add(engine->waiting, job);
	g_ptr_array_sort(engine->waiting, compare_waiting);
}

/* Takes the memory of the least important, latest job while it runs out. */
static void
preempt(struct engine *engine)
{
	while (engine->used > engine->options.memory_tokens &&
	    engine->running->len > 1) {
		guint worst = 0;
		struct job *job;

		for (guint i = 1; i < engine->running->len; i++) {
			if (compare_waiting(&engine->running->pdata[i],
				&engine->running->pdata[worst]) < 0)
				worst = i;
		}
		job = g_ptr_array_remove_index(engine->running, worst);
		engine->used -= job_size(job);
		engine->totals.preemptions++;
		wait_in_queue(engine, job);
	}
}

static void
fail_all(struct engine *engine, GPtrArray *jobs, usec_t now)
{
	struct engine_listener *listener = engine->options.listener;

	while (jobs->len > 0) {
		struct job *job = jobs->pdata[jobs->len - 1];

		g_ptr_array_remove_index(jobs, jobs->len - 1);
		listener->failed(listener, job, now);
	}
}

struct engine *
engine_new(const struct engine_options *options)
{
	struct engine *engine = g_new0(struct engine, 1);

	engine->options = *options;
	engine->start_epoch = 1;
	engine->started_at = -options->warm_span;
	engine->running = g_ptr_array_new();
	engine->waiting = g_ptr_array_new();
	engine->cache =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return engine;
}

void
engine_free(struct engine *engine)
{
	g_ptr_array_free(engine->running, TRUE);
	g_ptr_array_free(engine->waiting, TRUE);
	g_hash_table_destroy(engine->cache);
	g_free(engine);
}

void
engine_submit(struct engine *engine, usec_t now, struct job *job)
{
	uint32_t limit = cold_limit(engine, now);
	uint32_t load = engine->running->len + engine->waiting->len + 1;

	job->arrived = now;
	job->generated = 0;
	job->last_token = 0;
	wait_in_queue(engine, job);
	if (limit >= engine->options.max_running || load <= limit)
		return;
	engine->totals.over_limit++;
	if (load < COLD_COLLAPSE * limit)
		return;
	engine->totals.collapses++;
	engine_restart(engine, now, COLLAPSE_DOWN);
}

/* Starts a step; returns its duration, or 0 when there is nothing to do. */
usec_t
engine_begin_step(struct engine *engine, usec_t now)
{
	uint32_t limit = cold_limit(engine, now);
	uint32_t budget = PREFILL_PER_STEP;
	double span;

	if (engine->stepping || now < engine->started_at)
		return 0;
	admit(engine);
	if (engine->running->len == 0)
		return 0;
	for (guint i = 0; i < engine->running->len && budget > 0; i++) {
		struct job *job = engine->running->pdata[i];
		uint32_t part = MIN(job->prefill_left, budget);

		job->prefill_left -= part;
		budget -= part;
	}
	engine->totals.prefilled += PREFILL_PER_STEP - budget;
	span = STEP_BASE + STEP_PER_JOB * engine->running->len +
	    STEP_PER_TOKEN * (double)engine->used +
	    PREFILL_USEC_PER_TOKEN * (PREFILL_PER_STEP - budget);
	if (engine->running->len > limit)
		span *= 1 +
		    COLD_SLOWDOWN * ((double)engine->running->len / limit - 1);
	engine->stepping = true;
	engine->step_began = now;
	return (usec_t)span;
}

/* One token for a job; returns whether it is complete. */
static bool
generate(struct engine *engine, struct job *job, usec_t now, unsigned *n_steady)
{
	struct engine_listener *listener = engine->options.listener;

	if (job->last_token == 0)
		listener->first_token(listener, job, now);
	else if (job->last_token == engine->step_began)
		(*n_steady)++;
	else
		listener->gaps(listener, now - job->last_token, 1);
	job->last_token = now;
	job->generated++;
	engine->used++;
	if (job->generated % PROGRESS_TOKENS == 0)
		listener->progress(listener, job, now);
	return job->generated >= job->output;
}

/* Ends the step that began last; call it after the duration it gave. */
void
engine_end_step(struct engine *engine, usec_t now)
{
	struct engine_listener *listener = engine->options.listener;
	unsigned n_steady = 0;
	guint kept = 0;

	if (!engine->stepping)
		return;
	engine->stepping = false;
	for (guint i = 0; i < engine->running->len; i++) {
		struct job *job = engine->running->pdata[i];

		if (job->prefill_left == 0 &&
		    generate(engine, job, now, &n_steady)) {
			engine->used -= job_size(job);
			listener->finished(listener, job, now);
			continue;
		}
		engine->running->pdata[kept++] = job;
	}
	g_ptr_array_set_size(engine->running, kept);
	if (n_steady > 0)
		listener->gaps(listener, now - engine->step_began, n_steady);
	preempt(engine);
	cache_trim(engine);
}

/* Loses all work; the engine is down for a while and then cold. */
void
engine_restart(struct engine *engine, usec_t now, usec_t down_for)
{
	engine->start_epoch++;
	engine->started_at = now + down_for;
	engine->stepping = false;
	engine->used = 0;
	g_hash_table_remove_all(engine->cache);
	g_queue_init(&engine->cache_order);
	fail_all(engine, engine->running, now);
	fail_all(engine, engine->waiting, now);
}

bool
engine_is_up(const struct engine *engine, usec_t now)
{
	return now >= engine->started_at;
}

void
engine_report(
    const struct engine *engine, usec_t now, struct router_load_report *report)
{
	*report =
	    (struct router_load_report){.start_epoch = engine->start_epoch,
		.uptime = now - engine->started_at,
		.used_tokens = engine->used,
		.running = engine->running->len,
		.waiting = engine->waiting->len,
		.preemptions = engine->totals.preemptions};
}

const struct engine_totals *
engine_totals(const struct engine *engine)
{
	return &engine->totals;
}
