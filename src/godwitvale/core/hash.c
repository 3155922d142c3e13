/* Hashes of names and keys, by xxHash. */
#include "godwitvale/core/hash.h"

#include <string.h>

#include <xxhash.h>

/// Hashes bytes.
///
/// @param data  first byte
/// @param len   number of bytes
/// @param seed  chosen by the caller; tells families of hashes apart
/// @return the hash; the same on every machine
uint64_t
hash_bytes(const void *data, size_t len, uint64_t seed)
{
	return XXH64(data, len, seed);
}

/// Hashes a name into an identifier.
///
/// @param name  NUL-terminated
/// @return the identifier, never 0
uint64_t
hash_name(const char *name)
{
	uint64_t hash = hash_bytes(name, strlen(name), 0);

	return hash == 0 ? 1 : hash;
}

/// Hashes two numbers, as rendezvous hashing needs it.
///
/// @param left   the first number
/// @param right  the second number
/// @return the hash of both
uint64_t
hash_pair(uint64_t left, uint64_t right)
{
	uint64_t pair[2] = {left, right};

	return hash_bytes(pair, sizeof(pair), 0);
}
