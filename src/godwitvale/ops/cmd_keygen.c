/* godwitvale keygen: keys for signing bundles, and for peers. */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>

#include <sodium.h>

#include "godwitvale/ops/keys.h"
#include "godwitvale/ops/settings_defs.h"

/// Prints a new key for "keys.peer".
///
/// @return CMD_OK
static int
print_peer_key(void)
{
	uint8_t key[SETTINGS_KEY_BYTES];
	char *hex;

	g_assert(sodium_init() >= 0);
	randombytes_buf(key, sizeof(key));
	hex = keys_to_hex(key, sizeof(key));
	puts(hex);
	g_free(hex);
	return CMD_OK;
}

/// Makes a pair of keys and prints the public one.
///
/// @param path  file for both; it must not exist
/// @return CMD_OK, or CMD_INTERNAL when it can't be written
static int
write_pair(const char *path)
{
	struct keys keys;
	GError *error = NULL;
	char *hex;

	keys_generate(&keys);
	if (!keys_save(&keys, path, &error)) {
		cmd_refuse(NULL, error);
		return CMD_INTERNAL;
	}
	hex = keys_to_hex(keys.public, sizeof(keys.public));
	puts(hex);
	g_free(hex);
	return CMD_OK;
}

/// Runs `keygen`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
int
cmd_keygen(int argc, char **argv)
{
	char *out = NULL;
	gboolean peer = FALSE;
	const GOptionEntry entries[] = {
	    {"out", 'o', 0, G_OPTION_ARG_FILENAME, &out,
		"Write a key pair to a new file, print the public key", "FILE"},
	    {"peer", 'p', 0, G_OPTION_ARG_NONE, &peer,
		"Print a key for keys.peer", NULL},
	    G_OPTION_ENTRY_NULL,
	};
	int status = cmd_options(&argc, &argv, "", "Makes keys.", entries, 0);

	if (status == CMD_OK && peer == (out != NULL)) {
		fprintf(stderr, "keygen: give one of --out and --peer\n");
		status = CMD_USAGE;
	}
	if (status == CMD_OK)
		status = peer ? print_peer_key() : write_pair(out);
	g_free(out);
	return status;
}
