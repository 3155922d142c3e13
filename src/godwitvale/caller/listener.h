/*
 * HTTP server on one address that can stop accepting connections while requests
 * in progress continue.
 */
#ifndef GODWITVALE_CALLER_LISTENER_H
#define GODWITVALE_CALLER_LISTENER_H

#include <stdbool.h>

#include <libsoup/soup.h>

#include "godwitvale/caller/connections.h"
#include "godwitvale/ops/settings_defs.h"

struct listener;

struct listener *listener_new(const struct settings_address *address,
    const struct connections_options *options, GError **error);
SoupServer *listener_get_server(struct listener *listener);
void listener_stop(struct listener *listener);
void listener_free(struct listener *listener);

#endif
