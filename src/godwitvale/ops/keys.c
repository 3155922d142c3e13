/* Key files: generation, storage and loading of the ed25519 key pair that signs
 * bundles. */
#include "godwitvale/ops/keys.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "godwitvale/ops/json.h"

G_STATIC_ASSERT(KEYS_SECRET_BYTES == crypto_sign_SECRETKEYBYTES);
G_STATIC_ASSERT(KEYS_PUBLIC_BYTES == crypto_sign_PUBLICKEYBYTES);
G_DEFINE_QUARK(keys - error - quark, keys_error)

static const struct json_option keys_options[] = {
    {.path = "secret",
	.type = JSON_HEX,
	.offset = offsetof(struct keys, secret),
	.max = KEYS_SECRET_BYTES,
	.secret = true,
	.doc = "secret key that signs bundles"},
    {.path = "public",
	.type = JSON_HEX,
	.offset = offsetof(struct keys, public),
	.max = KEYS_PUBLIC_BYTES,
	.doc = "public key that verifies bundles, for setting keys.bundle"},
};

static const struct json_table keys_table = {
    .name = "keys",
    .size = sizeof(struct keys),
    .options = keys_options,
    .n_options = G_N_ELEMENTS(keys_options),
};

/// Creates a file that only its owner can read or write.
///
/// @param path  must not exist yet
/// @param text  contents of the file
/// @return false with errno set
static bool
write_new_file(const char *path, const char *text)
{
	size_t remaining = strlen(text);
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
	int saved_errno = 0;

	if (fd < 0)
		return false;
	while (remaining > 0 && saved_errno == 0) {
		ssize_t n = write(fd, text, remaining);

		if (n < 0 && errno != EINTR)
			saved_errno = errno;
		if (n <= 0)
			continue;
		text += n;
		remaining -= (size_t)n;
	}
	if (close(fd) != 0 && saved_errno == 0)
		saved_errno = errno;
	errno = saved_errno;
	return saved_errno == 0;
}

/// Generates a new key pair.
///
/// @param keys  receives the key pair
void
keys_generate(struct keys *keys)
{
	g_assert(sodium_init() >= 0);
	crypto_sign_keypair(keys->public, keys->secret);
}

/// Writes a key pair to a new file with mode 0600.
///
/// @param keys   key pair to write
/// @param path   file to create; must not exist yet
/// @param error  set to KEYS_ERROR_WRITE when the file cannot be written
/// @return false with error set
bool
keys_save(const struct keys *keys, const char *path, GError **error)
{
	char *secret = keys_to_hex(keys->secret, KEYS_SECRET_BYTES);
	char *public = keys_to_hex(keys->public, KEYS_PUBLIC_BYTES);
	char *text = g_strdup_printf(
	    "{\n\t\"secret\": \"%s\",\n\t\"public\": \"%s\"\n}\n", secret,
	    public);
	bool ok = write_new_file(path, text);

	if (!ok)
		g_set_error(error, KEYS_ERROR, KEYS_ERROR_WRITE, "%s: %s", path,
		    g_strerror(errno));
	sodium_memzero(text, strlen(text));
	sodium_memzero(secret, strlen(secret));
	g_free(text);
	g_free(public);
	g_free(secret);
	return ok;
}

/// Loads a key pair from a file.
///
/// @param keys   receives the key pair
/// @param path   file written by keys_save()
/// @param error  set to one of enum keys_error when the file is unreadable or
///               invalid
/// @return false with error set
bool
keys_load(struct keys *keys, const char *path, GError **error)
{
	struct json_document document;
	GError *cause = NULL;
	char *text;
	gsize len;
	bool ok;

	if (!g_file_get_contents(path, &text, &len, &cause)) {
		g_set_error_literal(
		    error, KEYS_ERROR, KEYS_ERROR_READ, cause->message);
		g_error_free(cause);
		return false;
	}
	ok = json_document_parse(
		 &document, text, len, KEYS_ERROR, KEYS_ERROR_INVALID, error) &&
	    json_table_read(&keys_table, &document, keys, error);
	json_document_clear(&document);
	sodium_memzero(text, len);
	g_free(text);
	if (!ok)
		g_prefix_error(error, "%s: ", path);
	return ok;
}

/// Formats bytes as hex digits.
///
/// @param bytes  bytes to format
/// @param n      number of bytes
/// @return the text, to be freed by the caller
char *
keys_to_hex(const uint8_t *bytes, size_t n)
{
	size_t size = 2 * n + 1;
	char *hex = g_malloc(size);

	sodium_bin2hex(hex, size, bytes, n);
	return hex;
}
