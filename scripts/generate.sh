#!/bin/sh
# Makes the committed XDR code anew from peer_wire.x; needs rpcgen.
set -eu
cd "$(dirname "$0")/../src/godwitvale/peer"
rm -f peer_wire_xdr.h peer_wire_xdr.c
rpcgen -C -h -o peer_wire_xdr.h peer_wire.x
rpcgen -C -c -o peer_wire_xdr.c peer_wire.x
sed -i 's|#include "peer_wire.h"|#include "godwitvale/peer/peer_wire_xdr.h"|' \
    peer_wire_xdr.c
