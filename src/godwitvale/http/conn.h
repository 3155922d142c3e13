/*
 * One TCP connection on the main loop: bytes in, bytes out, and how it ended.
 * Writing never blocks; what the peer does not take yet is kept.
 */
#ifndef GODWITVALE_HTTP_CONN_H
#define GODWITVALE_HTTP_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/// How a connection ended.
enum conn_end {
	CONN_END_ORDERLY = 1, /// the peer has sent its last byte
	CONN_END_RESET,       /// reset, timed out or unreachable
	CONN_END_REFUSED,     /// could not be opened
};

struct conn;

/// Told of what happens on a connection. After `ended` nothing more is told.
struct conn_vtable {
	void (*opened)(void *owner);
	void (*received)(void *owner, const char *data, size_t len);
	void (*ended)(void *owner, enum conn_end end);
	void (*drained)(void *owner); /// all that was written has left
};

struct conn *conn_open(const char *ip, uint16_t port,
    const struct conn_vtable *vtable, void *owner);
/// The peer of an adopted one is a caller: its half close ends it.
struct conn *conn_adopt(int fd, const struct conn_vtable *vtable, void *owner);
void conn_set_owner(
    struct conn *conn, const struct conn_vtable *vtable, void *owner);
void conn_close(struct conn *conn);
void conn_abort(struct conn *conn);
void conn_write(struct conn *conn, const char *data, size_t len);
void conn_finish(struct conn *conn);
void conn_pause(struct conn *conn, bool paused);
size_t conn_unsent(const struct conn *conn);
uint64_t conn_sent(const struct conn *conn);
bool conn_is_quiet(const struct conn *conn);

#endif
