/*
 * One TCP connection on the main loop. Callbacks report received bytes and how
 * the connection ended. Writing never blocks: bytes that the kernel doesn't
 * accept yet are buffered.
 */
#ifndef GODWITVALE_HTTP_CONN_H
#define GODWITVALE_HTTP_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/// Why a connection ended.
enum conn_end {
	CONN_END_ORDERLY = 1, /// the peer has closed its sending side
	CONN_END_RESET,       /// reset, timed out or unreachable
	CONN_END_REFUSED,     /// could not be opened
};

struct buffer;
struct client_limits;
struct conn;

/// Callbacks of a connection. None is called after `ended`.
struct conn_vtable {
	void (*opened)(void *owner);
	void (*received)(void *owner, const char *data, size_t len);
	void (*ended)(void *owner, enum conn_end end);
	void (*drained)(void *owner); /// the kernel has taken all written bytes
	/// The peer has closed its sending side; bytes that it sent before may
	/// be unread while reading is paused. NULL: the connection ends then.
	void (*half_closed)(void *owner);
};

struct conn *conn_open(const char *source, const char *ip, uint16_t port,
    const struct conn_vtable *vtable, void *owner);
/// The peer of an adopted connection is a caller. That it closes its sending
/// side is reported also while reading is paused.
struct conn *conn_adopt(int fd, const struct conn_vtable *vtable, void *owner);
void conn_set_owner(
    struct conn *conn, const struct conn_vtable *vtable, void *owner);
void conn_close(struct conn *conn);
void conn_abort(struct conn *conn);
void conn_write(struct conn *conn, const char *data, size_t len);
void conn_write_buffer(struct conn *conn, struct buffer *buffer);
void conn_set_account(struct conn *conn, struct client_limits *limits);
void conn_update_limits(struct conn *conn);
size_t conn_set_send_buffer(struct conn *conn, size_t bytes);
void conn_shutdown_write(struct conn *conn);
void conn_receive(struct conn *conn);
void conn_set_paused(struct conn *conn, bool paused);
size_t conn_unsent_bytes(const struct conn *conn);
size_t conn_unacked_bytes(const struct conn *conn);
uint64_t conn_acked_bytes(const struct conn *conn);
uint64_t conn_sent_bytes(const struct conn *conn);
bool conn_is_reusable(const struct conn *conn);

#endif
