/* The loop of a run: arrivals, routers, reports, slots, events. */
#include "run_state.h"

/// One way, inside a zone and between zones.
#define DELAY_NEAR 300
#define DELAY_FAR USEC_PER_MSEC
/// Reports: published by the upstreams, asked for by the entries.
#define PUBLISH_INTERVAL (USEC_PER_SEC / 2)
#define POLL_INTERVAL (USEC_PER_SEC / 2)
#define POLL_DELAY (2 * USEC_PER_MSEC)
/// Cache events come this late, and some never.
#define CACHE_LAG (USEC_PER_SEC / 2)
#define CACHE_LOST 0.02
/// A question for a slot takes this long; a denied one is left alone.
#define SLOT_DELAY (3 * USEC_PER_MSEC)
#define SLOT_BACKOFF (50 * USEC_PER_MSEC)
/// Each entry learns of a zone's leaving and return this much later.
#define ZONE_SPREAD (100 * USEC_PER_MSEC)
#define DOWN_SPAN (5 * USEC_PER_SEC)

void
run_push(struct run *run, usec_t after, enum run_event type, unsigned entry,
    unsigned upstream, uint64_t value, void *data)
{
	struct event event = {.at = run->now + after,
	    .type = type,
	    .entry = entry,
	    .upstream = upstream,
	    .value = value,
	    .data = data};

	events_push(run->events, &event);
}

static unsigned
index_of(const struct entry *entry, router_upstream upstream)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(
		   entry->upstreams, GUINT_TO_POINTER(upstream))) -
	    1;
}

static struct record *
record_of(const struct entry *entry, router_request request)
{
	return g_hash_table_lookup(entry->records, GUINT_TO_POINTER(request));
}

static void
send_record(struct run *run, struct record *record, unsigned upstream)
{
	bool near =
	    run->fakes[upstream].zone == run->entries[record->entry].zone;

	record->state = RECORD_SENT;
	record->upstream = upstream;
	run_push(run, near ? DELAY_NEAR : DELAY_FAR, EVENT_ARRIVE,
	    record->entry, upstream, 0, record);
}

static void
act(struct run *run, unsigned entry, const struct router_action *action)
{
	struct entry *at = &run->entries[entry];
	struct record *record = record_of(at, action->request);
	unsigned upstream;

	switch (action->type) {
	case ROUTER_ACTION_SEND:
		send_record(run, record, index_of(at, action->upstream));
		break;
	case ROUTER_ACTION_REFUSE:
		record->state = RECORD_REFUSED;
		record->done_at = run->now;
		g_hash_table_remove(
		    at->records, GUINT_TO_POINTER(action->request));
		break;
	case ROUTER_ACTION_ACQUIRE_SLOT:
		run_push(run, SLOT_DELAY, EVENT_SLOT, entry,
		    index_of(at, action->upstream), action->slot, NULL);
		break;
	case ROUTER_ACTION_RELEASE_SLOT:
		upstream = index_of(at, action->upstream);
		if (run->fakes[upstream].slot_holder[action->slot] ==
		    (int)entry + 1)
			run->fakes[upstream].slot_holder[action->slot] = 0;
		break;
	case ROUTER_ACTION_REPORT_COLD:
		break;
	}
}

/* Carries out what an entry's router decided, and sets its next tick. */
void
run_pump(struct run *run, unsigned entry)
{
	struct entry *at = &run->entries[entry];
	struct router_action action;
	usec_t due;

	while (router_next_action(at->router, &action))
		act(run, entry, &action);
	due = MAX(router_next_deadline(at->router), run->now);
	if (due >= at->tick_at)
		return;
	at->tick_at = due;
	run_push(run, due - run->now, EVENT_TICK, entry, 0, 0, NULL);
}

static void
submit(struct run *run, const struct arrival *arrival)
{
	struct record *record = g_new0(struct record, 1);
	unsigned entry = (unsigned)g_rand_int_range(
	    run->random, 0, (gint32)run->options.fleet->n_entries);
	struct entry *at = &run->entries[entry];
	bool lookup = arrival->class_id == CLASS_LOOKUP;
	struct router_request_options options = {
	    .organisation = arrival->organisation,
	    .service = lookup ? SERVICE_LOOKUP : SERVICE_MODEL,
	    .class_id = arrival->class_id,
	    .weight = 1,
	    .priority = class_priority(arrival->class_id),
	    .prompt_tokens = arrival->prompt,
	    .start_deadline = run->now + class_patience(arrival->class_id),
	    .idempotent = true,
	    .n_prefix = arrival->n_prefix};

	record->arrival = *arrival;
	record->entry = entry;
	record->submitted_at = run->now;
	record->job = (struct job){.prompt = arrival->prompt,
	    .output = arrival->output,
	    .priority = options.priority,
	    .n_prefix = arrival->n_prefix,
	    .prefix = record->arrival.prefix};
	for (unsigned i = 0; i < arrival->n_prefix; i++)
		options.prefix[i] = arrival->prefix[i];
	g_ptr_array_add(run->records, record);
	record->handle = router_submit(at->router, run->now, &options);
	g_hash_table_insert(
	    at->records, GUINT_TO_POINTER(record->handle), record);
	run_pump(run, entry);
}

static void
next_generation(struct run *run, bool arrives)
{
	const struct run_options *options = &run->options;
	double rate = options->load * options->engine_capacity *
	    options->fleet->n_engines;
	double surge = options->scenario == SCENARIO_SURGE &&
		run->now >= EVENT_AT && run->now < EVENT_END
	    ? SURGE_FACTOR
	    : 1;
	struct arrival arrival = {0};

	if (arrives) {
		workload_draw_generation(run->random, surge, &arrival);
		submit(run, &arrival);
	}
	rate *= workload_surge_rate(surge);
	if (run->now < MEASURE_TO)
		run_push(run,
		    (usec_t)workload_exponential(
			run->random, USEC_PER_SEC / rate),
		    EVENT_GENERATION, 0, 0, 0, NULL);
}

static void
next_lookup(struct run *run, bool arrives)
{
	const struct run_options *options = &run->options;
	double rate = options->load * options->service_capacity *
	    options->fleet->n_services;
	struct arrival arrival;

	if (arrives) {
		workload_draw_lookup(run->random, &arrival);
		submit(run, &arrival);
	}
	if (run->now < MEASURE_TO)
		run_push(run,
		    (usec_t)workload_exponential(
			run->random, USEC_PER_SEC / rate),
		    EVENT_LOOKUP, 0, 0, 0, NULL);
}

static void
answer(struct run *run, unsigned entry, enum router_outcome end,
    struct record *record)
{
	struct entry *at = &run->entries[entry];
	router_request handle = record->handle;

	router_finish(at->router, run->now, handle, end, record->job.generated);
	if (end == ROUTER_OUTCOME_DONE) {
		record->state = RECORD_DONE;
	} else if (router_retry(
		       at->router, run->now, handle, VERDICT_MAY_HAVE_RUN)) {
		record->state = RECORD_WAITING;
		run_pump(run, entry);
		return;
	} else {
		record->state = RECORD_FAILED;
	}
	record->done_at = run->now;
	g_hash_table_remove(at->records, GUINT_TO_POINTER(handle));
	run_pump(run, entry);
}

static void
read_cache_events(struct run *run, unsigned entry, unsigned upstream)
{
	struct entry *at = &run->entries[entry];
	GArray *log = run->fakes[upstream].cache_log;

	for (; at->cache_read[upstream] < log->len;
	     at->cache_read[upstream]++) {
		guint i = at->cache_read[upstream];
		const struct cache_event *event =
		    &g_array_index(log, struct cache_event, i);

		if (event->at > run->now - CACHE_LAG)
			return;
		if (g_rand_double(run->noise) < CACHE_LOST)
			continue;
		router_handle_cache_event(at->router, run->now,
		    at->handles[upstream], i + 1, event->block, event->stored);
	}
}

/* The answers to what was asked for at `asked_at`. */
static void
deliver_reports(struct run *run, unsigned entry, usec_t asked_at)
{
	struct entry *at = &run->entries[entry];

	for (unsigned i = 0; i < run->n_fakes; i++) {
		struct router_load_report report = run->fakes[i].published;

		if (!run_is_up(run, i)) {
			router_mark_unresponsive(
			    at->router, run->now, at->handles[i]);
			continue;
		}
		report.requested_at = asked_at;
		router_report_load(
		    at->router, run->now, at->handles[i], &report);
		read_cache_events(run, entry, i);
	}
	run_pump(run, entry);
}

static void
answer_slot(struct run *run, unsigned entry, unsigned upstream, uint32_t slot)
{
	struct entry *at = &run->entries[entry];
	int *holder = &run->fakes[upstream].slot_holder[slot];

	if (*holder == 0) {
		*holder = (int)entry + 1;
		router_handle_slot_grant(
		    at->router, run->now, at->handles[upstream], slot);
	} else {
		router_handle_slot_denial(at->router, run->now,
		    at->handles[upstream], slot, run->now + SLOT_BACKOFF);
	}
	run_pump(run, entry);
}

static void
handle_time_event(struct run *run, const struct event *event)
{
	struct entry *at = &run->entries[event->entry];

	switch (event->type) {
	case EVENT_TICK:
		if (at->tick_at != run->now)
			return;
		at->tick_at = USEC_NEVER;
		router_tick(at->router, run->now);
		run_pump(run, event->entry);
		break;
	case EVENT_PUBLISH:
		run_publish(run, event->upstream);
		if (event->entry == 0)
			run_push(run, PUBLISH_INTERVAL, EVENT_PUBLISH, 0,
			    event->upstream, 0, NULL);
		break;
	case EVENT_POLL:
		run_push(run, POLL_DELAY, EVENT_REPORTS, event->entry, 0,
		    (uint64_t)run->now, NULL);
		run_push(
		    run, POLL_INTERVAL, EVENT_POLL, event->entry, 0, 0, NULL);
		break;
	case EVENT_REPORTS:
		deliver_reports(run, event->entry, (usec_t)event->value);
		break;
	case EVENT_SET_SERVICE:
		router_set_in_service(at->router, run->now,
		    at->handles[event->upstream], event->value != 0);
		run_pump(run, event->entry);
		break;
	case EVENT_SNAPSHOT:
		if (event->value == 0)
			run->preempted_from = run_preemptions(run);
		else
			run->preempted_to = run_preemptions(run);
		break;
	}
}

static void
handle_event(struct run *run, const struct event *event)
{
	switch (event->type) {
	case EVENT_GENERATION:
		next_generation(run, true);
		break;
	case EVENT_LOOKUP:
		next_lookup(run, true);
		break;
	case EVENT_ARRIVE:
		run_arrive(run, event->data);
		break;
	case EVENT_STEP:
		run_step(run, event->upstream);
		break;
	case EVENT_SERVED:
		if (run->fakes[event->upstream].start_epoch == event->value)
			run_served(run, event->upstream, event->data);
		break;
	case EVENT_ANSWER:
		answer(run, event->entry, (enum router_outcome)event->value,
		    event->data);
		break;
	case EVENT_SLOT:
		answer_slot(
		    run, event->entry, event->upstream, (uint32_t)event->value);
		break;
	case EVENT_RESTART:
		run_restart(run, event->upstream, DOWN_SPAN);
		break;
	default:
		handle_time_event(run, event);
		break;
	}
}

static void
init_entry(struct run *run, unsigned number)
{
	const struct fleet *fleet = run->options.fleet;
	struct entry *at = &run->entries[number];
	struct router_options options = {.policy = run->options.policy,
	    .n_instances = fleet->n_entries,
	    .instance_id = number + 1,
	    .queue_limit = 1000,
	    .ageing_span = 10 * USEC_PER_SEC,
	    .report_interval = POLL_INTERVAL,
	    .memory_reserve = 0.05,
	    .stall_weight = fleet->stall_weight,
	    .zone_weight = fleet->zone_weight,
	    .prefix_weight = run->options.prefix_weight,
	    .retry_ratio = 0.2,
	    .retry_burst = 20,
	    .use_slots = true};

	at->random = g_rand_new_with_seed(g_rand_int(run->random));
	options.random = at->random;
	at->router = router_new(&options);
	router_set_instance_index(at->router, number);
	at->zone = number % fleet->n_zones;
	at->records = g_hash_table_new(NULL, NULL);
	at->upstreams = g_hash_table_new(NULL, NULL);
	at->handles = g_new0(router_upstream, run->n_fakes);
	at->cache_read = g_new0(guint, run->n_fakes);
	at->tick_at = USEC_NEVER;
	for (unsigned i = 0; i < run->n_fakes; i++) {
		bool engine = run->fakes[i].engine != NULL;
		struct router_upstream_options upstream = {
		    .kind = engine ? UPSTREAM_ENGINE : UPSTREAM_SERVICE,
		    .service = engine ? SERVICE_MODEL : SERVICE_LOOKUP,
		    .zone = run->fakes[i].zone,
		    .memory_tokens = run_engine_options.memory_tokens,
		    .max_running = engine ? run_engine_options.max_running
					  : RUN_SERVICE_MAX_RUNNING,
		    .cold_limit = engine ? run_engine_options.cold_limit : 1,
		    .warm_span = run_engine_options.warm_span};

		at->handles[i] =
		    router_add_upstream(at->router, run->now, &upstream);
		g_hash_table_insert(at->upstreams,
		    GUINT_TO_POINTER(at->handles[i]), GUINT_TO_POINTER(i + 1));
	}
	run_push(run, number * POLL_INTERVAL / fleet->n_entries, EVENT_POLL,
	    number, 0, 0, NULL);
}

static void
push_zone_events(struct run *run, unsigned upstream)
{
	if (run->fakes[upstream].zone != 0)
		return;
	for (unsigned e = 0; e < run->options.fleet->n_entries; e++) {
		run_push(run, EVENT_AT + e * ZONE_SPREAD - run->now,
		    EVENT_SET_SERVICE, e, upstream, false, NULL);
		run_push(run, EVENT_END + e * ZONE_SPREAD - run->now,
		    EVENT_SET_SERVICE, e, upstream, true, NULL);
	}
	run_push(run, EVENT_END - DOWN_SPAN - run->now, EVENT_RESTART, 0,
	    upstream, 0, NULL);
}

static void
push_events(struct run *run)
{
	for (unsigned i = 0; i < run->n_fakes; i++) {
		run_push(run, i * PUBLISH_INTERVAL / run->n_fakes,
		    EVENT_PUBLISH, 0, i, 0, NULL);
		run_publish(run, i);
		if (run->options.scenario == SCENARIO_ZONE)
			push_zone_events(run, i);
		else if (run->options.scenario == SCENARIO_RESTART &&
		    i % 3 == 0)
			run_push(run, EVENT_AT - run->now, EVENT_RESTART, 0, i,
			    0, NULL);
	}
	run_push(run, MEASURE_FROM - run->now, EVENT_SNAPSHOT, 0, 0, 0, NULL);
	run_push(run, MEASURE_TO - run->now, EVENT_SNAPSHOT, 0, 0, 1, NULL);
	next_generation(run, false);
	next_lookup(run, false);
}

static void
free_run(struct run *run)
{
	for (unsigned e = 0; e < run->options.fleet->n_entries; e++) {
		struct entry *at = &run->entries[e];

		router_free(at->router);
		g_rand_free(at->random);
		g_hash_table_destroy(at->records);
		g_hash_table_destroy(at->upstreams);
		g_free(at->handles);
		g_free(at->cache_read);
	}
	g_free(run->entries);
	run_fakes_free(run);
	g_ptr_array_free(run->records, TRUE);
	spans_free(run->gaps);
	events_free(run->events);
	g_rand_free(run->random);
	g_rand_free(run->noise);
}

/* Runs once and fills in the measures. */
void
run_measure(const struct run_options *options, double values[N_MEASURES])
{
	struct run run = {.options = *options,
	    .random = g_rand_new_with_seed(options->seed),
	    .noise = g_rand_new_with_seed(options->seed + 1000),
	    .events = events_new(),
	    .now = 1,
	    .gaps = spans_new(),
	    .records = g_ptr_array_new_with_free_func(g_free)};
	struct event event;

	run_fakes_init(&run);
	run.entries = g_new0(struct entry, options->fleet->n_entries);
	for (unsigned e = 0; e < options->fleet->n_entries; e++)
		init_entry(&run, e);
	for (unsigned e = 0; e < options->fleet->n_entries; e++)
		run_pump(&run, e);
	push_events(&run);
	while (events_pop(run.events, &event) && event.at < RUN_END) {
		run.now = event.at;
		handle_event(&run, &event);
	}
	for (int i = 0; i < N_MEASURES; i++)
		values[i] = 0;
	run_values(&run, values);
	free_run(&run);
}
