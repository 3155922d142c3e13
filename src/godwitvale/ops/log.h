/* Structured log: writes one line per event through log4c. */
#ifndef GODWITVALE_OPS_LOG_H
#define GODWITVALE_OPS_LOG_H

#include <stdbool.h>

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG
};

/// Size of a buffer for a formatted value, in bytes; longer values are
/// truncated.
#define LOG_VALUE_BYTES 512

bool log_open(const char *instance, enum log_level level);
bool log_open_json(const char *instance, enum log_level level);
void log_close(void);
void log_event(enum log_level level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
const char *log_quote_value(const char *value, char buffer[LOG_VALUE_BYTES]);

#endif
