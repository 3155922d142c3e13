/*
 * Estimates of output length. Each series of requests has a histogram of the
 * lengths of their outputs, with log-spaced buckets and decaying counts. The
 * estimates of a series with few samples rely mostly on its prior, a series of
 * more requests: those of all organisations, or of all classes of a service.
 */
#include "godwitvale/core/estimate.h"

#include <math.h>

#include <glib.h>

/// Number of buckets per doubling of the length, and total number of buckets.
/// The last bucket ends at 2^17 tokens.
#define BUCKETS_PER_OCTAVE 4
#define N_BUCKETS 68
/// When the total weight of a series' samples reaches this number, all counts
/// are halved, so that the estimates follow changes of the output lengths.
#define WEIGHT_MAX 512.0
/// Weight of the prior of a series, in samples. A series with this many samples
/// gives its samples and its prior equal weight.
#define PRIOR_WEIGHT 12.0
/// Median, in tokens, and shape of the built-in prior: a log-logistic
/// distribution of lengths that is assumed before any sample is known.
#define BUILTIN_MEDIAN 300.0
#define BUILTIN_SHAPE 1.2
/// Weight of the built-in prior, in samples, in the root series of all
/// services.
#define BUILTIN_WEIGHT 4.0
/// The tail fractions of a series are recomputed when the samples added since
/// the last computation reach this fraction of the series' total weight.
#define REFRESH_FRACTION 0.02

struct estimate_series {
	/// series of more requests; NULL for the built-in prior itself
	struct estimate_series *prior;
	double prior_weight;     /// weight of the prior, in samples
	double count[N_BUCKETS]; /// decayed number of samples in each bucket
	double total;            /// sum of `count`
	double new_weight; /// number of samples added since refresh_tails()
	/// fraction of lengths at or above the lower edge of each bucket
	double tail[N_BUCKETS + 1];
	/// integral of the tail fraction over the lengths from the lower edge
	/// of each bucket on, in tokens
	double tail_sum[N_BUCKETS + 1];
};

struct estimate {
	GHashTable *series; /// struct estimate_key -> struct estimate_series
	struct estimate_series root;    /// series of all services
	struct estimate_series builtin; /// built-in prior; only `tail` is set
};

/// Hashes a key for the hash table.
///
/// @param data  struct estimate_key
/// @return the hash
static guint
key_hash(gconstpointer data)
{
	const struct estimate_key *key = data;

	return key->organisation * 0x9e3779b1u ^ key->service * 0x85ebca6bu ^
	    key->class_id * 0xc2b2ae35u;
}

/// Compares two keys for the hash table.
///
/// @param left   struct estimate_key
/// @param right  struct estimate_key
/// @return whether the keys are equal
static gboolean
key_equal(gconstpointer left, gconstpointer right)
{
	const struct estimate_key *a = left;
	const struct estimate_key *b = right;

	return a->organisation == b->organisation && a->service == b->service &&
	    a->class_id == b->class_id;
}

/// Returns the lower edge of a bucket.
///
/// @param bucket  0 to N_BUCKETS; N_BUCKETS gives the end of the last bucket
/// @return length in tokens
static double
bucket_edge(int bucket)
{
	static const double quarters[BUCKETS_PER_OCTAVE] = {
	    1.0, 1.189207115, 1.414213562, 1.681792831};
	double octave = (double)(1u << (bucket / BUCKETS_PER_OCTAVE));

	return octave * quarters[bucket % BUCKETS_PER_OCTAVE] - 1;
}

/// Returns the bucket that contains a length.
///
/// @param tokens  length in tokens; lengths beyond the last bucket's upper edge
///                count as in the last bucket
/// @return 0 to N_BUCKETS - 1
static int
bucket_index(uint32_t tokens)
{
	int octave = (int)g_bit_storage((gulong)tokens + 1) - 1;
	int bucket = octave * BUCKETS_PER_OCTAVE;
	int end = bucket + BUCKETS_PER_OCTAVE;

	if (end > N_BUCKETS)
		return N_BUCKETS - 1;
	while (bucket + 1 < end && tokens >= bucket_edge(bucket + 1))
		bucket++;
	return bucket;
}

/// Returns the position of a length within its bucket.
///
/// @param bucket  as returned by bucket_index()
/// @param tokens  length in tokens
/// @return 0 at the lower edge to 1 at the upper edge
static double
bucket_fraction(int bucket, uint32_t tokens)
{
	double low = bucket_edge(bucket);
	double fraction = (tokens - low) / (bucket_edge(bucket + 1) - low);

	return CLAMP(fraction, 0, 1);
}

/// Computes the fraction of lengths at or above a bucket's lower edge according
/// to the built-in prior. The built-in prior is rather too short than too long:
/// an underestimate of the lengths costs a few preemptions until there are
/// enough samples, but an overestimate would keep requests from being sent, so
/// that no samples would correct the estimate.
///
/// @param bucket  0 to N_BUCKETS - 1
/// @return fraction, 0 to 1
static double
compute_builtin_tail(int bucket)
{
	double ratio = bucket_edge(bucket) / BUILTIN_MEDIAN;

	return 1 / (1 + pow(ratio, BUILTIN_SHAPE));
}

/// Recomputes the tail fractions of a series and their integrals from the
/// counts and the prior.
///
/// @param series  series to update; the tail fractions of its prior must be up
///                to date
static void
refresh_tails(struct estimate_series *series)
{
	double weight = series->prior_weight;
	double total = series->total + weight;
	double above = 0;

	series->tail[N_BUCKETS] = 0;
	for (int i = N_BUCKETS - 1; i >= 0; i--) {
		above += series->count[i];
		series->tail[i] =
		    (above + weight * series->prior->tail[i]) / total;
	}
	series->tail_sum[N_BUCKETS] = 0;
	for (int i = N_BUCKETS - 1; i >= 0; i--) {
		double width = bucket_edge(i + 1) - bucket_edge(i);

		series->tail_sum[i] = series->tail_sum[i + 1] +
		    width * (series->tail[i] + series->tail[i + 1]) / 2;
	}
	series->new_weight = 0;
}

/// Returns the fraction of lengths at or above a given length, interpolated
/// linearly within the bucket of this length.
///
/// @param series  output lengths
/// @param tokens  length in tokens
/// @return fraction, 0 to 1
static double
interpolate_tail(const struct estimate_series *series, uint32_t tokens)
{
	int i = bucket_index(tokens);
	double fraction = bucket_fraction(i, tokens);

	return series->tail[i] * (1 - fraction) +
	    series->tail[i + 1] * fraction;
}

/// Returns the series of a key, and creates the series if there is none.
///
/// @param estimate  table of series, searched and extended
/// @param key       copied if a series is created
/// @param prior     prior of a new series
/// @return the series, owned by the table
static struct estimate_series *
find_or_create_series(struct estimate *estimate, const struct estimate_key *key,
    struct estimate_series *prior)
{
	struct estimate_series *series =
	    g_hash_table_lookup(estimate->series, key);

	if (series != NULL)
		return series;
	series = g_new0(struct estimate_series, 1);
	series->prior = prior;
	series->prior_weight = PRIOR_WEIGHT;
	refresh_tails(series);
	g_hash_table_insert(
	    estimate->series, g_memdup2(key, sizeof(*key)), series);
	return series;
}

/// Creates an empty table of series.
///
/// @return the table; free with estimate_free()
struct estimate *
estimate_new(void)
{
	struct estimate *estimate = g_new0(struct estimate, 1);

	estimate->series =
	    g_hash_table_new_full(key_hash, key_equal, g_free, g_free);
	for (int i = 0; i < N_BUCKETS; i++)
		estimate->builtin.tail[i] = compute_builtin_tail(i);
	estimate->root.prior = &estimate->builtin;
	estimate->root.prior_weight = BUILTIN_WEIGHT;
	refresh_tails(&estimate->root);
	return estimate;
}

/// Frees a table and all its series.
///
/// @param estimate  may be NULL
void
estimate_free(struct estimate *estimate)
{
	if (estimate == NULL)
		return;
	g_hash_table_destroy(estimate->series);
	g_free(estimate);
}

/// Returns the series of a key, and creates the series if there is none. The
/// prior of a new series is the series of the same service and class over all
/// organisations. The prior of that series is the series of all classes of the
/// service.
///
/// @param estimate  table of series, searched and extended
/// @param key       copied if a series is created; organisation and class may
///                  be ESTIMATE_ALL
/// @return the series, owned by the table and valid until the table is freed
struct estimate_series *
estimate_get_series(struct estimate *estimate, const struct estimate_key *key)
{
	struct estimate_key wide_key = {.organisation = ESTIMATE_ALL,
	    .service = key->service,
	    .class_id = ESTIMATE_ALL};
	struct estimate_series *series =
	    g_hash_table_lookup(estimate->series, key);

	if (series != NULL)
		return series;
	series = find_or_create_series(estimate, &wide_key, &estimate->root);
	wide_key.class_id = key->class_id;
	series = find_or_create_series(estimate, &wide_key, series);
	return find_or_create_series(estimate, key, series);
}

/// Adds the length of a finished output to a series and to all its priors.
///
/// @param series  updated
/// @param tokens  length of the whole output, in tokens
void
estimate_add_sample(struct estimate_series *series, uint32_t tokens)
{
	int bucket = bucket_index(tokens);

	if (series->prior == NULL)
		return;
	estimate_add_sample(series->prior, tokens);
	if (series->total >= WEIGHT_MAX) {
		for (int i = 0; i < N_BUCKETS; i++)
			series->count[i] /= 2;
		series->total /= 2;
	}
	series->count[bucket] += 1;
	series->total += 1;
	series->new_weight += 1;
	if (series->new_weight >= series->total * REFRESH_FRACTION)
		refresh_tails(series);
}

/// Returns the probability that an output gets at least a given number of
/// further tokens.
///
/// @param series      output lengths
/// @param generated   number of tokens generated so far
/// @param additional  number of further tokens
/// @return probability, 0 to 1
double
estimate_survival(
    struct estimate_series *series, uint32_t generated, uint32_t additional)
{
	double current_tail = interpolate_tail(series, generated);
	double later_tail = interpolate_tail(series, generated + additional);

	return current_tail <= 0 ? 0 : later_tail / current_tail;
}

/// Returns a quantile of the length of the whole output, given the number of
/// tokens generated so far.
///
/// @param series     output lengths
/// @param generated  number of tokens generated so far
/// @param fraction   quantile, 0 to 1; 0.5 for the median
/// @return length in tokens, at least `generated`
uint32_t
estimate_quantile(
    struct estimate_series *series, uint32_t generated, double fraction)
{
	double target_tail =
	    interpolate_tail(series, generated) * (1 - fraction);

	for (int i = bucket_index(generated); i < N_BUCKETS; i++) {
		double high = series->tail[i];
		double low = series->tail[i + 1];
		double edge = bucket_edge(i);
		double position;

		if (low > target_tail)
			continue;
		position = high > low ? (high - target_tail) / (high - low) : 0;
		edge += position * (bucket_edge(i + 1) - edge);
		return MAX(generated, (uint32_t)MAX(edge, 0));
	}
	return MAX(generated, (uint32_t)bucket_edge(N_BUCKETS));
}

/// Returns the expected length of the whole output, given the number of tokens
/// generated so far.
///
/// @param series     output lengths
/// @param generated  number of tokens generated so far
/// @return length in tokens, at least `generated`
double
estimate_mean(struct estimate_series *series, uint32_t generated)
{
	int bucket = bucket_index(generated);
	double current_tail = interpolate_tail(series, generated);
	double width = (1 - bucket_fraction(bucket, generated)) *
	    (bucket_edge(bucket + 1) - bucket_edge(bucket));
	double tail_sum = series->tail_sum[bucket + 1] +
	    width * (current_tail + series->tail[bucket + 1]) / 2;

	return current_tail <= 0 ? generated
				 : generated + tail_sum / current_tail;
}
