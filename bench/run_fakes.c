/* The upstreams of a run: fake engines, and plain services with a queue. */
#include "run_state.h"

#include <math.h>

/// Gaps longer than this are stalls.
#define STALL_GAP (USEC_PER_SEC / 2)
/// A plain service bears this many right after a start, and warms up in this.
#define SERVICE_COLD_LIMIT 1

const struct engine_options run_engine_options = {.memory_tokens = 96000,
    .max_running = 64,
    .cold_limit = 4,
    .warm_span = 20 * USEC_PER_SEC};

static void
tell_end(struct run *run, struct record *record, enum router_outcome end)
{
	usec_t delay = run->fakes[record->upstream].zone ==
		run->entries[record->entry].zone
	    ? 300
	    : USEC_PER_MSEC;

	run_push(run, delay, EVENT_ANSWER, record->entry, record->upstream, end,
	    record);
}

static void
on_first_token(struct engine_listener *listener, struct job *job, usec_t now)
{
	(void)listener;
	((struct record *)job)->first_at = now;
}

static void
on_progress(struct engine_listener *listener, struct job *job, usec_t now)
{
	struct run *run = (struct run *)listener;
	struct record *record = (struct record *)job;

	router_report_progress(run->entries[record->entry].router, now,
	    record->handle, job->generated);
}

static void
on_finished(struct engine_listener *listener, struct job *job, usec_t now)
{
	(void)now;
	tell_end(
	    (struct run *)listener, (struct record *)job, ROUTER_OUTCOME_DONE);
}

static void
on_failed(struct engine_listener *listener, struct job *job, usec_t now)
{
	(void)now;
	tell_end((struct run *)listener, (struct record *)job,
	    ROUTER_OUTCOME_FAILED);
}

static void
on_gaps(struct engine_listener *listener, usec_t gap, unsigned n)
{
	struct run *run = (struct run *)listener;

	if (run->now < MEASURE_FROM)
		return;
	if (gap > STALL_GAP)
		run->stalled += gap * n;
	if (run->now < MEASURE_TO)
		spans_add(run->gaps, gap, n);
}

static void
on_cache_event(struct engine_listener *listener, struct engine *engine,
    uint64_t block, bool stored)
{
	struct run *run = (struct run *)listener;
	struct cache_event event = {
	    .at = run->now, .block = block, .stored = stored};

	if (run->options.prefix_weight <= 0)
		return;
	for (unsigned i = 0; i < run->n_fakes; i++) {
		if (run->fakes[i].engine == engine)
			g_array_append_val(run->fakes[i].cache_log, event);
	}
}

static void
begin_step(struct run *run, unsigned upstream)
{
	struct fake *fake = &run->fakes[upstream];
	usec_t span = engine_begin_step(fake->engine, run->now);

	if (span == 0)
		return;
	fake->step_ends = run->now + span;
	run_push(run, span, EVENT_STEP, 0, upstream, 0, NULL);
}

static void
begin_call(struct run *run, unsigned upstream)
{
	struct fake *fake = &run->fakes[upstream];

	while (fake->running->len < RUN_SERVICE_MAX_RUNNING &&
	    !g_queue_is_empty(&fake->waiting)) {
		struct record *record = g_queue_pop_head(&fake->waiting);

		g_ptr_array_add(fake->running, record);
		record->first_at = run->now;
		run_push(run, record->arrival.service_time, EVENT_SERVED, 0,
		    upstream, fake->start_epoch, record);
	}
}

static uint32_t
service_limit(const struct run *run, const struct fake *fake)
{
	double warm = (double)(run->now - fake->started_at) /
	    run_engine_options.warm_span;
	double span = RUN_SERVICE_MAX_RUNNING - SERVICE_COLD_LIMIT;

	return warm >= 1 ? UINT32_MAX
			 : SERVICE_COLD_LIMIT + (uint32_t)(span * warm);
}

void
run_fakes_init(struct run *run)
{
	const struct fleet *fleet = run->options.fleet;

	run->listener = (struct engine_listener){on_first_token, on_progress,
	    on_finished, on_failed, on_gaps, on_cache_event};
	run->n_fakes = fleet->n_engines + fleet->n_services;
	run->fakes = g_new0(struct fake, run->n_fakes);
	for (unsigned i = 0; i < run->n_fakes; i++) {
		struct fake *fake = &run->fakes[i];
		struct engine_options options = run_engine_options;

		options.listener = &run->listener;
		fake->zone = i % fleet->n_zones;
		if (i < fleet->n_engines)
			fake->engine = engine_new(&options);
		fake->cache_log =
		    g_array_new(FALSE, FALSE, sizeof(struct cache_event));
		fake->running = g_ptr_array_new();
		fake->start_epoch = 1;
		fake->started_at = -run_engine_options.warm_span;
		fake->slot_holder = g_new0(int, run_engine_options.max_running);
	}
}

void
run_fakes_free(struct run *run)
{
	for (unsigned i = 0; i < run->n_fakes; i++) {
		struct fake *fake = &run->fakes[i];

		if (fake->engine != NULL)
			engine_free(fake->engine);
		g_array_free(fake->cache_log, TRUE);
		g_queue_clear(&fake->waiting);
		g_ptr_array_free(fake->running, TRUE);
		g_free(fake->slot_holder);
	}
	g_free(run->fakes);
}

void
run_arrive(struct run *run, struct record *record)
{
	struct fake *fake = &run->fakes[record->upstream];

	record->first_at = 0;
	if (!run_is_up(run, record->upstream)) {
		tell_end(run, record, ROUTER_OUTCOME_FAILED);
		return;
	}
	if (fake->engine != NULL) {
		engine_submit(fake->engine, run->now, &record->job);
		begin_step(run, record->upstream);
		return;
	}
	if (fake->running->len + fake->waiting.length >=
	    service_limit(run, fake))
		fake->over_limit++;
	g_queue_push_tail(&fake->waiting, record);
	begin_call(run, record->upstream);
}

void
run_step(struct run *run, unsigned upstream)
{
	struct fake *fake = &run->fakes[upstream];

	if (fake->step_ends != run->now)
		return;
	engine_end_step(fake->engine, run->now);
	begin_step(run, upstream);
}

void
run_served(struct run *run, unsigned upstream, struct record *record)
{
	g_ptr_array_remove(run->fakes[upstream].running, record);
	tell_end(run, record, ROUTER_OUTCOME_DONE);
	begin_call(run, upstream);
}

void
run_restart(struct run *run, unsigned upstream, usec_t down_for)
{
	struct fake *fake = &run->fakes[upstream];

	if (fake->engine != NULL) {
		fake->step_ends = 0;
		engine_restart(fake->engine, run->now, down_for);
	} else {
		fake->start_epoch++;
		fake->started_at = run->now + down_for;
		while (fake->running->len > 0)
			tell_end(run, g_ptr_array_steal_index(fake->running, 0),
			    ROUTER_OUTCOME_FAILED);
		while (!g_queue_is_empty(&fake->waiting))
			tell_end(run, g_queue_pop_head(&fake->waiting),
			    ROUTER_OUTCOME_FAILED);
	}
	run_push(run, down_for, EVENT_PUBLISH, 1, upstream, 0, NULL);
}

bool
run_is_up(const struct run *run, unsigned upstream)
{
	const struct fake *fake = &run->fakes[upstream];

	return fake->engine != NULL ? engine_is_up(fake->engine, run->now)
				    : run->now >= fake->started_at;
}

void
run_publish(struct run *run, unsigned upstream)
{
	struct fake *fake = &run->fakes[upstream];

	if (!run_is_up(run, upstream))
		return;
	if (fake->engine != NULL)
		engine_report(fake->engine, run->now, &fake->published);
	else
		fake->published = (struct router_load_report){
		    .start_epoch = fake->start_epoch,
		    .uptime = run->now - fake->started_at,
		    .running = fake->running->len,
		    .waiting = fake->waiting.length};
	fake->published_at = run->now;
}

uint64_t
run_preemptions(const struct run *run)
{
	uint64_t sum = 0;

	for (unsigned i = 0; i < run->n_fakes; i++) {
		if (run->fakes[i].engine != NULL)
			sum += engine_totals(run->fakes[i].engine)->preemptions;
	}
	return sum;
}
