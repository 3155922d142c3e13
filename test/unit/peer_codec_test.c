/* Unit tests of the messages between instances in their XDR form. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "godwitvale/peer/peer_codec.h"

/* Seeds of the random bytes, and how many of them are tried. */
#define GARBAGE_SEED 7
#define GARBAGE_TRIES 20000

/* A message with every field set, so that one left out shows. */
static struct quorum_message
full_message(void)
{
	struct quorum_message message;

	/* Every byte of a number or boolean that is not set below is 1. */
	memset(&message, 1, sizeof(message));
	message.type = QUORUM_STATE;
	message.reason = QUORUM_REASON_SEALED;
	message.key.kind = QUORUM_LEASE;
	message.verdict = VERDICT_RAN;
	message.n_known_voters = QUORUM_VOTERS_MAX;
	message.n_records = QUORUM_PAGE_RECORDS;
	for (int i = 0; i < QUORUM_PAGE_RECORDS; i++) {
		message.records[i].key.kind = QUORUM_ONCE;
		message.records[i].verdict = VERDICT_MAY_HAVE_RUN;
	}
	return message;
}

static size_t
encode(const struct quorum_message *message, char *bytes, size_t size)
{
	u_quad_t voters[QUORUM_VOTERS_MAX];
	wire_record records[QUORUM_PAGE_RECORDS];
	wire_body body = {.type = WIRE_QUORUM};

	peer_codec_from_quorum(
	    &body.wire_body_u.quorum, message, voters, records);
	return peer_codec_encode(&body, bytes, size);
}

/* Sets a field that padding hides from memcmp() to the same in both. */
static void
assert_same(
    const struct quorum_message *left, const struct quorum_message *right)
{
	const unsigned char *a = (const unsigned char *)left;
	const unsigned char *b = (const unsigned char *)right;

	/* Padding comes back as 0; a field left out does so as a whole. */
	for (size_t i = 0; i < sizeof(*left); i++) {
		if (a[i] == b[i])
			continue;
		assert_int_equal(b[i], 0);
		/* Padding is never longer than what an 8-byte field needs. */
		assert_true(i % 8 != 0);
	}
}

static void
carries_every_field(void **state)
{
	struct quorum_message message = full_message();
	struct quorum_message back;
	char bytes[WIRE_BODY_BYTES_MAX];
	wire_body body;
	size_t len = encode(&message, bytes, sizeof(bytes));

	(void)state;
	assert_true(len > 0);
	assert_true(peer_codec_decode(&body, bytes, len));
	assert_true(peer_codec_to_quorum(&back, &body.wire_body_u.quorum));
	peer_codec_free(&body);
	assert_same(&message, &back);
	assert_int_equal(back.prior_votes_expired, message.prior_votes_expired);
	assert_int_equal(back.ready, message.ready);
	assert_int_equal(back.page, message.page);
	assert_int_equal(back.n_pages, message.n_pages);
	assert_int_equal(back.sequence, message.sequence);
}

static void
refuses_garbage_and_truncation(void **state)
{
	struct quorum_message message = full_message();
	char bytes[WIRE_BODY_BYTES_MAX];
	size_t len = encode(&message, bytes, sizeof(bytes));
	GRand *random = g_rand_new_with_seed(GARBAGE_SEED);
	wire_body body;

	(void)state;
	for (size_t cut = 0; cut < len; cut++)
		assert_false(peer_codec_decode(&body, bytes, cut));
	for (int i = 0; i < GARBAGE_TRIES; i++) {
		char copy[WIRE_BODY_BYTES_MAX];
		struct quorum_message back;

		memcpy(copy, bytes, len);
		for (int j = 0; j < 4; j++)
			copy[g_rand_int_range(random, 0, (gint32)len)] =
			    (char)g_rand_int(random);
		if (!peer_codec_decode(&body, copy, len))
			continue;
		if (body.type == WIRE_QUORUM)
			peer_codec_to_quorum(&back, &body.wire_body_u.quorum);
		peer_codec_free(&body);
	}
	g_rand_free(random);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(carries_every_field),
	    cmocka_unit_test(refuses_garbage_and_truncation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
