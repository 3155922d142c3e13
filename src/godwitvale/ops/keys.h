/* Generates, saves and loads the ed25519 key pair that signs bundles. */
#ifndef GODWITVALE_OPS_KEYS_H
#define GODWITVALE_OPS_KEYS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define KEYS_SECRET_BYTES 64
#define KEYS_PUBLIC_BYTES 32

#define KEYS_ERROR (keys_error_quark())
enum keys_error { KEYS_ERROR_READ, KEYS_ERROR_WRITE, KEYS_ERROR_INVALID };

/// A key pair.
struct keys {
	uint8_t secret[KEYS_SECRET_BYTES]; /// signs bundles
	uint8_t public[KEYS_PUBLIC_BYTES]; /// verifies bundles
};

GQuark keys_error_quark(void);
void keys_generate(struct keys *keys);
bool keys_save(const struct keys *keys, const char *path, GError **error);
bool keys_load(struct keys *keys, const char *path, GError **error);
char *keys_to_hex(const uint8_t *bytes, size_t n);

#endif
