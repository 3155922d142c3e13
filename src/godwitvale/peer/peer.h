/* Messages between instances over UDP, authenticated and never replayed. */
#ifndef GODWITVALE_PEER_PEER_H
#define GODWITVALE_PEER_PEER_H

#include "godwitvale/serve/instance_defs.h"

struct peer *peer_open(struct instance *instance, GError **error);
void peer_close(struct peer *peer);
void peer_send(
    struct peer *peer, node_id to, const struct quorum_message *message);
void peer_tick(struct peer *peer, usec_t now);
unsigned peer_answered_since(
    const struct peer *peer, usec_t since, uint64_t *highest_version);
node_id peer_self(const struct peer *peer);

#endif
