/* Stand-in for the membership list, which lags. */
#include "standin.h"

#include <stdlib.h>
#include <string.h>

/// The list as it was from one moment on.
struct revision {
	int64_t at_ms;
	uint64_t number;
	json_object *members;
};

struct members {
	struct standin base;
	GQueue revisions; /// oldest first; never empty
	int lag_ms;
};

static void
add_revision(struct members *members, json_object *list)
{
	struct revision *last = g_queue_peek_tail(&members->revisions);
	struct revision *revision = g_new0(struct revision, 1);

	revision->at_ms = standin_now_ms();
	revision->number = last != NULL ? last->number + 1 : 0;
	revision->members = list;
	g_queue_push_tail(&members->revisions, revision);
}

/// Drops what no reader can see any more.
static struct revision *
visible_revision(struct members *members)
{
	int64_t seen_ms = standin_now_ms() - members->lag_ms;

	while (members->base.fault != STANDIN_FAULT_STALE &&
	    members->revisions.length > 1) {
		struct revision *next =
		    g_queue_peek_nth(&members->revisions, 1);
		struct revision *first = NULL;

		if (next->at_ms > seen_ms)
			break;
		first = g_queue_pop_head(&members->revisions);
		json_object_put(first->members);
		g_free(first);
	}
	return g_queue_peek_head(&members->revisions);
}

static void
request(struct standin *standin, SoupServerMessage *message)
{
	struct members *members = (struct members *)standin;
	struct revision *revision = visible_revision(members);
	int64_t after = standin_query_number(message, "after", -1);
	json_object *object;

	if (after >= 0 && (uint64_t)after == revision->number) {
		standin_answer(message, SOUP_STATUS_NOT_MODIFIED, NULL, "", 0);
		return;
	}
	object = json_object_new_object();

	json_object_object_add(
	    object, "revision", json_object_new_uint64(revision->number));
	json_object_object_add(
	    object, "members", json_object_get(revision->members));
	standin_answer_json(message, SOUP_STATUS_OK, object);
}

static bool
control(struct standin *standin, SoupServerMessage *message, const char *path,
    json_object *body)
{
	struct members *members = (struct members *)standin;
	json_object *list = body;

	(void)message;
	if (strcmp(path, "/control/members") != 0)
		return false;
	if (json_object_is_type(body, json_type_object))
		json_object_object_get_ex(body, "members", &list);
	if (!json_object_is_type(list, json_type_array))
		return false;
	visible_revision(members);
	add_revision(members, json_object_get(list));
	return true;
}

static void
stats(struct standin *standin, json_object *object)
{
	struct members *members = (struct members *)standin;
	struct revision *last = g_queue_peek_tail(&members->revisions);

	json_object_object_add(
	    object, "revision", json_object_new_uint64(last->number));
}

int
members_main(int argc, char **argv)
{
	static const struct standin_kind kind = {
	    .request = request, .control = control, .stats = stats};
	static struct members members = {
	    .base = {.kind = &kind}, .revisions = G_QUEUE_INIT};
	static char *listen = NULL;
	const GOptionEntry entries[] = {
	    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address",
		"IP:PORT"},
	    {"lag-ms", 0, 0, G_OPTION_ARG_INT, &members.lag_ms,
		"Age of the list that is served", "MS"},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};

	if (!standin_parse(argc, argv, entries, "membership list") ||
	    listen == NULL)
		return EXIT_FAILURE;
	add_revision(&members, json_object_new_array());
	return standin_run(&members.base, listen);
}
