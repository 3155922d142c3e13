/*
 * Writes log lines to a descriptor whose reader may be slow or blocked. Lines
 * are buffered up to a limit and written as the reader consumes them, so that
 * logging never blocks. A rate limit bounds the number of lines per second and
 * reserves a share of its burst for warnings and errors. Dropped lines are
 * counted, so that the log can report them.
 */
#ifndef GODWITVALE_OPS_LOG_SINK_H
#define GODWITVALE_OPS_LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

struct log_sink;

/// Settings of a sink.
struct log_sink_options {
	int fd;
	size_t max_buffered;     /// limit of the buffer, in bytes
	double lines_per_second; /// average rate
	double burst;            /// lines allowed at once beyond that rate
	double reserve;          /// share of the burst for warnings and errors
};

struct log_sink *log_sink_new(const struct log_sink_options *options);
void log_sink_free(struct log_sink *sink);
bool log_sink_admit(struct log_sink *sink, usec_t now, bool is_warning);
void log_sink_write(struct log_sink *sink, const char *line);
void log_sink_flush(struct log_sink *sink);
uint64_t log_sink_reset_dropped(struct log_sink *sink);

#endif
