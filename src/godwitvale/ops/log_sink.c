/* Writes log lines to a descriptor without blocking, with bounded buffering. */
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
	struct fleet_share rate_limit;
	GString *buffer;
	guint source; /// waits until the descriptor is writable; 0 when unused
	uint64_t dropped;
};

/// Creates a sink.
///
/// @param options  settings of the sink; copied
/// @return the sink; free with log_sink_free()
struct log_sink *
log_sink_new(const struct log_sink_options *options)
{
	struct log_sink *sink = g_new0(struct log_sink, 1);

	sink->options = *options;
	sink->buffer = g_string_new(NULL);
	return sink;
}

/// Frees a sink. Buffered lines that cannot be written at once are lost.
void
log_sink_free(struct log_sink *sink)
{
	log_sink_flush(sink);
	if (sink->source != 0)
		g_source_remove(sink->source);
	g_string_free(sink->buffer, true);
	g_free(sink);
}

/// Takes a permit of the rate limit for one line. Counts the line as dropped
/// when there is no permit.
///
/// @param sink        sink that the line is meant for
/// @param now         current monotonic time, in microseconds
/// @param is_warning  whether the line may use the reserve for warnings and
///                    errors
/// @return false when the line must be dropped
bool
log_sink_admit(struct log_sink *sink, usec_t now, bool is_warning)
{
	const struct log_sink_options *options = &sink->options;

	fleet_share_configure(
	    &sink->rate_limit, now, options->lines_per_second, options->burst);
	if (fleet_share_has_permit(&sink->rate_limit, now) &&
	    (is_warning ||
		sink->rate_limit.permits > options->reserve * options->burst))
		return fleet_share_take_permit(&sink->rate_limit, now);
	sink->dropped++;
	return false;
}

/// Checks whether a write of up to PIPE_BUF bytes would return at once.
static bool
is_writable(int fd)
{
	struct pollfd poll_fd = {.fd = fd, .events = POLLOUT};

	return poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & POLLOUT) != 0;
}

/// Main loop callback: the descriptor is writable again.
static gboolean
on_writable(gint fd, GIOCondition condition, gpointer data)
{
	struct log_sink *sink = data;

	(void)fd;
	(void)condition;
	log_sink_flush(sink);
	if (sink->buffer->len > 0)
		return G_SOURCE_CONTINUE;
	sink->source = 0;
	return G_SOURCE_REMOVE;
}

/// Writes as much of the buffer as possible without blocking.
void
log_sink_flush(struct log_sink *sink)
{
	while (sink->buffer->len > 0 && is_writable(sink->options.fd)) {
		size_t len = MIN(sink->buffer->len, (size_t)PIPE_BUF);
		ssize_t n = write(sink->options.fd, sink->buffer->str, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno != EAGAIN) {
			/* The reader has closed its end for good. */
			g_string_truncate(sink->buffer, 0);
			sink->dropped++;
			return;
		}
		if (n <= 0)
			return;
		g_string_erase(sink->buffer, 0, n);
	}
}

/// Writes a line, or buffers it until the descriptor is writable. Drops the
/// line when the buffer is full.
///
/// @param sink  sink to write to
/// @param line  text of the line, without a newline
void
log_sink_write(struct log_sink *sink, const char *line)
{
	if (sink->buffer->len + strlen(line) + 1 > sink->options.max_buffered) {
		sink->dropped++;
		return;
	}
	g_string_append(sink->buffer, line);
	g_string_append_c(sink->buffer, '\n');
	log_sink_flush(sink);
	if (sink->buffer->len > 0 && sink->source == 0)
		sink->source = g_unix_fd_add(
		    sink->options.fd, G_IO_OUT, on_writable, sink);
}

/// Resets the count of dropped lines.
///
/// @return number of lines dropped since the last reset
uint64_t
log_sink_reset_dropped(struct log_sink *sink)
{
	uint64_t dropped = sink->dropped;

	sink->dropped = 0;
	return dropped;
}
