/*
 * Unit tests of what the store's history tells of software versions, over
 * random histories of fleets: with one version, with two side by side, in
 * releases, and as they shrink.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/entry_changes.h"

#define SEC USEC_PER_SEC
#define MSEC USEC_PER_MSEC
#define SERVICE 7
#define V1 11
#define V2 12
/// Time of the loss, and the length of the history that is played before it.
#define NOW (2000000000 * SEC)
#define PLAYED (150 * SEC)
#define HEARTBEAT (1200 * MSEC)
#define UPSTREAMS_MAX 24
#define SEEDS 4000
/// A version is to be found if it has been the only one for so much longer than
/// is asked, and the history goes back as far: the difference of two clocks, a
/// heartbeat, and a tenth of the longest history.
#define ASKED_MARGIN (5 * SEC + HEARTBEAT + 6 * SEC)

/// What happens to the versions of a fleet.
enum story {
	STORY_ONE_VERSION,
	STORY_ONE_VERSION_CHURN, /// engines are replaced by their like
	STORY_RELEASE,           /// engines are replaced by ones of V2
	STORY_SHRINK,            /// those of V2 leave, and nothing comes
	STORY_COUNT,
};

/// An upstream that is, or was, registered.
struct upstream {
	uint64_t id;
	uint64_t version;
	usec_t born, gone_at; /// true times
	usec_t skew;          /// of its clock
	bool tells_start;
	usec_t stands_still_at;
};

/// A change of the store, with its true time.
struct event {
	usec_t at;
	struct entry_change change;
};

struct world {
	GRand *rand;
	struct upstream upstreams[UPSTREAMS_MAX];
	size_t n_upstreams;
	GArray *events; /// struct event
	bool writes_heartbeats;
};

static usec_t
pick(struct world *world, usec_t low, usec_t high)
{
	return low +
	    (usec_t)(g_rand_double(world->rand) * (double)(high - low));
}

static struct upstream *
add_upstream(struct world *world, uint64_t version, usec_t born, usec_t gone_at)
{
	struct upstream *upstream = &world->upstreams[world->n_upstreams];

	*upstream = (struct upstream){
	    .id = 100 + world->n_upstreams++,
	    .version = version,
	    .born = born,
	    .gone_at = gone_at,
	    .skew = pick(world, -5 * SEC, 5 * SEC),
	    .tells_start = true,
	    .stands_still_at = USEC_NEVER,
	};
	return upstream;
}

static void
add_event(struct world *world, const struct upstream *upstream, usec_t at,
    enum entry_change_kind kind, uint64_t sequence)
{
	const struct event event = {at,
	    {.kind = kind,
		.upstream = upstream->id,
		.is_created = sequence == 1,
		.service = SERVICE,
		.version_key = upstream->version,
		.incarnation = upstream->tells_start
		    ? (uint64_t)((upstream->born + upstream->skew) / MSEC)
		    : 0,
		.sequence = sequence}};

	g_array_append_val(world->events, event);
}

/// Writes an upstream's entry from its start to its end.
static void
play_upstream(struct world *world, const struct upstream *upstream)
{
	usec_t at = upstream->born + pick(world, 0, 200 * MSEC);
	uint64_t sequence = 1;

	while (at < MIN(upstream->gone_at, NOW)) {
		if (world->writes_heartbeats || sequence == 1)
			add_event(world, upstream, at, ENTRY_CHANGE_WRITTEN,
			    sequence);
		sequence++;
		at += pick(world, HEARTBEAT * 97 / 100, HEARTBEAT * 103 / 100);
		if (at > upstream->stands_still_at &&
		    at < upstream->stands_still_at + 2 * HEARTBEAT)
			at += 10 * SEC;
	}
	if (upstream->gone_at < NOW)
		add_event(world, upstream, upstream->gone_at,
		    ENTRY_CHANGE_DELETED, 0);
}

/// Fills the world with the upstreams of a story.
static void
tell_story(struct world *world, enum story story)
{
	usec_t turn = NOW - pick(world, 0, 40 * SEC);
	size_t n = 2 + g_rand_int_range(world->rand, 0, 4);

	for (size_t i = 0; i < n; i++) {
		usec_t born = NOW - pick(world, 60 * SEC, PLAYED);
		usec_t next = turn + (usec_t)i * 700 * MSEC;
		bool ends =
		    story == STORY_RELEASE || story == STORY_ONE_VERSION_CHURN;

		add_upstream(world, V1, born, ends ? next + SEC : USEC_NEVER);
		if (ends && next < NOW)
			add_upstream(world, story == STORY_RELEASE ? V2 : V1,
			    next, USEC_NEVER);
		if (story == STORY_SHRINK)
			add_upstream(world, V2, born, next);
	}
	if (g_rand_boolean(world->rand))
		world->upstreams[0].stands_still_at =
		    world->upstreams[0].born + pick(world, 0, 100 * SEC);
	world->upstreams[1].tells_start = g_rand_int_range(world->rand, 0, 4);
}

static gint
compare_events(gconstpointer a, gconstpointer b)
{
	const struct event *first = a;
	const struct event *second = b;

	return (first->at > second->at) - (first->at < second->at);
}

/// Hands what the store has kept to the judgement.
///
/// @param kept  time for which the store keeps its history
static struct entry_changes *
read_history(const struct world *world, usec_t kept)
{
	struct entry_changes *changes = NULL;

	for (guint i = 0; i < world->events->len; i++) {
		struct event *event =
		    &g_array_index(world->events, struct event, i);

		event->change.revision = 1000 + i;
		if (event->at < NOW - kept)
			continue;
		if (changes == NULL)
			changes = entry_changes_new(999 + i);
		entry_changes_add(changes, &event->change);
	}
	if (changes == NULL)
		changes = entry_changes_new(999 + world->events->len);
	entry_changes_judge(changes, NOW);
	return changes;
}

/// Finds the only version that a service can have had for a time, as an
/// instance does that has just started.
///
/// @return 0: there are several, or it isn't certain
static uint64_t
find_only_version(
    const struct world *world, const struct entry_changes *changes, usec_t span)
{
	GArray *versions = entry_changes_list_versions(changes);
	bool has[2] = {false, false};

	for (size_t i = 0; i < world->n_upstreams; i++)
		if (world->upstreams[i].gone_at >= NOW)
			has[world->upstreams[i].version - V1] = true;
	for (guint i = 0; i < versions->len; i++) {
		const struct entry_version *version =
		    &g_array_index(versions, struct entry_version, i);

		if (version->gone_span <= span)
			has[version->version_key - V1] = true;
	}
	g_array_unref(versions);
	if (entry_changes_known_span(changes) < span || has[0] == has[1])
		return 0;
	return has[0] ? V1 : V2;
}

/// @return whether an upstream of a version was listed in a time until now
static bool
was_there(const struct world *world, uint64_t version, usec_t span)
{
	for (size_t i = 0; i < world->n_upstreams; i++)
		if (world->upstreams[i].version == version &&
		    world->upstreams[i].gone_at > NOW - span)
			return true;
	return false;
}

/// Plays one world: no version is found that isn't the only one.
///
/// @param n_asked  increased for each time for which it is to be found
/// @param n_found  increased if it is
static void
play(guint32 seed, enum story story, unsigned *n_asked, unsigned *n_found)
{
	struct world world = {
	    .rand = g_rand_new_with_seed(seed),
	    .events = g_array_new(false, false, sizeof(struct event)),
	};
	usec_t kept = pick(&world, 2 * SEC, 60 * SEC);
	struct entry_changes *changes;

	world.writes_heartbeats = g_rand_boolean(world.rand);
	tell_story(&world, story);
	for (size_t i = 0; i < world.n_upstreams; i++)
		play_upstream(&world, &world.upstreams[i]);
	g_array_sort(world.events, compare_events);
	changes = read_history(&world, kept);
	for (usec_t span = SEC / 2; span < 45 * SEC; span += SEC / 2) {
		uint64_t found = find_only_version(&world, changes, span);
		usec_t asked = span + ASKED_MARGIN;
		bool is_only = was_there(&world, V1, asked) !=
		    was_there(&world, V2, asked);

		assert_false(found != 0 &&
		    was_there(&world, found == V1 ? V2 : V1, span));
		if (!is_only || kept < asked || !world.writes_heartbeats)
			continue;
		*n_asked += 1;
		*n_found += found != 0;
	}
	entry_changes_free(changes);
	g_array_unref(world.events);
	g_rand_free(world.rand);
}

/// Guards against streams that go on at another version than the one that began
/// them, after all instances were lost (ORDER), and against the refusal of
/// streams of the only version that there was (LOST).
static void
only_versions_are_found_and_no_others(void **state)
{
	(void)state;
	for (enum story story = 0; story < STORY_COUNT; story++) {
		unsigned n_asked = 0;
		unsigned n_found = 0;

		for (guint32 seed = 1; seed <= SEEDS; seed++)
			play(seed, story, &n_asked, &n_found);
		print_message(
		    "story %d: found %u of %u\n", (int)story, n_found, n_asked);
		assert_true(n_asked > SEEDS);
		assert_true(n_found > n_asked / 2);
	}
}

/// What was there before the first change of an upstream isn't always certain.
static void
versions_are_known_from_the_last_uncertain_change_on(void **state)
{
	static const struct {
		uint64_t sequence;
		enum entry_change_kind kind;
		bool is_created;
		bool is_certain;
	} rows[] = {
	    {1, ENTRY_CHANGE_WRITTEN, true, true},
	    {5, ENTRY_CHANGE_WRITTEN, false, true},
	    {1, ENTRY_CHANGE_WRITTEN, false, false},
	    {0, ENTRY_CHANGE_UNREADABLE, false, false},
	    {0, ENTRY_CHANGE_DELETED, false, false},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct entry_changes *changes = entry_changes_new(10);
		struct entry_change change = {.kind = ENTRY_CHANGE_WRITTEN,
		    .sequence = 1,
		    .is_created = true,
		    .service = SERVICE,
		    .version_key = V1,
		    .incarnation = (uint64_t)((NOW - 30 * SEC) / MSEC)};

		for (change.upstream = 1; change.upstream <= 2;
		     change.upstream++) {
			change.revision = 10 + change.upstream;
			entry_changes_add(changes, &change);
		}
		change.revision = 20;
		change.kind = rows[i].kind;
		change.sequence = rows[i].sequence;
		change.is_created = rows[i].is_created;
		entry_changes_add(changes, &change);
		entry_changes_judge(changes, NOW);
		assert_int_equal(entry_changes_known_span(changes),
		    rows[i].is_certain ? 24 * SEC : 0);
		entry_changes_free(changes);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(only_versions_are_found_and_no_others),
	    cmocka_unit_test(
		versions_are_known_from_the_last_uncertain_change_on),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
