/*
 * Structured log: formats events and passes them to log4c. Lines are written as
 * key=value pairs to standard error, or as JSON objects to standard output.
 * Writing to standard output never blocks, however slow the reader is.
 */
#include "godwitvale/ops/log.h"

#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>
#include <log4c.h>

#include "godwitvale/ops/log_json.h"
#include "godwitvale/ops/log_sink.h"

/// Maximum length of a line, in bytes; longer lines are truncated.
#define LOG_LINE_BYTES 2048

/// Maximum number of bytes buffered for a slow reader of standard output.
#define LOG_BUFFER_BYTES (256 * 1024)
/// Average number of lines per second, and the burst allowed beyond it. A busy
/// instance writes about ten lines per request.
#define LOG_LINES_PER_SECOND 400
#define LOG_LINES_BURST 800
/// Share of the burst that is reserved for warnings and errors.
#define LOG_LINES_RESERVE 0.25

static log4c_category_t *log_category;
static struct log_sink *log_sink; /// for JSON lines; NULL for key=value
static bool log_ready;
static char log_instance[LOG_VALUE_BYTES];
static char log_line[LOG_LINE_BYTES];

static const int log_priorities[] = {
    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

/// Returns the name of a priority, as used in the settings.
///
/// @param priority  priority of log4c
/// @return the name, one word
static const char *
log_level_name(int priority)
{
	switch (priority) {
	case LOG4C_PRIORITY_ERROR:
		return "error";
	case LOG4C_PRIORITY_WARN:
		return "warn";
	case LOG4C_PRIORITY_INFO:
		return "info";
	default:
		return "debug";
	}
}

/// Formats the time of an event as ISO 8601 in UTC, with milliseconds.
static void
format_time(const struct timeval *at, char *stamp, size_t size)
{
	time_t seconds = at->tv_sec;
	struct tm parts;
	size_t len;

	gmtime_r(&seconds, &parts);
	len = strftime(stamp, size, "%Y-%m-%dT%H:%M:%S", &parts);
	snprintf(stamp + len, size - len, ".%03ldZ", (long)at->tv_usec / 1000);
}

/// Layout callback of log4c: formats an event as time, level, instance and the
/// event's message. JSON lines are formatted later, by write_json().
///
/// @param layout  unused
/// @param event   the event, with a message of key=value pairs
/// @return the line, valid until the next call
static const char *
log_format_line(
    const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	char stamp[40];

	(void)layout;
	if (log_sink != NULL)
		return event->evt_msg;
	format_time(&event->evt_timestamp, stamp, sizeof(stamp));
	snprintf(log_line, sizeof(log_line), "time=%s level=%s instance=%s %s",
	    stamp, log_level_name(event->evt_priority), log_instance,
	    event->evt_msg);
	g_strdelimit(log_line, "\r\n", ' ');
	g_strchomp(log_line);
	return log_line;
}

/// Writes an event to the sink as a JSON object.
///
/// @param message  "event=NAME", then key=value pairs
static void
write_json(const struct timeval *at, int priority, const char *message)
{
	const char *event = message + strlen("event=");
	size_t len = strcspn(event, " ");
	char *name = g_strndup(event, len);
	const char *fields = event + len + strspn(event + len, " ");
	char stamp[40];
	json_object *line;

	format_time(at, stamp, sizeof(stamp));
	line =
	    log_json_new(stamp, log_level_name(priority), log_instance, name);
	log_json_add_fields(line, fields);
	log_sink_write(log_sink, log_json_to_text(line));
	json_object_put(line);
	g_free(name);
}

/// Logs how many lines were dropped since the last report, if any.
static void
report_dropped(const struct timeval *at)
{
	uint64_t dropped = log_sink_reset_dropped(log_sink);
	char message[64];

	if (dropped == 0)
		return;
	snprintf(message, sizeof(message),
	    "event=log-dropped lines=%" G_GUINT64_FORMAT, dropped);
	write_json(at, LOG4C_PRIORITY_WARN, message);
}

/// Appender callback of log4c: writes an event to standard error as formatted
/// by the layout, or to the sink as JSON. log4c's own stream appenders aren't
/// used because they put the appender's name before each line.
///
/// @param appender  unused
/// @param event     the event, already formatted
/// @return bytes written to standard error, 0 for the sink, negative on failure
static int
log_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	if (log_sink == NULL)
		return fprintf(stderr, "%s\n", event->evt_rendered_msg);
	if (!log_sink_admit(log_sink, g_get_monotonic_time(),
		event->evt_priority <= LOG4C_PRIORITY_WARN))
		return 0;
	report_dropped(&event->evt_timestamp);
	write_json(&event->evt_timestamp, event->evt_priority, event->evt_msg);
	return 0;
}

static const log4c_appender_type_t log_appender_type = {
    .name = "godwitvale",
    .append = log_append,
};

static const log4c_layout_type_t log_layout_type = {
    .name = "godwitvale",
    .format = log_format_line,
};

/// Opens the log on standard error, in key=value form.
///
/// @param instance  name of this instance, added to every line
/// @param level     the least severe level that is written
/// @return false when log4c cannot be initialised
bool
log_open(const char *instance, enum log_level level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	log_quote_value(instance, log_instance);
	if (!log_ready && log4c_init() != 0)
		return false;
	log_ready = true;
	layout = log4c_layout_get("godwitvale");
	log4c_layout_set_type(layout, &log_layout_type);
	appender = log4c_appender_get("godwitvale");
	log4c_appender_set_type(appender, &log_appender_type);
	log4c_appender_set_layout(appender, layout);
	log_category = log4c_category_get("godwitvale");
	log4c_category_set_appender(log_category, appender);
	log4c_category_set_additivity(log_category, 0);
	log4c_category_set_priority(log_category, log_priorities[level]);
	return true;
}

/// Opens the log on standard output, one JSON object per line.
///
/// @param instance  name of this instance, added to every line
/// @param level     the least severe level that is written
/// @return false when log4c cannot be initialised
bool
log_open_json(const char *instance, enum log_level level)
{
	const struct log_sink_options options = {
	    .fd = STDOUT_FILENO,
	    .max_buffered = LOG_BUFFER_BYTES,
	    .lines_per_second = LOG_LINES_PER_SECOND,
	    .burst = LOG_LINES_BURST,
	    .reserve = LOG_LINES_RESERVE,
	};

	if (!log_open(instance, level))
		return false;
	g_strlcpy(log_instance, instance, sizeof(log_instance));
	log_sink = log_sink_new(&options);
	return true;
}

/// Closes the log. Later events are discarded until it is opened again. log4c
/// stays initialised, because it cannot be initialised a second time.
void
log_close(void)
{
	log_category = NULL;
	if (log_sink != NULL)
		log_sink_free(log_sink);
	log_sink = NULL;
}

/// Logs an event.
///
/// @param level   severity of the event
/// @param event   name of the event, one word
/// @param format  printf format of further key=value pairs, or ""
void
log_event(enum log_level level, const char *event, const char *format, ...)
{
	char fields[LOG_LINE_BYTES / 2];
	va_list arguments;

	if (log_category == NULL)
		return;
	va_start(arguments, format);
	vsnprintf(fields, sizeof(fields), format, arguments);
	va_end(arguments);
	log4c_category_log(
	    log_category, log_priorities[level], "event=%s %s", event, fields);
}

/// Checks whether a value can be written without quotes.
static bool
is_plain(const char *value)
{
	for (const char *c = value; *c != '\0'; c++)
		if ((unsigned char)*c <= ' ' || *c == '"' || *c == '=' ||
		    *c == '\\' || *c == 0x7f)
			return false;
	return *value != '\0';
}

/// Formats a value so that it parses as a single value: quotes it when it is
/// empty or contains blanks, quotes, backslashes, '=' or control characters.
///
/// @param value   the value; NULL is formatted as an empty value
/// @param buffer  receives the text, truncated when it doesn't fit
/// @return buffer
const char *
log_quote_value(const char *value, char buffer[LOG_VALUE_BYTES])
{
	/* Leaves room for the longest escape, the closing quote and NUL. */
	char *last = buffer + LOG_VALUE_BYTES - sizeof("\\x00\"");
	char *out = buffer;

	if (value == NULL)
		value = "";
	if (is_plain(value) && strlen(value) < LOG_VALUE_BYTES) {
		g_strlcpy(buffer, value, LOG_VALUE_BYTES);
		return buffer;
	}
	*out++ = '"';
	for (; *value != '\0' && out < last; value++) {
		unsigned char c = (unsigned char)*value;

		if (c == '\n') {
			*out++ = '\\';
			*out++ = 'n';
		} else if (c < ' ' || c == 0x7f) {
			out += sprintf(out, "\\x%02x", c);
		} else {
			if (c == '"' || c == '\\')
				*out++ = '\\';
			*out++ = (char)c;
		}
	}
	*out++ = '"';
	*out = '\0';
	return buffer;
}
