/* Unit tests of the sub-commands: their exit statuses and output. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>

#include "godwitvale/ops/cmd.h"

/// Function that runs a sub-command.
typedef int (*cmd_run)(int argc, char **argv);

/// Paths of the operator address, and the responses of the test's server.
static const char *const responses[][2] = {
    {"/status", "{\"instance\": \"e1\", \"zones\": [{\"name\": \"bilbao\"}]}"},
    {"/audit",
	"[{\"when\": \"T\", \"kind\": \"zone\", \"subject\": \"bilbao\", "
	"\"version\": 2, \"who\": \"me\", \"detail\": \"in -> out\"}]"},
    {"/metrics", "godwitvale_requests_total 1\n"},
};

/// Runs a command line. Captures its standard output in *printed, unless
/// printed is NULL.
///
/// @return the exit status
static int
run_command(cmd_run cmd, const char *line, char **printed)
{
	FILE *file = tmpfile();
	int saved = dup(STDOUT_FILENO);
	char text[65536];
	char **argv;
	int argc;
	int status;

	assert_true(g_shell_parse_argv(line, &argc, &argv, NULL));
	char **argv_copy = g_memdup2(argv, sizeof(*argv) * ((size_t)argc + 1));

	fflush(stdout);
	dup2(fileno(file), STDOUT_FILENO);
	status = cmd(argc, argv_copy);
	fflush(stdout);
	dup2(saved, STDOUT_FILENO);
	close(saved);
	rewind(file);
	text[fread(text, 1, sizeof(text) - 1, file)] = '\0';
	fclose(file);
	if (printed != NULL)
		*printed = g_strdup(text);
	g_free(argv_copy);
	g_strfreev(argv);
	return status;
}

/// Runs a command line that is given as a printf format.
///
/// @return the exit status
static int
run_format(cmd_run cmd, const char *format, ...)
{
	va_list arguments;
	char *line;
	int status;

	va_start(arguments, format);
	line = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	status = run_command(cmd, line, NULL);
	g_free(line);
	return status;
}

static void
check_and_usage_exit_statuses(void **state)
{
	(void)state;
	assert_int_equal(
	    run_command(cmd_check, "check examples/settings.json", NULL),
	    CMD_OK);
	assert_int_equal(run_command(cmd_check,
			     "check examples/bundle-trituranor.json", NULL),
	    CMD_REFUSED);
	assert_int_equal(
	    run_command(cmd_check, "check nothing", NULL), CMD_REFUSED);
	assert_int_equal(run_command(cmd_check, "check", NULL), CMD_USAGE);
	assert_int_equal(
	    run_command(cmd_check, "check --what", NULL), CMD_USAGE);
	assert_int_equal(
	    run_command(cmd_check, "check --explain", NULL), CMD_OK);
	assert_int_equal(run_command(cmd_version, "version", NULL), CMD_OK);
	assert_int_equal(run_command(cmd_bundle, "bundle", NULL), CMD_USAGE);
	assert_int_equal(
	    run_command(cmd_bundle, "bundle what", NULL), CMD_USAGE);
	assert_int_equal(
	    run_command(cmd_bundle, "bundle --help", NULL), CMD_OK);
	assert_int_equal(run_command(cmd_bundle,
			     "bundle check examples/settings.json", NULL),
	    CMD_REFUSED);
}

static void
keygen_never_overwrites_keys(void **state)
{
	char *folder = g_dir_make_tmp("godwitvale-XXXXXX", NULL);
	char *path = g_build_filename(folder, "keys", NULL);
	char *before;
	char *after;
	char *printed;
	GStatBuf info;

	(void)state;
	assert_int_equal(run_command(cmd_keygen, "keygen", NULL), CMD_USAGE);
	assert_int_equal(
	    run_format(cmd_keygen, "keygen --peer --out %s", path), CMD_USAGE);
	assert_int_equal(
	    run_command(cmd_keygen, "keygen --peer", &printed), CMD_OK);
	assert_int_equal(strlen(printed), 65);
	assert_int_equal(
	    run_format(cmd_keygen, "keygen --out %s", path), CMD_OK);
	assert_int_equal(g_stat(path, &info), 0);
	assert_int_equal(info.st_mode & 0777, 0600);
	g_file_get_contents(path, &before, NULL, NULL);
	assert_int_equal(
	    run_format(cmd_keygen, "keygen --out %s", path), CMD_INTERNAL);
	g_file_get_contents(path, &after, NULL, NULL);
	assert_string_equal(before, after);
	g_unlink(path);
	g_rmdir(folder);
	g_free(printed);
	g_free(before);
	g_free(after);
	g_free(path);
	g_free(folder);
}

static void
bundle_signs_and_verifies(void **state)
{
	char *folder = g_dir_make_tmp("godwitvale-XXXXXX", NULL);
	char *keys = g_build_filename(folder, "keys", NULL);
	char *out = g_build_filename(folder, "signed", NULL);
	char *line = g_strdup_printf("keygen --out %s", keys);
	char *hex;
	char *printed;

	(void)state;
	assert_int_equal(run_command(cmd_keygen, line, &hex), CMD_OK);
	g_strchomp(hex);
	assert_int_equal(run_format(cmd_bundle,
			     "bundle sign --key %s --out %s "
			     "examples/bundle-trituranor.json",
			     keys, out),
	    CMD_OK);
	assert_int_equal(
	    run_format(cmd_bundle, "bundle verify --public %s %s", hex, out),
	    CMD_OK);
	g_free(line);
	line = g_strdup_printf("bundle show --public %s %s", hex, out);
	assert_int_equal(run_command(cmd_bundle, line, &printed), CMD_OK);
	assert_non_null(strstr(printed, "\nzone name=bilbao region=norte"));
	assert_null(strstr(printed, "example-token"));
	hex[0] = hex[0] == '0' ? '1' : '0';
	assert_int_equal(
	    run_format(cmd_bundle, "bundle verify --public %s %s", hex, out),
	    CMD_REFUSED);
	assert_int_equal(
	    run_format(cmd_bundle, "bundle verify %s", out), CMD_USAGE);
	assert_int_equal(
	    run_format(cmd_bundle, "bundle verify --public 00 %s", out),
	    CMD_USAGE);
	g_unlink(keys);
	g_unlink(out);
	g_rmdir(folder);
	g_free(printed);
	g_free(hex);
	g_free(line);
	g_free(out);
	g_free(keys);
	g_free(folder);
}

static void
handle_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	(void)server;
	(void)query;
	(void)data;
	soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(responses); i++) {
		if (strcmp(responses[i][0], path) != 0)
			continue;
		soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
		soup_server_message_set_response(message, "text/plain",
		    SOUP_MEMORY_STATIC, responses[i][1],
		    strlen(responses[i][1]));
	}
}

/// Runs the server in a separate thread, because the commands block.
static gpointer
run_server(gpointer data)
{
	GMainContext *context = g_main_loop_get_context(data);

	g_main_context_push_thread_default(context);
	g_main_loop_run(data);
	g_main_context_pop_thread_default(context);
	return NULL;
}

static gboolean
quit_loop(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_REMOVE;
}

static void
operator_commands_print_responses(void **state)
{
	static const struct {
		cmd_run cmd;
		const char *printed;
	} cases[] = {
	    {cmd_status, "instance: e1\nzones[0].name: bilbao\n"},
	    {cmd_audit, "T zone bilbao 2 me in -> out \n"},
	    {cmd_metrics, "godwitvale_requests_total 1\n"},
	};
	GMainContext *context = g_main_context_new();
	GMainLoop *loop = g_main_loop_new(context, FALSE);
	SoupServer *server;
	GSList *uris;
	GThread *thread;
	char *line;

	(void)state;
	g_main_context_push_thread_default(context);
	server = soup_server_new(NULL, NULL);
	soup_server_add_handler(server, NULL, handle_request, NULL, NULL);
	assert_true(soup_server_listen_local(
	    server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(server);
	line = g_strdup_printf("ask 127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	g_main_context_pop_thread_default(context);
	thread = g_thread_new("server", run_server, loop);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *printed;

		assert_int_equal(
		    run_command(cases[i].cmd, line, &printed), CMD_OK);
		assert_string_equal(printed, cases[i].printed);
		g_free(printed);
	}
	g_main_context_invoke(context, quit_loop, loop);
	g_thread_join(thread);
	soup_server_disconnect(server);
	assert_int_equal(run_command(cmd_status, line, NULL), CMD_UNAVAILABLE);
	assert_int_equal(
	    run_command(cmd_status, "status localhost:1", NULL), CMD_USAGE);
	g_object_unref(server);
	g_main_loop_unref(loop);
	g_main_context_unref(context);
	g_free(line);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(check_and_usage_exit_statuses),
	    cmocka_unit_test(keygen_never_overwrites_keys),
	    cmocka_unit_test(bundle_signs_and_verifies),
	    cmocka_unit_test(operator_commands_print_responses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
