/* Key files: an ed25519 key pair for signing bundles. */
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
	.doc = "signs bundles"},
    {.path = "public",
	.type = JSON_HEX,
	.offset = offsetof(struct keys, public),
	.max = KEYS_PUBLIC_BYTES,
	.doc = "verifies bundles; goes into keys.bundle"},
};

static const struct json_table keys_table = {
    .name = "keys",
    .size = sizeof(struct keys),
    .options = keys_options,
    .n_options = G_N_ELEMENTS(keys_options),
};

/// Writes a text to a file that must not exist, readable by its owner only.
///
/// @param path  the file
/// @param text  the text
/// @return false with errno set
static bool
write_new_file(const char *path, const char *text)
{
	size_t left = strlen(text);
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
	int saved = 0;

	if (fd < 0)
		return false;
	while (left > 0 && saved == 0) {
		ssize_t n = write(fd, text, left);

		if (n < 0 && errno != EINTR)
			saved = errno;
		if (n <= 0)
			continue;
		text += n;
		left -= (size_t)n;
	}
	if (close(fd) != 0 && saved == 0)
		saved = errno;
	errno = saved;
	return saved == 0;
}

/// Makes a new pair of keys.
///
/// @param keys  filled in
void
keys_generate(struct keys *keys)
{
	g_assert(sodium_init() >= 0);
	crypto_sign_keypair(keys->public, keys->secret);
}

/// Writes keys to a new file of mode 0600.
///
/// @param keys   the keys
/// @param path   a file that does not exist
/// @param error  set to KEYS_ERROR_WRITE when it can't be written
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

/// Reads keys from a file.
///
/// @param keys   filled in
/// @param path   the file
/// @param error  set to one of enum keys_error when refused
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
	ok = json_document_open(
		 &document, text, len, KEYS_ERROR, KEYS_ERROR_INVALID, error) &&
	    json_table_read(&keys_table, &document, keys, error);
	json_document_close(&document);
	sodium_memzero(text, len);
	g_free(text);
	if (!ok)
		g_prefix_error(error, "%s: ", path);
	return ok;
}

/// Writes bytes as hex digits.
///
/// @param bytes  the bytes
/// @param n      their count
/// @return a text to be freed
char *
keys_to_hex(const uint8_t *bytes, size_t n)
{
	size_t size = 2 * n + 1;
	char *hex = g_malloc(size);

	sodium_bin2hex(hex, size, bytes, n);
	return hex;
}
