/*
 * Messages between instances over UDP, authenticated and protected against
 * replay.
 */
#ifndef GODWITVALE_PEER_PEER_H
#define GODWITVALE_PEER_PEER_H

#include "godwitvale/serve/instance_defs.h"

struct peer_endpoint *peer_open(struct instance *instance, GError **error);
void peer_close(struct peer_endpoint *endpoint);
void peer_send_quorum_message(struct peer_endpoint *endpoint, node_id to,
    const struct quorum_message *message);
void peer_tick(struct peer_endpoint *endpoint, usec_t now);
unsigned peer_count_verified(const struct peer_endpoint *endpoint, usec_t since,
    uint64_t *highest_version);
node_id peer_get_own_id(const struct peer_endpoint *endpoint);

#endif
