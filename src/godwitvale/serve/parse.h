/* Parser for the JSON bodies of generation requests. */
#ifndef GODWITVALE_SERVE_PARSE_H
#define GODWITVALE_SERVE_PARSE_H

#include "godwitvale/serve/request_defs.h"

#define PARSE_ERROR (parse_error_quark())
enum parse_error { PARSE_ERROR_JSON, PARSE_ERROR_FIELD };

GQuark parse_error_quark(void);
bool parse_generation_request(struct request *request, GError **error);
struct json_object *parse_json(const char *data, size_t len, GError **error);

#endif
