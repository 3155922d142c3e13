/* The structured log: formats events and hands them to log4c. */
#include "godwitvale/ops/log.h"

#include <stdio.h>
#include <time.h>

#include <glib.h>
#include <log4c.h>
#include <log4c/appender_type_stream2.h>

/// Longest line, in bytes; what is longer is cut.
#define LOG_LINE_BYTES 2048

static log4c_category_t *log_category;
static char log_instance[64];
static char log_line[LOG_LINE_BYTES];

static const int log_priorities[] = {
    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

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
	    "time=%s.%03ldZ level=%s instance=%s %s\n", stamp,
	    (long)event->evt_timestamp.tv_usec / 1000,
	    log4c_priority_to_string(event->evt_priority), log_instance,
	    event->evt_msg);
	return log_line;
}

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

	g_strlcpy(log_instance, instance, sizeof(log_instance));
	if (log4c_init() != 0)
		return false;
	layout = log4c_layout_get("godwitvale");
	log4c_layout_set_type(layout, &log_layout_type);
	appender = log4c_appender_get("stderr");
	log4c_appender_set_type(appender, log4c_appender_type_get("stream2"));
	log4c_stream2_set_fp(appender, stderr);
	log4c_appender_set_layout(appender, layout);
	log_category = log4c_category_get("godwitvale");
	log4c_category_set_appender(log_category, appender);
	log4c_category_set_additivity(log_category, 0);
	log4c_category_set_priority(log_category, log_priorities[level]);
	return true;
}

/// Closes the log; later events are dropped.
void
log_close(void)
{
	if (log_category == NULL)
		return;
	log_category = NULL;
	log4c_fini();
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
