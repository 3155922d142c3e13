/*
 * Where log lines go: a descriptor that may be slow or blocked. Lines are
 * kept up to a bound and written as the reader takes them; nobody waits for
 * it. A budget a second keeps the volume bounded, with a reserve for warnings
 * and errors; what is dropped is counted and told.
 */
#ifndef GODWITVALE_OPS_LOG_SINK_H
#define GODWITVALE_OPS_LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

struct log_sink;

/// How a sink is built.
struct log_sink_options {
	int fd;
	size_t max_kept;       /// bytes that wait for the reader
	double lines_a_second; /// on average
	double burst;          /// lines beyond that, at a time
	double reserve;        /// share of the burst that only warnings take
};

struct log_sink *log_sink_new(const struct log_sink_options *options);
void log_sink_free(struct log_sink *sink);
bool log_sink_admit(struct log_sink *sink, usec_t now, bool is_warning);
void log_sink_write(struct log_sink *sink, const char *line);
void log_sink_flush(struct log_sink *sink);
uint64_t log_sink_take_dropped(struct log_sink *sink);

#endif
