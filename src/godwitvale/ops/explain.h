/*
 * One request's story out of the log lines of all instances: what was done
 * with it, what was believed of its upstreams meanwhile, and why it ended.
 */
#ifndef GODWITVALE_OPS_EXPLAIN_H
#define GODWITVALE_OPS_EXPLAIN_H

#include <stdbool.h>

#include <glib.h>

struct explain;

struct explain *explain_new(const char *id);
void explain_free(struct explain *explain);
void explain_take_line(struct explain *explain, const char *line);
bool explain_tell(struct explain *explain, GString *out);

#endif
