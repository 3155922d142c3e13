/* Computes 64-bit hashes of names, keys and pairs of numbers. */
#ifndef GODWITVALE_CORE_HASH_H
#define GODWITVALE_CORE_HASH_H

#include <stddef.h>
#include <stdint.h>

uint64_t hash_bytes(const void *data, size_t len, uint64_t seed);
uint64_t hash_name(const char *name);
uint64_t hash_pair(uint64_t left, uint64_t right);

#endif
