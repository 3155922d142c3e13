/*
 * HTTP GET requests to the platform's services, upstreams and other instances.
 */
#ifndef GODWITVALE_REGISTRY_HTTP_GET_H
#define GODWITVALE_REGISTRY_HTTP_GET_H

#include "godwitvale/serve/instance_defs.h"

/// Handles the end of a request.
///
/// @param status  HTTP status, 0 on failure or timeout
/// @param body    response body, NULL on failure or timeout; valid until the
///                handler returns
/// @param data    data passed to http_get_start()
typedef void (*http_get_handler)(unsigned status, GBytes *body, gpointer data);

void http_get_start(struct instance *instance,
    const struct settings_address *address, const char *path, usec_t timeout,
    http_get_handler handler, gpointer data);
char *http_get_format_uri(
    const struct settings_address *address, const char *path);

#endif
