/* What is measured in one run, and how runs are summed up. */
#ifndef GODWITVALE_BENCH_MEASURE_H
#define GODWITVALE_BENCH_MEASURE_H

#include <stdio.h>

#include "workload.h"

/// The measures of one run, all within the measured span unless said so.
enum measure_id {
	MEASURE_STALL = 0,   /// seconds in gaps of over half a second
	MEASURE_PREEMPTIONS, /// count, whole run
	MEASURE_GAP_P99,     /// between tokens, ms
	MEASURE_SERVED,      /// % of requests started in time and not lost
	MEASURE_GOODPUT,     /// output tokens/s of requests started in time
	MEASURE_COMPLETED,   /// output tokens of completed requests
	MEASURE_RECOMPUTED,  /// tokens computed again, whole run
	MEASURE_REFUSED,     /// % of generations
	MEASURE_DRAFT_P50,   /// until the first token, s
	MEASURE_DRAFT_P99,
	MEASURE_DIAGRAM_P99,
	MEASURE_LOOKUP_P99,   /// until the answer, ms
	MEASURE_SMALL_SERVED, /// % of small organisations' generations
	MEASURE_LARGE_SERVED, /// % of large organisations' generations
	MEASURE_DRAFTS_LOST,  /// drafts answered with a failure
	MEASURE_OVER_LIMIT,   /// arrivals beyond a cold upstream's limit
	MEASURE_COLLAPSES,
	MEASURE_LOST,        /// requests without any answer at the end
	MEASURE_REFUSE_WAIT, /// p99 of the wait before a refusal, s
	MEASURE_RECOVERY,    /// s from the end of the event until 95 % of
			     /// what is asked is served again
	N_MEASURES,
};

extern const char *const measure_names[N_MEASURES];

/// A histogram of spans with 1 % wide buckets.
struct spans;
struct spans *spans_new(void);
void spans_free(struct spans *spans);
void spans_add(struct spans *spans, usec_t span, unsigned n);
double spans_quantile(const struct spans *spans, double share);

double median_of(const double *values, unsigned n);
double least_of(const double *values, unsigned n);
double most_of(const double *values, unsigned n);

#endif
