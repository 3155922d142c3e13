/*
 * Main program of the simulated platform for functional tests.
 * Usage: site STORE_PORT [ID,SERVICE,ZONE,PORT[,ANNOUNCED_PORT]]...
 * A worker whose specification begins with "raw:" writes raw answers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/site/site.h"

/// Sends a complete response.
///
/// @param call    call to respond to; invalid afterwards
/// @param status  HTTP status of the response
/// @param body    body of the response, NUL-terminated
void
site_send_response(struct http_call *call, unsigned status, const char *body)
{
	struct http_head head;

	http_head_init(&head);
	head.status = status;
	http_call_respond(call, &head, body, strlen(body));
	http_head_clear(&head);
}

/// Reads a field of the query in a request target.
///
/// @param target  request target, with or without a query
/// @param name    name of the field
/// @return the unescaped value, or "" when the field is missing; the caller
///     frees it
char *
site_get_query_field(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	char **fields = g_strsplit(query == NULL ? "" : query + 1, "&", -1);
	char *value = NULL;

	for (char **field = fields; *field != NULL && value == NULL; field++)
		if (g_str_has_prefix(*field, name) &&
		    (*field)[strlen(name)] == '=')
			value = g_uri_unescape_string(
			    *field + strlen(name) + 1, NULL);
	g_strfreev(fields);
	return value == NULL ? g_strdup("") : value;
}

int
main(int argc, char **argv)
{
	struct site_state site = {
	    .workers = g_hash_table_new(g_str_hash, g_str_equal),
	    .raw_workers = g_hash_table_new(g_str_hash, g_str_equal),
	    .copies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	    .runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};

	if (argc < 2) {
		fprintf(stderr,
		    "usage: site STORE_PORT "
		    "[ID,SERVICE,ZONE,PORT[,ANNOUNCED_PORT]]...\n");
		return 64;
	}
	site.store = site_store_new(&site, (uint16_t)atoi(argv[1]));
	if (site.store == NULL)
		return 69;
	for (int i = 2; i < argc; i++) {
		bool raw = g_str_has_prefix(argv[i], "raw:");

		if (raw &&
		    raw_worker_new(&site, argv[i] + strlen("raw:")) == NULL)
			return 69;
		if (!raw && worker_new(&site, argv[i]) == NULL)
			return 69;
	}
	printf("ready\n");
	fflush(stdout);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
