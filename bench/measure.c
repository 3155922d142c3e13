/* Histograms and summaries. */
#include "measure.h"

#include <math.h>
#include <string.h>

#define N_BUCKETS 2400
#define BUCKET_GROWTH 1.01

const char *const measure_names[N_MEASURES] = {"stall_s", "preemptions",
    "gap_p99_ms", "served_pct", "goodput_tok_s", "completed_tokens",
    "recomputed_tokens", "refused_pct", "draft_ttft_p50_s", "draft_ttft_p99_s",
    "diagram_ttft_p99_s", "lookup_p99_ms", "small_served_pct",
    "large_served_pct", "drafts_lost", "over_cold_limit", "collapses", "lost",
    "refuse_wait_p99_s", "recovery_s"};

struct spans {
	uint64_t count[N_BUCKETS];
	uint64_t total;
};

struct spans *
spans_new(void)
{
	return g_new0(struct spans, 1);
}

void
spans_free(struct spans *spans)
{
	g_free(spans);
}

/* Adds `n` spans, in microseconds. */
void
spans_add(struct spans *spans, usec_t span, unsigned n)
{
	double place = log((double)MAX(span, 1)) / log(BUCKET_GROWTH);

	spans->count[MIN((unsigned)place, N_BUCKETS - 1)] += n;
	spans->total += n;
}

/* Gives a quantile in microseconds; 0 when there are no spans. */
double
spans_quantile(const struct spans *spans, double share)
{
	uint64_t target = (uint64_t)(spans->total * share);
	uint64_t sum = 0;

	for (unsigned i = 0; i < N_BUCKETS; i++) {
		sum += spans->count[i];
		if (sum > target)
			return pow(BUCKET_GROWTH, i + 0.5);
	}
	return 0;
}

static gint
compare_doubles(gconstpointer left, gconstpointer right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return a < b ? -1 : a > b;
}

double
median_of(const double *values, unsigned n)
{
	double *sorted = g_memdup2(values, n * sizeof(*values));
	double median;

	qsort(sorted, n, sizeof(*sorted), compare_doubles);
	median = (sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
	g_free(sorted);
	return median;
}

double
least_of(const double *values, unsigned n)
{
	double least = values[0];

	for (unsigned i = 1; i < n; i++)
		least = MIN(least, values[i]);
	return least;
}

double
most_of(const double *values, unsigned n)
{
	double most = values[0];

	for (unsigned i = 1; i < n; i++)
		most = MAX(most, values[i]);
	return most;
}
