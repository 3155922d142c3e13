/* Unit tests of JSON log lines and of the sink that they are written to. */
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

/// Formats a log line with the given fields and checks how it begins.
static char *
format_fields(const char *text)
{
	json_object *line = log_json_new("T", "info", "e1", "x");
	char *out;

	log_json_add_fields(line, text);
	out = g_strdup(log_json_to_text(line));
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
		char *line = format_fields(rows[i][0]);

		if (!g_str_has_suffix(line, rows[i][1]))
			fail_msg("%s lacks %s", line, rows[i][1]);
		g_free(line);
	}
}

/// Creates a pipe and a sink that writes to it.
///
/// @param fds           receives the descriptors of the pipe
/// @param max_buffered  limit of the sink's buffer, in bytes
static struct log_sink *
create_sink_on_pipe(int fds[2], size_t max_buffered)
{
	struct log_sink_options options = {.max_buffered = max_buffered,
	    .lines_per_second = 10,
	    .burst = 20,
	    .reserve = 0.25};

	assert_int_equal(pipe(fds), 0);
	options.fd = fds[1];
	return log_sink_new(&options);
}

/// While nothing reads the pipe, writes return at once, the buffer stays
/// bounded and the other lines are counted as dropped.
static void
writes_never_wait_for_the_reader(void **state)
{
	int fds[2];
	struct log_sink *sink = create_sink_on_pipe(fds, 10000);
	char line[1000];
	char bytes[4096];
	size_t n_read = 0;
	ssize_t n;

	(void)state;
	memset(line, 'x', sizeof(line) - 1);
	line[sizeof(line) - 1] = '\0';
	for (int i = 0; i < 1000; i++)
		log_sink_write(sink, line);
	assert_in_range(log_sink_reset_dropped(sink), 900, 999);
	/* Once the pipe is read again, whole lines arrive. */
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

/// Once the read end of the pipe is closed, no lines are buffered and no event
/// source keeps the main loop busy.
static void
lines_for_a_closed_pipe_are_discarded(void **state)
{
	int fds[2];
	struct log_sink *sink = create_sink_on_pipe(fds, 10000);

	(void)state;
	signal(SIGPIPE, SIG_IGN);
	close(fds[0]);
	log_sink_write(sink, "x");
	assert_false(g_main_context_iteration(NULL, FALSE));
	assert_int_equal(log_sink_reset_dropped(sink), 1);
	log_sink_free(sink);
	close(fds[1]);
}

/// The rate limit bounds a flood of lines and still admits warnings.
static void
rate_limit_reserves_lines_for_warnings(void **state)
{
	int fds[2];
	struct log_sink *sink = create_sink_on_pipe(fds, 10000);
	unsigned infos = 0;
	unsigned warnings = 0;

	(void)state;
	for (int i = 0; i < 100; i++)
		infos += log_sink_admit(sink, USEC_PER_SEC, false);
	for (int i = 0; i < 100; i++)
		warnings += log_sink_admit(sink, USEC_PER_SEC, true);
	assert_int_equal(infos, 15);
	assert_int_equal(warnings, 5);
	assert_int_equal(log_sink_reset_dropped(sink), 180);
	assert_int_equal(log_sink_reset_dropped(sink), 0);
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
	    cmocka_unit_test(writes_never_wait_for_the_reader),
	    cmocka_unit_test(lines_for_a_closed_pipe_are_discarded),
	    cmocka_unit_test(rate_limit_reserves_lines_for_warnings),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
