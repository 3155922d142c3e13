/*
 * A caller that curl can't play: it may close its sending side after the
 * request, read late, and keep its receive window small.
 * Usage: raw_caller IP:PORT [--half-close] [--read-after MS]
 *     [--receive-buffer BYTES] [--to-end] <REQUEST
 * Prints what came until the response was complete or, with --to-end, until
 * the connection ended:
 * status and number of body bytes, and how it ended.
 */
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

/// Longest wait for the next bytes, in seconds.
#define READ_TIMEOUT_S 30
/// Bytes read in one call.
#define READ_BYTES 65536

/// Parsed command line.
struct options {
	const char *address;
	bool half_close;
	bool to_end;
	int read_after_ms;
	int receive_buffer; /// bytes; 0: the kernel's choice
};

static bool
parse_options(int argc, char **argv, struct options *options)
{
	if (argc < 2)
		return false;
	options->address = argv[1];
	for (int i = 2; i < argc; i++) {
		if (strcmp(argv[i], "--half-close") == 0)
			options->half_close = true;
		else if (strcmp(argv[i], "--to-end") == 0)
			options->to_end = true;
		else if (strcmp(argv[i], "--read-after") == 0 && i + 1 < argc)
			options->read_after_ms = atoi(argv[++i]);
		else if (strcmp(argv[i], "--receive-buffer") == 0 &&
		    i + 1 < argc)
			options->receive_buffer = atoi(argv[++i]);
		else
			return false;
	}
	return true;
}

/// @return a connected socket; -1 on failure
static int
connect_caller(const struct options *options)
{
	const struct timeval timeout = {.tv_sec = READ_TIMEOUT_S};
	struct sockaddr_in address = {.sin_family = AF_INET};
	char **parts = g_strsplit(options->address, ":", 2);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons((uint16_t)atoi(parts[1] ? parts[1] : "0"));
	inet_pton(AF_INET, parts[0], &address.sin_addr);
	g_strfreev(parts);
	if (options->receive_buffer > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options->receive_buffer,
		    sizeof(options->receive_buffer));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		perror("connect");
		close(fd);
		return -1;
	}
	return fd;
}

/// Sends standard input.
static bool
send_request(int fd)
{
	char bytes[READ_BYTES];
	size_t n;

	while ((n = fread(bytes, 1, sizeof(bytes), stdin)) > 0)
		if (send(fd, bytes, n, MSG_NOSIGNAL) != (ssize_t)n)
			return false;
	return true;
}

/// Removes interim responses from the start of what was received.
static void
skip_interim(GString *received)
{
	const char *end;

	while (g_str_has_prefix(received->str, "HTTP/1.1 1") &&
	    (end = strstr(received->str, "\r\n\r\n")) != NULL)
		g_string_erase(received, 0, end + 4 - received->str);
}

/// @return the length of the body so far; -1 if the head isn't complete
static gssize
body_length(const GString *received)
{
	const char *end = strstr(received->str, "\r\n\r\n");

	return end == NULL ? -1
			   : (gssize)received->len - (end + 4 - received->str);
}

/// Checks whether the response is complete: it has as many bytes as it
/// announces, or its last chunk.
static bool
is_complete(const GString *received)
{
	static const char length_field[] = "\r\nContent-Length: ";
	static const char chunked_field[] = "\r\nTransfer-Encoding: chunked";
	gssize body = body_length(received);
	gssize head = (gssize)received->len - body;
	const char *length;

	if (body < 0)
		return false;
	length = g_strstr_len(received->str, head, length_field);
	if (length != NULL)
		return body == atol(length + strlen(length_field));
	return g_strstr_len(received->str, head, chunked_field) != NULL &&
	    g_str_has_suffix(received->str, "\r\n0\r\n\r\n");
}

/// Receives until the response is complete or the connection ends.
///
/// @return how it ended
static const char *
receive_response(int fd, bool to_end, GString *received)
{
	char bytes[READ_BYTES];

	for (;;) {
		ssize_t n = recv(fd, bytes, sizeof(bytes), 0);

		if (n == 0)
			return "end";
		if (n < 0)
			return errno == EAGAIN ? "silence" : "reset";
		g_string_append_len(received, bytes, n);
		skip_interim(received);
		if (!to_end && is_complete(received))
			return "complete";
	}
}

/// Counts the bytes of the body that are an "x", of which large bodies consist.
static size_t
count_body(const GString *received)
{
	size_t n = 0;

	for (gssize i = body_length(received); i > 0; i--)
		n += received->str[received->len - (size_t)i] == 'x';
	return n;
}

int
main(int argc, char **argv)
{
	struct options options = {0};
	GString *received = g_string_new(NULL);
	const char *end;
	int fd;

	if (!parse_options(argc, argv, &options)) {
		fputs("usage: raw_caller IP:PORT [--half-close] "
		      "[--read-after MS] [--receive-buffer BYTES] "
		      "[--to-end]\n",
		    stderr);
		return 64;
	}
	fd = connect_caller(&options);
	if (fd < 0 || !send_request(fd))
		return 1;
	if (options.half_close)
		shutdown(fd, SHUT_WR);
	g_usleep((gulong)options.read_after_ms * 1000);
	end = receive_response(fd, options.to_end, received);
	printf("status %.3s, %zu bytes x, %s\n",
	    received->len > 12 ? received->str + 9 : "000",
	    count_body(received), end);
	g_string_free(received, true);
	close(fd);
	return 0;
}
