/* godwitvale bundle check|sign|verify|diff|show. */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>
#include <string.h>

#include "godwitvale/ops/bundle.h"
#include "godwitvale/ops/bundle_table.h"
#include "godwitvale/ops/keys.h"

/// Reads a public key written as hex digits.
///
/// @param hex  the digits
/// @param key  filled in
/// @return false after a message
static bool
read_public_key(const char *hex, uint8_t key[KEYS_PUBLIC_BYTES])
{
	if (json_parse_hex(hex, key, KEYS_PUBLIC_BYTES))
		return true;
	fprintf(stderr, "bundle: a public key has %d hex digits\n",
	    2 * KEYS_PUBLIC_BYTES);
	return false;
}

/// Reads a bundle from a file.
///
/// @param path    the file
/// @param public  hex of the key that its signature must match, or NULL for
///                a bundle's plain text
/// @param bundle  set
/// @return CMD_OK, or the status to end with, after a message
static int
load_bundle(const char *path, const char *public, struct bundle **bundle)
{
	uint8_t key[KEYS_PUBLIC_BYTES];
	GError *error = NULL;
	char *text;
	gsize len;

	if (public != NULL && !read_public_key(public, key))
		return CMD_USAGE;
	if (!g_file_get_contents(path, &text, &len, &error)) {
		cmd_refuse(NULL, error);
		return CMD_REFUSED;
	}
	*bundle = public ? bundle_verify(text, len, key, &error)
			 : bundle_parse(text, len, &error);
	g_free(text);
	if (*bundle == NULL) {
		cmd_refuse(path, error);
		return CMD_REFUSED;
	}
	return CMD_OK;
}

/// Prints a struct's fields on one line; secrets are left out.
///
/// @param table  its options
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

/// Prints a bundle, one line an item.
///
/// @param bundle  the bundle
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
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
static int
check_bundle(int argc, char **argv)
{
	const GOptionEntry entries[] = {G_OPTION_ENTRY_NULL};
	struct bundle *bundle = NULL;
	int status = cmd_options(
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
/// @param key_path  file of the keys
/// @param path      file of the bundle's text
/// @param out       file for the signed form, or NULL for standard output
/// @return one of enum cmd_status
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
		cmd_refuse(NULL, error);
		return CMD_REFUSED;
	}
	signed_text = bundle_sign(text, len, keys.secret, &error);
	g_free(text);
	if (signed_text == NULL) {
		cmd_refuse(path, error);
		return CMD_REFUSED;
	}
	if (out == NULL) {
		puts(signed_text->str);
	} else if (!g_file_set_contents(out, signed_text->str,
		       (gssize)signed_text->len, &error)) {
		cmd_refuse(NULL, error);
		status = CMD_INTERNAL;
	}
	g_string_free(signed_text, TRUE);
	return status;
}

/// Runs `bundle sign`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
static int
sign_bundle(int argc, char **argv)
{
	char *key = NULL;
	char *out = NULL;
	const GOptionEntry entries[] = {
	    {"key", 'k', 0, G_OPTION_ARG_FILENAME, &key, "File made by keygen",
		"FILE"},
	    {"out", 'o', 0, G_OPTION_ARG_FILENAME, &out,
		"Write here in place of standard output", "FILE"},
	    G_OPTION_ENTRY_NULL,
	};
	int status = cmd_options(&argc, &argv, "FILE",
	    "Checks a bundle's text and signs it.", entries, 1);

	if (status == CMD_OK && key == NULL) {
		fprintf(stderr, "bundle sign: --key is needed\n");
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
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
static int
verify_bundle(int argc, char **argv)
{
	char *public = NULL;
	const GOptionEntry entries[] = {
	    {"public", 'p', 0, G_OPTION_ARG_STRING, &public, "Public key",
		"HEX"},
	    G_OPTION_ENTRY_NULL,
	};
	struct bundle *bundle = NULL;
	int status = cmd_options(
	    &argc, &argv, "FILE", "Verifies a signed bundle.", entries, 1);

	if (status == CMD_OK && public == NULL) {
		fprintf(stderr, "bundle verify: --public is needed\n");
		status = CMD_USAGE;
	}
	if (status == CMD_OK)
		status = load_bundle(argv[1], public, &bundle);
	g_free(public);
	if (status != CMD_OK)
		return status;
	printf("%s: ok, version %" G_GUINT64_FORMAT ", signed by %s\n", argv[1],
	    bundle->version, bundle->signed_by);
	bundle_free(bundle);
	return CMD_OK;
}

/// Runs `bundle diff`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
static int
diff_bundles(int argc, char **argv)
{
	char *public = NULL;
	const GOptionEntry entries[] = {
	    {"public", 'p', 0, G_OPTION_ARG_STRING, &public,
		"Both files are signed; verify them by this key", "HEX"},
	    G_OPTION_ENTRY_NULL,
	};
	struct bundle *old = NULL;
	struct bundle *later = NULL;
	GString *lines;
	int status = cmd_options(
	    &argc, &argv, "OLD NEW", "Prints one line a change.", entries, 2);

	if (status == CMD_OK)
		status = load_bundle(argv[1], public, &old);
	if (status == CMD_OK)
		status = load_bundle(argv[2], public, &later);
	if (status == CMD_OK) {
		lines = bundle_diff(old, later);
		fputs(lines->str, stdout);
		g_string_free(lines, TRUE);
	}
	bundle_free(old);
	bundle_free(later);
	g_free(public);
	return status;
}

/// Runs `bundle show`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
static int
show_bundle(int argc, char **argv)
{
	char *public = NULL;
	const GOptionEntry entries[] = {
	    {"public", 'p', 0, G_OPTION_ARG_STRING, &public,
		"The file is signed; verify it by this key", "HEX"},
	    G_OPTION_ENTRY_NULL,
	};
	struct bundle *bundle = NULL;
	int status = cmd_options(&argc, &argv, "FILE",
	    "Prints a bundle, one line an item, without tokens.", entries, 1);

	if (status == CMD_OK)
		status = load_bundle(argv[1], public, &bundle);
	g_free(public);
	if (status != CMD_OK)
		return status;
	print_bundle(bundle);
	bundle_free(bundle);
	return CMD_OK;
}

/// Runs `bundle`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
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
