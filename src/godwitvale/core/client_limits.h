/*
 * The account of all bytes that an instance holds on behalf of clients, and the
 * decision which client is dropped when the memory or the connections for them
 * are used up. A whole request that was passed on is never dropped.
 */
#ifndef GODWITVALE_CORE_CLIENT_LIMITS_H
#define GODWITVALE_CORE_CLIENT_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

struct client_limits;

/// What a client's connection is used for at present.
enum client_stage {
	CLIENT_IDLE = 1, /// no byte of a request was read
	CLIENT_IN_HEAD,
	CLIENT_IN_BODY,
	CLIENT_IN_CALL, /// a whole request was read; its response isn't written
	CLIENT_UNREAD,  /// it has not taken all of finished responses
	CLIENT_CLOSING, /// it was refused, and closes soon
};

/// State of a client's connection.
struct client_state {
	enum client_stage stage;
	/// Freed if it is dropped; for CLIENT_IN_CALL, what it has sent of
	/// further requests, which is dropped while the call goes on.
	size_t bytes;
	/// First byte of the request; for CLIENT_UNREAD, when it last took a
	/// byte.
	usec_t started_at;
	/// End of its last request, or when it was accepted.
	usec_t waiting_since;
	/// Memory that the kernel may take for its socket's buffers.
	size_t socket_bytes;
	usec_t accepted_at;
	bool is_yielding; /// it is closed after its next response
};

/// Bytes that one object holds on behalf of a client. The object's destructor
/// releases them with client_hold_clear().
struct client_hold {
	struct client_limits *limits; /// NULL: not counted
	size_t bytes;
};

/// Limits on the time that a request's body takes.
struct client_body_limits {
	usec_t grace;             /// in addition to what the rate allows
	uint32_t min_bytes_per_s; /// average rate; 0: not limited
	usec_t max_time;          /// from the first byte; 0: not limited
};

/// Numbers of connections that fit into the descriptors of a machine.
struct client_connections {
	unsigned callers; /// connections of callers
	unsigned members; /// connections of other instances
	unsigned admin;   /// connections for readiness, and for metrics
};

struct client_limits *client_limits_new(void);
void client_limits_free(struct client_limits *limits);
void client_limits_set_bound(struct client_limits *limits, uint64_t max_bytes);
uint64_t client_limits_bound(const struct client_limits *limits);
uint64_t client_limits_held(const struct client_limits *limits);
bool client_limits_fits(const struct client_limits *limits, uint64_t bytes);
bool client_limits_is_short(const struct client_limits *limits);
void client_limits_set_socket_bound(
    struct client_limits *limits, uint64_t max_bytes);
size_t client_limits_socket_buffer(const struct client_limits *limits);
bool client_limits_sockets_are_full(const struct client_limits *limits);

uint32_t client_limits_add(struct client_limits *limits, void *owner,
    const void *group, const struct client_state *state);
void client_limits_update(struct client_limits *limits, uint32_t client,
    const struct client_state *state);
void client_limits_remove(struct client_limits *limits, uint32_t client);
void *client_limits_pick_for_memory(
    const struct client_limits *limits, usec_t now);
void *client_limits_pick_for_connection(
    const struct client_limits *limits, const void *group, usec_t now);
void *client_limits_pick_to_yield(
    const struct client_limits *limits, const void *group);

void client_hold_set(struct client_hold *hold, size_t bytes);
void client_hold_clear(struct client_hold *hold);

usec_t client_body_deadline(const struct client_body_limits *limits,
    usec_t started_at, uint64_t received);
uint64_t client_limits_derive_room(unsigned memory_mb);
uint64_t client_limits_derive_bound(
    unsigned memory_mb, unsigned override_mb, uint64_t max_body);
uint64_t client_limits_derive_socket_bound(
    unsigned memory_mb, unsigned override_mb);
bool client_limits_exceed_machine(
    unsigned memory_mb, uint64_t client_bytes, uint64_t socket_bytes);
struct client_connections client_limits_derive_connections(
    unsigned max_fds, unsigned max_callers);

#endif
