/* Labelled counters and histograms. */
#include "godwitvale/ops/series.h"

#include <string.h>

/// Series of all kinds; more are counted as one, labelled "other".
#define SERIES_MAX 512
/// Upper bounds of the buckets, in milliseconds.
static const unsigned bounds_ms[] = {1, 2, 5, 10, 20, 50, 100, 150, 200, 300,
    500, 800, 1200, 1800, 3000, 5000, 10000, 20000, 40000};
#define N_BOUNDS G_N_ELEMENTS(bounds_ms)

/// One series: a counter, or a histogram.
struct series {
	const struct series_kind *kind;
	char *labels; /// as they stand between braces, "" without any
	uint64_t count;
	usec_t sum;
	uint64_t buckets[N_BOUNDS]; /// of a histogram: not cumulative
	gboolean is_histogram;
};

static GHashTable *all_series; /// "name{labels}" -> struct series *

/// Frees a series.
static void
series_free(void *data)
{
	struct series *series = data;

	g_free(series->labels);
	g_free(series);
}

/// Writes a value so that it can stand in quotes.
static void
append_label(GString *out, const char *name, const char *value)
{
	char *escaped = g_strescape(value == NULL ? "" : value, NULL);

	g_string_append_printf(
	    out, "%s%s=\"%s\"", out->len > 0 ? "," : "", name, escaped);
	g_free(escaped);
}

/// Finds a series, making it.
static struct series *
series_of(
    const struct series_kind *kind, const char *value, const char *second_value)
{
	GString *labels = g_string_new(NULL);
	struct series *series;
	char *key;

	if (all_series == NULL)
		all_series = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, series_free);
	if (kind->label != NULL)
		append_label(labels, kind->label, value);
	if (kind->second_label != NULL)
		append_label(labels, kind->second_label, second_value);
	key = g_strdup_printf("%s{%s}", kind->name, labels->str);
	series = g_hash_table_lookup(all_series, key);
	if (series != NULL) {
		g_free(key);
		g_string_free(labels, TRUE);
		return series;
	}
	if (g_hash_table_size(all_series) >= SERIES_MAX &&
	    g_strcmp0(value, "other") != 0) {
		g_free(key);
		g_string_free(labels, TRUE);
		return series_of(kind, "other", "other");
	}
	series = g_new0(struct series, 1);
	series->kind = kind;
	series->labels = g_string_free(labels, FALSE);
	g_hash_table_insert(all_series, key, series);
	return series;
}

/// Adds to a counter.
///
/// @param kind          what is counted; outlives the series
/// @param value         of its label
/// @param second_value  of its second label
/// @param n             how much
void
series_add(const struct series_kind *kind, const char *value,
    const char *second_value, uint64_t n)
{
	series_of(kind, value, second_value)->count += n;
}

/// Counts a span in a histogram.
///
/// @param kind          what is measured; outlives the series
/// @param value         of its label
/// @param second_value  of its second label
/// @param span          the span
void
series_observe(const struct series_kind *kind, const char *value,
    const char *second_value, usec_t span)
{
	struct series *series = series_of(kind, value, second_value);
	size_t i = 0;

	series->is_histogram = TRUE;
	series->count++;
	series->sum += span;
	while (i < N_BOUNDS && span > (usec_t)bounds_ms[i] * USEC_PER_MSEC)
		i++;
	if (i < N_BOUNDS)
		series->buckets[i]++;
}

/// Forgets every series.
void
series_reset(void)
{
	g_clear_pointer(&all_series, g_hash_table_unref);
}

/// @return a series' name
static const char *
kind_name(const struct series *series)
{
	g_assert(series->kind != NULL);
	return series->kind->name;
}

/// Orders series by kind, then by labels.
static gint
compare(gconstpointer a, gconstpointer b)
{
	const struct series *left = *(struct series *const *)a;
	const struct series *right = *(struct series *const *)b;
	int order = strcmp(kind_name(left), kind_name(right));

	return order != 0 ? order : strcmp(left->labels, right->labels);
}

/// Writes a histogram.
static void
write_histogram(const struct series *series, GString *out)
{
	const char *name = kind_name(series);
	const char *comma = series->labels[0] == '\0' ? "" : ",";
	uint64_t below = 0;

	for (size_t i = 0; i < N_BOUNDS; i++) {
		below += series->buckets[i];
		g_string_append_printf(out,
		    "godwitvale_%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT
		    "\n",
		    name, series->labels, comma, bounds_ms[i] / 1000.0, below);
	}
	g_string_append_printf(out,
	    "godwitvale_%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
	    "godwitvale_%s_sum{%s} %.6f\n"
	    "godwitvale_%s_count{%s} %" G_GUINT64_FORMAT "\n",
	    name, series->labels, comma, series->count, name, series->labels,
	    (double)series->sum / (double)USEC_PER_SEC, name, series->labels,
	    series->count);
}

/// Writes every series in the text form that scrapers read.
///
/// @param out  appended to
void
series_to_text(GString *out)
{
	GPtrArray *list = g_ptr_array_new();
	const struct series_kind *kind = NULL;
	GHashTableIter iter;
	void *value;

	if (all_series != NULL) {
		g_hash_table_iter_init(&iter, all_series);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, compare);
	for (guint i = 0; i < list->len; i++) {
		const struct series *series = list->pdata[i];

		if (series->kind != kind)
			g_string_append_printf(out,
			    "# HELP godwitvale_%s %s\n"
			    "# TYPE godwitvale_%s %s\n",
			    kind_name(series), series->kind->help,
			    kind_name(series),
			    series->is_histogram ? "histogram" : "counter");
		kind = series->kind;
		if (series->is_histogram)
			write_histogram(series, out);
		else
			g_string_append_printf(out,
			    "godwitvale_%s{%s} %" G_GUINT64_FORMAT "\n",
			    kind_name(series), series->labels, series->count);
	}
	g_ptr_array_unref(list);
}
