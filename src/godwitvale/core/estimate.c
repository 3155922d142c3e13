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
/// Weight of the built-in prior under the widest series.
#define ROOT_WEIGHT 4.0
/// A series' shape is worked out anew after this share of new samples.
#define REFRESH_SHARE 0.02

struct estimate_series {
	struct estimate_series *prior; /// wider series; NULL at the root
	double count[N_BUCKETS];
	double total;
	double fresh;               /// weight added since the last refresh
	double tail[N_BUCKETS + 1]; /// share of lengths in this bucket or above
};

struct estimate {
	GHashTable *series; /// struct estimate_key -> struct estimate_series
	struct estimate_series root;
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

/// Gives the place of a length on the bucket scale.
///
/// @param tokens  length
/// @return the place, whole numbers being lower edges of buckets
static double
bucket_place(double tokens)
{
	double place = log2(tokens + 1) * BUCKETS_PER_OCTAVE;

	return MIN(place, N_BUCKETS - 0.001);
}

/// Gives the length at a place on the bucket scale.
///
/// @param place  as from bucket_place()
/// @return length in tokens
static double
place_tokens(double place)
{
	return exp2(place / BUCKETS_PER_OCTAVE) - 1;
}

/// Works out the share of lengths above each bucket's edge.
///
/// @param series  to be refreshed; its prior must be fresh
static void
refresh(struct estimate_series *series)
{
	double prior_weight = series->prior ? PRIOR_WEIGHT : ROOT_WEIGHT;
	double all = series->total + prior_weight;
	double above = 0;

	series->tail[N_BUCKETS] = 0;
	for (int i = N_BUCKETS - 1; i >= 0; i--) {
		double prior = series->prior ? series->prior->tail[i]
					     : 1.0 - (double)i / N_BUCKETS;

		above += series->count[i];
		series->tail[i] = (above + prior_weight * prior) / all;
	}
	series->fresh = 0;
}

/// Gives the share of lengths at or above a place.
///
/// @param series  the series
/// @param place   as from bucket_place()
/// @return share, 0 to 1
static double
tail_at(const struct estimate_series *series, double place)
{
	int i = (int)place;
	double part = place - i;

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

/// Finds the series of a key; a new one starts from that of its service and
/// class over all organisations.
///
/// @param estimate  the table
/// @param key       organisation (not 0), service and class
/// @return the series, owned by the table and valid as long as it is
struct estimate_series *
estimate_series_of(struct estimate *estimate, const struct estimate_key *key)
{
	struct estimate_key wide = *key;
	struct estimate_series *prior;

	wide.organisation = 0;
	prior = find_or_make(estimate, &wide, &estimate->root);
	if (key->organisation == 0)
		return prior;
	return find_or_make(estimate, key, prior);
}

/// Takes the length of a finished output.
///
/// @param series  series; its priors learn too
/// @param tokens  the whole output's length
void
estimate_add(struct estimate_series *series, uint32_t tokens)
{
	int bucket = (int)bucket_place(tokens);

	if (series->prior != NULL)
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
	double now = tail_at(series, bucket_place(so_far));
	double then = tail_at(series, bucket_place((double)so_far + more));

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
	double start = bucket_place(so_far);
	double target = tail_at(series, start) * (1 - share);

	for (int i = (int)start; i < N_BUCKETS; i++) {
		double high = series->tail[i];
		double low = series->tail[i + 1];
		double place;

		if (low > target)
			continue;
		place = high > low ? i + (high - target) / (high - low) : i;
		return (uint32_t)place_tokens(MAX(place, start));
	}
	return MAX(so_far, (uint32_t)place_tokens(N_BUCKETS));
}

/// Gives the mean of the whole output's length.
///
/// @param series  series
/// @param so_far  tokens generated so far
/// @return length in tokens, at least `so_far`
double
estimate_mean(struct estimate_series *series, uint32_t so_far)
{
	double start = bucket_place(so_far);
	double now = tail_at(series, start);
	double mean = so_far;
	double place = start;

	if (now <= 0)
		return so_far;
	for (int i = (int)start + 1; i <= N_BUCKETS; i++) {
		double share = (tail_at(series, place) + series->tail[i]) / 2;

		mean += share / now * (place_tokens(i) - place_tokens(place));
		place = i;
		if (i == N_BUCKETS)
			break;
	}
	return mean;
}
