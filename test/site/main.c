/* The stand-in of the users' platform: site STORE_PORT ID,SERVICE,ZONE,PORT...
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/site/site.h"

/// Answers in one piece.
///
/// @param call    a call; gone afterwards
/// @param status  of the answer
/// @param body    of the answer
void
site_answer(struct http_call *call, unsigned status, const char *body)
{
	struct http_head head;

	http_head_init(&head);
	head.status = status;
	http_call_respond(call, &head, body, strlen(body));
	http_head_clear(&head);
}

/// Reads a field of a target's query.
///
/// @param target  a request's target
/// @param name    the field's name
/// @return its value, "" when it is missing; the caller frees it
char *
site_query(const char *target, const char *name)
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
	struct site_world world = {
	    .workers = g_hash_table_new(g_str_hash, g_str_equal),
	    .copies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	    .runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};

	if (argc < 2) {
		fprintf(stderr,
		    "usage: site STORE_PORT [ID,SERVICE,ZONE,PORT...]\n");
		return 64;
	}
	world.store = site_store_new(&world, (uint16_t)atoi(argv[1]));
	if (world.store == NULL)
		return 69;
	for (int i = 2; i < argc; i++)
		if (worker_new(&world, argv[i]) == NULL)
			return 69;
	printf("ready\n");
	fflush(stdout);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
