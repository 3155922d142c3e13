/* Learns the base intervals of engines and the pauses of their services. */
#include "godwitvale/core/engine_pace.h"

#include <math.h>

#include <glib.h>

/// Weights of an interval that is longer or shorter than the base interval
/// known so far. The shorter ones count far more, so that the intervals while a
/// prompt is read hardly matter. An engine that slows down shows within some 30
/// events.
#define PACE_BASE_RISE 0.02
#define PACE_BASE_FALL 0.5
/// Events that come closer together than this were held up on their way and
/// read together; the time between them says nothing of the engine.
#define PACE_INTERVAL_MIN (1 * USEC_PER_MSEC)
/// Weights of an interval that is longer or shorter than the long pause of a
/// service. Their ratio keeps it near a pause that a generation of some hundred
/// events meets.
#define PACE_PAUSE_RISE 0.25
#define PACE_PAUSE_FALL 0.0002
/// Long pause of a service of which nothing is known yet, as a multiple of the
/// base interval.
#define PACE_PAUSE_RATIO_INITIAL 4.5
/// Longest pause that counts, as a multiple of the base interval. Longer ones
/// come from callers that read slowly and from stalls.
#define PACE_PAUSE_RATIO_MAX 6
/// Number of intervals from which on the base interval of an engine is known.
#define PACE_SAMPLES_MIN 8
/// The engines of a service are uneven if the slowest base interval is at least
/// this many times the fastest one, without a tenth of them at either end.
#define PACE_UNEVEN_RATIO 1.6
#define PACE_IGNORED_DIVISOR 10
/// Interval between checks whether the engines of a service are uneven.
#define PACE_CHECK_INTERVAL (250 * USEC_PER_MSEC)
/// A base interval is reported to other instances if it differs by this share
/// from what was reported before, and that was at least so long ago. It rises
/// with the load, and instances that see different events estimate it
/// differently.
#define PACE_REPORT_CHANGE 0.3
#define PACE_REPORT_INTERVAL (3 * USEC_PER_SEC)
/// An engine that this instance has measured within this time is reported also
/// where the engines are about equal.
#define PACE_REPORT_SPAN (200 * USEC_PER_MSEC)
/// What was last seen before this time doesn't count.
#define PACE_TTL (10 * USEC_PER_SEC)
/// Predicted pause, as a share of the target, from which on there is a risk of
/// missing the target. At the target the risk is 1.
#define PACE_SAFE_SHARE 0.5

/// What is known of one engine.
struct engine {
	uint64_t service;
	double base_interval;     /// microseconds; 0: unknown
	double reported_interval; /// known to other instances; 0: none
	usec_t reported_at;       /// by any instance; 0: never
	unsigned n_samples;       /// intervals that the base interval rests on
	usec_t seen_at;           /// by any instance
	usec_t measured_at;       /// by this instance
};

/// What is known of the engines of a service together.
struct service_pace {
	double pause_ratio;   /// long pause, as a multiple of the base interval
	double base_interval; /// mean of the known engines; 0: none is known
	bool is_uneven;
	usec_t
	    check_at; /// when `base_interval` and `is_uneven` are out of date
};

struct engine_pace {
	GHashTable *engines;  /// hash of id and incarnation -> struct engine *
	GHashTable *services; /// hash of the name -> struct service_pace *
	guint next_listed;    /// turns over the engines in reports
	bool is_enabled;
};

/// Creates a table without engines.
///
/// @param is_enabled  false: nothing is learnt, predicted or reported
/// @return the table; free with engine_pace_free()
struct engine_pace *
engine_pace_new(bool is_enabled)
{
	struct engine_pace *pace = g_new0(struct engine_pace, 1);

	pace->is_enabled = is_enabled;
	pace->engines =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	pace->services =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return pace;
}

/// Frees a table.
///
/// @param pace  not NULL
void
engine_pace_free(struct engine_pace *pace)
{
	g_hash_table_unref(pace->engines);
	g_hash_table_unref(pace->services);
	g_free(pace);
}

/// Returns an engine; adds it if it isn't known.
static struct engine *
get_engine(struct engine_pace *pace, uint64_t service, uint64_t key)
{
	struct engine *engine = g_hash_table_lookup(pace->engines, &key);

	if (engine != NULL)
		return engine;
	engine = g_new0(struct engine, 1);
	engine->service = service;
	g_hash_table_insert(
	    pace->engines, g_memdup2(&key, sizeof(key)), engine);
	return engine;
}

/// Returns a service; adds it if it isn't known.
static struct service_pace *
get_service(struct engine_pace *pace, uint64_t key)
{
	struct service_pace *service =
	    g_hash_table_lookup(pace->services, &key);

	if (service != NULL)
		return service;
	service = g_new0(struct service_pace, 1);
	service->pause_ratio = PACE_PAUSE_RATIO_INITIAL;
	g_hash_table_insert(
	    pace->services, g_memdup2(&key, sizeof(key)), service);
	return service;
}

/// Checks whether the base interval of an engine counts.
static bool
is_known(const struct engine *engine, usec_t now)
{
	return engine->n_samples >= PACE_SAMPLES_MIN &&
	    now < engine->seen_at + PACE_TTL;
}

/// Orders base intervals, shortest first.
static gint
compare_intervals(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/// @return the sorted base intervals of a service's known engines, as doubles
static GArray *
list_intervals(const struct engine_pace *pace, usec_t now, uint64_t service)
{
	GArray *intervals = g_array_new(false, false, sizeof(double));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pace->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct engine *engine = value;

		if (engine->service == service && is_known(engine, now))
			g_array_append_val(intervals, engine->base_interval);
	}
	g_array_sort(intervals, compare_intervals);
	return intervals;
}

/// Compares the engines of a service, unless that was just done. A few very
/// fast or slow ones, such as those that have just started, don't count.
static void
check_service(struct engine_pace *pace, usec_t now, uint64_t key,
    struct service_pace *service)
{
	GArray *sorted;
	guint n_ignored;
	double sum = 0;

	if (now < service->check_at)
		return;
	service->check_at = now + PACE_CHECK_INTERVAL;
	sorted = list_intervals(pace, now, key);
	n_ignored = sorted->len / PACE_IGNORED_DIVISOR;
	for (guint i = 0; i < sorted->len; i++)
		sum += g_array_index(sorted, double, i);
	service->base_interval = sorted->len == 0 ? 0 : sum / sorted->len;
	service->is_uneven = sorted->len > 0 &&
	    g_array_index(sorted, double, sorted->len - 1 - n_ignored) >
		PACE_UNEVEN_RATIO * g_array_index(sorted, double, n_ignored);
	g_array_unref(sorted);
}

/// Moves an average towards a sample, with a weight that depends on the
/// direction.
static void
move_towards(double *average, double sample, double rise, double fall)
{
	*average += (sample > *average ? rise : fall) * (sample - *average);
}

/// Checks whether an engine must be reported to other instances.
static bool
must_report(const struct engine *engine, usec_t now)
{
	double change = fabs(engine->base_interval - engine->reported_interval);

	if (engine->reported_at == 0)
		return true;
	return now >= engine->reported_at + PACE_REPORT_INTERVAL &&
	    change > PACE_REPORT_CHANGE * engine->reported_interval;
}

/// Updates the base interval of an engine. The mean of two intervals is taken,
/// as an event that is held up on its way shortens the next one.
static void
add_to_base(struct engine *engine, usec_t now, usec_t previous, usec_t interval)
{
	double mean = (double)(previous + interval) / 2;

	if (engine->n_samples == 0)
		engine->base_interval = mean;
	move_towards(
	    &engine->base_interval, mean, PACE_BASE_RISE, PACE_BASE_FALL);
	engine->seen_at = now;
	engine->measured_at = now;
	engine->n_samples++;
}

/// Adds the time between two events of a generation.
///
/// @param pace      table to update
/// @param now       current time
/// @param service   hash of the service's name
/// @param engine    hash of the engine's id and incarnation
/// @param previous  interval before, in microseconds; 0: there is none
/// @param interval  microseconds
/// @return whether other instances should be told: see engine_pace_list()
bool
engine_pace_add_interval(struct engine_pace *pace, usec_t now, uint64_t service,
    uint64_t engine, usec_t previous, usec_t interval)
{
	struct engine *known;
	double ratio;

	if (!pace->is_enabled || previous < PACE_INTERVAL_MIN ||
	    interval < PACE_INTERVAL_MIN)
		return false;
	known = get_engine(pace, service, engine);
	add_to_base(known, now, previous, interval);
	if (known->n_samples < PACE_SAMPLES_MIN)
		return false;
	ratio = (double)interval / known->base_interval;
	move_towards(&get_service(pace, service)->pause_ratio,
	    MIN(ratio, PACE_PAUSE_RATIO_MAX), PACE_PAUSE_RISE, PACE_PAUSE_FALL);
	if (!must_report(known, now))
		return false;
	known->reported_interval = known->base_interval;
	known->reported_at = now;
	return true;
}

/// Adds what another instance tells of an engine. What this instance has seen
/// itself goes before.
///
/// @param pace    table to update
/// @param now     current time
/// @param report  copied
void
engine_pace_merge(struct engine_pace *pace, usec_t now,
    const struct engine_pace_report *report)
{
	struct engine *known;

	if (!pace->is_enabled || now >= report->at + PACE_TTL ||
	    report->base_interval <= 0)
		return;
	known = get_engine(pace, report->service, report->engine);
	known->reported_interval = (double)report->base_interval;
	known->reported_at = MAX(known->reported_at, MIN(report->at, now));
	if (known->measured_at != 0 && known->n_samples >= PACE_SAMPLES_MIN)
		return;
	if (known->n_samples > 0 && report->at <= known->seen_at)
		return;
	known->n_samples = PACE_SAMPLES_MIN;
	known->base_interval = (double)report->base_interval;
	known->seen_at = MIN(report->at, now);
}

/// @param pace    table to query
/// @param engine  hash of the engine's id and incarnation
/// @return its base interval in microseconds; 0 if it isn't known
double
engine_pace_base_interval(const struct engine_pace *pace, uint64_t engine)
{
	const struct engine *known =
	    g_hash_table_lookup(pace->engines, &engine);

	return known == NULL ? 0 : known->base_interval;
}

/// Checks whether the engines of a service differ so much in speed that it
/// matters where a generation runs.
///
/// @param pace     table; the comparison is renewed if it is out of date
/// @param now      current time
/// @param service  hash of the service's name
/// @return whether they do
bool
engine_pace_is_uneven(struct engine_pace *pace, usec_t now, uint64_t service)
{
	struct service_pace *whole = get_service(pace, service);

	check_service(pace, now, service, whole);
	return whole->is_uneven;
}

/// Predicts whether the events of a long generation will pause for longer than
/// the target, if its engine reads other prompts meanwhile. For an engine that
/// isn't known, the mean of its service is taken.
///
/// @param pace        table to query
/// @param now         current time
/// @param service     hash of the service's name
/// @param engine      hash of the engine's id and incarnation
/// @param target_gap  longest time between two events, in microseconds; 0: no
///                    target
/// @return from 0, certainly not, to 1; 0 if the engines are about equal
double
engine_pace_pause_risk(struct engine_pace *pace, usec_t now, uint64_t service,
    uint64_t engine, usec_t target_gap)
{
	const struct engine *known =
	    g_hash_table_lookup(pace->engines, &engine);
	const struct service_pace *whole = get_service(pace, service);
	double base;
	double share;

	if (target_gap <= 0 || !engine_pace_is_uneven(pace, now, service))
		return 0;
	base = whole->base_interval;
	if (known != NULL && is_known(known, now))
		base = known->base_interval;
	share = base * whole->pause_ratio / (double)target_gap;
	return CLAMP(
	    (share - PACE_SAFE_SHARE) / (1 - PACE_SAFE_SHARE), 0.0, 1.0);
}

/// Checks whether an engine is part of reports: other instances may not know it
/// yet, or its speed matters.
static bool
is_reportable(struct engine_pace *pace, usec_t now, const struct engine *engine)
{
	return now < engine->measured_at + PACE_REPORT_SPAN ||
	    engine_pace_is_uneven(pace, now, engine->service);
}

/// Adds an engine to a list of reports.
static void
append_report(const struct engine_pace *pace, const uint64_t *key,
    struct engine_pace_report *reports, size_t *n)
{
	const struct engine *engine = g_hash_table_lookup(pace->engines, key);

	reports[(*n)++] = (struct engine_pace_report){engine->service, *key,
	    (usec_t)engine->base_interval, engine->seen_at};
}

/// Lists the known engines of uneven services, and those that this instance has
/// just measured. The latter come first; if there is no room for all, the
/// others come in turns.
///
/// @param pace     table to query
/// @param now      current time
/// @param reports  filled in
/// @param max      number of elements in `reports`
/// @return number of elements filled in
size_t
engine_pace_list(struct engine_pace *pace, usec_t now,
    struct engine_pace_report *reports, size_t max)
{
	GPtrArray *others = g_ptr_array_new(); /// keys
	GHashTableIter iter;
	void *key;
	void *value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, pace->engines);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct engine *engine = value;

		if (!is_known(engine, now) || !is_reportable(pace, now, engine))
			continue;
		if (now < engine->measured_at + PACE_REPORT_SPAN && n < max)
			append_report(pace, key, reports, &n);
		else
			g_ptr_array_add(others, key);
	}
	for (guint i = 0; i < others->len && n < max; i++)
		append_report(pace,
		    others->pdata[pace->next_listed++ % others->len], reports,
		    &n);
	g_ptr_array_unref(others);
	return n;
}

/// Forgets the engines without events for PACE_TTL. Services are kept: there
/// are no more than configurations name.
///
/// @param pace  table to update
/// @param now   current time
void
engine_pace_tick(struct engine_pace *pace, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pace->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now >= ((const struct engine *)value)->seen_at + PACE_TTL)
			g_hash_table_iter_remove(&iter);
}
