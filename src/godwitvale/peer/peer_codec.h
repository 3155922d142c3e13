/* Encoding and decoding of the messages between instances (XDR). */
#ifndef GODWITVALE_PEER_PEER_CODEC_H
#define GODWITVALE_PEER_PEER_CODEC_H

#include <stdbool.h>

#include "godwitvale/core/quorum_defs.h"
#include "godwitvale/peer/peer_wire_xdr.h"

size_t peer_codec_encode_body(const wire_body *body, char *bytes, size_t size);
bool peer_codec_decode_body(wire_body *body, char *bytes, size_t len);
void peer_codec_free_body(wire_body *body);
void peer_codec_quorum_to_wire(wire_quorum *wire,
    const struct quorum_message *message, u_quad_t *voters,
    wire_record *records);
bool peer_codec_quorum_from_wire(
    struct quorum_message *message, const wire_quorum *wire);

#endif
