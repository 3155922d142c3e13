/* Limits on what all clients of an instance use together. */
#include "godwitvale/entry/client_guard.h"

#include <malloc.h>

#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_settings.h"
#include "godwitvale/ops/descriptors.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/log_pace.h"

/// Blocks from this size on are returned to the system when they are freed, in
/// bytes. By default the allocator raises the size when such a block is freed,
/// up to 32 MiB, and then keeps the memory of bodies.
#define RETURNED_BLOCK_BYTES (128 * 1024)

struct client_guard {
	const struct entry_settings *settings;
	struct client_limits *limits;
	struct log_pace paces[HTTP_N_LIMITS];
};

/// Creates the guard. Its limits hold for the longest body of 0 bytes until
/// client_guard_set_max_body() is called.
///
/// @param settings  must outlive the guard
/// @return the guard; free with client_guard_free()
struct client_guard *
client_guard_new(const struct entry_settings *settings)
{
	struct client_guard *guard = g_new0(struct client_guard, 1);

	mallopt(M_MMAP_THRESHOLD, RETURNED_BLOCK_BYTES);
	mallopt(M_TRIM_THRESHOLD, RETURNED_BLOCK_BYTES);
	descriptors_raise(settings->max_fds);
	guard->settings = settings;
	guard->limits = client_limits_new();
	client_guard_set_max_body(guard, 0);
	client_limits_set_socket_bound(guard->limits,
	    client_limits_derive_socket_bound(
		settings->memory_mb, settings->socket_memory_mb));
	return guard;
}

/// Frees the guard.
///
/// @param guard  no server may use its limits any more; or NULL
void
client_guard_free(struct client_guard *guard)
{
	if (guard == NULL)
		return;
	client_limits_free(guard->limits);
	g_free(guard);
}

/// Sets the longest body of a request, which the bound on memory must allow.
///
/// @param guard     a guard
/// @param max_body  bytes
void
client_guard_set_max_body(struct client_guard *guard, uint64_t max_body)
{
	const struct entry_settings *settings = guard->settings;

	client_limits_set_bound(guard->limits,
	    client_limits_derive_bound(
		settings->memory_mb, settings->caller_memory_mb, max_body));
}

/// @param guard  a guard
/// @return the account that all servers of the instance share
struct client_limits *
client_guard_limits(const struct client_guard *guard)
{
	return guard->limits;
}

/// Derives the numbers of connections from the settings and the process's own
/// limit, the lower of which holds.
///
/// @param guard  a guard
/// @return maximum numbers of connections
struct client_connections
client_guard_connections(const struct client_guard *guard)
{
	unsigned max_fds = guard->settings->max_fds;
	unsigned limit = descriptors_max();

	if (limit != 0 && limit != DESCRIPTORS_UNLIMITED &&
	    (max_fds == 0 || limit < max_fds))
		max_fds = limit;
	return client_limits_derive_connections(
	    max_fds, guard->settings->max_callers);
}

/// @param guard  a guard
/// @return limits on the time of a request's body
struct client_body_limits
client_guard_body_limits(const struct client_guard *guard)
{
	return (struct client_body_limits){
	    .grace = guard->settings->body_grace,
	    .min_bytes_per_s = guard->settings->body_min_bytes_per_s,
	    .max_time = guard->settings->body_max_time,
	};
}

/// Counts that a limit has taken effect, and logs it at most once a second.
///
/// @param guard   a guard
/// @param limit   which one
/// @param server  name of the address at which it did
void
client_guard_note_limit(
    struct client_guard *guard, enum http_limit limit, const char *server)
{
	uint64_t n_times = log_pace_note(&guard->paces[limit]);

	series_add(&entry_metric_limits, http_limit_name(limit), NULL, 1);
	if (n_times == 0)
		return;
	log_event(LOG_LEVEL_WARN, "client-limit",
	    "limit=%s server=%s times=%" G_GUINT64_FORMAT
	    " held_bytes=%" G_GUINT64_FORMAT " max_bytes=%" G_GUINT64_FORMAT,
	    http_limit_name(limit), server, n_times,
	    client_limits_held(guard->limits),
	    client_limits_bound(guard->limits));
}
