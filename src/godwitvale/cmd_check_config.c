/*
 * `godwitvale check-config`: checks a configuration of the platform before it
 * is rolled out.
 */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <gio/gio.h>

#include "godwitvale/core/config_check.h"
#include "godwitvale/core/config_compare.h"
#include "godwitvale/core/deployment.h"
#include "godwitvale/entry/entry_settings.h"
#include "godwitvale/ops/cmd.h"
#include "godwitvale/ops/config_report.h"
#include "platform/platform.h"

/// Longest configuration that the store holds, in bytes.
#define CONFIG_BYTES_MAX (1024 * 1024)
/// Longest saved page of the store, in bytes: a configuration in base64, and
/// entries of upstreams.
#define STORE_PAGE_BYTES_MAX (16 * 1024 * 1024)

/// Options of the command.
struct options {
	char *in_force;
	char *settings;
	char **store;
	char *format;
	bool wants_json;
};

/// A configuration that was read from a file.
struct config_file {
	char *text;
	size_t len;
	struct deployment *deployment; /// NULL: instances reject it
};

/// Upstreams and evacuated zones of the store.
struct store_items {
	GPtrArray *upstreams;  /// struct upstream_entry *
	GHashTable *evacuated; /// set of names of zones
};

/// Reads a file up to a number of bytes.
///
/// @param path   path of the file
/// @param max    bytes that are read
/// @param len    set to the number of bytes read; above `max` for a longer file
/// @param error  set when the file can't be read
/// @return the bytes, owned by the caller, or NULL with error set
static char *
read_file(const char *path, size_t max, size_t *len, GError **error)
{
	FILE *file = fopen(path, "rb");
	char *text;

	if (file == NULL) {
		g_set_error(error, G_IO_ERROR, g_io_error_from_errno(errno),
		    "%s", g_strerror(errno));
		return NULL;
	}
	text = g_malloc(max + 1);
	*len = fread(text, 1, max + 1, file);
	if (ferror(file)) {
		g_set_error(error, G_IO_ERROR, g_io_error_from_errno(errno),
		    "%s", g_strerror(errno));
		g_clear_pointer(&text, g_free);
	}
	fclose(file);
	return text;
}

/// Sets the places of the findings on one file.
static void
locate_findings(const struct config_file *file, bool in_force,
    struct config_findings *findings)
{
	for (int i = 0; i <= CONFIG_ERROR; i++)
		for (guint j = 0; j < findings->kept[i]->len; j++) {
			struct config_finding *finding =
			    findings->kept[i]->pdata[j];

			if (finding->in_force == in_force)
				platform_site()->locate_finding(
				    file->text, file->len, finding);
		}
}

/// Reads and parses a configuration.
///
/// @param findings  receives the findings of the parser
/// @return CMD_OK, or CMD_UNAVAILABLE after a message
static int
load_config(const char *path, struct config_file *file,
    struct config_findings *findings)
{
	GError *error = NULL;
	struct config_finding *finding;

	file->text = read_file(path, CONFIG_BYTES_MAX, &file->len, &error);
	if (file->text == NULL) {
		cmd_report_error(path, error);
		return CMD_UNAVAILABLE;
	}
	if (file->len <= CONFIG_BYTES_MAX) {
		file->deployment = platform_site()->check_config(
		    file->text, file->len, findings);
		return CMD_OK;
	}
	finding = config_findings_add(findings, CONFIG_TOO_LONG, NULL);
	finding->before = g_strdup_printf("%d", CONFIG_BYTES_MAX);
	finding->path = g_strdup("");
	file->len = 0;
	return CMD_OK;
}

/// Adds the reason why the configuration in force can't be read.
///
/// @param own  findings on the configuration in force
static void
note_unreadable(
    const struct config_findings *own, struct config_findings *findings)
{
	const GPtrArray *errors = own->kept[CONFIG_ERROR];
	struct config_finding *finding =
	    config_findings_add(findings, CONFIG_UNREADABLE, NULL);

	if (finding == NULL)
		return;
	finding->in_force = true;
	for (guint i = 0; i < errors->len; i++) {
		const struct config_finding *cause = errors->pdata[i];

		if (cause->kind != CONFIG_UNREADABLE &&
		    cause->kind != CONFIG_TOO_LONG)
			continue;
		finding->kind = cause->kind;
		finding->path = g_strdup(cause->path);
		finding->before = g_strdup(cause->before);
		finding->line = cause->line;
		finding->column = cause->column;
		return;
	}
}

/// Reads the configuration in force. Of its findings, only those that keep
/// instances from reading it matter here.
///
/// @return CMD_OK, or CMD_UNAVAILABLE after a message
static int
load_in_force(const char *path, struct config_file *file,
    struct config_findings *findings)
{
	struct config_findings *own = config_findings_new();
	int status = load_config(path, file, own);

	locate_findings(file, false, own);
	if (status == CMD_OK && file->deployment == NULL)
		note_unreadable(own, findings);
	config_findings_free(own);
	return status;
}

/// Frees the contents of a file.
static void
clear_config(struct config_file *file)
{
	deployment_unref(file->deployment);
	g_free(file->text);
}

/// Notes an item of the store: an upstream or an evacuated zone.
static void
note_item(struct store_items *items, const struct site_item *item)
{
	struct upstream_entry *entry;
	const char *text;
	gsize len;

	if (item->value == NULL)
		return;
	if (item->kind == SITE_ITEM_EVACUATION)
		g_hash_table_add(items->evacuated, g_strdup(item->name));
	if (item->kind != SITE_ITEM_UPSTREAM)
		return;
	text = g_bytes_get_data(item->value, &len);
	entry = platform_site()->read_upstream(item->name, text, len, NULL);
	if (entry != NULL)
		g_ptr_array_add(items->upstreams, entry);
}

/// Reads a saved page of the store.
///
/// @param has_more  set to whether another page follows
/// @return CMD_OK, or another status after a message
static int
load_store_page(const char *path, struct store_items *items, bool *has_more)
{
	GError *error = NULL;
	struct site_reply *reply = NULL;
	size_t len;
	char *text = read_file(path, STORE_PAGE_BYTES_MAX, &len, &error);

	if (text == NULL) {
		cmd_report_error(path, error);
		return CMD_UNAVAILABLE;
	}
	if (len <= STORE_PAGE_BYTES_MAX)
		reply = platform_site()->read_reply(text, len, &error);
	g_free(text);
	if (reply == NULL) {
		fprintf(stderr, "%s: not a page of the store: %s\n", path,
		    error == NULL ? "too long" : error->message);
		g_clear_error(&error);
		return CMD_REFUSED;
	}
	for (guint i = 0; i < reply->items->len; i++)
		note_item(items, reply->items->pdata[i]);
	*has_more = reply->has_more;
	site_reply_free(reply);
	return CMD_OK;
}

/// Frees an upstream's entry (struct upstream_entry *).
static void
free_entry(void *data)
{
	site_entry_free(data);
}

/// Reads all saved pages of the store.
///
/// @return CMD_OK, or another status after a message
static int
load_store(char **paths, struct store_items *items)
{
	bool has_more = false;
	int status = CMD_OK;

	items->upstreams = g_ptr_array_new_with_free_func(free_entry);
	items->evacuated =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; paths[i] != NULL && status == CMD_OK; i++)
		status = load_store_page(paths[i], items, &has_more);
	if (status != CMD_OK || !has_more)
		return status;
	fprintf(stderr,
	    "check-config: another page of the store follows the last one\n");
	return CMD_USAGE;
}

/// Reads what the configuration is checked against.
///
/// @return CMD_OK, or another status after a message
static int
load_surroundings(const struct options *options, struct store_items *items,
    struct config_surroundings *surroundings)
{
	struct entry_settings *settings;
	GError *error = NULL;
	int status = CMD_OK;

	if (options->store != NULL)
		status = load_store(options->store, items);
	surroundings->upstreams = items->upstreams;
	surroundings->evacuated = items->evacuated;
	if (status != CMD_OK || options->settings == NULL)
		return status;
	settings = entry_settings_load(options->settings, &error);
	if (settings == NULL) {
		cmd_report_error(options->settings, error);
		return CMD_REFUSED;
	}
	surroundings->has_memory = true;
	surroundings->memory_mb = settings->memory_mb;
	surroundings->caller_memory_mb = settings->caller_memory_mb;
	surroundings->socket_memory_mb = settings->socket_memory_mb;
	entry_settings_free(settings);
	return CMD_OK;
}

/// Prints the findings.
///
/// @return exit status by the most severe one
static int
print_report(const struct options *options, const struct config_report *report)
{
	GString *out = options->wants_json ? config_report_json(report)
					   : config_report_text(report);

	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	if (report->findings->counts[CONFIG_ERROR] > 0)
		return CMD_REFUSED;
	return report->findings->counts[CONFIG_WARNING] > 0 ? CMD_WARNINGS
							    : CMD_OK;
}

/// Checks a configuration and prints the findings.
///
/// @param path  file of the configuration
/// @return the exit status, one of enum cmd_status
static int
check_file(const char *path, const struct options *options)
{
	struct config_findings *findings = config_findings_new();
	struct config_surroundings surroundings = {0};
	struct store_items items = {0};
	struct config_file checked = {0};
	struct config_file in_force = {0};
	struct config_report report = {
	    .file = path,
	    .in_force_file = options->in_force,
	    .findings = findings,
	    .config_path = platform_site()->config_path,
	};
	int status = load_surroundings(options, &items, &surroundings);

	if (status == CMD_OK)
		status = load_config(path, &checked, findings);
	if (status == CMD_OK && options->in_force != NULL)
		status = load_in_force(options->in_force, &in_force, findings);
	if (status == CMD_OK && checked.deployment != NULL) {
		report.version = checked.deployment->version;
		config_check(checked.deployment, &surroundings, findings);
		if (in_force.deployment != NULL)
			config_compare(
			    in_force.deployment, checked.deployment, findings);
	}
	if (status == CMD_OK) {
		locate_findings(&checked, false, findings);
		locate_findings(&in_force, true, findings);
		status = print_report(options, &report);
	}
	clear_config(&checked);
	clear_config(&in_force);
	g_clear_pointer(&items.upstreams, g_ptr_array_unref);
	g_clear_pointer(&items.evacuated, g_hash_table_unref);
	config_findings_free(findings);
	return status;
}

/// Runs `check-config`.
///
/// @param argc  number of elements in argv
/// @param argv  arguments, from the name of the command on
/// @return one of enum cmd_status
int
cmd_check_config(int argc, char **argv)
{
	struct options options = {0};
	const GOptionEntry entries[] = {
	    {"in-force", 'i', 0, G_OPTION_ARG_FILENAME, &options.in_force,
		"Report the differences from the configuration in force",
		"FILE"},
	    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options.settings,
		"Check limits against the memory in an instance's settings",
		"FILE"},
	    {"store", 'u', 0, G_OPTION_ARG_FILENAME_ARRAY, &options.store,
		"Check routes against the upstreams and the evacuated zones in "
		"a saved page of the store; once for each page",
		"FILE"},
	    {"format", 'f', 0, G_OPTION_ARG_STRING, &options.format,
		"Format of the report, text or json; default: text", "FORMAT"},
	    G_OPTION_ENTRY_NULL,
	};
	int status = cmd_parse_options(&argc, &argv, "FILE",
	    "Checks a configuration of the platform before its rollout. Exit "
	    "status: 0 no findings, 1 warnings, 2 errors.",
	    entries, 1);

	options.wants_json = g_strcmp0(options.format, "json") == 0;
	if (status == CMD_OK && options.format != NULL && !options.wants_json &&
	    strcmp(options.format, "text") != 0) {
		fprintf(stderr, "check-config: --format is text or json\n");
		status = CMD_USAGE;
	}
	if (status == CMD_OK)
		status = check_file(argv[1], &options);
	g_free(options.in_force);
	g_free(options.settings);
	g_strfreev(options.store);
	g_free(options.format);
	return status;
}
