#!/bin/sh
# Generates the XDR code that is in the repository from its .x files; needs
# rpcgen.
set -eu
cd "$(dirname "$0")/../src/godwitvale"
for wire in peer/peer_wire fleet/fleet_wire; do
	(
		cd "$(dirname "$wire")"
		name=$(basename "$wire")
		rm -f "${name}_xdr.h" "${name}_xdr.c"
		rpcgen -C -h -o "${name}_xdr.h" "$name.x"
		rpcgen -C -c -o "${name}_xdr.c" "$name.x"
		sed -i "s|#include \"$name.h\"|#include \"godwitvale/${wire}_xdr.h\"|" \
		    "${name}_xdr.c"
	)
done
