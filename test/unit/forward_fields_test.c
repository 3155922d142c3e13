/* Unit tests of the header fields of forwarded requests. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/entry/forward_fields.h"

static void
requests_are_read_as_written(void **state)
{
	const struct forward_request sent = {
	    .sender = (char *)"edge-1",
	    .incarnation = UINT64_C(0xfedcba9876543210),
	    .organisation = (char *)"t1",
	    .config_version = 17,
	    .attempts = 1,
	    .is_counted = true,
	    .has_version = true,
	    .version_key = UINT64_C(0x8c3d4698568f3a79),
	};
	struct forward_request received;
	struct http_head head;

	(void)state;
	http_head_init(&head);
	http_head_add(&head, "Host", "a.example");
	/* What a caller claims is removed before the fields are added. */
	http_head_add(&head, "godwitvale-organisation", "t2");
	forward_fields_remove(&head);
	assert_false(forward_fields_read_request(&head, &received));
	forward_fields_write_request(&head, &sent);
	assert_true(forward_fields_read_request(&head, &received));
	assert_string_equal(received.sender, sent.sender);
	assert_true(received.incarnation == sent.incarnation);
	assert_string_equal(received.organisation, sent.organisation);
	assert_int_equal(received.config_version, 17);
	assert_int_equal(received.attempts, 1);
	assert_true(received.is_counted);
	assert_true(received.has_version);
	assert_true(received.version_key == sent.version_key);
	forward_request_clear(&received);
	forward_fields_remove(&head);
	assert_int_equal(head.fields->len, 1);
	http_head_clear(&head);
}

/* Senders of older builds don't have the field, and callers may send it. */
static void
only_the_sender_says_that_a_send_is_counted(void **state)
{
	const struct forward_request sent = {
	    .sender = (char *)"edge-1", .incarnation = 1, .attempts = 1};
	struct forward_request received;
	struct http_head head;

	(void)state;
	http_head_init(&head);
	http_head_add(&head, "godwitvale-counted", "1");
	forward_fields_remove(&head);
	forward_fields_write_request(&head, &sent);
	assert_true(forward_fields_read_request(&head, &received));
	assert_false(received.is_counted);
	forward_request_clear(&received);
	http_head_add(&head, "Godwitvale-Counted", "yes");
	assert_true(forward_fields_read_request(&head, &received));
	assert_false(received.is_counted);
	forward_request_clear(&received);
	http_head_clear(&head);
}

static void
malformed_requests_are_no_forwarded_ones(void **state)
{
	static const char *const names[] = {"Godwitvale-Incarnation",
	    "Godwitvale-Config", "Godwitvale-Attempts",
	    "Godwitvale-Stream-Version"};
	const struct forward_request sent = {
	    .sender = (char *)"edge-1", .incarnation = 1};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		struct forward_request received;
		struct http_head head;

		http_head_init(&head);
		forward_fields_write_request(&head, &sent);
		http_head_remove(&head, names[i]);
		http_head_add(&head, names[i], "-1");
		assert_false(forward_fields_read_request(&head, &received));
		http_head_clear(&head);
	}
}

static void
answers_are_read_as_written(void **state)
{
	struct forward_answer answer;
	struct http_head head;

	(void)state;
	for (int verdict = VERDICT_NOT_RUN; verdict <= VERDICT_RAN; verdict++)
		for (int reason = 0; reason <= RETRY_AFTER_N_REASONS;
		     reason++) {
			http_head_init(&head);
			forward_fields_write_own(&head, (enum verdict)verdict,
			    (enum retry_after_reason)reason);
			forward_fields_read_answer(&head, &answer);
			assert_true(answer.is_own);
			assert_int_equal(answer.verdict, verdict);
			assert_int_equal(answer.reason, reason);
			http_head_clear(&head);
		}
	http_head_init(&head);
	forward_fields_write_version(&head, 77);
	forward_fields_read_answer(&head, &answer);
	assert_false(answer.is_own);
	assert_int_equal(answer.version_key, 77);
	http_head_add(&head, "Godwitvale-Verdict", "perhaps");
	forward_fields_read_answer(&head, &answer);
	assert_true(answer.is_own);
	assert_int_equal(answer.verdict, VERDICT_MAY_HAVE_RUN);
	http_head_clear(&head);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(requests_are_read_as_written),
	    cmocka_unit_test(only_the_sender_says_that_a_send_is_counted),
	    cmocka_unit_test(malformed_requests_are_no_forwarded_ones),
	    cmocka_unit_test(answers_are_read_as_written),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
