/* Counters and latency histograms with labels, and their text format. */
#include "godwitvale/ops/series.h"

#include <string.h>

/// Maximum number of series of all kinds together. Beyond it, new label values
/// are counted under the label value "other".
#define SERIES_MAX 512
/// Upper bounds of the histogram buckets, in milliseconds.
static const unsigned bounds_ms[] = {1, 2, 5, 10, 20, 50, 100, 150, 200, 300,
    500, 800, 1200, 1800, 3000, 5000, 10000, 20000, 40000};
#define N_BOUNDS G_N_ELEMENTS(bounds_ms)

/// A counter or a histogram with given label values.
struct series {
	const struct series_kind *kind;
	char *labels; /// text between the braces; "" without labels
	uint64_t count;
	usec_t sum;
	uint64_t buckets[N_BOUNDS]; /// only for histograms; not cumulative
	gboolean is_histogram;
};

static GHashTable *all_series; /// "name{labels}" -> struct series *

/// Frees a struct series.
static void
series_free(void *data)
{
	struct series *series = data;

	g_free(series->labels);
	g_free(series);
}

/// Appends name="value" with the value escaped, after a comma if needed.
static void
append_label(GString *out, const char *name, const char *value)
{
	char *escaped = g_strescape(value == NULL ? "" : value, NULL);

	g_string_append_printf(
	    out, "%s%s=\"%s\"", out->len > 0 ? "," : "", name, escaped);
	g_free(escaped);
}

/// Finds the series with the given label values, or adds it.
static struct series *
find_or_add_series(
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
		return find_or_add_series(kind, "other", "other");
	}
	series = g_new0(struct series, 1);
	series->kind = kind;
	series->labels = g_string_free(labels, FALSE);
	g_hash_table_insert(all_series, key, series);
	return series;
}

/// Adds to a counter.
///
/// @param kind          describes the counter; must outlive the series
/// @param value         value of the first label, NULL without labels
/// @param second_value  value of the second label, NULL without one
/// @param n             amount to add
void
series_add(const struct series_kind *kind, const char *value,
    const char *second_value, uint64_t n)
{
	find_or_add_series(kind, value, second_value)->count += n;
}

/// Adds a duration to a histogram.
///
/// @param kind          describes the histogram; must outlive the series
/// @param value         value of the first label, NULL without labels
/// @param second_value  value of the second label, NULL without one
/// @param duration      the duration, in microseconds
void
series_observe(const struct series_kind *kind, const char *value,
    const char *second_value, usec_t duration)
{
	struct series *series = find_or_add_series(kind, value, second_value);
	size_t i = 0;

	series->is_histogram = TRUE;
	series->count++;
	series->sum += duration;
	while (i < N_BOUNDS && duration > (usec_t)bounds_ms[i] * USEC_PER_MSEC)
		i++;
	if (i < N_BOUNDS)
		series->buckets[i]++;
}

/// Removes all series.
void
series_reset(void)
{
	g_clear_pointer(&all_series, g_hash_table_unref);
}

/// Returns the name of a series, without the program's prefix.
static const char *
kind_name(const struct series *series)
{
	g_assert(series->kind != NULL);
	return series->kind->name;
}

/// Compares two series by the name of their kind, then by their labels.
static gint
compare_series(gconstpointer a, gconstpointer b)
{
	const struct series *left = *(struct series *const *)a;
	const struct series *right = *(struct series *const *)b;
	int order = strcmp(kind_name(left), kind_name(right));

	return order != 0 ? order : strcmp(left->labels, right->labels);
}

/// Writes a histogram in the Prometheus text format.
static void
write_histogram(const struct series *series, GString *out)
{
	const char *name = kind_name(series);
	const char *separator = series->labels[0] == '\0' ? "" : ",";
	uint64_t cumulative = 0;

	for (size_t i = 0; i < N_BOUNDS; i++) {
		cumulative += series->buckets[i];
		g_string_append_printf(out,
		    "godwitvale_%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT
		    "\n",
		    name, series->labels, separator, bounds_ms[i] / 1000.0,
		    cumulative);
	}
	g_string_append_printf(out,
	    "godwitvale_%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
	    "godwitvale_%s_sum{%s} %.6f\n"
	    "godwitvale_%s_count{%s} %" G_GUINT64_FORMAT "\n",
	    name, series->labels, separator, series->count, name,
	    series->labels, (double)series->sum / (double)USEC_PER_SEC, name,
	    series->labels, series->count);
}

/// Writes all series in the Prometheus text format.
///
/// @param out  the text is appended to it
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
	g_ptr_array_sort(list, compare_series);
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
