/*
 * The command "godwitvale keygen": generates key pairs that sign bundles, and
 * the key that instances share.
 */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>

#include <sodium.h>

#include "godwitvale/ops/keys.h"
#include "godwitvale/ops/settings_defs.h"

/// Generates a key for the setting "keys.peer" and prints it.
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

/// Generates a key pair, writes it to a file and prints the public key.
///
/// @param path  the file, which must not exist yet
/// @return CMD_OK, or CMD_INTERNAL when the file cannot be written
static int
write_key_pair(const char *path)
{
	struct keys keys;
	GError *error = NULL;
	char *hex;

	keys_generate(&keys);
	if (!keys_save(&keys, path, &error)) {
		cmd_report_error(NULL, error);
		return CMD_INTERNAL;
	}
	hex = keys_to_hex(keys.public, sizeof(keys.public));
	puts(hex);
	g_free(hex);
	return CMD_OK;
}

/// Runs `keygen`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
int
cmd_keygen(int argc, char **argv)
{
	char *out = NULL;
	gboolean peer = FALSE;
	const GOptionEntry entries[] = {
	    {"out", 'o', 0, G_OPTION_ARG_FILENAME, &out,
		"Write a key pair to a new file and print the public key",
		"FILE"},
	    {"peer", 'p', 0, G_OPTION_ARG_NONE, &peer,
		"Print a key for keys.peer", NULL},
	    G_OPTION_ENTRY_NULL,
	};
	int status =
	    cmd_parse_options(&argc, &argv, "", "Generates keys.", entries, 0);

	if (status == CMD_OK && peer == (out != NULL)) {
		fprintf(stderr,
		    "keygen: exactly one of --out and --peer is required\n");
		status = CMD_USAGE;
	}
	if (status == CMD_OK)
		status = peer ? print_peer_key() : write_key_pair(out);
	g_free(out);
	return status;
}
