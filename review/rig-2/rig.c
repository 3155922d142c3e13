#include "rig.h"

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
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 16384
#define BODY_MAX (1 << 20)
#define CHANGES_MAX 65536
#define ITEMS_MAX 256
#define HEARTBEAT_MS 1200
#define READY_WAIT_MS 15000

struct rig rig = {.trouble = true};
void (*rig_on_run)(
    const struct rig_worker *worker, const char *attempt, const char *last);

void (*rig_on_crash)(const struct rig_worker *worker);

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec started;

/* ------------------------------------------------------------------ time */

int64_t
rig_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (now.tv_sec - started.tv_sec) * 1000 +
	    (now.tv_nsec - started.tv_nsec) / 1000000;
}

static int64_t
unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
sleep_ms(int64_t ms)
{
	struct timespec span = {ms / 1000, (ms % 1000) * 1000000};

	if (ms > 0)
		nanosleep(&span, NULL);
}

void
rig_sleep_until(int64_t at)
{
	int64_t left;

	while ((left = at - rig_now()) > 0)
		sleep_ms(left);
}

/* ---------------------------------------------------------------- record */

void
rig_record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)rig_now() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

/* ------------------------------------------------------------- processes */

static struct {
	pid_t pid;
	int64_t started_at;
	char ip[32];
	char settings[RIG_TEXT_MAX + 32];
	char log[RIG_TEXT_MAX + 32];
} entries[RIG_ENTRIES_MAX];
static unsigned n_entries;
static struct {
	uint16_t caller, ready, control, peer, metrics;
} ports;

void
rig_open(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");

	if (argc < 3) {
		fprintf(stderr, "usage: %s PROGRAM RECORD\n", argv[0]);
		exit(RIG_NOT_RUN);
	}
	clock_gettime(CLOCK_MONOTONIC, &started);
	signal(SIGPIPE, SIG_IGN);
	rig.trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	rig.binary = argv[1];
	record_file = fopen(argv[2], "w");
	strcpy(rig.dir, "/tmp/godwitvale-review-XXXXXX");
	if (record_file == NULL || access(rig.binary, X_OK) != 0 ||
	    mkdtemp(rig.dir) == NULL) {
		fprintf(stderr, "can't start: %s\n", strerror(errno));
		exit(RIG_NOT_RUN);
	}
	rig_record("case begins, trouble=%d", rig.trouble);
}

void
rig_exit(int status, const char *reason)
{
	static const char *const names[] = {"held", "broken", "not run"};

	for (unsigned i = 0; i < n_entries; i++)
		if (entries[i].pid > 0)
			kill(entries[i].pid, SIGKILL);
	for (unsigned i = 0; i < n_entries; i++)
		rig_entry_wait(i);
	for (unsigned i = 0; i < n_entries; i++) {
		unlink(entries[i].settings);
		if (getenv("KEEP_LOGS") == NULL)
			unlink(entries[i].log);
	}
	rmdir(rig.dir);
	rig_record("%s: %s", names[status], reason);
	printf("%s: %s\n", names[status], reason);
	fflush(stdout);
	_exit(status);
}

uint16_t
rig_free_port(void)
{
	static uint16_t next;
	int fd;

	if (next == 0)
		next = (uint16_t)(12000 + (unsigned)getpid() * 97 % 5000);
	for (;;) {
		struct sockaddr_in address = {
		    .sin_family = AF_INET,
		    .sin_port = htons(++next),
		    .sin_addr.s_addr = htonl(INADDR_ANY),
		};
		bool ok;

		fd = socket(AF_INET, SOCK_STREAM, 0);
		ok =
		    bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
		close(fd);
		if (ok)
			return next;
	}
}

void
rig_entries_prepare(unsigned n)
{
	n_entries = n;
	ports.caller = rig_free_port();
	ports.ready = rig_free_port();
	ports.control = rig_free_port();
	ports.peer = rig_free_port();
	ports.metrics = rig_free_port();
	for (unsigned i = 0; i < n; i++) {
		FILE *file;

		snprintf(
		    entries[i].ip, sizeof(entries[i].ip), "127.0.1.%u", i + 1);
		snprintf(entries[i].settings, sizeof(entries[i].settings),
		    "%s/edge-%u.json", rig.dir, i + 1);
		snprintf(entries[i].log, sizeof(entries[i].log),
		    "%s/edge-%u.log", rig.dir, i + 1);
		file = fopen(entries[i].settings, "w");
		if (file == NULL)
			rig_exit(RIG_NOT_RUN, "settings can't be written");
		/* deploy/settings.json.in, filled in for a small deployment */
		fprintf(file,
		    "{\n\"instance\": \"edge-%u\",\n\"zone\": \"z1\",\n"
		    "\"listen\": {\"caller\": \"%s:%u\", \"ready\": \"%s:%u\","
		    " \"control\": \"%s:%u\", \"peer_port\": %u,"
		    " \"metrics_port\": %u},\n"
		    "\"seeds\": \"127.0.1.1:%u,127.0.1.2:%u,127.0.1.3:%u\",\n"
		    "\"limits\": {\"memory_mb\": 110, \"max_fds\": 4100,"
		    " \"link_mbps\": 1000.0},\n"
		    "\"store\": {\"address\": \"127.0.0.1:%u\"},\n"
		    "\"retries\": {\"slack\": 58, \"window_ms\": 10000,"
		    " \"ratio\": 0.2},\n"
		    "\"cold\": {\"overrun\": 1.5, \"slack\": 5},\n"
		    "\"leaving\": {\"grace_ms\": 8000}\n}\n",
		    i + 1, entries[i].ip, ports.caller, entries[i].ip,
		    ports.ready, entries[i].ip, ports.control, ports.peer,
		    ports.metrics, ports.control, ports.control, ports.control,
		    rig_store_port());
		fclose(file);
	}
}

void
rig_entry_start(unsigned i)
{
	pid_t pid = fork();

	if (pid == 0) {
		int fd =
		    open(entries[i].log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		for (int other = 3; other < 1024; other++)
			close(other);
		execl(rig.binary, rig.binary, "entry", "--settings",
		    entries[i].settings, (char *)NULL);
		_exit(127);
	}
	entries[i].pid = pid;
	entries[i].started_at = rig_now();
	rig_record("instance edge-%u starts", i + 1);
}

void
rig_entry_signal(unsigned i, int number)
{
	rig_record("instance edge-%u gets signal %d", i + 1, number);
	if (entries[i].pid > 0)
		kill(entries[i].pid, number);
}

void
rig_entry_wait(unsigned i)
{
	int status;

	if (entries[i].pid <= 0)
		return;
	waitpid(entries[i].pid, &status, 0);
	rig_record("instance edge-%u has ended: %s %d", i + 1,
	    WIFSIGNALED(status) ? "signal" : "exit code",
	    WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
	entries[i].pid = 0;
}

int64_t
rig_entry_started_at(unsigned i)
{
	return entries[i].started_at;
}

/* --------------------------------------------------------------- sockets */

static int
connect_to(const char *ip, uint16_t port, int timeout_ms)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct pollfd ready = {.fd = fd, .events = POLLOUT};
	int error = 0;
	socklen_t len = sizeof(error);
	int on = 1;

	inet_pton(AF_INET, ip, &address.sin_addr);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    (errno != EINPROGRESS || poll(&ready, 1, timeout_ms) <= 0 ||
		getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 ||
		error != 0)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

static bool
send_all(int fd, const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		len -= (size_t)n;
	}
	return true;
}

static int
listen_on(uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 512) != 0)
		rig_exit(RIG_NOT_RUN, "a stand-in can't listen");
	return fd;
}

/// A request that a stand-in has read.
struct request {
	char head[HEAD_MAX];
	char method[16];
	char target[2048];
	char *body;
	size_t body_len;
};

/// Finds a field's value and copies it; "" if there is none.
static void
get_field(const char *head, const char *name, char *value, size_t size)
{
	size_t name_len = strlen(name);
	const char *line = strstr(head, "\r\n");

	value[0] = '\0';
	for (; line != NULL; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, name_len) == 0 &&
		    line[name_len] == ':') {
			const char *from = line + name_len + 1;
			const char *to = strstr(from, "\r\n");

			while (*from == ' ')
				from++;
			snprintf(value, size, "%.*s", (int)(to - from), from);
			return;
		}
	}
}

/// Reads the next request of a connection, with a body that has a length.
static bool
read_request(int fd, struct request *request)
{
	char length[32];
	size_t len = 0;
	char *end = NULL;
	size_t rest;

	while (end == NULL) {
		ssize_t n =
		    recv(fd, request->head + len, HEAD_MAX - 1 - len, 0);

		if (n <= 0 || len + (size_t)n >= HEAD_MAX - 1)
			return false;
		len += (size_t)n;
		request->head[len] = '\0';
		end = strstr(request->head, "\r\n\r\n");
	}
	rest = len - (size_t)(end + 4 - request->head);
	get_field(request->head, "Content-Length", length, sizeof(length));
	request->body_len = strtoul(length, NULL, 10);
	if (request->body_len > BODY_MAX || rest > request->body_len)
		return false;
	request->body = malloc(request->body_len + 1);
	memcpy(request->body, end + 4, rest);
	while (rest < request->body_len) {
		ssize_t n =
		    recv(fd, request->body + rest, request->body_len - rest, 0);

		if (n <= 0) {
			free(request->body);
			return false;
		}
		rest += (size_t)n;
	}
	request->body[request->body_len] = '\0';
	end[4] = '\0';
	if (sscanf(request->head, "%15s %2047s", request->method,
		request->target) == 2)
		return true;
	free(request->body);
	return false;
}

static bool
send_response(int fd, int status, const char *fields, const char *body)
{
	size_t size = strlen(body) + strlen(fields) + 256;
	char *text = malloc(size);
	int len = snprintf(text, size,
	    "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n%s", status,
	    fields, strlen(body), body);
	bool ok = send_all(fd, text, (size_t)len);

	free(text);
	return ok;
}

/// Serves a connection in a thread of its own.
struct connection {
	int fd;
	void *owner;
	void (*serve)(int fd, void *owner);
};

static void *
serve_connection(void *data)
{
	struct connection connection = *(struct connection *)data;

	free(data);
	connection.serve(connection.fd, connection.owner);
	close(connection.fd);
	return NULL;
}

struct listener {
	int fd;
	void *owner;
	void (*serve)(int fd, void *owner);
};

static void
start_thread(void *(*run)(void *), void *data)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, data) != 0)
		rig_exit(RIG_NOT_RUN, "no thread");
	pthread_attr_destroy(&attributes);
}

static void *
run_listener(void *data)
{
	struct listener *listener = data;

	for (;;) {
		int on = 1;
		int fd = accept(listener->fd, NULL, NULL);
		struct connection *connection;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = malloc(sizeof(*connection));
		*connection =
		    (struct connection){fd, listener->owner, listener->serve};
		start_thread(serve_connection, connection);
	}
	return NULL;
}

static void
start_listener(uint16_t port, void (*serve)(int fd, void *owner), void *owner)
{
	struct listener *listener = malloc(sizeof(*listener));

	*listener = (struct listener){listen_on(port), owner, serve};
	start_thread(run_listener, listener);
}

/* ----------------------------------------------------------------- store */

struct item {
	char key[200];
	char *value; /// base64; NULL: the place is free
	uint64_t revision, created;
};

struct change {
	char key[200];
	char *value; /// base64; NULL: deleted
	uint64_t revision;
	int64_t at;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct item items[ITEMS_MAX];
	struct change changes[CHANGES_MAX];
	size_t n_changes;
	uint64_t revision;
	int64_t history_ms;
	uint16_t port;
} store = {.lock = PTHREAD_MUTEX_INITIALIZER,
    .changed = PTHREAD_COND_INITIALIZER,
    .revision = 100};

static char *
encode_base64(const char *text)
{
	static const char digits[] =
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc(len * 4 / 3 + 8);
	size_t at = 0;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			bits |= (unsigned char)text[i + 2];
		out[at++] = digits[bits >> 18 & 63];
		out[at++] = digits[bits >> 12 & 63];
		out[at++] = i + 1 < len ? digits[bits >> 6 & 63] : '=';
		out[at++] = i + 2 < len ? digits[bits & 63] : '=';
	}
	out[at] = '\0';
	return out;
}

static void
write_item(const char *key, const char *value)
{
	struct item *item = NULL;
	struct change *change;

	pthread_mutex_lock(&store.lock);
	store.revision++;
	for (size_t i = 0; i < ITEMS_MAX && item == NULL; i++)
		if (store.items[i].value != NULL &&
		    strcmp(store.items[i].key, key) == 0)
			item = &store.items[i];
	for (size_t i = 0; i < ITEMS_MAX && item == NULL; i++)
		if (store.items[i].value == NULL) {
			item = &store.items[i];
			item->created = store.revision;
		}
	snprintf(item->key, sizeof(item->key), "%s", key);
	free(item->value);
	item->value = value == NULL ? NULL : encode_base64(value);
	item->revision = store.revision;
	if (store.n_changes == CHANGES_MAX)
		rig_exit(RIG_NOT_RUN, "the store is full");
	change = &store.changes[store.n_changes++];
	snprintf(change->key, sizeof(change->key), "%s", key);
	change->value = value == NULL ? NULL : encode_base64(value);
	change->revision = store.revision;
	change->at = rig_now();
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

void
rig_store_put(const char *key, const char *value)
{
	write_item(key, value);
}

void
rig_store_delete(const char *key)
{
	write_item(key, NULL);
}

/// Reads a number or a text from a query.
static void
get_query(const char *target, const char *name, char *value, size_t size)
{
	const char *at = strchr(target, '?');
	size_t name_len = strlen(name);

	value[0] = '\0';
	while (at != NULL) {
		at++;
		if (strncmp(at, name, name_len) == 0 && at[name_len] == '=') {
			size_t len = strcspn(at + name_len + 1, "&");

			snprintf(
			    value, size, "%.*s", (int)len, at + name_len + 1);
			return;
		}
		at = strchr(at, '&');
	}
}

/// Appends to a text that grows.
struct text {
	char *bytes;
	size_t len, size;
};

static void
append(struct text *text, const char *format, ...)
{
	va_list args;
	size_t need;

	va_start(args, format);
	need = (size_t)vsnprintf(NULL, 0, format, args) + 1;
	va_end(args);
	if (text->len + need > text->size) {
		text->size = (text->len + need) * 2;
		text->bytes = realloc(text->bytes, text->size);
	}
	va_start(args, format);
	vsnprintf(text->bytes + text->len, need, format, args);
	va_end(args);
	text->len += need - 1;
}

static void
answer_range(int fd, const char *target)
{
	char prefix[200];
	struct text text = {0};
	const char *comma = "";

	get_query(target, "prefix", prefix, sizeof(prefix));
	pthread_mutex_lock(&store.lock);
	append(&text, "{\"entries\":[");
	for (size_t i = 0; i < ITEMS_MAX; i++) {
		const struct item *item = &store.items[i];

		if (item->value == NULL ||
		    strncmp(item->key, prefix, strlen(prefix)) != 0)
			continue;
		append(&text,
		    "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,"
		    "\"created\":%llu,\"lease\":0}",
		    comma, item->key, item->value,
		    (unsigned long long)item->revision,
		    (unsigned long long)item->created);
		comma = ",";
	}
	append(&text, "],\"truncated\":false,\"as_of\":%llu}",
	    (unsigned long long)store.revision);
	pthread_mutex_unlock(&store.lock);
	send_response(
	    fd, 200, "Content-Type: application/json\r\n", text.bytes);
	free(text.bytes);
}

/// Writes the changes after a revision. The lock is held.
///
/// @return number of changes; -1: they are not in the history any more
static int
list_changes(const char *prefix, uint64_t after, struct text *text)
{
	int64_t oldest = rig_now() - store.history_ms;
	int n = 0;

	for (size_t i = 0; i < store.n_changes; i++) {
		const struct change *change = &store.changes[i];

		if (change->revision <= after)
			continue;
		if (change->at < oldest)
			return -1;
		if (strncmp(change->key, prefix, strlen(prefix)) != 0)
			continue;
		append(text, n++ == 0 ? "" : ",");
		if (change->value == NULL)
			append(text,
			    "{\"key\":\"%s\",\"revision\":%llu,"
			    "\"deleted\":true}",
			    change->key, (unsigned long long)change->revision);
		else
			append(text,
			    "{\"key\":\"%s\",\"value\":\"%s\","
			    "\"revision\":%llu,\"created\":%llu,\"lease\":0}",
			    change->key, change->value,
			    (unsigned long long)change->revision,
			    (unsigned long long)change->revision);
	}
	return n;
}

static void
answer_watch(int fd, const char *target)
{
	char prefix[200], number[32];
	uint64_t after;
	int64_t until;
	int n;

	get_query(target, "prefix", prefix, sizeof(prefix));
	get_query(target, "after", number, sizeof(number));
	after = strtoull(number, NULL, 10);
	get_query(target, "wait_ms", number, sizeof(number));
	until = rig_now() + strtoll(number, NULL, 10);
	pthread_mutex_lock(&store.lock);
	for (;;) {
		struct text text = {0};
		struct timespec deadline;
		int64_t wait = until - rig_now();

		append(&text, "{\"events\":[");
		n = list_changes(prefix, after, &text);
		if (n != 0 || wait <= 0) {
			append(&text, "],\"as_of\":%llu}",
			    (unsigned long long)store.revision);
			pthread_mutex_unlock(&store.lock);
			if (n < 0)
				rig_record("store: watch after %llu: 410",
				    (unsigned long long)after);
			send_response(fd, n < 0 ? 410 : 200,
			    "Content-Type: application/json\r\n",
			    n < 0 ? "{}" : text.bytes);
			free(text.bytes);
			return;
		}
		free(text.bytes);
		clock_gettime(CLOCK_REALTIME, &deadline);
		wait = wait > 50 ? 50 : wait;
		deadline.tv_nsec += wait * 1000000;
		deadline.tv_sec += deadline.tv_nsec / 1000000000;
		deadline.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&store.changed, &store.lock, &deadline);
	}
}

static void
serve_store(int fd, void *owner)
{
	struct request *request = malloc(sizeof(*request));

	(void)owner;
	while (read_request(fd, request)) {
		free(request->body);
		sleep_ms(4); /* the time of an answer, as the sheet says */
		if (strncmp(request->target, "/v1/kv-range", 12) == 0)
			answer_range(fd, request->target);
		else if (strncmp(request->target, "/v1/kv-watch", 12) == 0)
			answer_watch(fd, request->target);
		else
			send_response(fd, 404, "", "{}");
	}
	free(request);
}

void
rig_store_start(int64_t history_ms)
{
	store.history_ms = history_ms;
	store.port = rig_free_port();
	start_listener(store.port, serve_store, NULL);
}

uint16_t
rig_store_port(void)
{
	return store.port;
}

/* --------------------------------------------------------------- workers */

static struct rig_worker workers[RIG_WORKERS_MAX];
static unsigned n_workers;

static void
register_worker(struct rig_worker *worker)
{
	char key[64], value[512];

	snprintf(key, sizeof(key), "servers/%s", worker->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
	    "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
	    "\"cold_left_ms\":0,\"sequence\":%u,\"born\":%lld}",
	    worker->service, worker->port, worker->zone, worker->version,
	    worker->is_engine ? 24 : 6, worker->draining ? "draining" : "ready",
	    ++worker->sequence, (long long)worker->born);
	rig_store_put(key, value);
}

static void *
run_heartbeats(void *data)
{
	struct rig_worker *worker = data;

	for (;;) {
		sleep_ms(HEARTBEAT_MS);
		if (!worker->is_down)
			register_worker(worker);
	}
	return NULL;
}

/// Checks whether the caller has closed or reset its connection.
static bool
has_left(int fd)
{
	struct pollfd state = {.fd = fd, .events = POLLIN | POLLRDHUP};

	return poll(&state, 1, 0) > 0 &&
	    (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static pthread_mutex_t worker_lock = PTHREAD_MUTEX_INITIALIZER;

/// Notes a connection as open, or as closed.
///
/// @return false if the worker is down
static bool
note_connection(struct rig_worker *worker, int fd, bool is_open)
{
	bool ok = false;

	pthread_mutex_lock(&worker_lock);
	for (size_t i = 0; i < 256 && !(is_open && worker->is_down); i++)
		if (worker->connections[i] == (is_open ? 0 : fd)) {
			worker->connections[i] = is_open ? fd : 0;
			ok = true;
			break;
		}
	pthread_mutex_unlock(&worker_lock);
	return ok;
}

static void *run_worker_listener(void *data);

static void *
run_restart(void *data)
{
	struct rig_worker *worker = data;

	sleep_ms(worker->down_ms);
	pthread_mutex_lock(&worker_lock);
	worker->is_down = false;
	worker->born = unix_ms();
	worker->sequence = 0;
	worker->listener = listen_on(worker->port);
	pthread_mutex_unlock(&worker_lock);
	start_thread(run_worker_listener, worker);
	rig_record("worker %s is back", worker->id);
	register_worker(worker);
	return NULL;
}

void
rig_worker_crash(struct rig_worker *worker)
{
	const struct linger reset = {.l_onoff = 1};
	bool was_down;

	pthread_mutex_lock(&worker_lock);
	was_down = worker->is_down;
	worker->is_down = true;
	for (size_t i = 0; i < 256 && !was_down; i++)
		if (worker->connections[i] != 0) {
			setsockopt(worker->connections[i], SOL_SOCKET,
			    SO_LINGER, &reset, sizeof(reset));
			shutdown(worker->connections[i], SHUT_RDWR);
		}
	if (!was_down) {
		shutdown(worker->listener, SHUT_RDWR);
		close(worker->listener);
	}
	pthread_mutex_unlock(&worker_lock);
	if (was_down)
		return;
	rig_record("worker %s crashes", worker->id);
	if (rig_on_crash != NULL)
		rig_on_crash(worker);
	start_thread(run_restart, worker);
}

/// Checks whether a part of the prompt, but not the last one, crashes a worker.
static bool
has_crash_part(const struct rig_worker *worker, const char *parts)
{
	for (size_t i = 0; i < 2; i++) {
		const char *part = worker->crash_parts[i];
		const char *at = part == NULL ? NULL : strstr(parts, part);

		if (at != NULL && strchr(at, ',') != NULL)
			return true;
	}
	return false;
}

static bool
stream_events(
    struct rig_worker *worker, int fd, const char *fields, long from, long to)
{
	char head[1024];
	int len = snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    fields);

	for (long id = from; id <= to; id++) {
		char event[256], chunk[320];
		int event_len = snprintf(event, sizeof(event),
		    "id: %ld\ndata: event %ld of %s\n\n", id, id,
		    worker->version);

		if (id == from)
			sleep_ms(worker->first_ms);
		else if (id - from <= worker->n_silences)
			sleep_ms(worker->silent_ms);
		else
			sleep_ms(worker->event_ms);
		if (has_left(fd) || worker->is_down)
			return false;
		/* The answer begins with its first event. */
		if (id == from && !send_all(fd, head, (size_t)len))
			return false;
		event_len = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n",
		    (unsigned)event_len, event);
		if (!send_all(fd, chunk, (size_t)event_len))
			return false;
	}
	return send_all(fd, "0\r\n\r\n", 5);
}

/// Runs one request.
///
/// @return false if the connection is of no use any more
static bool
run_request(struct rig_worker *worker, int fd, struct request *request)
{
	char id[64], expected[64], tokens[64], last[32], fields[512], body[800];
	char parts[512];
	const char *comma;
	bool ok;

	get_field(request->head, "Attempt-Id", id, sizeof(id));
	get_field(request->head, "Expect-Instance", expected, sizeof(expected));
	get_field(request->head, "Token-Usage", tokens, sizeof(tokens));
	get_field(request->head, "Last-Event-Id", last, sizeof(last));
	snprintf(fields, sizeof(fields),
	    "Attempt-Id: %s\r\nKeep-Alive: timeout=5\r\n", id);
	if (expected[0] != '\0' && strcmp(expected, worker->id) != 0)
		return send_response(fd, 421, fields, "");
	if (id[0] == '\0')
		return send_response(fd, 400, "Not-Executed: 1\r\n", "");
	rig_record("worker %s (%s %s) runs %s%s%s", worker->id, worker->service,
	    worker->version, id, last[0] == '\0' ? "" : " after event ", last);
	if (rig_on_run != NULL)
		rig_on_run(worker, id, last);
	get_field(request->head, "Prefix-Hash", parts, sizeof(parts));
	if (has_crash_part(worker, parts)) {
		sleep_ms(worker->first_ms);
		rig_worker_crash(worker);
		return false;
	}
	snprintf(fields + strlen(fields), sizeof(fields) - strlen(fields),
	    "Response-Seal: %s.%s\r\n", worker->id, id);
	comma = strchr(tokens, ',');
	if (worker->is_engine && comma != NULL) {
		long n_events = (strtol(comma + 1, NULL, 10) + 3) / 4;

		ok = stream_events(
		    worker, fd, fields, strtol(last, NULL, 10) + 1, n_events);
		rig_record("worker %s: %s %s", worker->id, id,
		    ok ? "is complete" : "is broken off by its caller");
		return ok;
	}
	sleep_ms(worker->request_ms);
	memset(body, 'x', sizeof(body));
	body[sizeof(body) - 1] = '\0';
	return send_response(fd, 200, fields, body);
}

static void
serve_worker(int fd, void *owner)
{
	struct rig_worker *worker = owner;
	struct request *request = malloc(sizeof(*request));
	char text[512];
	bool ok = note_connection(worker, fd, true);

	while (ok && read_request(fd, request)) {
		if (strncmp(request->target, "/v1/report", 10) == 0) {
			snprintf(text, sizeof(text),
			    "{\"stage\":\"unified\",\"models\":[{\"name\":"
			    "\"m\",\"version\":1,\"adapters\":[]}],\"busy\":"
			    "false,\"sequence\":0,\"queued\":0,\"active\":0,"
			    "\"kv_used\":0,\"kv_total\":34424,\"handles\":0,"
			    "\"state\":\"%s\",\"born\":%lld}",
			    worker->draining ? "draining" : "ready",
			    (long long)worker->born);
			ok = send_response(
			    fd, 200, "Keep-Alive: timeout=5\r\n", text);
		} else if (strncmp(request->target, "/healthz", 8) == 0) {
			snprintf(text, sizeof(text),
			    "Keep-Alive: timeout=5\r\nInstance-Id: %s\r\n",
			    worker->id);
			ok = send_response(fd, 200, text, "");
		} else if (strncmp(request->target, "/v1/kv-move", 11) == 0) {
			ok = send_response(fd, 404, "", "{}");
		} else {
			ok = run_request(worker, fd, request);
		}
		free(request->body);
	}
	note_connection(worker, fd, false);
	free(request);
}

/// Accepts a worker's connections until it crashes.
static void *
run_worker_listener(void *data)
{
	struct rig_worker *worker = data;
	int listener = worker->listener;

	for (;;) {
		int on = 1;
		int fd = accept(listener, NULL, NULL);
		struct connection *connection;

		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = malloc(sizeof(*connection));
		*connection = (struct connection){fd, worker, serve_worker};
		start_thread(serve_connection, connection);
	}
}

struct rig_worker *
rig_worker_start(const char *service, const char *version, bool is_engine,
    int event_ms, int request_ms)
{
	struct rig_worker *worker = &workers[n_workers++];

	*worker = (struct rig_worker){
	    .service = service,
	    .zone = "z1",
	    .version = version,
	    .is_engine = is_engine,
	    .event_ms = event_ms,
	    .first_ms = event_ms,
	    .request_ms = request_ms,
	    .port = rig_free_port(),
	    .born = unix_ms(),
	};
	snprintf(worker->id, sizeof(worker->id), "i-%04x%04x", worker->port,
	    n_workers);
	worker->down_ms = 2000;
	worker->listener = listen_on(worker->port);
	start_thread(run_worker_listener, worker);
	register_worker(worker);
	start_thread(run_heartbeats, worker);
	rig_record(
	    "worker %s starts: %s, software %s", worker->id, service, version);
	return worker;
}

/* --------------------------------------------------------------- clients */

bool
rig_entry_is_ready(unsigned i)
{
	char answer[512];
	static const char text[] = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n"
				   "Connection: close\r\n\r\n";
	int fd = connect_to(entries[i].ip, ports.ready, 500);
	struct timeval limit = {0, 500000};
	ssize_t n = 0;

	if (fd < 0)
		return false;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (send_all(fd, text, strlen(text)))
		n = recv(fd, answer, sizeof(answer) - 1, 0);
	close(fd);
	answer[n > 0 ? n : 0] = '\0';
	return strncmp(answer, "HTTP/1.1 200", 12) == 0;
}

void
rig_entries_await_ready(void)
{
	int64_t until = rig_now() + READY_WAIT_MS;

	for (unsigned i = 0; i < n_entries; i++) {
		while (!rig_entry_is_ready(i)) {
			if (rig_now() >= until)
				rig_exit(
				    RIG_NOT_RUN, "an instance isn't ready");
			sleep_ms(20);
		}
		rig_record("instance edge-%u is ready", i + 1);
	}
}

static char *
write_call(const struct rig_call *call, size_t *len)
{
	struct text text = {0};

	append(&text,
	    "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n"
	    "Authorization: Token %s\r\nDeadline-Ms: %d\r\n",
	    call->method, call->path, call->host, call->id, call->key,
	    call->deadline_ms);
	if (call->resumes[0] != '\0')
		append(&text, "Resumes: %s\r\n", call->resumes);
	if (call->last_event >= 0)
		append(&text, "Last-Event-Id: %ld\r\n", call->last_event);
	if (call->more_fields != NULL)
		append(&text, "%s", call->more_fields);
	if (call->body != NULL)
		append(&text, "Content-Length: %zu\r\n", strlen(call->body));
	append(&text, "\r\n%s", call->body == NULL ? "" : call->body);
	*len = text.len;
	return text.bytes;
}

/// Notes the ids of the events in the bytes of a body so far.
static void
note_events(struct rig_call *call, const char *body)
{
	call->first_id = -1;
	call->last_id = -1;
	call->is_in_order = true;
	for (const char *at = strstr(body, "id: "); at != NULL;
	     at = strstr(at + 1, "\nid: ")) {
		const char *end = strstr(at, "\n\n");
		const char *of = strstr(at, " of ");
		long id;

		at += at[0] == '\n';
		if (end == NULL)
			break;
		id = strtol(at + 4, NULL, 10);
		if (call->first_id < 0)
			call->first_id = id;
		else if (id != call->last_id + 1)
			call->is_in_order = false;
		call->last_id = id;
		if (of != NULL && of < end)
			snprintf(call->version, sizeof(call->version), "%.*s",
			    (int)(end - of - 4), of + 4);
	}
}

/// Removes the framing of chunks.
///
/// @return whether the last chunk has come
static bool
decode_chunks(char *body)
{
	char *from = body, *to = body;

	for (;;) {
		char *line_end = strstr(from, "\r\n");
		size_t size, left;

		if (line_end == NULL)
			break;
		size = strtoul(from, NULL, 16);
		if (size == 0) {
			*to = '\0';
			return true;
		}
		from = line_end + 2;
		left = strlen(from);
		if (left < size + 2) {
			size = left < size ? left : size;
			memmove(to, from, size);
			to += size;
			break;
		}
		memmove(to, from, size);
		to += size;
		from += size + 2;
	}
	*to = '\0';
	return false;
}

static void
read_answer(struct rig_call *call, char *bytes)
{
	char *head = bytes;
	char *end;
	char value[64];

	while (strncmp(head, "HTTP/1.1 1", 10) == 0 &&
	    (end = strstr(head, "\r\n\r\n")) != NULL)
		head = end + 4;
	end = strstr(head, "\r\n\r\n");
	if (end == NULL)
		return;
	snprintf(call->head, sizeof(call->head), "%.*s", (int)(end + 4 - head),
	    head);
	call->status = atoi(head + strlen("HTTP/1.1 "));
	get_field(call->head, "Retry-After", call->retry_after,
	    sizeof(call->retry_after));
	get_field(call->head, "Transfer-Encoding", value, sizeof(value));
	if (strcasecmp(value, "chunked") == 0) {
		call->is_complete = decode_chunks(end + 4);
	} else {
		get_field(call->head, "Content-Length", value, sizeof(value));
		call->is_complete = value[0] != '\0' &&
		    strlen(end + 4) >= strtoul(value, NULL, 10);
	}
	note_events(call, end + 4);
}

void
rig_call_run(struct rig_call *call)
{
	size_t size = 256 * 1024, len = 0, text_len;
	char *bytes = malloc(size);
	char *text = write_call(call, &text_len);
	int fd = call->fd > 0
	    ? call->fd
	    : connect_to(entries[call->entry].ip, ports.caller, 1000);
	int64_t until;

	call->status = 0;
	call->is_complete = false;
	call->first_id = call->last_id = -1;
	call->sent_at = rig_now();
	until = call->sent_at + call->deadline_ms;
	if (call->leave_at != 0 && call->leave_at < until)
		until = call->leave_at;
	rig_record("client sends %s to edge-%u%s%s%s", call->id,
	    call->entry + 1, call->fd > 0 ? " on a kept connection" : "",
	    call->resumes[0] == '\0' ? "" : ", takes up ", call->resumes);
	if (fd >= 0 && send_all(fd, text, text_len)) {
		while (!call->is_complete && len < size - 1) {
			struct pollfd ready = {.fd = fd, .events = POLLIN};
			int64_t left = until - rig_now();
			ssize_t n;
			char *copy;

			if (left <= 0 || poll(&ready, 1, (int)left) <= 0)
				break;
			n = recv(fd, bytes + len, size - 1 - len, 0);
			if (n <= 0)
				break;
			len += (size_t)n;
			bytes[len] = '\0';
			copy = strdup(bytes);
			read_answer(call, copy);
			free(copy);
		}
	}
	if (fd >= 0 && call->is_complete && call->keeps)
		call->fd = fd;
	else if (fd >= 0)
		close(fd);
	call->ended_at = rig_now();
	rig_record("client: %s ends: status %d, %s, events %ld to %ld%s%s",
	    call->id, call->status,
	    call->is_complete ? "complete" : "not complete", call->first_id,
	    call->last_id, call->retry_after[0] == '\0' ? "" : ", Retry-After ",
	    call->retry_after);
	free(bytes);
	free(text);
}

struct started_calls {
	pthread_t *threads;
	unsigned n;
};

static void *
run_call(void *data)
{
	rig_call_run(data);
	return NULL;
}

void *
rig_calls_start(struct rig_call *calls, unsigned n)
{
	struct started_calls *all = malloc(sizeof(*all));

	all->n = n;
	all->threads = calloc(n, sizeof(*all->threads));
	for (unsigned i = 0; i < n; i++)
		if (pthread_create(
			&all->threads[i], NULL, run_call, &calls[i]) != 0)
			rig_exit(RIG_NOT_RUN, "no thread");
	return all;
}

void
rig_calls_join(void *data)
{
	struct started_calls *all = data;

	for (unsigned i = 0; i < all->n; i++)
		pthread_join(all->threads[i], NULL);
	free(all->threads);
	free(all);
}

void
rig_calls_run(struct rig_call *calls, unsigned n)
{
	rig_calls_join(rig_calls_start(calls, n));
}
