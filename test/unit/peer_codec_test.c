/* Unit tests of the encoding and decoding of messages between instances. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "godwitvale/peer/peer_codec.h"

/* Seed of the random bytes, and number of corrupted messages to decode. */
#define GARBAGE_SEED 7
#define GARBAGE_TRIES 20000

/* Creates a message with every field set, so that a lost field is noticed. */
static struct quorum_message
make_full_message(void)
{
	struct quorum_message message;

	/* Sets every byte to 1 of the fields that are not set below. */
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
encode_message(const struct quorum_message *message, char *bytes, size_t size)
{
	u_quad_t voters[QUORUM_VOTERS_MAX];
	wire_record records[QUORUM_PAGE_RECORDS];
	wire_body body = {.type = WIRE_QUORUM};

	peer_codec_quorum_to_wire(
	    &body.wire_body_u.quorum, message, voters, records);
	return peer_codec_encode_body(&body, bytes, size);
}

/*
 * Checks that two messages are equal apart from padding bytes. Can't tell a
 * lost field of less than 8 bytes from padding at some offsets: the caller
 * compares such fields itself.
 */
static void
assert_equal_except_padding(
    const struct quorum_message *expected, const struct quorum_message *actual)
{
	const unsigned char *a = (const unsigned char *)expected;
	const unsigned char *b = (const unsigned char *)actual;

	/* Padding bytes and the bytes of a lost field are decoded as 0. */
	for (size_t i = 0; i < sizeof(*expected); i++) {
		if (a[i] == b[i])
			continue;
		assert_int_equal(b[i], 0);
		/* No padding byte has an offset that is a multiple of 8. */
		assert_true(i % 8 != 0);
	}
}

static void
conversion_keeps_every_field(void **state)
{
	struct quorum_message message = make_full_message();
	struct quorum_message decoded;
	char bytes[WIRE_BODY_BYTES_MAX];
	wire_body body;
	size_t len = encode_message(&message, bytes, sizeof(bytes));

	(void)state;
	assert_true(len > 0);
	assert_true(peer_codec_decode_body(&body, bytes, len));
	assert_true(
	    peer_codec_quorum_from_wire(&decoded, &body.wire_body_u.quorum));
	peer_codec_free_body(&body);
	assert_equal_except_padding(&message, &decoded);
	assert_int_equal(
	    decoded.prior_votes_expired, message.prior_votes_expired);
	assert_int_equal(decoded.ready, message.ready);
	assert_int_equal(decoded.page, message.page);
	assert_int_equal(decoded.n_pages, message.n_pages);
	assert_int_equal(decoded.sequence, message.sequence);
}

static void
decoding_rejects_truncated_and_survives_corrupted_bytes(void **state)
{
	struct quorum_message message = make_full_message();
	char bytes[WIRE_BODY_BYTES_MAX];
	size_t len = encode_message(&message, bytes, sizeof(bytes));
	GRand *random = g_rand_new_with_seed(GARBAGE_SEED);
	wire_body body;

	(void)state;
	for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
		assert_false(
		    peer_codec_decode_body(&body, bytes, truncated_len));
	for (int i = 0; i < GARBAGE_TRIES; i++) {
		char corrupted[WIRE_BODY_BYTES_MAX];
		struct quorum_message decoded;

		memcpy(corrupted, bytes, len);
		for (int j = 0; j < 4; j++)
			corrupted[g_rand_int_range(random, 0, (gint32)len)] =
			    (char)g_rand_int(random);
		if (!peer_codec_decode_body(&body, corrupted, len))
			continue;
		if (body.type == WIRE_QUORUM)
			peer_codec_quorum_from_wire(
			    &decoded, &body.wire_body_u.quorum);
		peer_codec_free_body(&body);
	}
	g_rand_free(random);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(conversion_keeps_every_field),
	    cmocka_unit_test(
		decoding_rejects_truncated_and_survives_corrupted_bytes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
