/* Computes 64-bit hashes of names, keys and pairs of numbers with xxHash. */
#include "godwitvale/core/hash.h"

#include <string.h>

#include <xxhash.h>

/// Hashes bytes.
///
/// @param data  first byte
/// @param len   number of bytes
/// @param seed  selects one of several independent hash functions
/// @return the hash, identical on all machines
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

/// Hashes a pair of numbers, for rendezvous hashing.
///
/// @param left   first number of the pair; the order matters
/// @param right  second number of the pair
/// @return the hash of the pair
uint64_t
hash_pair(uint64_t left, uint64_t right)
{
	uint64_t pair[2] = {left, right};

	return hash_bytes(pair, sizeof(pair), 0);
}
