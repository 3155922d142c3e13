/* The command "godwitvale bundle check|sign|verify|diff|show". */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>
#include <string.h>

#include "godwitvale/ops/bundle.h"
#include "godwitvale/ops/bundle_table.h"
#include "godwitvale/ops/keys.h"

/// Parses a public key in hexadecimal; prints a message on failure.
///
/// @param hex  the hex digits
/// @param key  receives the key
/// @return false when hex is not a public key
static bool
read_public_key(const char *hex, uint8_t key[KEYS_PUBLIC_BYTES])
{
	if (json_parse_hex(hex, key, KEYS_PUBLIC_BYTES))
		return true;
	fprintf(stderr, "bundle: a public key must have %d hex digits\n",
	    2 * KEYS_PUBLIC_BYTES);
	return false;
}

/// Loads a bundle from a file; prints a message on failure.
///
/// @param path        file of the bundle
/// @param public_hex  hex digits of the public key that the signature must
///                    match, or NULL for an unsigned bundle
/// @param bundle      receives the bundle; free with bundle_free()
/// @return CMD_OK, or the exit status of the failure
static int
load_bundle(const char *path, const char *public_hex, struct bundle **bundle)
{
	uint8_t key[KEYS_PUBLIC_BYTES];
	GError *error = NULL;
	char *text;
	gsize len;

	if (public_hex != NULL && !read_public_key(public_hex, key))
		return CMD_USAGE;
	if (!g_file_get_contents(path, &text, &len, &error)) {
		cmd_report_error(NULL, error);
		return CMD_REFUSED;
	}
	*bundle = public_hex ? bundle_verify(text, len, key, &error)
			     : bundle_parse(text, len, &error);
	g_free(text);
	if (*bundle == NULL) {
		cmd_report_error(path, error);
		return CMD_REFUSED;
	}
	return CMD_OK;
}

/// Prints the fields of a struct on one line, without lists and secrets.
///
/// @param table  describes the fields
/// @param item   the struct
static void
print_item(const struct json_table *table, const void *item)
{
	printf("%s", table->name);
	for (size_t i = 0; i < table->n_options; i++) {
		const struct json_option *option = &table->options[i];
		char *text;

		if (option->type == JSON_LIST || option->secret)
			continue;
		text = json_option_to_text(option, item);
		printf(" %s=%s", option->path, text);
		g_free(text);
	}
	putchar('\n');
}

/// Prints a bundle, one line per item.
static void
print_bundle(const struct bundle *bundle)
{
	print_item(&bundle_table, bundle);
	for (size_t i = 0; i < bundle_table.n_options; i++) {
		const struct json_option *option = &bundle_table.options[i];
		const GPtrArray *items;

		if (option->type != JSON_LIST)
			continue;
		items = *(
		    GPtrArray *const *)((const char *)bundle + option->offset);
		for (guint j = 0; j < items->len; j++)
			print_item(option->item_table, items->pdata[j]);
	}
}

/// Runs `bundle check`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
static int
check_bundle(int argc, char **argv)
{
	const GOptionEntry entries[] = {G_OPTION_ENTRY_NULL};
	struct bundle *bundle = NULL;
	int status = cmd_parse_options(
	    &argc, &argv, "FILE", "Checks a bundle's text.", entries, 1);

	if (status == CMD_OK)
		status = load_bundle(argv[1], NULL, &bundle);
	if (status != CMD_OK)
		return status;
	printf("%s: ok, version %" G_GUINT64_FORMAT "\n", argv[1],
	    bundle->version);
	bundle_free(bundle);
	return CMD_OK;
}

/// Signs the bundle in a file.
///
/// @param key_path  file of the key pair
/// @param path      file of the unsigned bundle
/// @param out       file for the signed bundle, or NULL for standard output
/// @return the exit status, one of enum cmd_status
static int
sign_file(const char *key_path, const char *path, const char *out)
{
	struct keys keys;
	GString *signed_text;
	GError *error = NULL;
	char *text;
	gsize len;
	int status = CMD_OK;

	if (!keys_load(&keys, key_path, &error) ||
	    !g_file_get_contents(path, &text, &len, &error)) {
		cmd_report_error(NULL, error);
		return CMD_REFUSED;
	}
	signed_text = bundle_sign(text, len, keys.secret, &error);
	g_free(text);
	if (signed_text == NULL) {
		cmd_report_error(path, error);
		return CMD_REFUSED;
	}
	if (out == NULL) {
		puts(signed_text->str);
	} else if (!g_file_set_contents(out, signed_text->str,
		       (gssize)signed_text->len, &error)) {
		cmd_report_error(NULL, error);
		status = CMD_INTERNAL;
	}
	g_string_free(signed_text, TRUE);
	return status;
}

/// Runs `bundle sign`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
static int
sign_bundle(int argc, char **argv)
{
	char *key = NULL;
	char *out = NULL;
	const GOptionEntry entries[] = {
	    {"key", 'k', 0, G_OPTION_ARG_FILENAME, &key,
		"Key file written by keygen", "FILE"},
	    {"out", 'o', 0, G_OPTION_ARG_FILENAME, &out,
		"Write to FILE instead of standard output", "FILE"},
	    G_OPTION_ENTRY_NULL,
	};
	int status = cmd_parse_options(&argc, &argv, "FILE",
	    "Checks a bundle's text and signs it.", entries, 1);

	if (status == CMD_OK && key == NULL) {
		fprintf(stderr, "bundle sign: --key is required\n");
		status = CMD_USAGE;
	}
	if (status == CMD_OK)
		status = sign_file(key, argv[1], out);
	g_free(key);
	g_free(out);
	return status;
}

/// Runs `bundle verify`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
static int
verify_bundle(int argc, char **argv)
{
	char *public_hex = NULL;
	const GOptionEntry entries[] = {
	    {"public", 'p', 0, G_OPTION_ARG_STRING, &public_hex, "Public key",
		"HEX"},
	    G_OPTION_ENTRY_NULL,
	};
	struct bundle *bundle = NULL;
	int status = cmd_parse_options(
	    &argc, &argv, "FILE", "Verifies a signed bundle.", entries, 1);

	if (status == CMD_OK && public_hex == NULL) {
		fprintf(stderr, "bundle verify: --public is required\n");
		status = CMD_USAGE;
	}
	if (status == CMD_OK)
		status = load_bundle(argv[1], public_hex, &bundle);
	g_free(public_hex);
	if (status != CMD_OK)
		return status;
	printf("%s: ok, version %" G_GUINT64_FORMAT ", signed by %s\n", argv[1],
	    bundle->version, bundle->signed_by);
	bundle_free(bundle);
	return CMD_OK;
}

/// Runs `bundle diff`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
static int
diff_bundles(int argc, char **argv)
{
	char *public_hex = NULL;
	const GOptionEntry entries[] = {
	    {"public", 'p', 0, G_OPTION_ARG_STRING, &public_hex,
		"Both files are signed; verify them with this key", "HEX"},
	    G_OPTION_ENTRY_NULL,
	};
	struct bundle *old_bundle = NULL;
	struct bundle *new_bundle = NULL;
	GString *lines;
	int status = cmd_parse_options(
	    &argc, &argv, "OLD NEW", "Prints one line per change.", entries, 2);

	if (status == CMD_OK)
		status = load_bundle(argv[1], public_hex, &old_bundle);
	if (status == CMD_OK)
		status = load_bundle(argv[2], public_hex, &new_bundle);
	if (status == CMD_OK) {
		lines = bundle_diff(old_bundle, new_bundle);
		fputs(lines->str, stdout);
		g_string_free(lines, TRUE);
	}
	bundle_free(old_bundle);
	bundle_free(new_bundle);
	g_free(public_hex);
	return status;
}

/// Runs `bundle show`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
static int
show_bundle(int argc, char **argv)
{
	char *public_hex = NULL;
	const GOptionEntry entries[] = {
	    {"public", 'p', 0, G_OPTION_ARG_STRING, &public_hex,
		"The file is signed; verify it with this key", "HEX"},
	    G_OPTION_ENTRY_NULL,
	};
	struct bundle *bundle = NULL;
	int status = cmd_parse_options(&argc, &argv, "FILE",
	    "Prints a bundle, one line per item, without tokens.", entries, 1);

	if (status == CMD_OK)
		status = load_bundle(argv[1], public_hex, &bundle);
	g_free(public_hex);
	if (status != CMD_OK)
		return status;
	print_bundle(bundle);
	bundle_free(bundle);
	return CMD_OK;
}

/// Runs `bundle`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
int
cmd_bundle(int argc, char **argv)
{
	static const struct cmd cmds[] = {
	    {"check", "check a bundle's text", check_bundle},
	    {"sign", "check a bundle's text and sign it", sign_bundle},
	    {"verify", "verify a signed bundle", verify_bundle},
	    {"diff", "compare two bundles", diff_bundles},
	    {"show", "print a bundle", show_bundle},
	};

	return cmd_dispatch(
	    "godwitvale bundle", cmds, G_N_ELEMENTS(cmds), argc, argv);
}
