/* See stand3.h. */
#define _GNU_SOURCE
#include "stand3.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define CASE_SPAN_S 115
#define HEAD_BYTES 65536
#define READY_SPAN_S 20
#define READS_PER_S 2000 /* of the store; calls beyond get 429 */
#define CHILDREN_MAX 64
#define ITEMS_MAX 64
#define EVENTS_MAX 65536
#define CONNS_MAX 1024

static struct timespec started;
static int record_fd = -1;
static const char *program;
static char folder[512]; /* temporary, for settings and logs */
static pid_t children[CHILDREN_MAX];
static unsigned n_children;
static pid_t main_pid;
static pthread_mutex_t children_lock = PTHREAD_MUTEX_INITIALIZER;

/* Time and record. */

double
now_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)(t.tv_sec - started.tv_sec) +
	    (double)(t.tv_nsec - started.tv_nsec) / 1e9;
}

void
sleep_s(double seconds)
{
	struct timespec t;

	if (seconds <= 0)
		return;
	t.tv_sec = (time_t)seconds;
	t.tv_nsec = (long)((seconds - (double)t.tv_sec) * 1e9);
	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

void
sleep_until(double at)
{
	sleep_s(at - now_s());
}

static void
record_line(const char *format, va_list args)
{
	char line[1024];
	int n = snprintf(line, sizeof(line), "%8.3f ", now_s());
	int m = vsnprintf(
	    line + n, sizeof(line) - (size_t)n - 1, format, args);

	n += m < (int)sizeof(line) - n - 2 ? m : (int)sizeof(line) - n - 2;
	line[n++] = '\n';
	(void)!write(record_fd >= 0 ? record_fd : 2, line, (size_t)n);
}

void
record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	record_line(format, args);
	va_end(args);
}

void
not_run(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	record_line(format, args);
	va_end(args);
	exit(CASE_NOT_RUN);
}

/* Processes. */

static void
add_child(pid_t pid)
{
	pthread_mutex_lock(&children_lock);
	for (unsigned i = 0; i < n_children; i++)
		if (children[i] == 0) {
			children[i] = pid;
			pid = 0;
			break;
		}
	if (pid != 0 && n_children < CHILDREN_MAX)
		children[n_children++] = pid;
	pthread_mutex_unlock(&children_lock);
}

static void
end_child(pid_t pid)
{
	pthread_mutex_lock(&children_lock);
	for (unsigned i = 0; i < n_children; i++)
		if (children[i] == pid)
			children[i] = 0;
	pthread_mutex_unlock(&children_lock);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

static void
remove_folder(void)
{
	static const char *const suffixes[] = {"json", "log"};
	char path[1024];

	for (unsigned i = 0; i < INSTANCES_MAX; i++)
		for (unsigned k = 0; k < 2; k++) {
			snprintf(path, sizeof(path), "%s/e%u.%s", folder,
			    i + 1, suffixes[k]);
			unlink(path);
		}
	rmdir(folder);
}

static void
end_all(void)
{
	if (getpid() != main_pid)
		return;
	for (unsigned i = 0; i < n_children; i++)
		if (children[i] > 0) {
			kill(children[i], SIGKILL);
			waitpid(children[i], NULL, 0);
		}
	if (getenv("KEEP") == NULL)
		remove_folder();
}

static void
on_signal(int number)
{
	(void)number;
	if (getpid() == main_pid)
		for (unsigned i = 0; i < n_children; i++)
			if (children[i] > 0)
				kill(children[i], SIGKILL);
	_exit(CASE_NOT_RUN);
}

void
case_begin(int argc, char **argv)
{
	clock_gettime(CLOCK_MONOTONIC, &started);
	main_pid = getpid();
	if (argc != 3) {
		fprintf(stderr, "usage: %s PROGRAM RECORD\n", argv[0]);
		exit(CASE_NOT_RUN);
	}
	program = argv[1];
	record_fd = open(
	    argv[2], O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
	if (record_fd < 0) {
		fprintf(stderr, "%s can't be written\n", argv[2]);
		exit(CASE_NOT_RUN);
	}
	snprintf(folder, sizeof(folder), "%s/review3-XXXXXX",
	    getenv("TMPDIR") != NULL ? getenv("TMPDIR") : "/tmp");
	if (mkdtemp(folder) == NULL)
		not_run("no temporary folder");
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_signal);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	alarm(CASE_SPAN_S);
	atexit(end_all);
	if (access(program, X_OK) != 0)
		not_run("there is no program %s", program);
	record("TROUBLE=%d", case_has_trouble());
}

bool
case_has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return trouble == NULL || strcmp(trouble, "0") != 0;
}

/* Sockets. */

static int
listen_on(uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	for (int i = 0; i < 100; i++) {
		if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ==
			0 &&
		    listen(fd, 256) == 0)
			return fd;
		sleep_s(0.02);
	}
	not_run("can't listen on port %u", port);
}

static uint16_t
local_port(int fd)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);

	getsockname(fd, (struct sockaddr *)&address, &len);
	return ntohs(address.sin_port);
}

static void
reset_on_close(int fd)
{
	struct linger reset = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void
send_bytes(int fd, const void *bytes, size_t len)
{
	const char *at = bytes;

	while (len > 0) {
		ssize_t n = send(fd, at, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		at += n;
		len -= (size_t)n;
	}
}

void
send_text(int fd, const char *format, ...)
{
	char *text;
	va_list args;
	int n;

	va_start(args, format);
	n = vasprintf(&text, format, args);
	va_end(args);
	if (n < 0)
		return;
	send_bytes(fd, text, (size_t)n);
	free(text);
}

/* Messages. */

/// Buffered reader of one connection.
struct reader {
	int fd;
	char bytes[HEAD_BYTES];
	size_t start;
	size_t end;
};

static bool
fill(struct reader *reader)
{
	ssize_t n;

	if (reader->start > 0) {
		memmove(reader->bytes, reader->bytes + reader->start,
		    reader->end - reader->start);
		reader->end -= reader->start;
		reader->start = 0;
	}
	if (reader->end == sizeof(reader->bytes))
		return false;
	n = recv(reader->fd, reader->bytes + reader->end,
	    sizeof(reader->bytes) - reader->end, 0);
	if (n <= 0)
		return false;
	reader->end += (size_t)n;
	return true;
}

/// Reads up to and including a text.
static char *
read_until(struct reader *reader, const char *text)
{
	for (;;) {
		size_t len = reader->end - reader->start;
		char *from = reader->bytes + reader->start;
		char *at = memmem(from, len, text, strlen(text));
		char *result;

		if (at != NULL) {
			len = (size_t)(at - from) + strlen(text);
			result = strndup(from, len);
			reader->start += len;
			return result;
		}
		if (!fill(reader))
			return NULL;
	}
}

static bool
read_body(struct reader *reader, struct message *message, size_t n)
{
	message->body = realloc(message->body, message->len + n + 1);
	while (n > 0) {
		size_t len = reader->end - reader->start;

		if (len == 0) {
			if (!fill(reader))
				break;
			continue;
		}
		if (len > n)
			len = n;
		memcpy(message->body + message->len,
		    reader->bytes + reader->start, len);
		message->len += len;
		reader->start += len;
		n -= len;
	}
	message->body[message->len] = '\0';
	return n == 0;
}

static bool
read_chunks(struct reader *reader, struct message *message)
{
	for (;;) {
		char *line = read_until(reader, "\r\n");
		size_t n;

		if (line == NULL)
			return false;
		n = strtoul(line, NULL, 16);
		free(line);
		if (n > 0 && !read_body(reader, message, n))
			return false;
		line = read_until(reader, "\r\n");
		if (line == NULL)
			return false;
		free(line);
		if (n == 0)
			return true;
	}
}

const char *
message_field(const struct message *message, const char *name)
{
	static __thread char value[4][512];
	static __thread unsigned next;
	const char *line = message->head == NULL ? NULL : message->head;
	size_t len = strlen(name);

	while (line != NULL && (line = strstr(line, "\r\n")) != NULL) {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			char *result = value[next++ % 4];

			line += len + 1;
			line += strspn(line, " ");
			snprintf(result, sizeof(value[0]), "%.*s",
			    (int)strcspn(line, "\r"), line);
			return result;
		}
	}
	return "";
}

void
message_free(struct message *message)
{
	free(message->head);
	free(message->body);
	memset(message, 0, sizeof(*message));
}

/// Reads a request or a response. Responses with status 1xx are skipped.
static bool
read_message(struct reader *reader, struct message *message, bool is_response)
{
	memset(message, 0, sizeof(*message));
	do {
		free(message->head);
		message->head = read_until(reader, "\r\n\r\n");
		if (message->head == NULL)
			return false;
		if (is_response)
			sscanf(message->head, "HTTP/1.%*d %d",
			    &message->status);
		else
			sscanf(message->head, "%15s %255s", message->method,
			    message->target);
	} while (is_response && message->status < 200);
	if (strcasecmp(message_field(message, "Transfer-Encoding"),
		"chunked") == 0)
		message->complete = read_chunks(reader, message);
	else
		message->complete = read_body(reader, message,
		    strtoul(
			message_field(message, "Content-Length"), NULL, 10));
	return is_response || message->complete;
}

/* Connections of a server. */

typedef bool (*request_handler)(
    void *owner, int fd, const struct message *request);

/// A listening server: its open connections, so that they can be ended.
struct server {
	request_handler handle;
	void *owner;
	int listener;
	int conns[CONNS_MAX];
	pthread_mutex_t lock;
};

struct served {
	struct server *server;
	int fd;
};

static void
forget_conn(struct server *server, int fd)
{
	pthread_mutex_lock(&server->lock);
	for (unsigned i = 0; i < CONNS_MAX; i++)
		if (server->conns[i] == fd)
			server->conns[i] = -1;
	close(fd);
	pthread_mutex_unlock(&server->lock);
}

static void *
serve_conn(void *data)
{
	struct served served = *(struct served *)data;
	struct reader *reader = calloc(1, sizeof(*reader));
	struct message request;
	bool keep = true;

	free(data);
	reader->fd = served.fd;
	while (keep && read_message(reader, &request, false)) {
		keep = served.server->handle(
		    served.server->owner, served.fd, &request);
		message_free(&request);
	}
	forget_conn(served.server, served.fd);
	free(reader);
	return NULL;
}

static void
start_thread(void *(*run)(void *), void *data)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, 512 * 1024);
	pthread_create(&thread, &attributes, run, data);
	pthread_attr_destroy(&attributes);
}

static void *
accept_conns(void *data)
{
	struct server *server = data;
	int listener = server->listener;
	int on = 1;

	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
		struct served *served;

		if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
			continue;
		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		pthread_mutex_lock(&server->lock);
		for (unsigned i = 0; i < CONNS_MAX; i++)
			if (server->conns[i] < 0) {
				server->conns[i] = fd;
				break;
			}
		pthread_mutex_unlock(&server->lock);
		served = malloc(sizeof(*served));
		*served = (struct served){server, fd};
		start_thread(serve_conn, served);
	}
}

static struct server *
server_new(int listener, request_handler handle, void *owner)
{
	struct server *server = calloc(1, sizeof(*server));

	server->handle = handle;
	server->owner = owner;
	server->listener = listener;
	pthread_mutex_init(&server->lock, NULL);
	for (unsigned i = 0; i < CONNS_MAX; i++)
		server->conns[i] = -1;
	return server;
}

/// Resets all connections of a server.
static void
server_reset_conns(struct server *server)
{
	struct sockaddr unspecified = {.sa_family = AF_UNSPEC};

	pthread_mutex_lock(&server->lock);
	for (unsigned i = 0; i < CONNS_MAX; i++)
		if (server->conns[i] >= 0) {
			reset_on_close(server->conns[i]);
			/* Sends the reset at once, and wakes its thread. */
			connect(server->conns[i], &unspecified,
			    sizeof(unspecified));
		}
	pthread_mutex_unlock(&server->lock);
}

/* Store. */

struct item {
	char key[64];
	char *value; /* base64 */
	uint64_t revision;
	uint64_t created;
	bool deleted;
};

static struct {
	struct item items[ITEMS_MAX];
	unsigned n_items;
	struct item copy[ITEMS_MAX];
	unsigned n_copy;
	struct item events[EVENTS_MAX];
	unsigned n_events;
	uint64_t revision;
	uint64_t copy_revision;
	uint64_t oldest; /* watches after earlier revisions get 410 */
	unsigned era;
	unsigned calls;
	unsigned second; /* of the calls that are counted next */
	unsigned n_in_second;
	unsigned n_refused;
	uint16_t port;
	struct server *server;
	pthread_mutex_t lock;
	pthread_cond_t changed;
} store = {.lock = PTHREAD_MUTEX_INITIALIZER,
    .changed = PTHREAD_COND_INITIALIZER};

static char *
encode_base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc((len + 2) / 3 * 4 + 1);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		size_t n = len - i < 3 ? len - i : 3;
		unsigned bits = 0;

		for (size_t k = 0; k < 3; k++)
			bits = bits << 8 |
			    (k < n ? (unsigned char)text[i + k] : 0);
		for (size_t k = 0; k < 4; k++)
			*at++ = k <= n ? digits[bits >> (18 - 6 * k) & 63]
				       : '=';
	}
	*at = '\0';
	return out;
}

static void
add_event(const struct item *item)
{
	if (store.n_events == EVENTS_MAX)
		not_run("too many events in the store");
	store.events[store.n_events++] = *item;
	pthread_cond_broadcast(&store.changed);
}

void
store_put(const char *key, const char *value)
{
	struct item *item = NULL;

	pthread_mutex_lock(&store.lock);
	store.revision++;
	for (unsigned i = 0; i < store.n_items; i++)
		if (strcmp(store.items[i].key, key) == 0)
			item = &store.items[i];
	if (item == NULL) {
		item = &store.items[store.n_items++];
		memset(item, 0, sizeof(*item));
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->created = store.revision;
	}
	item->value = encode_base64(value); /* old ones stay in the history */
	item->revision = store.revision;
	add_event(item);
	pthread_mutex_unlock(&store.lock);
}

void
store_delete(const char *key)
{
	pthread_mutex_lock(&store.lock);
	for (unsigned i = 0; i < store.n_items; i++)
		if (strcmp(store.items[i].key, key) == 0) {
			struct item gone = store.items[i];

			gone.deleted = true;
			gone.revision = ++store.revision;
			store.items[i] = store.items[--store.n_items];
			add_event(&gone);
			break;
		}
	pthread_mutex_unlock(&store.lock);
}

void
store_save_copy(void)
{
	pthread_mutex_lock(&store.lock);
	memcpy(store.copy, store.items, sizeof(store.items));
	store.n_copy = store.n_items;
	store.copy_revision = store.revision;
	pthread_mutex_unlock(&store.lock);
}

void
store_restore_copy(void)
{
	pthread_mutex_lock(&store.lock);
	memcpy(store.items, store.copy, sizeof(store.items));
	store.n_items = store.n_copy;
	store.n_events = 0;
	store.revision = store.copy_revision;
	store.oldest = store.revision;
	store.era++;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
	server_reset_conns(store.server);
}

uint64_t
store_revision(void)
{
	uint64_t revision;

	pthread_mutex_lock(&store.lock);
	revision = store.revision;
	pthread_mutex_unlock(&store.lock);
	return revision;
}

/// Reads a field of a query; "" if it is missing.
static void
query_field(const char *target, const char *name, char *value, size_t size)
{
	const char *at = strchr(target, '?');
	size_t len = strlen(name);

	*value = '\0';
	while (at != NULL) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			size_t n = strcspn(at + len + 1, "&");
			size_t k = 0;

			at += len + 1;
			for (size_t i = 0; i < n && k + 1 < size; i++) {
				unsigned c;

				if (at[i] == '%' &&
				    sscanf(at + i + 1, "%2x", &c) == 1) {
					value[k++] = (char)c;
					i += 2;
				} else {
					value[k++] = at[i];
				}
			}
			value[k] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

static void
print_item(FILE *out, const struct item *item, bool *is_first)
{
	fprintf(out, "%s{\"key\":\"%s\",\"revision\":%llu",
	    *is_first ? "" : ",", item->key,
	    (unsigned long long)item->revision);
	if (item->deleted)
		fprintf(out, ",\"deleted\":true}");
	else
		fprintf(out, ",\"value\":\"%s\",\"created\":%llu,\"lease\":0}",
		    item->value, (unsigned long long)item->created);
	*is_first = false;
}

static int
compare_items(const void *a, const void *b)
{
	return strcmp(((const struct item *)a)->key,
	    ((const struct item *)b)->key);
}

static void
list_items(FILE *out, const char *prefix, const char *after)
{
	struct item sorted[ITEMS_MAX];
	bool is_first = true;

	memcpy(sorted, store.items, sizeof(sorted));
	qsort(sorted, store.n_items, sizeof(*sorted), compare_items);
	fprintf(out, "{\"entries\":[");
	for (unsigned i = 0; i < store.n_items; i++)
		if (strncmp(sorted[i].key, prefix, strlen(prefix)) == 0 &&
		    strcmp(sorted[i].key, after) > 0)
			print_item(out, &sorted[i], &is_first);
	fprintf(out, "],\"truncated\":false,\"as_of\":%llu}",
	    (unsigned long long)store.revision);
}

/// Prints the changes after a revision.
///
/// @return whether there are any
static bool
list_changes(FILE *out, const char *prefix, uint64_t after)
{
	bool is_first = true;

	fprintf(out, "{\"events\":[");
	for (unsigned i = 0; i < store.n_events; i++)
		if (store.events[i].revision > after &&
		    strncmp(store.events[i].key, prefix, strlen(prefix)) == 0)
			print_item(out, &store.events[i], &is_first);
	fprintf(out, "],\"as_of\":%llu}", (unsigned long long)store.revision);
	return !is_first;
}

/// Waits for changes as long as the call allows.
///
/// @return the status; 0: the store was restored meanwhile
static int
watch(FILE **out, char **text, size_t *len, const char *prefix,
    uint64_t after, long wait_ms)
{
	double until = now_s() + (double)wait_ms / 1000;
	unsigned era = store.era;

	for (;;) {
		struct timespec t;

		if (era != store.era)
			return 0; /* its connection has ended */
		if (after > store.revision || after < store.oldest)
			return 410;
		if (list_changes(*out, prefix, after) || now_s() >= until)
			return 200;
		fclose(*out);
		free(*text);
		*out = open_memstream(text, len);
		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_nsec += 20 * 1000000L;
		if (t.tv_nsec >= 1000000000L) {
			t.tv_nsec -= 1000000000L;
			t.tv_sec++;
		}
		pthread_cond_timedwait(&store.changed, &store.lock, &t);
	}
}

/// Counts a call, and checks whether there are too many in this second.
static bool
is_beyond_rate(void)
{
	unsigned second = (unsigned)now_s();

	store.calls++;
	if (second != store.second)
		store.n_in_second = 0;
	store.second = second;
	if (++store.n_in_second <= READS_PER_S)
		return false;
	store.n_refused++;
	return true;
}

static bool
answer_store_call(void *owner, int fd, const struct message *request)
{
	char prefix[64];
	char after[64];
	char wait_ms[32];
	char *text = NULL;
	size_t len = 0;
	int status = 200;
	unsigned era;
	FILE *out = open_memstream(&text, &len);

	(void)owner;
	query_field(request->target, "prefix", prefix, sizeof(prefix));
	query_field(request->target, "after", after, sizeof(after));
	query_field(request->target, "wait_ms", wait_ms, sizeof(wait_ms));
	pthread_mutex_lock(&store.lock);
	if (is_beyond_rate())
		status = 429;
	else if (strncmp(request->target, "/v1/kv-range", 12) == 0)
		list_items(out, prefix, after);
	else if (strncmp(request->target, "/v1/kv-watch", 12) == 0)
		status = watch(&out, &text, &len, prefix,
		    strtoull(after, NULL, 10), atol(wait_ms));
	else
		status = 404;
	era = store.era;
	pthread_mutex_unlock(&store.lock);
	fclose(out);
	if (status == 0) {
		free(text);
		return false;
	}
	if (status != 200)
		len = 0;
	send_text(fd,
	    "HTTP/1.1 %d X\r\nStore-Era: %u\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n"
	    "%.*s",
	    status, era, len, (int)len, text);
	free(text);
	return true;
}

void
store_start(void)
{
	int listener = listen_on(0);

	store.port = local_port(listener);
	store.server = server_new(listener, answer_store_call, NULL);
	start_thread(accept_conns, store.server);
}

/* Workers. */

static struct worker *workers[WORKERS_MAX];
static struct server *worker_servers[WORKERS_MAX];
static unsigned n_workers;

static uint64_t
unix_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

void
worker_write_entry(struct worker *worker)
{
	char key[64];
	char value[512];

	worker->sequence++;
	snprintf(key, sizeof(key), "servers/%s", worker->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%d,"
	    "\"state\":\"%s\",\"cold_left_ms\":0,\"sequence\":%u,"
	    "\"born\":%llu}",
	    worker->service, worker->port, worker->zone, worker->version,
	    worker->slots, worker->state, worker->sequence,
	    (unsigned long long)worker->born);
	store_put(key, value);
}

/// Answers calls that aren't requests: reports, health checks and reservations.
///
/// @return whether it was one
static bool
answer_plain_call(
    struct worker *worker, int fd, const struct message *request)
{
	char text[256];

	if (strncmp(request->target, "/v1/report", 10) == 0) {
		snprintf(text, sizeof(text),
		    "{\"stage\":\"unified\",\"models\":[],\"busy\":false,"
		    "\"sequence\":0,\"queued\":0,\"active\":0,\"kv_used\":0,"
		    "\"kv_total\":34424,\"handles\":0,\"state\":\"%s\","
		    "\"runs\":[],\"born\":%llu}",
		    worker->state, (unsigned long long)worker->born);
		send_text(fd,
		    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		    "Keep-Alive: timeout=5\r\nContent-Length: %zu\r\n\r\n%s",
		    strlen(text), text);
		return true;
	}
	if (strcmp(request->target, "/healthz") == 0) {
		send_text(fd,
		    "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
		    "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n",
		    worker->id);
		return true;
	}
	if (strncmp(request->target, "/v1/hold-take", 13) == 0) {
		send_text(fd,
		    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		    "Keep-Alive: timeout=5\r\nContent-Length: 13\r\n\r\n"
		    "{\"hold\":\"p1\"}");
		return true;
	}
	if (strncmp(request->target, "/v1/", 4) == 0) {
		send_text(fd,
		    "HTTP/1.1 404 Not Found\r\nKeep-Alive: timeout=5\r\n"
		    "Content-Length: 2\r\n\r\n{}");
		return true;
	}
	return false;
}

static bool
answer_worker_request(void *owner, int fd, const struct message *request)
{
	struct worker *worker = owner;
	const char *expected;

	if (answer_plain_call(worker, fd, request))
		return true;
	expected = message_field(request, "Expect-Instance");
	if (*expected != '\0' && strcmp(expected, worker->id) != 0) {
		send_text(fd,
		    "HTTP/1.1 421 Misdirected\r\nAttempt-Id: %s\r\n"
		    "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n",
		    message_field(request, "Attempt-Id"));
		return true;
	}
	__sync_fetch_and_add(&worker->n_runs, 1);
	record("worker %s (%s) runs %s %s %s", worker->id, worker->version,
	    message_field(request, "Attempt-Id"), request->method,
	    request->target);
	return worker->handle(worker, fd, request);
}

static unsigned
worker_index(const struct worker *worker)
{
	for (unsigned i = 0; i < n_workers; i++)
		if (workers[i] == worker)
			return i;
	return n_workers;
}

/// Serves connections, in a thread or in a process of its own.
static void
serve_worker(struct worker *worker)
{
	unsigned i = worker_index(worker);

	worker_servers[i] =
	    server_new(worker->listener, answer_worker_request, worker);
	if (!worker->own_process) {
		start_thread(accept_conns, worker_servers[i]);
		return;
	}
	worker->pid = fork();
	if (worker->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		signal(SIGALRM, SIG_DFL);
		signal(SIGTERM, SIG_DFL);
		alarm(CASE_SPAN_S);
		accept_conns(worker_servers[i]);
		_exit(0);
	}
	add_child(worker->pid);
	close(worker->listener); /* only the process listens */
}

void
worker_start(struct worker *worker)
{
	unsigned i = worker_index(worker);

	if (i == n_workers)
		workers[n_workers++] = worker;
	worker->born = unix_ms();
	worker->listener = listen_on(worker->port);
	worker->port = local_port(worker->listener);
	serve_worker(worker);
	record("worker %s (%s, version %s) starts at port %u, born %llu",
	    worker->id, worker->service, worker->version, worker->port,
	    (unsigned long long)worker->born);
	if (worker->registers)
		worker_write_entry(worker);
}

void
worker_crash(struct worker *worker)
{
	struct server *server = worker_servers[worker_index(worker)];

	record("worker %s crashes", worker->id);
	worker->registers = false;
	shutdown(worker->listener, SHUT_RDWR);
	close(worker->listener);
	server_reset_conns(server);
}

void
worker_restart(struct worker *worker)
{
	uint64_t before = worker->born;

	worker->sequence = 0;
	while (unix_ms() <= before)
		sleep_s(0.001);
	worker_start(worker);
}

void
worker_kill_process(struct worker *worker)
{
	record("worker %s is killed (SIGKILL)", worker->id);
	worker->registers = false;
	end_child(worker->pid);
}

struct later {
	void (*run)(struct worker *worker);
	struct worker *worker;
	double seconds;
};

static void *
run_later(void *data)
{
	struct later later = *(struct later *)data;

	free(data);
	sleep_s(later.seconds);
	later.run(later.worker);
	return NULL;
}

static void
start_later(
    void (*run)(struct worker *worker), struct worker *worker, double seconds)
{
	struct later *later = malloc(sizeof(*later));

	*later = (struct later){run, worker, seconds};
	start_thread(run_later, later);
}

void
worker_crash_later(struct worker *worker, double seconds)
{
	start_later(worker_crash, worker, seconds);
}

void
worker_kill_process_later(struct worker *worker, double seconds)
{
	start_later(worker_kill_process, worker, seconds);
}

/// Each worker that registers writes its entry every HEARTBEAT_MS.
static void *
beat(void *data)
{
	(void)data;
	for (;;) {
		sleep_s(HEARTBEAT_MS / 1000.0);
		for (unsigned i = 0; i < n_workers; i++)
			if (workers[i]->registers)
				worker_write_entry(workers[i]);
	}
	return NULL;
}

/* Instances. */

struct instance instances[INSTANCES_MAX] = {
    {.name = "e1"}, {.name = "e2"}, {.name = "e3"}, {.name = "e4"}};
static uint16_t ports[5]; /* caller, ready, control, metrics, peer */

static bool
is_free(const char *ip, uint16_t port, int type)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, type, 0);
	bool is_bound;

	inet_pton(AF_INET, ip, &address.sin_addr);
	is_bound =
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return is_bound;
}

/// Chooses ports that are free at the addresses of all instances.
static void
choose_ports(unsigned n)
{
	unsigned next = 20000 + (unsigned)(getpid() * 7 + time(NULL)) % 9000;

	for (unsigned p = 0; p < 5; next++) {
		bool free_at_all = true;

		for (unsigned i = 0; i < n; i++)
			free_at_all = free_at_all &&
			    is_free(instances[i].ip, (uint16_t)next,
				SOCK_STREAM) &&
			    is_free(
				instances[i].ip, (uint16_t)next, SOCK_DGRAM);
		if (free_at_all)
			ports[p++] = (uint16_t)next;
		if (next > 31000)
			not_run("no free ports");
	}
}

/// Writes settings as deploy/settings.json.in gives them, filled in as on the
/// page of the first deployment.
static void
write_settings(const struct instance *instance, const char *seeds)
{
	char path[1024];
	FILE *out;

	snprintf(path, sizeof(path), "%s/%s.json", folder, instance->name);
	out = fopen(path, "w");
	if (out == NULL)
		not_run("can't write %s", path);
	fprintf(out,
	    "{\n\"instance\": \"%s\", \"zone\": \"z1\",\n"
	    "\"listen\": {\"caller\": \"%s:%u\", \"ready\": \"%s:%u\",\n"
	    "\"control\": \"%s:%u\", \"peer_port\": %u, "
	    "\"metrics_port\": %u},\n"
	    "\"seeds\": \"%s\",\n"
	    "\"limits\": {\"memory_mb\": 110, \"max_fds\": 4100, "
	    "\"link_mbps\": 1000},\n"
	    "\"store\": {\"address\": \"127.0.0.1:%u\"},\n"
	    "\"retries\": {\"slack\": 58, \"window_ms\": 10e3, "
	    "\"ratio\": 0.2},\n"
	    "\"cold\": {\"overrun\": 1.5, \"slack\": 5},\n"
	    "\"leaving\": {\"grace_ms\": 8e3}\n}\n",
	    instance->name, instance->ip, ports[0], instance->ip, ports[1],
	    instance->ip, ports[2], ports[4], ports[3], seeds, store.port);
	fclose(out);
}

void
instance_run(struct instance *instance)
{
	char settings[1024];
	char log[1024];
	pid_t pid;

	snprintf(
	    settings, sizeof(settings), "%s/%s.json", folder, instance->name);
	snprintf(log, sizeof(log), "%s/%s.log", folder, instance->name);
	pid = fork();
	if (pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		alarm(0);
		signal(SIGPIPE, SIG_DFL);
		execl(program, program, "entry", "--settings", settings,
		    (char *)NULL);
		_exit(127);
	}
	instance->pid = pid;
	add_child(pid);
	record("instance %s starts", instance->name);
}

void
instance_kill(struct instance *instance)
{
	record("instance %s is killed (SIGKILL)", instance->name);
	end_child(instance->pid);
}

static int
connect_to(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &address.sin_addr);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/// The platform's question whether an instance is ready.
static bool
is_ready(const struct instance *instance)
{
	struct reader *reader;
	struct message answer = {0};
	int fd = connect_to(instance->ip, ports[1]);
	bool ready;

	if (fd < 0)
		return false;
	send_text(fd,
	    "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n"
	    "Connection: close\r\n\r\n");
	reader = calloc(1, sizeof(*reader));
	reader->fd = fd;
	ready = read_message(reader, &answer, true) && answer.status == 200;
	message_free(&answer);
	free(reader);
	close(fd);
	return ready;
}

void
instance_wait_ready(struct instance *instance)
{
	double until = now_s() + READY_SPAN_S;

	while (!is_ready(instance)) {
		if (now_s() >= until)
			not_run("instance %s isn't ready", instance->name);
		sleep_s(0.02);
	}
	record("instance %s is ready", instance->name);
}

void
instances_start(unsigned n)
{
	char seeds[256] = "";

	for (unsigned i = 0; i < n; i++)
		snprintf(instances[i].ip, sizeof(instances[i].ip),
		    "127.0.1.%u", i + 1);
	choose_ports(n);
	for (unsigned i = 0; i < n && i < 3; i++)
		snprintf(seeds + strlen(seeds), sizeof(seeds) - strlen(seeds),
		    "%s%s:%u", i == 0 ? "" : ",", instances[i].ip, ports[2]);
	for (unsigned i = 0; i < n; i++) {
		write_settings(&instances[i], seeds);
		instance_run(&instances[i]);
	}
	for (unsigned i = 0; i < n; i++)
		instance_wait_ready(&instances[i]);
	start_thread(beat, NULL);
}

/* Clients. */

void
call_make(struct call *call)
{
	static unsigned n_calls;
	struct timeval timeout = {
	    .tv_sec = call->deadline_ms / 1000 + 2, .tv_usec = 0};
	struct reader *reader;
	char *body;
	int fd;

	if (call->id[0] == '\0')
		snprintf(call->id, sizeof(call->id), "c%05u",
		    __sync_add_and_fetch(&n_calls, 1));
	call->sent_at = now_s();
	memset(&call->answer, 0, sizeof(call->answer));
	fd = connect_to(call->instance->ip, ports[0]);
	if (fd < 0) {
		call->ended_at = now_s();
		record("client: %s to %s: no connection", call->id,
		    call->instance->name);
		return;
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	body = malloc(call->body_len + 1);
	memset(body, 'x', call->body_len);
	send_text(fd,
	    "%s %s HTTP/1.1\r\nHost: a.example\r\n"
	    "Authorization: Token %s\r\nAttempt-Id: %s\r\n"
	    "Deadline-Ms: %d\r\n%s",
	    call->method, call->path, call->key, call->id, call->deadline_ms,
	    call->fields == NULL ? "" : call->fields);
	if (strcmp(call->method, "GET") != 0)
		send_text(fd, "Content-Length: %zu\r\n", call->body_len);
	send_text(fd, "\r\n");
	send_bytes(fd, body, call->body_len);
	free(body);
	reader = calloc(1, sizeof(*reader));
	reader->fd = fd;
	if (!read_message(reader, &call->answer, true))
		call->answer.status = 0;
	free(reader);
	close(fd);
	call->ended_at = now_s();
	record("client: %s %s with key %s to %s, sent at %.3f: status %d, "
	       "%s, %zu bytes, seal \"%s\"",
	    call->id, call->path, call->key, call->instance->name,
	    call->sent_at, call->answer.status,
	    call->answer.complete ? "whole" : "cut", call->answer.len,
	    message_field(&call->answer, "Response-Seal"));
}

static void *
make_in_thread(void *data)
{
	call_make(data);
	return NULL;
}

void
calls_make(struct call *calls, unsigned n)
{
	pthread_t threads[64];

	if (n > 64)
		not_run("too many calls at a time");
	for (unsigned i = 0; i < n; i++)
		pthread_create(&threads[i], NULL, make_in_thread, &calls[i]);
	for (unsigned i = 0; i < n; i++)
		pthread_join(threads[i], NULL);
}

/* Configuration. */

void
config_write(unsigned version, const char *keys)
{
	char *text;

	if (asprintf(&text,
		"{\"version\":%u,\"routes\":["
		"{\"name\":\"draft\",\"host\":\"a.example\","
		"\"prefix\":\"/draft/\",\"route_kind\":\"streaming\","
		"\"service\":\"lm\",\"priority\":1,"
		"\"target_latency_ms\":1800,\"target_gap_ms\":180,"
		"\"timeout_ms\":39000,\"max_attempts\":1,\"sticky\":true},"
		"{\"name\":\"hint\",\"host\":\"a.example\","
		"\"prefix\":\"/hint/\",\"route_kind\":\"streaming\","
		"\"service\":\"lm\",\"priority\":0,"
		"\"target_latency_ms\":1500,\"target_gap_ms\":180,"
		"\"timeout_ms\":6000,\"max_attempts\":2,\"sticky\":true,"
		"\"resumable\":true},"
		"{\"name\":\"order\",\"host\":\"a.example\","
		"\"prefix\":\"/order/\",\"route_kind\":\"non_idempotent\","
		"\"service\":\"shop\",\"priority\":2,"
		"\"target_latency_ms\":300,\"timeout_ms\":4000,"
		"\"max_attempts\":1},"
		"{\"name\":\"check\",\"host\":\"a.example\","
		"\"prefix\":\"/check/\",\"route_kind\":\"idempotent\","
		"\"service\":\"shop\",\"priority\":2,"
		"\"target_latency_ms\":300,\"timeout_ms\":4000,"
		"\"max_attempts\":2}],"
		"\"services\":[{\"name\":\"lm\",\"max_conns\":282,"
		"\"cold_per_s\":37,\"cold_s\":1,\"engine\":{\"slots\":24,"
		"\"kv_capacity\":34424,\"kv_bytes\":327680,"
		"\"link_mbps\":47000,\"stride\":4,\"handle_s\":5,"
		"\"pin_ms\":4000,\"hold_ms\":2000,\"moves\":true,"
		"\"backups\":true}},"
		"{\"name\":\"shop\",\"max_conns\":110,"
		"\"health_path\":\"/healthz\"}],"
		"\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":15000},"
		"\"tenants\":[{\"name\":\"t1\",\"api_keys\":[%s]}]}",
		version, keys) < 0)
		not_run("no memory");
	store_put("op/config", text);
	record("operator: version %u of the configuration, keys %s, is "
	       "acknowledged at revision %llu",
	    version, keys, (unsigned long long)store_revision());
	free(text);
}
