/* Unit tests of JSON log lines and their bounded output. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include "godwitvale/ops/log_json.h"
#include "godwitvale/ops/log_sink.h"

/// Writes fields as a line and gives what follows the event.
static char *
fields_of(const char *text)
{
	json_object *line = log_json_new("T", "info", "e1", "x");
	char *out;

	log_json_add_fields(line, text);
	out = g_strdup(log_json_text(line));
	json_object_put(line);
	assert_true(g_str_has_prefix(out,
	    "{\"time\":\"T\",\"level\":\"info\",\"instance\":\"e1\","
	    "\"event\":\"x\""));
	return out;
}

static void
fields_keep_their_types(void **state)
{
	static const char *const rows[][2] = {
	    {"", "\"event\":\"x\"}"},
	    {"n=-5 text=a-b", ",\"n\":-5,\"text\":\"a-b\"}"},
	    {"id=1234567890", ",\"id\":\"1234567890\"}"},
	    {"handle=007", ",\"handle\":\"007\"}"},
	    {"reason=\"no room, and \"more\"\" n=1",
		",\"reason\":\"no room, and \\\"more\\\"\",\"n\":1}"},
	    {"empty= n=1", ",\"empty\":\"\",\"n\":1}"},
	    {"bad", "\"event\":\"x\"}"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *line = fields_of(rows[i][0]);

		if (!g_str_has_suffix(line, rows[i][1]))
			fail_msg("%s lacks %s", line, rows[i][1]);
		g_free(line);
	}
}

/// A pipe whose reader is blocked, and a sink that writes into it.
static struct log_sink *
blocked_sink(int fds[2], size_t max_kept)
{
	struct log_sink_options options = {.max_kept = max_kept,
	    .lines_a_second = 10,
	    .burst = 20,
	    .reserve = 0.25};

	assert_int_equal(pipe(fds), 0);
	options.fd = fds[1];
	return log_sink_new(&options);
}

/// Nobody reads: writing returns all the same, what is kept is bounded, and
/// the rest is counted.
static void
a_blocked_reader_delays_nobody(void **state)
{
	int fds[2];
	struct log_sink *sink = blocked_sink(fds, 10000);
	char line[1000];
	char bytes[4096];
	size_t n_read = 0;
	ssize_t n;

	(void)state;
	memset(line, 'x', sizeof(line) - 1);
	line[sizeof(line) - 1] = '\0';
	for (int i = 0; i < 1000; i++)
		log_sink_write(sink, line);
	assert_in_range(log_sink_take_dropped(sink), 900, 999);
	/* The reader is back: whole lines, in order. */
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	for (int i = 0; i < 1000; i++) {
		while ((n = read(fds[0], bytes, sizeof(bytes))) > 0)
			n_read += (size_t)n;
		log_sink_flush(sink);
	}
	assert_int_equal(n_read % sizeof(line), 0);
	assert_true(n_read > 10000);
	log_sink_write(sink, "y");
	assert_int_equal(read(fds[0], bytes, sizeof(bytes)), 2);
	log_sink_free(sink);
	close(fds[0]);
	close(fds[1]);
}

/// The reader is gone for good: nothing is kept for it, and the loop is not
/// kept busy with it.
static void
a_reader_that_is_gone_costs_nothing(void **state)
{
	int fds[2];
	struct log_sink *sink = blocked_sink(fds, 10000);

	(void)state;
	signal(SIGPIPE, SIG_IGN);
	close(fds[0]);
	log_sink_write(sink, "x");
	assert_false(g_main_context_iteration(NULL, FALSE));
	assert_int_equal(log_sink_take_dropped(sink), 1);
	log_sink_free(sink);
	close(fds[1]);
}

/// A storm of lines: the budget holds, and warnings still have room.
static void
the_budget_keeps_a_reserve_for_warnings(void **state)
{
	int fds[2];
	struct log_sink *sink = blocked_sink(fds, 10000);
	unsigned infos = 0;
	unsigned warnings = 0;

	(void)state;
	for (int i = 0; i < 100; i++)
		infos += log_sink_admit(sink, USEC_PER_SEC, false);
	for (int i = 0; i < 100; i++)
		warnings += log_sink_admit(sink, USEC_PER_SEC, true);
	assert_int_equal(infos, 15);
	assert_int_equal(warnings, 5);
	assert_int_equal(log_sink_take_dropped(sink), 180);
	assert_int_equal(log_sink_take_dropped(sink), 0);
	assert_true(log_sink_admit(sink, 2 * USEC_PER_SEC, true));
	log_sink_free(sink);
	close(fds[0]);
	close(fds[1]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(fields_keep_their_types),
	    cmocka_unit_test(a_blocked_reader_delays_nobody),
	    cmocka_unit_test(a_reader_that_is_gone_costs_nothing),
	    cmocka_unit_test(the_budget_keeps_a_reserve_for_warnings),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
