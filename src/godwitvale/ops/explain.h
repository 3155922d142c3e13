/*
 * Reconstructs the timeline of one request from the log lines of all instances:
 * the lines with its id, the events of its upstreams and instances in the same
 * period, and why the request ended.
 */
#ifndef GODWITVALE_OPS_EXPLAIN_H
#define GODWITVALE_OPS_EXPLAIN_H

#include <stdbool.h>

#include <glib.h>

struct explain;

struct explain *explain_new(const char *id);
void explain_free(struct explain *explain);
void explain_add_line(struct explain *explain, const char *line);
bool explain_write(struct explain *explain, GString *out);

#endif
