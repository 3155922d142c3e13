/* Unit tests of the decision whether an instance is cut off from a service. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/core/reachability.h"

#define MSEC USEC_PER_MSEC
#define SECOND USEC_PER_SEC
#define START (1000 * SECOND)

/// One instance, and what it has asked for and reported.
struct instance {
	struct reachability *reachability;
	unsigned n_probes; /// without an outcome
	unsigned n_probes_ever;
	unsigned n_cuts;
	unsigned n_returns;
	bool has_no_upstream;
};

static void
on_change(void *owner, enum reachability_change change, const char *service)
{
	struct instance *instance = owner;

	(void)service;
	instance->n_cuts += change == REACHABILITY_CUT_OFF;
	instance->n_returns += change == REACHABILITY_REGAINED;
}

static unsigned
on_probe(void *owner, const char *service, unsigned n_probes)
{
	struct instance *instance = owner;

	if (instance->has_no_upstream)
		return 0;
	if (strcmp(service, "shop") != 0)
		return n_probes;
	instance->n_probes += n_probes;
	instance->n_probes_ever += n_probes;
	return n_probes;
}

static void
instance_start(struct instance *instance)
{
	memset(instance, 0, sizeof(*instance));
	instance->reachability =
	    reachability_new(on_change, on_probe, instance);
}

/// Gives all pending probes the same outcome.
static void
end_probes(struct instance *instance, usec_t now, bool has_answered)
{
	while (instance->n_probes > 0) {
		instance->n_probes--;
		reachability_note_probe(
		    instance->reachability, now, "shop", has_answered);
	}
}

static bool
is_cut_off(const struct instance *instance)
{
	return reachability_is_cut_off(instance->reachability, "shop");
}

/// All upstreams hang: the instance is cut off once two steps of probes have
/// had no answer, within a second, and reaches the service again with the first
/// answer. Only one probe a second is made in between.
static void
cuts_are_found_and_their_end_is(void **state)
{
	struct instance instance;
	usec_t now = START;

	(void)state;
	instance_start(&instance);
	reachability_suspect(instance.reachability, now, "shop");
	assert_int_equal(instance.n_probes, 1);
	reachability_suspect(instance.reachability, now, "shop");
	assert_int_equal(instance.n_probes, 1);
	now += 400 * MSEC;
	instance.n_probes = 0;
	reachability_note_probe(instance.reachability, now, "shop", false);
	assert_int_equal(instance.n_probes, REACHABILITY_MORE_PROBES);
	assert_false(is_cut_off(&instance));
	now += 400 * MSEC;
	end_probes(&instance, now, false);
	assert_true(is_cut_off(&instance));
	assert_int_equal(instance.n_cuts, 1);
	instance.n_probes_ever = 0;
	for (unsigned i = 0; i < 200; i++, now += 50 * MSEC) {
		reachability_suspect(instance.reachability, now, "shop");
		reachability_tick(instance.reachability, now);
		end_probes(&instance, now, false);
	}
	assert_in_range(instance.n_probes_ever, 9, 11);
	now += SECOND;
	reachability_tick(instance.reachability, now);
	end_probes(&instance, now, true);
	assert_false(is_cut_off(&instance));
	assert_int_equal(instance.n_returns, 1);
	reachability_free(instance.reachability);
}

/// One upstream of several answers: nothing changes, and rounds are rare.
static void
single_upstreams_that_fail_are_no_cut(void **state)
{
	struct instance instance;
	usec_t now = START;

	(void)state;
	instance_start(&instance);
	for (unsigned i = 0; i < 200; i++, now += 50 * MSEC) {
		reachability_suspect(instance.reachability, now, "shop");
		if (instance.n_probes == 1) {
			instance.n_probes = 0;
			reachability_note_probe(
			    instance.reachability, now, "shop", false);
		}
		end_probes(&instance, now, true);
		assert_false(is_cut_off(&instance));
	}
	assert_in_range(instance.n_probes_ever, 10, 50);
	reachability_free(instance.reachability);
}

/// The last upstream of a service that is out of reach is removed.
static void
services_without_upstreams_are_not_cut_off(void **state)
{
	struct instance instance;

	(void)state;
	instance_start(&instance);
	reachability_suspect(instance.reachability, START, "shop");
	end_probes(&instance, START, false);
	end_probes(&instance, START, false);
	assert_true(is_cut_off(&instance));
	instance.has_no_upstream = true;
	reachability_tick(instance.reachability, START + 2 * SECOND);
	assert_false(is_cut_off(&instance));
	assert_int_equal(instance.n_returns, 1);
	reachability_free(instance.reachability);
}

/// The first answer of a step settles it, whatever the others bring.
static void
answers_outweigh_later_failures(void **state)
{
	struct instance instance;
	usec_t now = START;

	(void)state;
	instance_start(&instance);
	reachability_suspect(instance.reachability, now, "shop");
	reachability_note_probe(instance.reachability, now, "shop", false);
	reachability_note_probe(instance.reachability, now, "shop", true);
	reachability_note_probe(instance.reachability, now, "shop", false);
	reachability_note_probe(instance.reachability, now, "shop", false);
	assert_false(is_cut_off(&instance));
	reachability_free(instance.reachability);
}

/// What is cut off from one service is looked at for all others at once.
static void
other_services_are_suspected(void **state)
{
	struct instance instance;

	(void)state;
	instance_start(&instance);
	reachability_suspect(instance.reachability, START, "lm");
	reachability_suspect(instance.reachability, START, "shop");
	end_probes(&instance, START, true);
	instance.n_probes_ever = 0;
	for (unsigned i = 0; i < 1 + REACHABILITY_MORE_PROBES; i++)
		reachability_note_probe(
		    instance.reachability, START + 2 * SECOND, "lm", false);
	assert_int_equal(instance.n_probes_ever, 1);
	reachability_free(instance.reachability);
}

/// Others that can't serve either are not asked again at once.
static void
helpless_instances_are_spared(void **state)
{
	struct instance instance;

	(void)state;
	instance_start(&instance);
	assert_true(
	    reachability_can_be_helped(instance.reachability, START, "shop"));
	reachability_note_helpless(instance.reachability, START, "shop");
	assert_false(reachability_can_be_helped(
	    instance.reachability, START + 100 * MSEC, "shop"));
	assert_true(reachability_can_be_helped(
	    instance.reachability, START + SECOND, "shop"));
	reachability_free(instance.reachability);
}

/// What others say of themselves holds until they say otherwise or fall silent.
static void
members_tell_what_they_are_cut_off_from(void **state)
{
	struct instance instance;
	const uint64_t services[] = {hash_name("lm"), hash_name("shop")};
	struct reachability *reachability;

	(void)state;
	instance_start(&instance);
	reachability = instance.reachability;
	reachability_set_member(reachability, START, 7, services, 2);
	assert_true(
	    reachability_is_member_cut_off(reachability, START, 7, "shop"));
	assert_true(
	    reachability_is_member_cut_off(reachability, START, 7, NULL));
	assert_false(
	    reachability_is_member_cut_off(reachability, START, 7, "other"));
	assert_false(
	    reachability_is_member_cut_off(reachability, START, 8, "shop"));
	assert_false(reachability_is_member_cut_off(
	    reachability, START + 10 * SECOND, 7, "shop"));
	reachability_set_member(reachability, START, 7, NULL, 0);
	assert_false(
	    reachability_is_member_cut_off(reachability, START, 7, "shop"));
	reachability_free(reachability);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(cuts_are_found_and_their_end_is),
	    cmocka_unit_test(single_upstreams_that_fail_are_no_cut),
	    cmocka_unit_test(services_without_upstreams_are_not_cut_off),
	    cmocka_unit_test(answers_outweigh_later_failures),
	    cmocka_unit_test(other_services_are_suspected),
	    cmocka_unit_test(helpless_instances_are_spared),
	    cmocka_unit_test(members_tell_what_they_are_cut_off_from),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
