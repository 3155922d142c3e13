/* Rollout of bundles: fetches, verifies and activates newer bundles. */
#ifndef GODWITVALE_SERVE_ROLLOUT_H
#define GODWITVALE_SERVE_ROLLOUT_H

#include "godwitvale/serve/instance_defs.h"

bool rollout_handle_bundle(struct instance *instance, const char *text,
    size_t len, const char *source);
void rollout_fetch_from_peer(struct instance *instance, node_id peer);
void rollout_tick(struct instance *instance, usec_t now);
void rollout_handle_version_read(struct instance *instance, uint64_t version);

#endif
