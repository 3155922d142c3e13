/* Works out the measures of a finished run. */
#include "run_state.h"

/// Served requests are counted in buckets of this span for the recovery.
#define BUCKET_SPAN (5 * USEC_PER_SEC)
#define RECOVERED_SHARE 0.95
#define N_BUCKETS ((MEASURE_TO - EVENT_AT) / BUCKET_SPAN)

/// Sums over records.
struct sums {
	double asked;
	double served;
	double generations;
	double refused;
	double goodput;
	double completed;
	double group_asked[2]; /// small, large organisations
	double group_served[2];
	double drafts_lost;
	double lost;
	double bucket_asked[N_BUCKETS];
	double bucket_served[N_BUCKETS];
	struct spans *draft_first;
	struct spans *diagram_first;
	struct spans *lookup_done;
	struct spans *refuse_wait;
};

/* Whether a request started within the caller's patience and wasn't lost. */
static bool
was_served(const struct record *record)
{
	usec_t wait = record->first_at - record->submitted_at;

	return record->state != RECORD_FAILED && record->first_at != 0 &&
	    wait <= class_patience(record->arrival.class_id);
}

static void
sum_span(struct sums *sums, const struct record *record)
{
	usec_t wait = record->first_at - record->submitted_at;

	if (record->state == RECORD_REFUSED)
		spans_add(sums->refuse_wait,
		    record->done_at - record->submitted_at, 1);
	if (record->first_at == 0)
		return;
	switch (record->arrival.class_id) {
	case CLASS_DRAFT:
		spans_add(sums->draft_first, wait, 1);
		break;
	case CLASS_DIAGRAM:
		spans_add(sums->diagram_first, wait, 1);
		break;
	case CLASS_LOOKUP:
		if (record->state == RECORD_DONE)
			spans_add(sums->lookup_done,
			    record->done_at - record->submitted_at, 1);
		break;
	}
}

static void
sum_generation(struct sums *sums, const struct record *record, bool served)
{
	int group = record->arrival.organisation <= N_LARGE;

	sums->generations += 1;
	sums->refused += record->state == RECORD_REFUSED;
	sums->group_asked[group] += 1;
	sums->group_served[group] += served;
	if (record->arrival.class_id == CLASS_DRAFT)
		sums->drafts_lost += record->state == RECORD_FAILED;
}

static void
sum_record(struct sums *sums, const struct record *record)
{
	bool served = was_served(record);
	bool generation = record->arrival.class_id != CLASS_LOOKUP;
	usec_t since_event = record->submitted_at - EVENT_AT;

	if (generation && record->state == RECORD_DONE &&
	    record->done_at >= MEASURE_FROM && record->done_at < MEASURE_TO) {
		sums->completed += record->arrival.output;
		sums->goodput += served ? record->arrival.output : 0;
	}
	sums->lost +=
	    record->state == RECORD_FAILED || record->state == RECORD_WAITING;
	if (record->submitted_at < MEASURE_FROM ||
	    record->submitted_at >= MEASURE_TO)
		return;
	sums->asked += 1;
	sums->served += served;
	sum_span(sums, record);
	if (!generation)
		return;
	sum_generation(sums, record, served);
	if (since_event >= 0) {
		sums->bucket_asked[since_event / BUCKET_SPAN] += 1;
		sums->bucket_served[since_event / BUCKET_SPAN] += served;
	}
}

/* Seconds from the end of the event until the last bucket in which too
   little was served. */
static double
recovery(const struct run *run, const struct sums *sums)
{
	usec_t end =
	    run->options.scenario == SCENARIO_RESTART ? EVENT_AT : EVENT_END;
	usec_t recovered = end;

	if (run->options.scenario == SCENARIO_STEADY)
		return 0;
	for (unsigned i = (end - EVENT_AT) / BUCKET_SPAN; i < N_BUCKETS; i++) {
		if (sums->bucket_served[i] <
		    RECOVERED_SHARE * sums->bucket_asked[i])
			recovered = EVENT_AT + (i + 1) * BUCKET_SPAN;
	}
	return (double)(recovered - end) / USEC_PER_SEC;
}

static double
percent(double part, double whole)
{
	return whole > 0 ? 100 * part / whole : 100;
}

static void
fill_spans(const struct sums *sums, double values[N_MEASURES])
{
	values[MEASURE_DRAFT_P50] =
	    spans_quantile(sums->draft_first, 0.5) / USEC_PER_SEC;
	values[MEASURE_DRAFT_P99] =
	    spans_quantile(sums->draft_first, 0.99) / USEC_PER_SEC;
	values[MEASURE_DIAGRAM_P99] =
	    spans_quantile(sums->diagram_first, 0.99) / USEC_PER_SEC;
	values[MEASURE_LOOKUP_P99] =
	    spans_quantile(sums->lookup_done, 0.99) / USEC_PER_MSEC;
	values[MEASURE_REFUSE_WAIT] =
	    spans_quantile(sums->refuse_wait, 0.99) / USEC_PER_SEC;
	spans_free(sums->draft_first);
	spans_free(sums->diagram_first);
	spans_free(sums->lookup_done);
	spans_free(sums->refuse_wait);
}

void
run_values(const struct run *run, double values[N_MEASURES])
{
	struct sums sums = {.draft_first = spans_new(),
	    .diagram_first = spans_new(),
	    .lookup_done = spans_new(),
	    .refuse_wait = spans_new()};
	double span = (double)(MEASURE_TO - MEASURE_FROM) / USEC_PER_SEC;

	for (guint i = 0; i < run->records->len; i++)
		sum_record(&sums, run->records->pdata[i]);
	values[MEASURE_STALL] = (double)run->stalled / USEC_PER_SEC;
	values[MEASURE_PREEMPTIONS] =
	    (double)(run->preempted_to - run->preempted_from);
	values[MEASURE_GAP_P99] =
	    spans_quantile(run->gaps, 0.99) / USEC_PER_MSEC;
	values[MEASURE_SERVED] = percent(sums.served, sums.asked);
	values[MEASURE_GOODPUT] = sums.goodput / span;
	values[MEASURE_COMPLETED] = sums.completed;
	values[MEASURE_REFUSED] = percent(sums.refused, sums.generations);
	values[MEASURE_SMALL_SERVED] =
	    percent(sums.group_served[0], sums.group_asked[0]);
	values[MEASURE_LARGE_SERVED] =
	    percent(sums.group_served[1], sums.group_asked[1]);
	values[MEASURE_DRAFTS_LOST] = sums.drafts_lost;
	values[MEASURE_LOST] = sums.lost;
	values[MEASURE_RECOVERY] = recovery(run, &sums);
	fill_spans(&sums, values);
	for (unsigned i = 0; i < run->n_fakes; i++) {
		const struct fake *fake = &run->fakes[i];
		const struct engine_totals *totals;

		values[MEASURE_OVER_LIMIT] += fake->over_limit;
		if (fake->engine == NULL)
			continue;
		totals = engine_totals(fake->engine);
		values[MEASURE_RECOMPUTED] += totals->recomputed;
		values[MEASURE_COLLAPSES] += totals->collapses;
		values[MEASURE_OVER_LIMIT] += totals->over_limit;
	}
}
