/* The bounded output of log lines. */
#include "godwitvale/ops/log_sink.h"

#include <errno.h>
#include <limits.h>
#include <string.h>
#include <unistd.h>

#include <glib-unix.h>
#include <poll.h>

#include "godwitvale/core/fleet_share.h"

struct log_sink {
	struct log_sink_options options;
	struct fleet_share budget;
	GString *kept;
	guint source; /// waits until the reader takes more
	uint64_t dropped;
};

/// Makes a sink.
///
/// @param options  copied
/// @return the sink; free with log_sink_free()
struct log_sink *
log_sink_new(const struct log_sink_options *options)
{
	struct log_sink *sink = g_new0(struct log_sink, 1);

	sink->options = *options;
	sink->kept = g_string_new(NULL);
	return sink;
}

/// Frees a sink. What its reader hasn't taken is lost.
///
/// @param sink  the sink
void
log_sink_free(struct log_sink *sink)
{
	log_sink_flush(sink);
	if (sink->source != 0)
		g_source_remove(sink->source);
	g_string_free(sink->kept, true);
	g_free(sink);
}

/// Takes a line's place in the budget.
///
/// @param sink        the sink
/// @param now         time
/// @param is_warning  it may use the reserve
/// @return false when the line is to be dropped
bool
log_sink_admit(struct log_sink *sink, usec_t now, bool is_warning)
{
	const struct log_sink_options *options = &sink->options;

	fleet_share_configure(
	    &sink->budget, now, options->lines_a_second, options->burst);
	if (fleet_share_has_permit(&sink->budget, now) &&
	    (is_warning ||
		sink->budget.permits > options->reserve * options->burst))
		return fleet_share_take_permit(&sink->budget, now);
	sink->dropped++;
	return false;
}

/// Whether a write of up to PIPE_BUF bytes returns at once.
static bool
is_writable(int fd)
{
	struct pollfd poll_fd = {.fd = fd, .events = POLLOUT};

	return poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & POLLOUT) != 0;
}

/// Loop callback: the reader takes more.
static gboolean
on_writable(gint fd, GIOCondition condition, gpointer data)
{
	struct log_sink *sink = data;

	(void)fd;
	(void)condition;
	log_sink_flush(sink);
	if (sink->kept->len > 0)
		return G_SOURCE_CONTINUE;
	sink->source = 0;
	return G_SOURCE_REMOVE;
}

/// Writes what the reader takes now.
///
/// @param sink  the sink
void
log_sink_flush(struct log_sink *sink)
{
	while (sink->kept->len > 0 && is_writable(sink->options.fd)) {
		size_t len = MIN(sink->kept->len, (size_t)PIPE_BUF);
		ssize_t n = write(sink->options.fd, sink->kept->str, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno != EAGAIN) {
			/* Nobody will ever read it. */
			g_string_truncate(sink->kept, 0);
			sink->dropped++;
			return;
		}
		if (n <= 0)
			return;
		g_string_erase(sink->kept, 0, n);
	}
}

/// Writes a line, or keeps it until the reader takes it.
///
/// @param sink  the sink
/// @param line  without its end
void
log_sink_write(struct log_sink *sink, const char *line)
{
	if (sink->kept->len + strlen(line) + 1 > sink->options.max_kept) {
		sink->dropped++;
		return;
	}
	g_string_append(sink->kept, line);
	g_string_append_c(sink->kept, '\n');
	log_sink_flush(sink);
	if (sink->kept->len > 0 && sink->source == 0)
		sink->source = g_unix_fd_add(
		    sink->options.fd, G_IO_OUT, on_writable, sink);
}

/// Takes the count of lines dropped since it was last taken.
///
/// @param sink  the sink
/// @return how many
uint64_t
log_sink_take_dropped(struct log_sink *sink)
{
	uint64_t dropped = sink->dropped;

	sink->dropped = 0;
	return dropped;
}
