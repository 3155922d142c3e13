/*
 * The structured log: formats events and hands them to log4c. Lines are
 * key=value on standard error, or JSON objects on standard output, where no
 * reader can hold the process up.
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

/// Longest line, in bytes; what is longer is cut.
#define LOG_LINE_BYTES 2048

/// Bytes that wait for a slow reader of standard output at most.
#define LOG_KEPT_BYTES (256 * 1024)
/// Lines a second on average, and at a time beyond that: a busy instance
/// writes some ten a request.
#define LOG_LINES_A_SECOND 400
#define LOG_LINES_BURST 800
/// Share of the burst that only warnings and errors take.
#define LOG_LINES_RESERVE 0.25

static log4c_category_t *log_category;
static struct log_sink *log_sink; /// of JSON lines; NULL: key=value
static bool log_ready;
static char log_instance[LOG_VALUE_BYTES];
static char log_line[LOG_LINE_BYTES];

static const int log_priorities[] = {
    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

/// Names a priority as the settings do.
///
/// @param priority  of log4c
/// @return one word
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

/// Writes when an event happened.
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

/// Formats one event for log4c: time, level, instance, then the event.
///
/// @param layout  unused
/// @param event   the event, its message in key=value form
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

/// Writes one line of JSON.
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
	log_sink_write(log_sink, log_json_text(line));
	json_object_put(line);
	g_free(name);
}

/// Tells how many lines were dropped, once there is room again.
static void
tell_dropped(const struct timeval *at)
{
	uint64_t dropped = log_sink_take_dropped(log_sink);
	char message[64];

	if (dropped == 0)
		return;
	snprintf(message, sizeof(message),
	    "event=log-dropped lines=%" G_GUINT64_FORMAT, dropped);
	write_json(at, LOG4C_PRIORITY_WARN, message);
}

/// Writes one event: as laid out to standard error, or as JSON. log4c's own
/// types for streams put the appender's name before each line.
///
/// @param appender  unused
/// @param event     the event
/// @return bytes written, negative on failure
static int
log_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	if (log_sink == NULL)
		return fprintf(stderr, "%s\n", event->evt_rendered_msg);
	if (!log_sink_admit(log_sink, g_get_monotonic_time(),
		event->evt_priority <= LOG4C_PRIORITY_WARN))
		return 0;
	tell_dropped(&event->evt_timestamp);
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

/// Opens the log on standard error.
///
/// @param instance  this instance's name, on every line
/// @param level     the least severe level that is written
/// @return false when log4c can't be set up
bool
log_open(const char *instance, enum log_level level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	log_value(instance, log_instance);
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

/// Opens the log on standard output, a JSON object a line.
///
/// @param instance  this instance's name, on every line
/// @param level     the least severe level that is written
/// @return false when log4c can't be set up
bool
log_open_json(const char *instance, enum log_level level)
{
	const struct log_sink_options options = {
	    .fd = STDOUT_FILENO,
	    .max_kept = LOG_KEPT_BYTES,
	    .lines_a_second = LOG_LINES_A_SECOND,
	    .burst = LOG_LINES_BURST,
	    .reserve = LOG_LINES_RESERVE,
	};

	if (!log_open(instance, level))
		return false;
	g_strlcpy(log_instance, instance, sizeof(log_instance));
	log_sink = log_sink_new(&options);
	return true;
}

/// Closes the log; later events are dropped until it is opened again. log4c
/// stays set up, because it can't be set up a second time.
void
log_close(void)
{
	log_category = NULL;
	if (log_sink != NULL)
		log_sink_free(log_sink);
	log_sink = NULL;
}

/// Writes one event.
///
/// @param level   its level
/// @param event   its name, one word
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

/// Whether a value can stand in a line as it is.
///
/// @param value  the value
/// @return false when it must be quoted
static bool
is_plain(const char *value)
{
	for (const char *c = value; *c != '\0'; c++)
		if ((unsigned char)*c <= ' ' || *c == '"' || *c == '=' ||
		    *c == '\\' || *c == 0x7f)
			return false;
	return *value != '\0';
}

/// Writes a value so that it reads back as one: quoted where it is empty or
/// holds blanks, quotes, '=' or control characters.
///
/// @param value   the value; NULL stands for an empty one
/// @param buffer  filled in
/// @return buffer
const char *
log_value(const char *value, char buffer[LOG_VALUE_BYTES])
{
	/* Room for the longest escape, the closing quote and the end. */
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
