/* Formats log lines as JSON objects, one object per line. */
#ifndef GODWITVALE_OPS_LOG_JSON_H
#define GODWITVALE_OPS_LOG_JSON_H

#include <glib.h>
#include <json-c/json.h>

json_object *log_json_new(const char *time, const char *level,
    const char *instance, const char *event);
void log_json_add_fields(json_object *line, const char *fields);
const char *log_json_to_text(json_object *line);

#endif
