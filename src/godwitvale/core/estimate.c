/* Decaying log-spaced histograms of output length, with shared priors. */
#include "godwitvale/core/estimate.h"

#include <math.h>

#include <glib.h>

/// Buckets for each doubling of the length, and in all (up to 2^17 tokens).
#define BUCKETS_PER_OCTAVE 4
#define N_BUCKETS 68
/// Weight at which older lengths are halved, so that estimates follow change.
#define WEIGHT_MAX 512.0
/// Samples of a series that outweigh half of its prior.
#define PRIOR_WEIGHT 12.0
/// Lengths are taken to be log-logistic before any is known.
#define FIRST_MEDIAN 300.0
#define FIRST_SHAPE 1.2
/// Weight of the built-in prior under the widest series.
#define ROOT_WEIGHT 4.0
/// A series' shape is worked out anew after this share of new samples.
#define REFRESH_SHARE 0.02

struct estimate_series {
	struct estimate_series *prior; /// wider series; NULL at the built-in
	double prior_weight;
	double count[N_BUCKETS];
	double total;
	double fresh;               /// weight added since the last refresh
	double tail[N_BUCKETS + 1]; /// share of lengths in this bucket or above
	double
	    beyond[N_BUCKETS + 1]; /// sum of that share over the tokens above
};

struct estimate {
	GHashTable *series; /// struct estimate_key -> struct estimate_series
	struct estimate_series root;
	struct estimate_series builtin; /// only its tail is used
};

/// Hashes a key for the table.
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

/// Compares two keys for the table.
///
/// @param left   struct estimate_key
/// @param right  struct estimate_key
/// @return whether they are the same
static gboolean
key_equal(gconstpointer left, gconstpointer right)
{
	const struct estimate_key *a = left;
	const struct estimate_key *b = right;

	return a->organisation == b->organisation && a->service == b->service &&
	    a->class_id == b->class_id;
}

/// Gives the lower edge of a bucket.
///
/// @param bucket  0 to N_BUCKETS
/// @return length in tokens
static double
bucket_edge(int bucket)
{
	static const double quarters[BUCKETS_PER_OCTAVE] = {
	    1.0, 1.189207115, 1.414213562, 1.681792831};
	double octave = (double)(1u << (bucket / BUCKETS_PER_OCTAVE));

	return octave * quarters[bucket % BUCKETS_PER_OCTAVE] - 1;
}

/// Gives the bucket of a length.
///
/// @param tokens  length
/// @return 0 to N_BUCKETS - 1
static int
bucket_of(uint32_t tokens)
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

/// Gives how far a length lies into its bucket.
///
/// @param bucket  its bucket
/// @param tokens  length
/// @return 0 to 1
static double
part_of(int bucket, uint32_t tokens)
{
	double low = bucket_edge(bucket);
	double part = (tokens - low) / (bucket_edge(bucket + 1) - low);

	return CLAMP(part, 0, 1);
}

/// Gives the share of lengths in a bucket or above before any is known. Short
/// of the truth it costs a few preemptions until more is learnt; beyond it
/// nothing would be sent, and nothing learnt.
///
/// @param bucket  the bucket
/// @return share, 0 to 1
static double
first_tail(int bucket)
{
	double ratio = bucket_edge(bucket) / FIRST_MEDIAN;

	return 1 / (1 + pow(ratio, FIRST_SHAPE));
}

/// Works out the share of lengths above each bucket's edge.
///
/// @param series  to be refreshed; its prior must be fresh
static void
refresh(struct estimate_series *series)
{
	double weight = series->prior_weight;
	double all = series->total + weight;
	double above = 0;

	series->tail[N_BUCKETS] = 0;
	for (int i = N_BUCKETS - 1; i >= 0; i--) {
		above += series->count[i];
		series->tail[i] =
		    (above + weight * series->prior->tail[i]) / all;
	}
	series->beyond[N_BUCKETS] = 0;
	for (int i = N_BUCKETS - 1; i >= 0; i--) {
		double width = bucket_edge(i + 1) - bucket_edge(i);

		series->beyond[i] = series->beyond[i + 1] +
		    width * (series->tail[i] + series->tail[i + 1]) / 2;
	}
	series->fresh = 0;
}

/// Gives the share of lengths at or above one.
///
/// @param series  the series
/// @param tokens  length
/// @return share, 0 to 1
static double
tail_at(const struct estimate_series *series, uint32_t tokens)
{
	int i = bucket_of(tokens);
	double part = part_of(i, tokens);

	return series->tail[i] * (1 - part) + series->tail[i + 1] * part;
}

/// Finds or makes a series.
///
/// @param estimate  the table
/// @param key       its key
/// @param prior     wider series that it starts from
/// @return the series, owned by the table
static struct estimate_series *
find_or_make(struct estimate *estimate, const struct estimate_key *key,
    struct estimate_series *prior)
{
	struct estimate_series *series =
	    g_hash_table_lookup(estimate->series, key);

	if (series != NULL)
		return series;
	series = g_new0(struct estimate_series, 1);
	series->prior = prior;
	series->prior_weight = PRIOR_WEIGHT;
	refresh(series);
	g_hash_table_insert(
	    estimate->series, g_memdup2(key, sizeof(*key)), series);
	return series;
}

/// Makes an empty table of estimates.
///
/// @return the table; free with estimate_free()
struct estimate *
estimate_new(void)
{
	struct estimate *estimate = g_new0(struct estimate, 1);

	estimate->series =
	    g_hash_table_new_full(key_hash, key_equal, g_free, g_free);
	for (int i = 0; i < N_BUCKETS; i++)
		estimate->builtin.tail[i] = first_tail(i);
	estimate->root.prior = &estimate->builtin;
	estimate->root.prior_weight = ROOT_WEIGHT;
	refresh(&estimate->root);
	return estimate;
}

/// Frees the table and all its series.
///
/// @param estimate  the table or NULL
void
estimate_free(struct estimate *estimate)
{
	if (estimate == NULL)
		return;
	g_hash_table_destroy(estimate->series);
	g_free(estimate);
}

/// Finds the series of a key; a new one starts from that of its class over
/// all organisations, and this from that of all classes of the service.
///
/// @param estimate  the table
/// @param key       organisation and class may be ESTIMATE_ALL
/// @return the series, owned by the table and valid as long as it is
struct estimate_series *
estimate_series_of(struct estimate *estimate, const struct estimate_key *key)
{
	struct estimate_key wide = {.organisation = ESTIMATE_ALL,
	    .service = key->service,
	    .class_id = ESTIMATE_ALL};
	struct estimate_series *series =
	    g_hash_table_lookup(estimate->series, key);

	if (series != NULL)
		return series;
	series = find_or_make(estimate, &wide, &estimate->root);
	wide.class_id = key->class_id;
	series = find_or_make(estimate, &wide, series);
	return find_or_make(estimate, key, series);
}

/// Takes the length of a finished output.
///
/// @param series  series; its priors learn too
/// @param tokens  the whole output's length
void
estimate_add(struct estimate_series *series, uint32_t tokens)
{
	int bucket = bucket_of(tokens);

	if (series->prior == NULL)
		return;
	estimate_add(series->prior, tokens);
	if (series->total >= WEIGHT_MAX) {
		for (int i = 0; i < N_BUCKETS; i++)
			series->count[i] /= 2;
		series->total /= 2;
	}
	series->count[bucket] += 1;
	series->total += 1;
	series->fresh += 1;
	if (series->fresh >= series->total * REFRESH_SHARE)
		refresh(series);
}

/// Gives the probability that an output goes on for some more tokens.
///
/// @param series  series
/// @param so_far  tokens generated so far
/// @param more    tokens beyond these
/// @return probability, 0 to 1
double
estimate_survival(
    struct estimate_series *series, uint32_t so_far, uint32_t more)
{
	double now = tail_at(series, so_far);
	double then = tail_at(series, so_far + more);

	return now <= 0 ? 0 : then / now;
}

/// Gives a quantile of the whole output's length.
///
/// @param series  series
/// @param so_far  tokens generated so far
/// @param share   which quantile, 0 to 1
/// @return length in tokens, at least `so_far`
uint32_t
estimate_quantile(struct estimate_series *series, uint32_t so_far, double share)
{
	double target = tail_at(series, so_far) * (1 - share);

	for (int i = bucket_of(so_far); i < N_BUCKETS; i++) {
		double high = series->tail[i];
		double low = series->tail[i + 1];
		double edge = bucket_edge(i);
		double part;

		if (low > target)
			continue;
		part = high > low ? (high - target) / (high - low) : 0;
		edge += part * (bucket_edge(i + 1) - edge);
		return MAX(so_far, (uint32_t)MAX(edge, 0));
	}
	return MAX(so_far, (uint32_t)bucket_edge(N_BUCKETS));
}

/// Gives the mean of the whole output's length.
///
/// @param series  series
/// @param so_far  tokens generated so far
/// @return length in tokens, at least `so_far`
double
estimate_mean(struct estimate_series *series, uint32_t so_far)
{
	int bucket = bucket_of(so_far);
	double now = tail_at(series, so_far);
	double rest = (1 - part_of(bucket, so_far)) *
	    (bucket_edge(bucket + 1) - bucket_edge(bucket));
	double beyond = series->beyond[bucket + 1] +
	    rest * (now + series->tail[bucket + 1]) / 2;

	return now <= 0 ? so_far : so_far + beyond / now;
}
