/*
 * Load generator: keeps a number of streamed generations going against one
 * address, and reports tokens a second, time to the first token and time
 * between tokens.
 */
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gio/gio.h>

#define READ_BYTES 65536
#define USEC_PER_SECOND 1e6
#define USEC_PER_MILLISECOND 1e3

static char *address;
static int n_streams = 64;
static int n_tokens = 200;
static int seconds = 5;
static char *token = "clinic-1";

static const GOptionEntry entries[] = {
    {"address", 'a', 0, G_OPTION_ARG_STRING, &address, "Where to", "IP:PORT"},
    {"streams", 's', 0, G_OPTION_ARG_INT, &n_streams, "At a time", "N"},
    {"tokens", 't', 0, G_OPTION_ARG_INT, &n_tokens, "A generation", "N"},
    {"seconds", 'd', 0, G_OPTION_ARG_INT, &seconds, "How long", "N"},
    {"token", 'k', 0, G_OPTION_ARG_STRING, &token, "Organisation's", "TEXT"},
    G_OPTION_ENTRY_NULL,
};

/* What was measured, in microseconds. */
struct result {
	GArray *first; /* of gint64: until the first token */
	GArray *gaps;  /* of gint64: between tokens read apart */
	guint64 tokens;
	guint64 whole; /* generations that ended */
	guint64 failed;
};

struct load {
	GMainLoop *loop;
	GSocketClient *client;
	GSocketConnectable *target;
	gint64 until;
	int open;
	int number;
	struct result result;
};

/* One generation. */
struct stream {
	struct load *load;
	GSocketConnection *connection;
	char *request;
	gint64 sent_at;
	gint64 token_at; /* 0 before the first */
	guint tokens;
	GString *tail; /* bytes of a line not yet whole */
	bool done;
	char buffer[READ_BYTES];
};

static void start_stream(struct load *load);

static void
end_stream(struct stream *stream)
{
	struct load *load = stream->load;

	if (stream->done)
		load->result.whole++;
	else if (g_get_monotonic_time() < load->until)
		load->result.failed++;
	g_clear_object(&stream->connection);
	g_string_free(stream->tail, TRUE);
	g_free(stream->request);
	g_free(stream);
	load->open--;
	if (g_get_monotonic_time() < load->until)
		start_stream(load);
	else if (load->open == 0)
		g_main_loop_quit(load->loop);
}

/* Takes one line; tokens are the data events of a completions chunk. */
static void
take_line(struct stream *stream, const char *line, gint64 now)
{
	struct result *result = &stream->load->result;
	gint64 gap = now - stream->token_at;

	if (strstr(line, "[DONE]") != NULL) {
		stream->done = true;
		return;
	}
	if (!g_str_has_prefix(line, "data:") || strstr(line, "finish") != NULL)
		return;
	stream->tokens++;
	result->tokens++;
	if (stream->token_at == 0) {
		gap = now - stream->sent_at;
		g_array_append_val(result->first, gap);
	} else {
		g_array_append_val(result->gaps, gap);
	}
	stream->token_at = now;
}

static void
take_bytes(struct stream *stream, gssize len)
{
	gint64 now = g_get_monotonic_time();
	char *line, *end;

	g_string_append_len(stream->tail, stream->buffer, len);
	line = stream->tail->str;
	while ((end = strchr(line, '\n')) != NULL) {
		*end = '\0';
		take_line(stream, line, now);
		line = end + 1;
	}
	g_string_erase(stream->tail, 0, line - stream->tail->str);
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct stream *stream = data;
	gssize len =
	    g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);

	if (len > 0)
		take_bytes(stream, len);
	if (len <= 0 || stream->done) {
		end_stream(stream);
		return;
	}
	g_input_stream_read_async(G_INPUT_STREAM(source), stream->buffer,
	    READ_BYTES, G_PRIORITY_DEFAULT, NULL, on_read, stream);
}

static void
on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	struct stream *stream = data;

	if (!g_output_stream_write_all_finish(
		G_OUTPUT_STREAM(source), result, NULL, NULL)) {
		end_stream(stream);
		return;
	}
	g_input_stream_read_async(
	    g_io_stream_get_input_stream(G_IO_STREAM(stream->connection)),
	    stream->buffer, READ_BYTES, G_PRIORITY_DEFAULT, NULL, on_read,
	    stream);
}

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct stream *stream = data;
	char *body;

	stream->connection = g_socket_client_connect_finish(
	    G_SOCKET_CLIENT(source), result, NULL);
	if (stream->connection == NULL) {
		end_stream(stream);
		return;
	}
	body = g_strdup_printf("{\"model\":\"m1\",\"stream\":true,"
			       "\"max_tokens\":%d,\"prompt\":\"load %d\"}",
	    n_tokens, stream->load->number++);
	stream->request = g_strdup_printf("POST /v1/completions HTTP/1.1\r\n"
					  "Host: load\r\n"
					  "Connection: close\r\n"
					  "Authorization: Bearer %s\r\n"
					  "Content-Type: application/json\r\n"
					  "Content-Length: %zu\r\n\r\n%s",
	    token, strlen(body), body);
	g_free(body);
	stream->sent_at = g_get_monotonic_time();
	g_output_stream_write_all_async(
	    g_io_stream_get_output_stream(G_IO_STREAM(stream->connection)),
	    stream->request, strlen(stream->request), G_PRIORITY_DEFAULT, NULL,
	    on_written, stream);
}

static void
start_stream(struct load *load)
{
	struct stream *stream = g_new0(struct stream, 1);

	stream->load = load;
	stream->tail = g_string_new(NULL);
	load->open++;
	g_socket_client_connect_async(
	    load->client, load->target, NULL, on_connected, stream);
}

static gint
compare_times(gconstpointer left, gconstpointer right)
{
	gint64 a = *(const gint64 *)left;
	gint64 b = *(const gint64 *)right;

	return (a > b) - (a < b);
}

static double
quantile_ms(GArray *times, double quantile)
{
	if (times->len == 0)
		return 0;
	return (double)g_array_index(
		   times, gint64, (guint)(quantile * (times->len - 1))) /
	    USEC_PER_MILLISECOND;
}

static void
print_result(struct result *result, double span)
{
	g_array_sort(result->first, compare_times);
	g_array_sort(result->gaps, compare_times);
	printf("tokens/s %.0f  whole %" G_GUINT64_FORMAT
	       "  failed %" G_GUINT64_FORMAT
	       "  first ms p50 %.2f p95 %.2f p99 %.2f"
	       "  gap ms p50 %.2f p95 %.2f p99 %.2f\n",
	    (double)result->tokens / span, result->whole, result->failed,
	    quantile_ms(result->first, 0.5), quantile_ms(result->first, 0.95),
	    quantile_ms(result->first, 0.99), quantile_ms(result->gaps, 0.5),
	    quantile_ms(result->gaps, 0.95), quantile_ms(result->gaps, 0.99));
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("- streamed load");
	struct load load = {0};
	gint64 from;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    address == NULL) {
		fprintf(stderr, "load: --address is needed; see --help\n");
		return EXIT_FAILURE;
	}
	g_option_context_free(context);
	load.loop = g_main_loop_new(NULL, FALSE);
	load.client = g_socket_client_new();
	load.target = g_network_address_parse(address, 80, NULL);
	load.result.first = g_array_new(FALSE, FALSE, sizeof(gint64));
	load.result.gaps = g_array_new(FALSE, FALSE, sizeof(gint64));
	from = g_get_monotonic_time();
	load.until = from + seconds * (gint64)USEC_PER_SECOND;
	for (int i = 0; i < n_streams; i++)
		start_stream(&load);
	g_main_loop_run(load.loop);
	print_result(&load.result,
	    (double)(g_get_monotonic_time() - from) / USEC_PER_SECOND);
	return load.result.failed > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
