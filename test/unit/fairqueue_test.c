/* Unit tests of the fair queue. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "godwitvale/core/fairqueue.h"

static struct fairqueue *
new_queue(void)
{
	struct fairqueue_options options = {
	    .ageing_span = 10 * USEC_PER_SEC, .slack = 0.5};

	return fairqueue_new(&options);
}

static void
push_request(struct fairqueue *queue, uint32_t id, uint32_t organisation,
    int priority, usec_t waiting_since)
{
	struct fairqueue_item item = {.id = id,
	    .organisation = organisation,
	    .weight = organisation,
	    .priority = priority,
	    .waiting_since = waiting_since,
	    .start_deadline = waiting_since + 60 * USEC_PER_SEC - id,
	    .cost = 1};

	fairqueue_push_request(queue, waiting_since, &item);
}

static uint32_t
start_next(struct fairqueue *queue)
{
	uint32_t id = fairqueue_peek(queue);

	if (id != 0)
		fairqueue_start_request(queue, 0, id);
	return id;
}

static void
starts_by_priority_then_age(void **state)
{
	struct fairqueue *queue = new_queue();

	(void)state;
	push_request(queue, 1, 1, 0, 0);
	push_request(queue, 2, 1, 5, 0);
	push_request(queue, 3, 1, 5, 1);
	assert_int_equal(start_next(queue), 2);
	assert_int_equal(start_next(queue), 3);
	assert_int_equal(start_next(queue), 1);
	assert_int_equal(start_next(queue), 0);
	fairqueue_free(queue);
}

static void
ageing_prevents_starvation_of_low_priority(void **state)
{
	struct fairqueue *queue = new_queue();
	unsigned started = 0;

	(void)state;
	push_request(queue, 1, 1, 0, 0);
	for (uint32_t i = 0; i < 100; i++) {
		push_request(queue, 10 + i, 1, 5, i * USEC_PER_SEC);
		started++;
		if (start_next(queue) == 1)
			break;
	}
	assert_in_range(started, 50, 53);
	fairqueue_free(queue);
}

static void
organisations_share_by_weight(void **state)
{
	struct fairqueue *queue = new_queue();
	unsigned started[4] = {0};

	(void)state;
	for (uint32_t i = 0; i < 900; i++)
		push_request(queue, 1 + i, 1 + i % 3, 0, i);
	for (int i = 0; i < 300; i++)
		started[fairqueue_peek(queue) % 3 == 0
			? 3
			: (int)(fairqueue_peek(queue) % 3)]++,
		    start_next(queue);
	assert_in_range(started[1], 45, 55);
	assert_in_range(started[2], 95, 105);
	assert_in_range(started[3], 145, 155);
	fairqueue_free(queue);
}

static void
idle_organisation_gets_no_credit(void **state)
{
	struct fairqueue *queue = new_queue();
	unsigned n_late_starts = 0;

	(void)state;
	for (uint32_t i = 0; i < 200; i++)
		push_request(queue, 1 + i, 1, 0, i);
	for (int i = 0; i < 100; i++)
		start_next(queue);
	for (uint32_t i = 0; i < 100; i++)
		push_request(queue, 1000 + i, 2, 0, 0);
	for (int i = 0; i < 30; i++)
		n_late_starts += start_next(queue) >= 1000;
	assert_in_range(n_late_starts, 18, 22);
	fairqueue_free(queue);
}

static void
counts_requests_and_sorts_deadlines(void **state)
{
	struct fairqueue *queue = new_queue();
	uint32_t ids[2];
	usec_t deadlines[2];

	(void)state;
	for (uint32_t i = 1; i <= 10; i++)
		push_request(queue, i, 1, 0, i);
	push_request(queue, 20, 2, 0, 0);
	assert_int_equal(
	    fairqueue_list_earliest_deadlines(queue, 2, ids, deadlines), 2);
	assert_int_equal(ids[0], 20);
	assert_true(deadlines[0] <= deadlines[1]);
	assert_int_equal(fairqueue_length(queue), 11);
	assert_int_equal(fairqueue_get_organisation_length(queue, 1), 10);
	assert_true(fairqueue_remove_request(queue, 0, 20));
	assert_false(fairqueue_remove_request(queue, 0, 20));
	assert_int_equal(fairqueue_get_organisation_length(queue, 2), 0);
	fairqueue_free(queue);
}

static void
estimates_wait_from_start_rate(void **state)
{
	struct fairqueue *queue = new_queue();
	usec_t now = 0;

	(void)state;
	for (uint32_t i = 1; i <= 60; i++)
		push_request(queue, i, 1, 0, i);
	assert_int_equal(fairqueue_estimate_wait(queue, now, 60), 0);
	for (uint32_t i = 1; i <= 20; i++) {
		now += USEC_PER_SEC / 2;
		fairqueue_start_request(queue, now, i);
	}
	assert_in_range(fairqueue_estimate_wait(queue, now, 60),
	    18 * USEC_PER_SEC, 21 * USEC_PER_SEC);
	assert_int_equal(fairqueue_estimate_wait(queue, now, 21), 0);
	push_request(queue, 100, 1, 3, now);
	assert_int_equal(fairqueue_estimate_wait(queue, now, 100), 0);
	push_request(queue, 200, 2, 0, now);
	push_request(queue, 201, 2, 0, now);
	assert_in_range(fairqueue_estimate_wait(queue, now, 201),
	    USEC_PER_SEC / 2, 2 * USEC_PER_SEC);
	assert_int_equal(
	    fairqueue_estimate_wait(queue, now + 60 * USEC_PER_SEC, 60), 0);
	fairqueue_free(queue);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(starts_by_priority_then_age),
	    cmocka_unit_test(ageing_prevents_starvation_of_low_priority),
	    cmocka_unit_test(organisations_share_by_weight),
	    cmocka_unit_test(idle_organisation_gets_no_credit),
	    cmocka_unit_test(estimates_wait_from_start_rate),
	    cmocka_unit_test(counts_requests_and_sorts_deadlines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
