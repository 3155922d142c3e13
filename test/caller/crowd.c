/*
 * A group of misbehaving callers on one thread, each with a connection of its
 * own.
 * Usage: crowd IP:PORT SHAPE COUNT BYTES [TARGET]
 * The table `shapes` says what each shape sends. "ready" is printed once no
 * caller has sent anything for two seconds or, for shapes that never rest, six
 * seconds after the start. The connections stay open until the process is
 * ended.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

/// Time without progress after which the group is in its final state.
#define QUIET_US (2 * G_USEC_PER_SEC)
/// Time after which a group that never rests is in its usual state.
#define RUN_US (6 * G_USEC_PER_SEC)
/// Time between checks of that, in milliseconds.
#define POLL_MS 100
/// Bytes of a large chunk, and of one write.
#define CHUNK_BYTES 65536
/// Chunks of one byte, empty lines or small requests that are sent with one
/// write.
#define SMALL_CHUNKS 8192
#define EMPTY_LINES 8192
#define SMALL_REQUESTS 256
/// Bytes of one trailer field and of one chunk extension.
#define TRAILER_BYTES 64
#define EXTENSION_BYTES 4096
/// Connections that a caller of shapes "closing" and "resetting" opens.
#define CLOSING_ROUNDS 5
/// Requests that a caller of shapes "unread" and "sipping" sends, and that one
/// of shape "whole" sends.
#define UNREAD_REQUESTS 32
#define WHOLE_REQUESTS 8
/// Receive buffer of a caller that doesn't read all at once.
#define UNREAD_BUFFER_BYTES 4096
/// Bytes that a caller of shape "sipping" reads at a time, and the time from
/// one read to the next.
#define SIP_BYTES 1024
#define SIP_PAUSE_US (G_USEC_PER_SEC / 5)

/// How the callers of a shape read responses.
enum reading {
	READING_ALL,
	READING_NONE,
	READING_SIPS, /// few bytes at a time, again and again
};

/// What a caller does once it has sent all.
enum ending {
	ENDING_STAY,
	ENDING_CLOSE, /// closes and opens another connection, some times
	ENDING_RESET, /// the same, but the connection is reset
};

struct crowd;

/// What a kind of caller sends, and how it behaves.
struct shape {
	const char *name;
	void (*prepare)(struct crowd *crowd, size_t bytes);
	const char *target; /// unless the command line names one
	enum reading reading;
	enum ending ending;
	bool reopens; /// opens another connection when its own is closed
	bool sends_datagrams; /// without an end; there are no connections
};

/// One caller.
struct client {
	int fd;      /// -1: its connection has ended
	size_t sent; /// bytes of the prologue and of the pattern
	unsigned round;
	gint64 sip_at; /// next read
};

/// The group. Each caller sends the prologue and then the pattern, again and
/// again, until `total` bytes are sent.
struct crowd {
	struct sockaddr_in address;
	const struct shape *shape;
	const char *target;
	GString *prologue;
	GString *pattern;
	GString *ending;
	size_t total; /// bytes of prologue and patterns
	struct client *clients;
	size_t n_clients;
	gint64 progress_at;
};

/// Appends the head of a request.
static void
append_head(const struct crowd *crowd, GString *out, const char *method,
    const char *framing)
{
	g_string_append_printf(out,
	    "%s %s HTTP/1.1\r\nHost: a.example\r\n"
	    "Authorization: Token k1\r\nAttempt-Id: crowd-%u\r\n"
	    "Deadline-Ms: 20000\r\n%s\r\n",
	    method, crowd->target, g_random_int(), framing);
}

/// Appends the head of a request with a body of known length.
static void
append_head_of_length(const struct crowd *crowd, GString *out, size_t len)
{
	char *framing = g_strdup_printf("Content-Length: %zu\r\n", len);

	append_head(crowd, out, "POST", framing);
	g_free(framing);
}

/// Appends a number of equal bytes.
static void
append_bytes(GString *out, size_t len)
{
	for (size_t i = 0; i < len; i++)
		g_string_append_c(out, 'x');
}

/// Appends one chunk of a body, with an extension of so many bytes.
static void
append_chunk(GString *out, size_t len, size_t extension)
{
	g_string_append_printf(out, "%zx", len);
	if (extension > 0)
		g_string_append_c(out, ';');
	append_bytes(out, extension);
	g_string_append(out, "\r\n");
	append_bytes(out, len);
	g_string_append(out, "\r\n");
}

/// Sets the size of what is sent to the prologue and so many patterns.
static void
set_total(struct crowd *crowd, size_t n_patterns)
{
	crowd->total = crowd->prologue->len + n_patterns * crowd->pattern->len;
}

/// Prepares a body that is announced.
static void
prepare_length(struct crowd *crowd, size_t announced, size_t sent)
{
	append_head_of_length(crowd, crowd->prologue, announced);
	append_bytes(crowd->pattern, MIN(sent, CHUNK_BYTES));
	crowd->total = crowd->prologue->len + sent;
}

static void
prepare_announced(struct crowd *crowd, size_t bytes)
{
	prepare_length(crowd, bytes, bytes / 10 * 9);
}

static void
prepare_over_announced(struct crowd *crowd, size_t bytes)
{
	prepare_length(crowd, bytes, bytes);
}

/// Prepares a chunked body of so many bytes, without its last chunk.
static void
prepare_chunked(struct crowd *crowd, size_t bytes, size_t chunk)
{
	size_t n = chunk == 1 ? SMALL_CHUNKS : 1;

	append_head(
	    crowd, crowd->prologue, "POST", "Transfer-Encoding: chunked\r\n");
	for (size_t i = 0; i < n; i++)
		append_chunk(crowd->pattern, chunk, 0);
	set_total(crowd, bytes / chunk / n);
}

static void
prepare_chunks(struct crowd *crowd, size_t bytes)
{
	prepare_chunked(crowd, bytes, CHUNK_BYTES);
}

static void
prepare_bytes(struct crowd *crowd, size_t bytes)
{
	prepare_chunked(crowd, bytes, 1);
}

static void
prepare_half(struct crowd *crowd, size_t bytes)
{
	prepare_chunked(crowd, bytes / 2, CHUNK_BYTES);
}

static void
prepare_over_chunks(struct crowd *crowd, size_t bytes)
{
	prepare_chunked(crowd, bytes, CHUNK_BYTES);
	g_string_append(crowd->ending, "0\r\n\r\n");
}

static void
prepare_extensions(struct crowd *crowd, size_t bytes)
{
	append_head(
	    crowd, crowd->prologue, "POST", "Transfer-Encoding: chunked\r\n");
	append_chunk(crowd->pattern, 1, EXTENSION_BYTES);
	set_total(crowd, bytes / EXTENSION_BYTES);
}

static void
prepare_trailers(struct crowd *crowd, size_t bytes)
{
	append_head(
	    crowd, crowd->prologue, "POST", "Transfer-Encoding: chunked\r\n");
	g_string_append(crowd->prologue, "0\r\n");
	g_string_append(crowd->pattern, "T: ");
	append_bytes(crowd->pattern, TRAILER_BYTES);
	g_string_append(crowd->pattern, "\r\n");
	set_total(crowd, bytes / TRAILER_BYTES);
}

static void
prepare_unread(struct crowd *crowd, size_t bytes)
{
	(void)bytes;
	for (int i = 0; i < UNREAD_REQUESTS; i++)
		append_head(crowd, crowd->prologue, "GET", "");
	set_total(crowd, 0);
}

static void
prepare_pipeline(struct crowd *crowd, size_t bytes)
{
	for (int i = 0; i < SMALL_REQUESTS; i++)
		append_head(crowd, crowd->pattern, "GET", "");
	set_total(crowd, bytes / crowd->pattern->len);
}

static void
prepare_whole(struct crowd *crowd, size_t bytes)
{
	append_head_of_length(crowd, crowd->pattern, bytes);
	append_bytes(crowd->pattern, bytes);
	set_total(crowd, WHOLE_REQUESTS);
}

static void
prepare_head(struct crowd *crowd, size_t bytes)
{
	g_string_append_printf(
	    crowd->prologue, "POST %s HTTP/1.1\r\nA: ", crowd->target);
	g_string_append_c(crowd->pattern, 'x');
	set_total(crowd, bytes);
}

static void
prepare_lines(struct crowd *crowd, size_t bytes)
{
	for (int i = 0; i < EMPTY_LINES; i++)
		g_string_append(crowd->pattern, "\r\n");
	set_total(crowd, bytes / crowd->pattern->len);
}

/// Prepares datagrams of so many bytes, which are none of the protocol.
static void
prepare_datagrams(struct crowd *crowd, size_t bytes)
{
	append_bytes(crowd->pattern, bytes);
	crowd->total = SIZE_MAX;
}

static void
prepare_nothing(struct crowd *crowd, size_t bytes)
{
	(void)crowd;
	(void)bytes;
}

#define ORDER "/order/x"
#define CHECK "/check/x"

static const struct shape shapes[] = {
    /* A chunked body of BYTES in large or very small chunks that stops short
     * of its end. */
    {.name = "chunks", .prepare = prepare_chunks, .target = ORDER},
    {.name = "bytes", .prepare = prepare_bytes, .target = ORDER},
    /* A body of BYTES, of which nine tenths are sent. */
    {.name = "announced", .prepare = prepare_announced, .target = ORDER},
    /* All of a body, which is over the limit. */
    {.name = "over-announced",
	.prepare = prepare_over_announced,
	.target = ORDER},
    {.name = "over-chunks", .prepare = prepare_over_chunks, .target = ORDER},
    /* Chunks of one byte with long extensions, and trailers, without an end. */
    {.name = "extensions", .prepare = prepare_extensions, .target = ORDER},
    {.name = "trailers", .prepare = prepare_trailers, .target = ORDER},
    /* Some whole requests with bodies of BYTES, without a pause. */
    {.name = "whole", .prepare = prepare_whole, .target = ORDER},
    /* Some requests for responses that are not read, or read slowly. */
    {.name = "unread",
	.prepare = prepare_unread,
	.target = CHECK,
	.reading = READING_NONE},
    {.name = "sipping",
	.prepare = prepare_unread,
	.target = CHECK,
	.reading = READING_SIPS},
    /* BYTES of small requests whose responses are not read. */
    {.name = "pipeline",
	.prepare = prepare_pipeline,
	.target = CHECK,
	.reading = READING_NONE},
    /* The same, but they are read slowly. */
    {.name = "sipping-pipeline",
	.prepare = prepare_pipeline,
	.target = CHECK,
	.reading = READING_SIPS},
    /* Half of BYTES, then another connection. */
    {.name = "closing",
	.prepare = prepare_half,
	.target = ORDER,
	.ending = ENDING_CLOSE},
    {.name = "resetting",
	.prepare = prepare_half,
	.target = ORDER,
	.ending = ENDING_RESET},
    /* A head of BYTES or empty lines, without an end. */
    {.name = "head", .prepare = prepare_head, .target = ORDER},
    {.name = "lines", .prepare = prepare_lines, .target = ORDER},
    /* Nothing. */
    {.name = "idle", .prepare = prepare_nothing, .target = ORDER},
    /* The same as above, with a new connection for each that is closed. */
    {.name = "returning-head",
	.prepare = prepare_head,
	.target = ORDER,
	.reopens = true},
    {.name = "returning-chunks",
	.prepare = prepare_chunks,
	.target = ORDER,
	.reopens = true},
    {.name = "returning-idle",
	.prepare = prepare_nothing,
	.target = ORDER,
	.reopens = true},
    /* Datagrams of BYTES. */
    {.name = "datagrams",
	.prepare = prepare_datagrams,
	.target = "",
	.sends_datagrams = true},
};

/// Opens a caller's connection. It is left closed if there is no descriptor.
static void
open_client(const struct crowd *crowd, struct client *client)
{
	const int small_buffer = UNREAD_BUFFER_BYTES;

	client->sent = 0;
	client->fd = socket(AF_INET,
	    (crowd->shape->sends_datagrams ? SOCK_DGRAM : SOCK_STREAM) |
		SOCK_NONBLOCK,
	    0);
	if (client->fd < 0)
		return;
	if (crowd->shape->reading != READING_ALL)
		setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, &small_buffer,
		    sizeof(small_buffer));
	if (connect(client->fd, (struct sockaddr *)&crowd->address,
		sizeof(crowd->address)) != 0 &&
	    errno != EINPROGRESS) {
		close(client->fd);
		client->fd = -1;
	}
}

/// Ends a caller's connection.
static void
close_client(struct client *client)
{
	close(client->fd);
	client->fd = -1;
}

/// Ends a caller's connection with a reset.
static void
reset_client(struct client *client)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};

	setsockopt(client->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close_client(client);
}

/// Handles the end of a connection by the other side.
static void
handle_end(const struct crowd *crowd, struct client *client)
{
	close_client(client);
	if (crowd->shape->reopens)
		open_client(crowd, client);
}

/// Reads and discards what has come.
static void
read_client(const struct crowd *crowd, struct client *client)
{
	static char bytes[CHUNK_BYTES];
	bool sips = crowd->shape->reading == READING_SIPS;
	ssize_t n = recv(
	    client->fd, bytes, sips ? SIP_BYTES : sizeof(bytes), MSG_DONTWAIT);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		handle_end(crowd, client);
}

/// Reads a few bytes for each caller whose time has come.
static void
sip(const struct crowd *crowd)
{
	gint64 now = g_get_monotonic_time();

	for (size_t i = 0; i < crowd->n_clients; i++) {
		struct client *client = &crowd->clients[i];

		if (client->fd < 0 || now < client->sip_at)
			continue;
		client->sip_at = now + SIP_PAUSE_US;
		read_client(crowd, client);
	}
}

/// Returns the bytes that a caller sends next, and their number.
static const char *
next_bytes(const struct crowd *crowd, const struct client *client, size_t *len)
{
	size_t at = client->sent;

	if (at < crowd->prologue->len) {
		*len = crowd->prologue->len - at;
		return crowd->prologue->str + at;
	}
	if (at >= crowd->total) {
		*len = crowd->ending->len - (at - crowd->total);
		return crowd->ending->str + (at - crowd->total);
	}
	at = (at - crowd->prologue->len) % crowd->pattern->len;
	*len = MIN(crowd->pattern->len - at, crowd->total - client->sent);
	return crowd->pattern->str + at;
}

/// @return whether a caller has bytes to send
static bool
has_more(const struct crowd *crowd, const struct client *client)
{
	return client->sent < crowd->total + crowd->ending->len;
}

/// Ends the connection of a caller that has sent all, and opens its next one.
static void
start_next_round(struct crowd *crowd, struct client *client)
{
	if (crowd->shape->ending == ENDING_STAY ||
	    ++client->round >= CLOSING_ROUNDS)
		return;
	if (crowd->shape->ending == ENDING_RESET)
		reset_client(client);
	else
		close_client(client);
	open_client(crowd, client);
}

/// Sends what the kernel takes.
static void
write_client(struct crowd *crowd, struct client *client)
{
	size_t len;
	const char *bytes = next_bytes(crowd, client, &len);
	ssize_t n = send(client->fd, bytes, len, MSG_NOSIGNAL | MSG_DONTWAIT);

	if (n > 0) {
		client->sent += (size_t)n;
		crowd->progress_at = g_get_monotonic_time();
	} else if (n < 0 && errno != EAGAIN && errno != EINTR) {
		handle_end(crowd, client);
	}
	if (n > 0 && !has_more(crowd, client))
		start_next_round(crowd, client);
}

/// Waits for events once and handles them.
static void
serve_clients(struct crowd *crowd)
{
	struct pollfd *fds = g_new0(struct pollfd, crowd->n_clients);

	for (size_t i = 0; i < crowd->n_clients; i++) {
		const struct client *client = &crowd->clients[i];

		fds[i].fd = client->fd;
		if (crowd->shape->reading == READING_ALL)
			fds[i].events |= POLLIN;
		if (has_more(crowd, client))
			fds[i].events |= POLLOUT;
	}
	poll(fds, (nfds_t)crowd->n_clients, POLL_MS);
	for (size_t i = 0; i < crowd->n_clients; i++) {
		struct client *client = &crowd->clients[i];

		if (client->fd < 0 && crowd->shape->reopens)
			open_client(crowd, client);
		else if (fds[i].revents & (POLLIN | POLLERR | POLLHUP))
			read_client(crowd, client);
		if (client->fd == fds[i].fd && client->fd >= 0 &&
		    (fds[i].revents & POLLOUT))
			write_client(crowd, client);
	}
	if (crowd->shape->reading == READING_SIPS)
		sip(crowd);
	g_free(fds);
}

/// Parses the command line.
static bool
parse_arguments(struct crowd *crowd, int argc, char **argv)
{
	char **parts;

	if (argc != 5 && argc != 6)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++)
		if (strcmp(shapes[i].name, argv[2]) == 0)
			crowd->shape = &shapes[i];
	if (crowd->shape == NULL)
		return false;
	crowd->target = argc == 6 ? argv[5] : crowd->shape->target;
	parts = g_strsplit(argv[1], ":", 2);
	crowd->address.sin_family = AF_INET;
	crowd->address.sin_port =
	    htons((uint16_t)atoi(parts[1] ? parts[1] : ""));
	inet_pton(AF_INET, parts[0], &crowd->address.sin_addr);
	g_strfreev(parts);
	crowd->n_clients = (size_t)atoi(argv[3]);
	return true;
}

/// @return whether callers of a shape may go on sending without an end
static bool
never_rests(const struct shape *shape)
{
	return shape->reopens || shape->sends_datagrams ||
	    shape->reading == READING_SIPS;
}

int
main(int argc, char **argv)
{
	struct crowd crowd = {0};
	gint64 start = g_get_monotonic_time();
	bool is_ready = false;

	if (!parse_arguments(&crowd, argc, argv)) {
		fputs("usage: crowd IP:PORT SHAPE COUNT BYTES [TARGET]\n",
		    stderr);
		return 64;
	}
	crowd.prologue = g_string_new(NULL);
	crowd.pattern = g_string_new(NULL);
	crowd.ending = g_string_new(NULL);
	crowd.shape->prepare(&crowd, (size_t)atol(argv[4]));
	crowd.clients = g_new0(struct client, crowd.n_clients);
	for (size_t i = 0; i < crowd.n_clients; i++)
		open_client(&crowd, &crowd.clients[i]);
	crowd.progress_at = g_get_monotonic_time();
	for (;;) {
		gint64 now;

		serve_clients(&crowd);
		now = g_get_monotonic_time();
		if (is_ready ||
		    (now - crowd.progress_at < QUIET_US &&
			(!never_rests(crowd.shape) || now - start < RUN_US)))
			continue;
		is_ready = true;
		puts("ready");
		fflush(stdout);
	}
}
