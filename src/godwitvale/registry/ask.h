/* One HTTP question to an address of the platform or of a peer. */
#ifndef GODWITVALE_REGISTRY_ASK_H
#define GODWITVALE_REGISTRY_ASK_H

#include "godwitvale/serve/instance_defs.h"

/// Gets the answer: HTTP status and body, or 0 and NULL on failure.
typedef void (*ask_handler)(unsigned status, GBytes *body, gpointer data);

void ask_get(struct instance *instance, const struct settings_address *address,
    const char *path, usec_t timeout, ask_handler handler, gpointer data);
char *ask_uri(const struct settings_address *address, const char *path);

#endif
