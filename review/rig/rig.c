/* Stand-ins for the review's scripts; see rig.h. */
#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
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

#define HEARTBEAT_MS 1200
#define KV_BYTES 18432 /* a token */
#define LINK_MBPS 2700
#define TOKENS_PER_EVENT 4

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec began;
static char folder[200];
static struct rig_instance instances[RIG_INSTANCES_MAX];
static int n_instances;
static struct rig_worker *workers[RIG_WORKERS_MAX];
static int n_workers;
static int store_port, ready_port, control_port, peer_port, metrics_port;
int rig_caller_port;
int rig_receive_buffer;
int rig_segment_bytes;
void (*rig_on_arrival)(struct rig_worker *, const char *, double);

/* --- time and record ---------------------------------------------------- */

double
rig_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - began.tv_sec) * 1000.0 +
	    (double)(now.tv_nsec - began.tv_nsec) / 1e6;
}

void
rig_sleep(double ms)
{
	struct timespec span;

	if (ms <= 0)
		return;
	span.tv_sec = (time_t)(ms / 1000);
	span.tv_nsec = (long)((ms - (double)span.tv_sec * 1000) * 1e6);
	while (nanosleep(&span, &span) != 0 && errno == EINTR)
		;
}

void
rig_sleep_until(double ms)
{
	rig_sleep(ms - rig_now());
}

static void
log_line(const char *format, va_list args)
{
	pthread_mutex_lock(&record_lock);
	fprintf(record, "%9.1f ", rig_now());
	vfprintf(record, format, args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

void
rig_log(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	log_line(format, args);
	va_end(args);
}

bool
rig_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}

static void
stop_all(void)
{
	for (int i = 0; i < n_instances; i++)
		if (instances[i].pid > 0) {
			kill(instances[i].pid, SIGKILL);
			waitpid(instances[i].pid, NULL, 0);
			instances[i].pid = 0;
		}
	if (folder[0] != '\0') {
		char path[512];

		for (int i = 0; i < n_instances; i++) {
			snprintf(path, sizeof(path), "%s/%s.json", folder,
			    instances[i].name);
			unlink(path);
			snprintf(path, sizeof(path), "%s/%s.log", folder,
			    instances[i].name);
			if (getenv("KEEP_LOGS") == NULL)
				unlink(path);
		}
		rmdir(folder);
	}
}

void
rig_cannot_run(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	log_line(format, args);
	va_end(args);
	rig_log("RESULT could not run");
	stop_all();
	_exit(2);
}

void
rig_finish(bool broken)
{
	rig_log("RESULT %s", broken ? "rule broken" : "rule held");
	stop_all();
	_exit(broken ? 1 : 0);
}

/// Ends a case that hangs.
static void *
watchdog(void *data)
{
	(void)data;
	rig_sleep_until(110 * 1000);
	rig_cannot_run("still running after 110 s");
}

/// Finds a TCP port that nobody listens on, at any loopback address.
static int
free_port(void)
{
	static int next = 0;
	struct sockaddr_in address = {.sin_family = AF_INET};

	if (next == 0)
		next = 21000 + (int)(getpid() % 400) * 20;
	for (;; next++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int ok;

		address.sin_addr.s_addr = htonl(INADDR_ANY);
		address.sin_port = htons((uint16_t)next);
		ok = bind(fd, (struct sockaddr *)&address, sizeof(address));
		close(fd);
		if (ok == 0)
			return next++;
	}
}

void
rig_start(void)
{
	const char *path = getenv("RECORD");
	pthread_t thread;

	clock_gettime(CLOCK_MONOTONIC, &began);
	signal(SIGPIPE, SIG_IGN);
	record = fopen(path == NULL ? "record.txt" : path, "w");
	if (record == NULL)
		_exit(2);
	snprintf(folder, sizeof(folder), "%s/review.XXXXXX",
	    getenv("TMPDIR") == NULL ? "/tmp" : getenv("TMPDIR"));
	if (mkdtemp(folder) == NULL)
		rig_cannot_run("no temporary folder");
	rig_caller_port = free_port();
	ready_port = free_port();
	control_port = free_port();
	peer_port = free_port();
	metrics_port = free_port();
	pthread_create(&thread, NULL, watchdog, NULL);
	rig_log("case begins, %s the disruption",
	    rig_trouble() ? "with" : "without");
}

/* --- HTTP ----------------------------------------------------------------- */

void
rig_conn_wrap(struct rig_conn *conn, int fd)
{
	int on = 1;

	memset(conn, 0, sizeof(*conn));
	conn->fd = fd;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool
rig_conn_open(struct rig_conn *conn, const char *ip, int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &address.sin_addr);
	address.sin_port = htons((uint16_t)port);
	rig_conn_wrap(conn, fd);
	if (rig_receive_buffer > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &rig_receive_buffer,
		    sizeof(rig_receive_buffer));
	if (rig_segment_bytes > 0)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &rig_segment_bytes,
		    sizeof(rig_segment_bytes));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return true;
	close(fd);
	conn->fd = -1;
	return false;
}

void
rig_conn_close(struct rig_conn *conn)
{
	if (conn->fd >= 0)
		close(conn->fd);
	conn->fd = -1;
	free(conn->buf);
	conn->buf = NULL;
	conn->len = conn->cap = 0;
}

static bool
send_all(int fd, const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		bytes += n;
		len -= (size_t)n;
	}
	return true;
}

bool
rig_conn_send(struct rig_conn *conn, const char *bytes, size_t len)
{
	return send_all(conn->fd, bytes, len);
}

bool
rig_conn_fill(struct rig_conn *conn, double deadline)
{
	struct pollfd poll_fd = {conn->fd, POLLIN, 0};
	double left = deadline - rig_now();
	ssize_t n;

	if (conn->ended || conn->failed || left <= 0)
		return false;
	if (poll(&poll_fd, 1, (int)left + 1) <= 0)
		return false;
	if (conn->cap - conn->len < 16384) {
		conn->cap = conn->cap * 2 + 32768;
		conn->buf = realloc(conn->buf, conn->cap);
	}
	if (conn->pace.bytes > 0)
		rig_sleep(conn->pace.pause_ms);
	n = recv(conn->fd, conn->buf + conn->len,
	    conn->pace.bytes > 0 ? conn->pace.bytes : 16384, 0);
	if (n > 0) {
		conn->len += (size_t)n;
		return true;
	}
	if (n == 0)
		conn->ended = true;
	else
		conn->failed = true;
	return false;
}

void
rig_conn_drop(struct rig_conn *conn, size_t len)
{
	memmove(conn->buf, conn->buf + len, conn->len - len);
	conn->len -= len;
}

size_t
rig_conn_head(struct rig_conn *conn, double deadline)
{
	for (;;) {
		char *end = conn->len == 0
		    ? NULL
		    : memmem(conn->buf, conn->len, "\r\n\r\n", 4);

		if (end != NULL)
			return (size_t)(end - conn->buf) + 4;
		if (!rig_conn_fill(conn, deadline))
			return 0;
	}
}

void
rig_field(const char *head, const char *name, char *value, size_t size)
{
	size_t name_len = strlen(name);
	const char *line = strstr(head, "\r\n");

	value[0] = '\0';
	while (line != NULL && line[2] != '\0') {
		line += 2;
		if (strncasecmp(line, name, name_len) == 0 &&
		    line[name_len] == ':') {
			const char *from = line + name_len + 1;
			size_t len;

			while (*from == ' ')
				from++;
			len = strcspn(from, "\r\n");
			if (len >= size)
				len = size - 1;
			memcpy(value, from, len);
			value[len] = '\0';
			return;
		}
		line = strstr(line, "\r\n");
	}
}

long
rig_conn_chunk(
    struct rig_conn *conn, char *out, size_t size, double deadline)
{
	for (;;) {
		char *end = conn->len == 0
		    ? NULL
		    : memmem(conn->buf, conn->len, "\r\n", 2);

		if (end != NULL) {
			size_t line = (size_t)(end - conn->buf) + 2;
			size_t len = strtoul(conn->buf, NULL, 16);

			if (conn->len >= line + len + 2) {
				size_t n = len < size ? len : size - 1;

				memcpy(out, conn->buf + line, n);
				out[n] = '\0';
				rig_conn_drop(conn, line + len + 2);
				return (long)len;
			}
		}
		if (!rig_conn_fill(conn, deadline))
			return -1;
	}
}

char *
rig_conn_body(
    struct rig_conn *conn, const char *head, size_t *len, double deadline)
{
	char text[64];
	char *body;

	rig_field(head, "Content-Length", text, sizeof(text));
	*len = strtoul(text, NULL, 10);
	while (conn->len < *len)
		if (!rig_conn_fill(conn, deadline))
			return NULL;
	body = malloc(*len + 1);
	if (*len > 0)
		memcpy(body, conn->buf, *len);
	body[*len] = '\0';
	if (*len > 0)
		rig_conn_drop(conn, *len);
	return body;
}

/// Listens on a loopback address.
static int
listen_on(const char *ip, int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	inet_pton(AF_INET, ip, &address.sin_addr);
	address.sin_port = htons((uint16_t)port);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 512) != 0)
		rig_cannot_run("can't listen on %s:%d", ip, port);
	return fd;
}

static void
respond(int fd, const char *status, const char *fields, const char *body,
    size_t len)
{
	char head[1024];
	int n = snprintf(head, sizeof(head),
	    "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n", status, fields,
	    len);

	if (send_all(fd, head, (size_t)n))
		send_all(fd, body, len);
}

static void
spawn(void *(*routine)(void *), void *data)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, routine, data) != 0)
		rig_cannot_run("no thread");
	pthread_attr_destroy(&attr);
}

/* --- the store ------------------------------------------------------------ */

struct item {
	char key[128];
	char *value; /// base64; NULL: deleted
	uint64_t revision;
	uint64_t created;
};

static struct item changes[20000]; /// all changes, in the order of revisions
static int n_changes;
static uint64_t store_revision = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static bool store_is_silent;
static unsigned store_outages; /// begun so far
static unsigned store_drops;   /// of the history
static bool store_is_mute;     /// watches hear nothing
static uint64_t store_floor;   /// watches from an earlier revision get 410

static char *
encode_base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc(len * 2 + 8);
	size_t n = 0;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			bits |= (unsigned char)text[i + 2];
		out[n++] = digits[bits >> 18 & 63];
		out[n++] = digits[bits >> 12 & 63];
		out[n++] = i + 1 < len ? digits[bits >> 6 & 63] : '=';
		out[n++] = i + 2 < len ? digits[bits & 63] : '=';
	}
	out[n] = '\0';
	return out;
}

static uint64_t
store_change(const char *key, const char *value)
{
	uint64_t revision;
	struct item *item;

	pthread_mutex_lock(&store_lock);
	item = &changes[n_changes];
	if (n_changes + 1 >= (int)(sizeof(changes) / sizeof(changes[0])))
		rig_cannot_run("the store is full");
	snprintf(item->key, sizeof(item->key), "%s", key);
	item->value = value == NULL ? NULL : encode_base64(value);
	item->revision = ++store_revision;
	item->created = item->revision;
	for (int i = n_changes - 1; i >= 0; i--)
		if (strcmp(changes[i].key, key) == 0) {
			if (changes[i].value != NULL)
				item->created = changes[i].created;
			break;
		}
	revision = item->revision;
	n_changes++;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	return revision;
}

uint64_t
rig_store_put(const char *key, const char *value)
{
	return store_change(key, value);
}

void
rig_store_delete(const char *key)
{
	store_change(key, NULL);
}

/// Appends an item to a JSON list.
static size_t
append_item(char *out, size_t n, const struct item *item, bool first)
{
	if (item->value == NULL)
		return n +
		    (size_t)sprintf(out + n,
			"%s{\"key\":\"%s\",\"revision\":%llu,"
			"\"deleted\":true}",
			first ? "" : ",", item->key,
			(unsigned long long)item->revision);
	return n +
	    (size_t)sprintf(out + n,
		"%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,"
		"\"created\":%llu,\"lease\":0}",
		first ? "" : ",", item->key, item->value,
		(unsigned long long)item->revision,
		(unsigned long long)item->created);
}

/// Copies a field of a query, with %2F decoded.
static void
query_field(const char *target, const char *name, char *out, size_t size)
{
	char pattern[64];
	const char *at = strchr(target, '?');
	size_t n = 0;

	out[0] = '\0';
	snprintf(pattern, sizeof(pattern), "%s=", name);
	while (at != NULL) {
		at++;
		if (strncmp(at, pattern, strlen(pattern)) == 0) {
			at += strlen(pattern);
			while (*at != '\0' && *at != '&' && *at != ' ' &&
			    n + 1 < size) {
				if (strncasecmp(at, "%2F", 3) == 0) {
					out[n++] = '/';
					at += 3;
				} else {
					out[n++] = *at++;
				}
			}
			out[n] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

/// Checks whether a change is the last one of its key.
static bool
is_last_change(int i)
{
	for (int k = i + 1; k < n_changes; k++)
		if (strcmp(changes[k].key, changes[i].key) == 0)
			return false;
	return true;
}

static int
compare_keys(const void *left, const void *right)
{
	return strcmp(changes[*(const int *)left].key,
	    changes[*(const int *)right].key);
}

static void
answer_range(int fd, const char *target)
{
	char prefix[128], after[128];
	char *body = malloc(1 << 20);
	int found[2000];
	int n_found = 0;
	size_t n;

	query_field(target, "prefix", prefix, sizeof(prefix));
	query_field(target, "after", after, sizeof(after));
	pthread_mutex_lock(&store_lock);
	for (int i = 0; i < n_changes && n_found < 2000; i++)
		if (changes[i].value != NULL &&
		    strncmp(changes[i].key, prefix, strlen(prefix)) == 0 &&
		    strcmp(changes[i].key, after) > 0 && is_last_change(i))
			found[n_found++] = i;
	qsort(found, (size_t)n_found, sizeof(found[0]), compare_keys);
	n = (size_t)sprintf(body, "{\"entries\":[");
	for (int i = 0; i < n_found; i++)
		n = append_item(body, n, &changes[found[i]], i == 0);
	n += (size_t)sprintf(body + n, "],\"truncated\":false,\"as_of\":%llu}",
	    (unsigned long long)store_revision);
	pthread_mutex_unlock(&store_lock);
	respond(fd, "200 OK", "Content-Type: application/json\r\n", body, n);
	free(body);
}

/// Keeps a connection open on which nothing is answered any more.
static void
fall_silent(int fd)
{
	char bytes[512];

	while (recv(fd, bytes, sizeof(bytes), 0) > 0)
		;
}

/// Answers a watch. @return false if the connection is to be closed
static bool
answer_watch(int fd, const char *target)
{
	char prefix[128], text[64];
	char *body = malloc(1 << 20);
	uint64_t after;
	struct timespec until;
	long wait_ms;
	size_t n = 0;
	int n_found = 0;
	unsigned n_outages, n_drops;

	query_field(target, "prefix", prefix, sizeof(prefix));
	query_field(target, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	query_field(target, "wait_ms", text, sizeof(text));
	wait_ms = strtol(text, NULL, 10);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += (wait_ms % 1000) * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&store_lock);
	n_outages = store_outages;
	n_drops = store_drops;
	if (after < store_floor) {
		pthread_mutex_unlock(&store_lock);
		respond(fd, "410 Gone", "", "", 0);
		free(body);
		return true;
	}
	for (;;) {
		if (store_outages != n_outages || store_drops != n_drops) {
			bool is_cut = store_outages == n_outages;

			pthread_mutex_unlock(&store_lock);
			free(body);
			if (!is_cut)
				fall_silent(fd);
			return false;
		}
		n = (size_t)sprintf(body, "{\"events\":[");
		for (int i = 0; i < n_changes; i++)
			if (changes[i].revision > after &&
			    strncmp(changes[i].key, prefix, strlen(prefix)) ==
				0)
				n = append_item(
				    body, n, &changes[i], n_found++ == 0);
		if (store_is_mute) {
			n_found = 0;
			pthread_cond_wait(&store_changed, &store_lock);
			continue;
		}
		if (n_found > 0 ||
		    pthread_cond_timedwait(
			&store_changed, &store_lock, &until) == ETIMEDOUT)
			break;
	}
	n += (size_t)sprintf(body + n, "],\"as_of\":%llu}",
	    (unsigned long long)store_revision);
	pthread_mutex_unlock(&store_lock);
	respond(fd, "200 OK", "Content-Type: application/json\r\n", body, n);
	free(body);
	return true;
}

void
rig_store_set_silent(bool silent)
{
	pthread_mutex_lock(&store_lock);
	store_is_silent = silent;
	store_outages += silent;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	rig_log("the store is %s", silent ? "silent" : "well again");
}

void
rig_store_compact(void)
{
	rig_log("the store's watches hear nothing for a second");
	pthread_mutex_lock(&store_lock);
	store_is_mute = true;
	pthread_mutex_unlock(&store_lock);
	rig_sleep(1000);
	pthread_mutex_lock(&store_lock);
	store_is_mute = false;
	store_floor = store_revision;
	store_drops++;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	rig_log("the store drops its history up to revision %llu and cuts the "
		"watches",
	    (unsigned long long)store_floor);
}

static void *
serve_store_conn(void *data)
{
	struct rig_conn conn;
	size_t head_len;

	rig_conn_wrap(&conn, (int)(intptr_t)data);
	while ((head_len = rig_conn_head(&conn, rig_now() + 60000)) > 0) {
		char head[RIG_HEAD_MAX];
		char *target;

		if (head_len >= sizeof(head))
			break;
		memcpy(head, conn.buf, head_len);
		head[head_len] = '\0';
		rig_conn_drop(&conn, head_len);
		target = strchr(head, ' ');
		if (target == NULL)
			break;
		target++;
		target[strcspn(target, " ")] = '\0';
		if (store_is_silent) {
			fall_silent(conn.fd);
			break;
		}
		if (strncmp(target, "/v1/kv-range", 12) == 0)
			answer_range(conn.fd, target);
		else if (strncmp(target, "/v1/kv-watch", 12) == 0 &&
		    !answer_watch(conn.fd, target))
			break;
		else if (strncmp(target, "/v1/kv-watch", 12) == 0)
			continue;
		else
			respond(conn.fd, "404 Not Found", "", "", 0);
	}
	rig_conn_close(&conn);
	return NULL;
}

static void *
accept_store(void *data)
{
	int fd = (int)(intptr_t)data;

	for (;;) {
		int peer = accept4(fd, NULL, NULL, SOCK_CLOEXEC);

		if (peer >= 0)
			spawn(serve_store_conn, (void *)(intptr_t)peer);
	}
	return NULL;
}

/* --- workers -------------------------------------------------------------- */

/// A copy of a run's memory at a worker.
struct copy {
	char handle[160];
	char target[64]; /// ip:port
	bool used;
};
static struct copy copies[2000];
static int n_copies;
static pthread_mutex_t copies_lock = PTHREAD_MUTEX_INITIALIZER;

/// A write that the store does late.
struct late_write {
	char key[128];
	char value[512];
	double due_at;
};

static void *
write_late(void *data)
{
	struct late_write *write = data;

	rig_sleep_until(write->due_at);
	rig_store_put(write->key, write->value);
	rig_log("the store does a late write: %s %s", write->key,
	    write->value);
	free(write);
	return NULL;
}

/// Writes a worker's entry. Its lock must be held.
static void
publish(struct rig_worker *worker)
{
	char key[128], value[512];

	snprintf(key, sizeof(key), "servers/%s", worker->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
	    "\"version\":\"%s\",\"slots\":24,\"state\":\"%s\","
	    "\"cold_left_ms\":0,\"sequence\":%u,\"born\":%llu}",
	    worker->service, worker->port, worker->zone, worker->version,
	    worker->draining ? "draining" : "ready", ++worker->sequence,
	    (unsigned long long)worker->born);
	worker->next_heartbeat_at = rig_now() + HEARTBEAT_MS;
	if (worker->lost_heartbeat_span > 0) {
		struct late_write *write = calloc(1, sizeof(*write));

		snprintf(write->key, sizeof(write->key), "%s", key);
		snprintf(write->value, sizeof(write->value), "%s", value);
		write->due_at = rig_now() + worker->lost_heartbeat_span;
		rig_log("%s writes a heartbeat (sequence %u) that the store "
			"doesn't answer",
		    worker->id, worker->sequence);
		worker->lost_heartbeat_span = 0;
		spawn(write_late, write);
		return;
	}
	rig_store_put(key, value);
}

static void *
heartbeat(void *data)
{
	struct rig_worker *worker = data;

	for (;;) {
		rig_sleep(10);
		pthread_mutex_lock(&worker->lock);
		if (!worker->running) {
			pthread_mutex_unlock(&worker->lock);
			return NULL;
		}
		if (rig_now() >= worker->next_heartbeat_at)
			publish(worker);
		pthread_mutex_unlock(&worker->lock);
	}
}

void
rig_worker_lose_heartbeat(struct rig_worker *worker, double ms)
{
	pthread_mutex_lock(&worker->lock);
	worker->lost_heartbeat_span = ms;
	worker->next_heartbeat_at = 0;
	pthread_mutex_unlock(&worker->lock);
}

static struct rig_run *
add_run(struct rig_worker *worker, const char *id, int events)
{
	struct rig_run *run = calloc(1, sizeof(*run));

	snprintf(run->id, sizeof(run->id), "%s", id);
	run->events = events;
	pthread_mutex_lock(&worker->lock);
	run->next = worker->runs;
	worker->runs = run;
	pthread_mutex_unlock(&worker->lock);
	return run;
}

static void
remove_run(struct rig_worker *worker, struct rig_run *run)
{
	pthread_mutex_lock(&worker->lock);
	for (struct rig_run **at = &worker->runs; *at != NULL;
	     at = &(*at)->next)
		if (*at == run) {
			*at = run->next;
			break;
		}
	pthread_mutex_unlock(&worker->lock);
	free(run);
}

/// Checks whether the caller of a run has closed its connection.
static bool
has_left(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Waits while a run is worked on.
///
/// @return false if its caller has left, or it was stopped
static bool
work(struct rig_worker *worker, const struct rig_run *run, int fd, int ms)
{
	double until = rig_now() + ms;

	while (rig_now() < until) {
		double left = until - rig_now();

		rig_sleep(left < 10 ? left : 10);
		if (!worker->running || run->stop || has_left(fd))
			return false;
	}
	return true;
}

/// A worker that leaves says so in all its answers.
static const char *
leaving_field(const struct rig_worker *worker)
{
	return worker->draining ? "Server-Leaving: 1\r\n" : "";
}

/// Serves a stream. @return false if the connection is to be closed
static bool
serve_stream(struct rig_worker *worker, int fd, const char *id,
    const char *tokens, int last, const char *how)
{
	struct rig_run *run = add_run(worker, id, last);
	const char *output = strchr(tokens, ',');
	int n_events = output == NULL
	    ? 1
	    : atoi(output + 1) / TOKENS_PER_EVENT;
	char text[512], chunk[600];
	bool whole = false;
	int n;

	run->prompt_tokens = atoi(tokens);
	rig_log("%s begins %s (%s) after event %d", worker->id, id, how, last);
	if (!work(worker, run, fd, worker->first_ms))
		goto out;
	n = snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\n"
	    "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n%s"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    id, worker->id,
	    leaving_field(worker));
	if (!send_all(fd, text, (size_t)n))
		goto out;
	while (run->events < n_events) {
		pthread_mutex_lock(&worker->lock);
		run->events++;
		pthread_mutex_unlock(&worker->lock);
		n = snprintf(text, sizeof(text),
		    "id: %d\ndata: %s at %s version %s\n\n", run->events, id,
		    worker->id, worker->version);
		n = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", n, text);
		if (!send_all(fd, chunk, (size_t)n))
			goto out;
		if (run->events < n_events &&
		    !work(worker, run, fd, worker->event_ms))
			goto out;
	}
	whole = send_all(fd, "0\r\n\r\n", 5);
out:
	rig_log("%s ends %s at event %d of %d: %s", worker->id, id,
	    run->events, n_events,
	    whole	? "whole"
		: run->stop ? "stopped by a move"
		: !worker->running ? "worker ends"
				   : "caller has left");
	run->stopped = true;
	remove_run(worker, run);
	return whole;
}

/// Serves a plain request. Its answer names the request in each line.
static bool
serve_plain(struct rig_worker *worker, int fd, const char *id)
{
	struct rig_run *run = add_run(worker, id, 0);
	size_t len = worker->plain_bytes;
	char *body = malloc(len + 256);
	char fields[512];
	size_t n = 0;
	bool whole = false;

	rig_log("%s runs %s", worker->id, id);
	if (!work(worker, run, fd, worker->plain_ms))
		goto out;
	do
		n += (size_t)sprintf(
		    body + n, "answer to %s by %s\n", id, worker->id);
	while (n < len);
	snprintf(fields, sizeof(fields),
	    "Attempt-Id: %s\r\nResponse-Seal: seal-%s\r\n"
	    "Keep-Alive: timeout=5\r\n%s",
	    id, worker->id, leaving_field(worker));
	respond(fd, "200 OK", fields, body, n);
	whole = true;
out:
	remove_run(worker, run);
	free(body);
	return whole;
}

/// Reads a string member of flat JSON.
static void
json_text(const char *body, const char *name, char *out, size_t size)
{
	char pattern[64];
	const char *at;
	size_t n = 0;

	out[0] = '\0';
	snprintf(pattern, sizeof(pattern), "\"%s\":\"", name);
	at = strstr(body, pattern);
	if (at == NULL)
		return;
	for (at += strlen(pattern);
	     *at != '\0' && *at != '"' && n + 1 < size; at++)
		if (*at != '\\')
			out[n++] = *at;
	out[n] = '\0';
}

/// Answers a call that copies a run to another worker.
static void
serve_move(struct rig_worker *worker, int fd, const char *body)
{
	char id[80], to[64], answer[256], fields[128];
	bool last = strstr(body, "\"last\":true") != NULL;
	int events = -1;
	int tokens = 0;
	const struct rig_worker *target = NULL;

	json_text(body, "id", id, sizeof(id));
	json_text(body, "to", to, sizeof(to));
	for (int i = 0; i < n_workers; i++) {
		char address[64];

		snprintf(address, sizeof(address), "127.0.0.1:%d",
		    workers[i]->port);
		if (workers[i]->running && strcmp(address, to) == 0)
			target = workers[i];
	}
	pthread_mutex_lock(&worker->lock);
	for (struct rig_run *run = worker->runs; run != NULL; run = run->next)
		if (strcmp(run->id, id) == 0) {
			events = run->events;
			tokens = run->prompt_tokens +
			    events * TOKENS_PER_EVENT - run->copied_tokens;
			run->copied_tokens += tokens;
			run->stop = run->stop || (last && target != NULL);
		}
	pthread_mutex_unlock(&worker->lock);
	if (events < 0 || target == NULL) {
		respond(fd, events < 0 ? "404 Not Found" : "503 Busy",
		    leaving_field(worker), "{}", 2);
		return;
	}
	/* The transfer holds what the last one lacked. */
	pthread_mutex_lock(&worker->link);
	rig_sleep((double)tokens * KV_BYTES * 8 / (LINK_MBPS * 1000.0));
	pthread_mutex_unlock(&worker->link);
	if (!worker->running)
		return;
	pthread_mutex_lock(&copies_lock);
	snprintf(copies[n_copies].handle, sizeof(copies[0].handle),
	    "h%d-%s", n_copies, id);
	snprintf(copies[n_copies].target, sizeof(copies[0].target), "%s", to);
	/* A repeated call renews the copy under the same handle. */
	for (int i = 0; i < n_copies; i++)
		if (!copies[i].used && strcmp(copies[i].target, to) == 0 &&
		    strcmp(strchr(copies[i].handle, '-') + 1, id) == 0)
			snprintf(copies[n_copies].handle,
			    sizeof(copies[0].handle), "%s", copies[i].handle);
	snprintf(answer, sizeof(answer), "{\"handle\":\"%s\",\"created\":%d}",
	    copies[n_copies].handle, events);
	n_copies++;
	pthread_mutex_unlock(&copies_lock);
	rig_log("%s copies %s to %s: %d events%s", worker->id, id, target->id,
	    events, last ? ", and stops it" : "");
	snprintf(fields, sizeof(fields),
	    "Content-Type: application/json\r\n%s", leaving_field(worker));
	respond(fd, "200 OK", fields, answer, strlen(answer));
}

/// Uses up a copy. @return false if the worker holds no such copy
static bool
use_copy(const struct rig_worker *worker, const char *from)
{
	const char *handle = strchr(from, '/');
	char address[64];
	bool found = false;

	if (handle == NULL)
		return false;
	handle++;
	snprintf(address, sizeof(address), "127.0.0.1:%d", worker->port);
	pthread_mutex_lock(&copies_lock);
	for (int i = 0; i < n_copies; i++)
		if (!copies[i].used && strcmp(copies[i].target, address) == 0 &&
		    strcmp(copies[i].handle, handle) == 0) {
			copies[i].used = true;
			found = true;
		}
	pthread_mutex_unlock(&copies_lock);
	return found;
}

static void
serve_report(const struct rig_worker *worker, int fd)
{
	char body[512], leaves[64] = "", fields[128];

	if (worker->draining && worker->leaves_at > 0)
		snprintf(leaves, sizeof(leaves), ",\"leaves_ms\":%d",
		    worker->leaves_at > rig_now()
			? (int)(worker->leaves_at - rig_now())
			: 0);
	snprintf(body, sizeof(body),
	    "{\"stage\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":1,"
	    "\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"queued\":0,"
	    "\"active\":0,\"kv_used\":0,\"kv_total\":34000,\"handles\":0,"
	    "\"state\":\"%s\"%s,\"born\":%llu}",
	    worker->draining ? "draining" : "ready", leaves,
	    (unsigned long long)worker->born);
	snprintf(fields, sizeof(fields),
	    "Content-Type: application/json\r\n%s", leaving_field(worker));
	respond(fd, "200 OK", fields, body, strlen(body));
}

/// Serves one request. @return false if the connection is to be closed
static bool
serve_request(struct rig_worker *worker, int fd, const char *head,
    const char *body)
{
	char id[80], tokens[64], expected[80], copy[200], last[32];
	char fields[256];

	if (strncmp(head, "GET /healthz", 12) == 0) {
		snprintf(fields, sizeof(fields), "Instance-Id: %s\r\n%s",
		    worker->id, leaving_field(worker));
		respond(fd,
		    worker->draining ? "503 Unavailable" : "200 OK", fields,
		    "", 0);
		return true;
	}
	if (strncmp(head, "GET /v1/report", 14) == 0) {
		serve_report(worker, fd);
		return true;
	}
	if (strncmp(head, "POST /v1/kv-move", 16) == 0) {
		serve_move(worker, fd, body);
		return true;
	}
	if (strncmp(head, "DELETE ", 7) == 0) {
		respond(fd, "200 OK", leaving_field(worker), "{}", 2);
		return true;
	}
	rig_field(head, "Attempt-Id", id, sizeof(id));
	rig_field(head, "Expect-Instance", expected, sizeof(expected));
	rig_field(head, "Token-Usage", tokens, sizeof(tokens));
	rig_field(head, "Kv-From", copy, sizeof(copy));
	rig_field(head, "Last-Event-Id", last, sizeof(last));
	if (expected[0] != '\0' && strcmp(expected, worker->id) != 0) {
		snprintf(fields, sizeof(fields),
		    "Attempt-Id: %s\r\nNot-Executed: 1\r\n%s", id,
		    leaving_field(worker));
		respond(fd, "421 Misdirected", fields, "", 0);
		return true;
	}
	if (rig_on_arrival != NULL)
		rig_on_arrival(worker, head, rig_now());
	if (worker->intercept != NULL && worker->intercept(worker, fd, head))
		return true;
	if (copy[0] != '\0' && !use_copy(worker, copy)) {
		rig_log("%s has no copy for %s", worker->id, id);
		snprintf(fields, sizeof(fields),
		    "Attempt-Id: %s\r\nNot-Executed: 1\r\n%s", id,
		    leaving_field(worker));
		respond(fd, "503 Unavailable", fields, "", 0);
		return true;
	}
	if (tokens[0] == '\0')
		return serve_plain(worker, fd, id);
	return serve_stream(worker, fd, id, tokens, atoi(last),
	    copy[0] == '\0' ? "new" : "from a copy");
}

struct accepted {
	struct rig_worker *worker;
	int fd;
};

static void *
serve_worker_conn(void *data)
{
	struct accepted accepted = *(struct accepted *)data;
	struct rig_worker *worker = accepted.worker;
	struct rig_conn conn;
	size_t head_len;
	bool keep = true;

	free(data);
	rig_conn_wrap(&conn, accepted.fd);
	while (keep &&
	    (head_len = rig_conn_head(&conn, rig_now() + 5000)) > 0) {
		char head[RIG_HEAD_MAX];
		char *body;
		size_t len;

		if (head_len >= sizeof(head))
			break;
		memcpy(head, conn.buf, head_len);
		head[head_len] = '\0';
		rig_conn_drop(&conn, head_len);
		body = rig_conn_body(&conn, head, &len, rig_now() + 5000);
		if (body == NULL)
			break;
		keep = serve_request(worker, conn.fd, head, body);
		free(body);
	}
	pthread_mutex_lock(&worker->lock);
	for (int i = 0; i < worker->n_conns; i++)
		if (worker->conns[i] == conn.fd)
			worker->conns[i--] = worker->conns[--worker->n_conns];
	rig_conn_close(&conn);
	pthread_mutex_unlock(&worker->lock);
	return NULL;
}

static void *
accept_worker(void *data)
{
	struct rig_worker *worker = data;

	for (;;) {
		int fd = accept4(worker->fd, NULL, NULL, SOCK_CLOEXEC);
		struct accepted *accepted;

		if (fd < 0) {
			if (!worker->running)
				return NULL;
			continue;
		}
		pthread_mutex_lock(&worker->lock);
		if (!worker->running || worker->n_conns >= 512) {
			pthread_mutex_unlock(&worker->lock);
			close(fd);
			continue;
		}
		worker->conns[worker->n_conns++] = fd;
		pthread_mutex_unlock(&worker->lock);
		accepted = malloc(sizeof(*accepted));
		*accepted = (struct accepted){worker, fd};
		spawn(serve_worker_conn, accepted);
	}
}

struct rig_worker *
rig_worker_start(const char *id, const char *service, const char *zone,
    const char *version)
{
	struct rig_worker *worker = calloc(1, sizeof(*worker));
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	snprintf(worker->id, sizeof(worker->id), "%s", id);
	worker->service = service;
	worker->zone = zone;
	worker->version = version;
	worker->born = (uint64_t)now.tv_sec * 1000 +
	    (uint64_t)now.tv_nsec / 1000000;
	worker->port = free_port();
	worker->fd = listen_on("127.0.0.1", worker->port);
	worker->event_ms = 40;
	worker->first_ms = 100;
	worker->plain_ms = 20;
	worker->plain_bytes = 400;
	worker->running = true;
	pthread_mutex_init(&worker->lock, NULL);
	pthread_mutex_init(&worker->link, NULL);
	workers[n_workers++] = worker;
	spawn(accept_worker, worker);
	publish(worker);
	spawn(heartbeat, worker);
	rig_log("worker %s (%s, %s, version %s) starts", id, service, zone,
	    version);
	return worker;
}

void
rig_worker_drain(struct rig_worker *worker)
{
	pthread_mutex_lock(&worker->lock);
	worker->draining = true;
	publish(worker);
	worker->draining_at = rig_now();
	pthread_mutex_unlock(&worker->lock);
	rig_log("the store has accepted that %s is draining", worker->id);
}

void
rig_worker_exit(struct rig_worker *worker)
{
	char key[128];

	pthread_mutex_lock(&worker->lock);
	worker->running = false;
	shutdown(worker->fd, SHUT_RDWR);
	for (int i = 0; i < worker->n_conns; i++)
		shutdown(worker->conns[i], SHUT_RDWR);
	pthread_mutex_unlock(&worker->lock);
	snprintf(key, sizeof(key), "servers/%s", worker->id);
	rig_store_delete(key);
	rig_log("worker %s exits, its entry is removed", worker->id);
}

/* --- the operator --------------------------------------------------------- */

void
rig_configure(const char *routes)
{
	rig_configure_keys(routes, "[\"k1\"]");
}

void
rig_configure_keys(const char *routes, const char *keys)
{
	static int version = 40;
	char value[8192];

	version += 3;
	snprintf(value, sizeof(value),
	    "{\"version\":%d,\"routes\":[%s],"
	    "\"services\":[{\"name\":\"lm\",\"max_conns\":282,"
	    "\"health_path\":\"/healthz\",\"cold_per_s\":26,"
	    "\"engine\":{\"slots\":24,\"kv_capacity\":34424,"
	    "\"kv_bytes\":18432,\"link_mbps\":2700,\"stride\":4,"
	    "\"handle_s\":5,\"moves\":true}},"
	    "{\"name\":\"shop\",\"max_conns\":110,"
	    "\"health_path\":\"/healthz\"}],"
	    "\"limits\":{\"max_header_bytes\":16384,"
	    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
	    "\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":%s}]}",
	    version, routes, keys);
	rig_store_put("op/config", value);
	rig_log("the store has accepted configuration %d, keys %s", version,
	    keys);
}

void
rig_store_start(void)
{
	store_port = free_port();
	spawn(accept_store,
	    (void *)(intptr_t)listen_on("127.0.0.1", store_port));
}

/* --- instances ------------------------------------------------------------ */

struct rig_instance *
rig_instance_new(const char *name, const char *zone)
{
	struct rig_instance *instance = &instances[n_instances++];

	snprintf(instance->name, sizeof(instance->name), "%s", name);
	snprintf(instance->ip, sizeof(instance->ip), "127.0.7.%d",
	    n_instances);
	instance->zone = zone;
	return instance;
}

/// Writes the settings as the template of the deploy file has them.
static void
write_settings(const struct rig_instance *instance, const char *path)
{
	FILE *file = fopen(path, "w");
	char seeds[256] = "";

	if (file == NULL)
		rig_cannot_run("can't write %s", path);
	for (int i = 0; i < n_instances && i < 3; i++)
		snprintf(seeds + strlen(seeds), sizeof(seeds) - strlen(seeds),
		    "%s%s:%d", i == 0 ? "" : ",", instances[i].ip,
		    control_port);
	fprintf(file,
	    "{\n\"instance\": \"%s\",\n\"zone\": \"%s\",\n\"listen\": {\n"
	    "\"caller\": \"%s:%d\",\n\"ready\": \"%s:%d\",\n"
	    "\"control\": \"%s:%d\",\n\"peer_port\": %d,\n"
	    "\"metrics_port\": %d },\n\"seeds\": \"%s\",\n"
	    "\"limits\": { \"link_mbps\": 1000.0 },\n"
	    "\"store\": { \"address\": \"127.0.0.1:%d\" },\n"
	    "\"retries\": { \"slack\": 58, \"window_ms\": 10000, "
	    "\"ratio\": 0.2 },\n"
	    "\"cold\": { \"overrun\": 1.5, \"slack\": 5 },\n"
	    "\"leaving\": { \"grace_ms\": 8000 }\n}\n",
	    instance->name, instance->zone, instance->ip, rig_caller_port,
	    instance->ip, ready_port, instance->ip, control_port, peer_port,
	    metrics_port, seeds, store_port);
	fclose(file);
}

void
rig_instance_run(struct rig_instance *instance)
{
	char settings[512], log[512];
	const char *program = getenv("GODWITVALE");

	snprintf(settings, sizeof(settings), "%s/%s.json", folder,
	    instance->name);
	snprintf(log, sizeof(log), "%s/%s.log",
	    getenv("KEEP_LOGS") == NULL ? folder : getenv("KEEP_LOGS"),
	    instance->name);
	write_settings(instance, settings);
	instance->pid = fork();
	if (instance->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* It must not outlive a case that is ended from outside. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		signal(SIGPIPE, SIG_DFL);
		execl(program == NULL ? "target/godwitvale" : program,
		    "godwitvale", "entry", "--settings", settings,
		    (char *)NULL);
		_exit(127);
	}
	rig_log("instance %s starts", instance->name);
}

void
rig_instance_signal(struct rig_instance *instance, int signal_number)
{
	if (instance->pid > 0)
		kill(instance->pid, signal_number);
	rig_log("%s gets signal %d (%s)", instance->name, signal_number,
	    strsignal(signal_number));
}

void
rig_instance_reap(struct rig_instance *instance)
{
	int status = 0;

	if (instance->pid > 0)
		waitpid(instance->pid, &status, 0);
	instance->pid = 0;
	if (WIFEXITED(status))
		rig_log("%s has exited with status %d", instance->name,
		    WEXITSTATUS(status));
	else
		rig_log("%s was ended by signal %d", instance->name,
		    WTERMSIG(status));
}

bool
rig_instance_is_ready(const struct rig_instance *instance)
{
	static const char request[] =
	    "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
	struct rig_conn conn;
	bool ready = false;

	if (!rig_conn_open(&conn, instance->ip, ready_port))
		return false;
	if (rig_conn_send(&conn, request, strlen(request)) &&
	    rig_conn_head(&conn, rig_now() + 500) > 12)
		ready = strncmp(conn.buf + 9, "200", 3) == 0;
	rig_conn_close(&conn);
	return ready;
}

void
rig_instance_wait_ready(const struct rig_instance *instance)
{
	double until = rig_now() + 10000;

	while (!rig_instance_is_ready(instance)) {
		if (rig_now() > until)
			rig_cannot_run("%s isn't ready", instance->name);
		rig_sleep(50);
	}
	rig_log("%s is ready", instance->name);
}
