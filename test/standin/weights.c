/* Stand-in for the weight store: opaque bytes under a rate limit. */
#include "standin.h"

#include <stdlib.h>

struct weights {
	struct standin base;
	struct standin_rate rate;
	int size;
	uint64_t served;
	uint64_t limited;
};

static void
request(struct standin *standin, SoupServerMessage *message)
{
	struct weights *weights = (struct weights *)standin;
	char *body = NULL;

	if (!standin_rate_take(&weights->rate)) {
		weights->limited++;
		standin_refuse(
		    message, STANDIN_TOO_MANY_REQUESTS, "too many reads");
		return;
	}
	weights->served++;
	body = g_strnfill((gsize)weights->size, 'w');
	standin_answer(message, SOUP_STATUS_OK, "application/octet-stream",
	    body, (gsize)weights->size);
	g_free(body);
}

static bool
control(struct standin *standin, SoupServerMessage *message, const char *path,
    json_object *body)
{
	struct weights *weights = (struct weights *)standin;

	(void)message;
	(void)path;
	weights->rate.per_second =
	    (int)standin_number(body, "rate", weights->rate.per_second);
	return true;
}

static void
stats(struct standin *standin, json_object *object)
{
	struct weights *weights = (struct weights *)standin;

	json_object_object_add(
	    object, "served", json_object_new_uint64(weights->served));
	json_object_object_add(
	    object, "limited", json_object_new_uint64(weights->limited));
}

int
weights_main(int argc, char **argv)
{
	static const struct standin_kind kind = {
	    .request = request, .control = control, .stats = stats};
	static struct weights weights = {.base = {.kind = &kind}, .size = 4096};
	static char *listen = NULL;
	const GOptionEntry entries[] = {
	    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address",
		"IP:PORT"},
	    {"rate", 0, 0, G_OPTION_ARG_INT, &weights.rate.per_second,
		"Most reads a second", "N"},
	    {"size", 0, 0, G_OPTION_ARG_INT, &weights.size,
		"Length of each file", "BYTES"},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};

	if (!standin_parse(argc, argv, entries, "weight store") ||
	    listen == NULL)
		return EXIT_FAILURE;
	return standin_run(&weights.base, listen);
}
