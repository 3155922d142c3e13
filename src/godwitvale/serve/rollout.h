/* The bundle in force: where it comes from and whom it reaches. */
#ifndef GODWITVALE_SERVE_ROLLOUT_H
#define GODWITVALE_SERVE_ROLLOUT_H

#include "godwitvale/serve/instance_defs.h"

bool rollout_offer(
    struct instance *instance, const char *text, size_t len, const char *from);
void rollout_fetch_from(struct instance *instance, node_id peer);
void rollout_tick(struct instance *instance, usec_t now);
void rollout_take_version(struct instance *instance, uint64_t version);

#endif
