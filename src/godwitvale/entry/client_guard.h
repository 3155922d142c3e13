/*
 * Limits on what all clients of an instance use together: derives them from the
 * settings and the configuration, and reports when they take effect.
 */
#ifndef GODWITVALE_ENTRY_CLIENT_GUARD_H
#define GODWITVALE_ENTRY_CLIENT_GUARD_H

#include "godwitvale/core/client_limits.h"
#include "godwitvale/http/server.h"

struct client_guard;
struct entry_settings;

struct client_guard *client_guard_new(const struct entry_settings *settings);
void client_guard_free(struct client_guard *guard);
void client_guard_set_max_body(struct client_guard *guard, uint64_t max_body);
struct client_limits *client_guard_limits(const struct client_guard *guard);
struct client_connections client_guard_connections(
    const struct client_guard *guard);
struct client_body_limits client_guard_body_limits(
    const struct client_guard *guard);
void client_guard_note_limit(
    struct client_guard *guard, enum http_limit limit, const char *server);

#endif
