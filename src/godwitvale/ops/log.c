/* The structured log: formats events and hands them to log4c. */
#include "godwitvale/ops/log.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <log4c.h>

/// Longest line, in bytes; what is longer is cut.
#define LOG_LINE_BYTES 2048

static log4c_category_t *log_category;
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

/// Formats one event for log4c: time, level, instance, then the event.
///
/// @param layout  unused
/// @param event   the event, its message in key=value form
/// @return the line, valid until the next call
static const char *
log_format_line(
    const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	time_t seconds = event->evt_timestamp.tv_sec;
	struct tm parts;
	char stamp[32];

	(void)layout;
	gmtime_r(&seconds, &parts);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
	snprintf(log_line, sizeof(log_line),
	    "time=%s.%03ldZ level=%s instance=%s %s", stamp,
	    (long)event->evt_timestamp.tv_usec / 1000,
	    log_level_name(event->evt_priority), log_instance, event->evt_msg);
	g_strdelimit(log_line, "\r\n", ' ');
	g_strchomp(log_line);
	return log_line;
}

/// Writes one event, as laid out, to standard error. log4c's own types for
/// streams put the appender's name before each line.
///
/// @param appender  unused
/// @param event     the event
/// @return bytes written, negative on failure
static int
log_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	return fprintf(stderr, "%s\n", event->evt_rendered_msg);
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

/// Closes the log; later events are dropped until it is opened again. log4c
/// stays set up, because it can't be set up a second time.
void
log_close(void)
{
	log_category = NULL;
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
