/* Unit tests of the fair queue. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "godwitvale/core/fairqueue.h"

static struct fairqueue *
queue_new(void)
{
	struct fairqueue_options options = {
	    .ageing_span = 10 * USEC_PER_SEC, .slack = 0.5};

	return fairqueue_new(&options);
}

static void
push(struct fairqueue *queue, uint32_t id, uint32_t organisation, int priority,
    usec_t since)
{
	struct fairqueue_item item = {.id = id,
	    .organisation = organisation,
	    .weight = organisation,
	    .priority = priority,
	    .since = since,
	    .deadline = since + 60 * USEC_PER_SEC - id,
	    .cost = 1};

	fairqueue_push(queue, since, &item);
}

static uint32_t
start_next(struct fairqueue *queue)
{
	uint32_t id = fairqueue_peek(queue);

	if (id != 0)
		fairqueue_start(queue, 0, id);
	return id;
}

static void
goes_by_priority_then_age(void **state)
{
	struct fairqueue *queue = queue_new();

	(void)state;
	push(queue, 1, 1, 0, 0);
	push(queue, 2, 1, 5, 0);
	push(queue, 3, 1, 5, 1);
	assert_int_equal(start_next(queue), 2);
	assert_int_equal(start_next(queue), 3);
	assert_int_equal(start_next(queue), 1);
	assert_int_equal(start_next(queue), 0);
	fairqueue_free(queue);
}

static void
ageing_keeps_low_priority_from_starving(void **state)
{
	struct fairqueue *queue = queue_new();
	unsigned started = 0;

	(void)state;
	push(queue, 1, 1, 0, 0);
	for (uint32_t i = 0; i < 100; i++) {
		push(queue, 10 + i, 1, 5, i * USEC_PER_SEC);
		started++;
		if (start_next(queue) == 1)
			break;
	}
	assert_in_range(started, 50, 53);
	fairqueue_free(queue);
}

static void
shares_by_weight(void **state)
{
	struct fairqueue *queue = queue_new();
	unsigned started[4] = {0};

	(void)state;
	for (uint32_t i = 0; i < 900; i++)
		push(queue, 1 + i, 1 + i % 3, 0, i);
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
idle_time_earns_no_credit(void **state)
{
	struct fairqueue *queue = queue_new();
	unsigned late = 0;

	(void)state;
	for (uint32_t i = 0; i < 200; i++)
		push(queue, 1 + i, 1, 0, i);
	for (int i = 0; i < 100; i++)
		start_next(queue);
	for (uint32_t i = 0; i < 100; i++)
		push(queue, 1000 + i, 2, 0, 0);
	for (int i = 0; i < 30; i++)
		late += start_next(queue) >= 1000;
	assert_in_range(late, 18, 22);
	fairqueue_free(queue);
}

static void
counts_and_orders_deadlines(void **state)
{
	struct fairqueue *queue = queue_new();
	uint32_t ids[2];
	usec_t deadlines[2];

	(void)state;
	for (uint32_t i = 1; i <= 10; i++)
		push(queue, i, 1, 0, i);
	push(queue, 20, 2, 0, 0);
	assert_int_equal(fairqueue_earliest(queue, 2, ids, deadlines), 2);
	assert_int_equal(ids[0], 20);
	assert_true(deadlines[0] <= deadlines[1]);
	assert_int_equal(fairqueue_length(queue), 11);
	assert_int_equal(fairqueue_organisation_length(queue, 1), 10);
	assert_true(fairqueue_remove(queue, 0, 20));
	assert_false(fairqueue_remove(queue, 0, 20));
	assert_int_equal(fairqueue_organisation_length(queue, 2), 0);
	fairqueue_free(queue);
}

static void
expects_waits_by_the_pace_of_starts(void **state)
{
	struct fairqueue *queue = queue_new();
	usec_t now = 0;

	(void)state;
	for (uint32_t i = 1; i <= 60; i++)
		push(queue, i, 1, 0, i);
	assert_int_equal(fairqueue_wait(queue, now, 60), 0);
	for (uint32_t i = 1; i <= 20; i++) {
		now += USEC_PER_SEC / 2;
		fairqueue_start(queue, now, i);
	}
	assert_in_range(fairqueue_wait(queue, now, 60), 18 * USEC_PER_SEC,
	    21 * USEC_PER_SEC);
	assert_int_equal(fairqueue_wait(queue, now, 21), 0);
	push(queue, 100, 1, 3, now);
	assert_int_equal(fairqueue_wait(queue, now, 100), 0);
	push(queue, 200, 2, 0, now);
	push(queue, 201, 2, 0, now);
	assert_in_range(fairqueue_wait(queue, now, 201), USEC_PER_SEC / 2,
	    2 * USEC_PER_SEC);
	assert_int_equal(fairqueue_wait(queue, now + 60 * USEC_PER_SEC, 60), 0);
	fairqueue_free(queue);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(goes_by_priority_then_age),
	    cmocka_unit_test(ageing_keeps_low_priority_from_starving),
	    cmocka_unit_test(shares_by_weight),
	    cmocka_unit_test(idle_time_earns_no_credit),
	    cmocka_unit_test(expects_waits_by_the_pace_of_starts),
	    cmocka_unit_test(counts_and_orders_deadlines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
