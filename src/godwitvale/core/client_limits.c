/*
 * Account of the bytes held for clients, and choice of clients to drop. The
 * choices go through all connections: a machine has some thousand, and most
 * choices end a connection.
 */
#include "godwitvale/core/client_limits.h"

#include <glib.h>

#include "godwitvale/core/handle_table.h"

#define MEBIBYTE (1024u * 1024)
/// The smallest machine that the system runs on.
#define SMALLEST_MEMORY_MB 88
#define SMALLEST_DESCRIPTORS 3075
/// Memory of a process without clients, 8 to 20 MB as measured, and of the
/// kernel's buffers and the allocator's fragments.
#define BASE_MEMORY_MB 32
/// Smallest bound on the bytes held for clients.
#define BOUND_MIN_MB 8
/// Bytes beyond two copies of the largest body, for its head and the response.
#define REQUEST_EXTRA_BYTES MEBIBYTE
/// Descriptors that the platform reserves for files.
#define FILE_DESCRIPTORS 200
/// Divisors of the descriptors that are left: half are for callers, an eighth
/// for other instances; the rest is for readiness, metrics, upstreams, the
/// store and probes.
#define CALLER_SHARE 2
#define MEMBER_SHARE 8
/// Fewest connections of callers and of other instances, also with few
/// descriptors.
#define CONNECTIONS_MIN 16
/// Connections for readiness, and for metrics.
#define ADMIN_CONNECTIONS 32
/// Share of the memory that the process leaves for the kernel's buffers of
/// clients' sockets, as a divisor, and the smallest bound on them.
#define SOCKET_SHARE 2
#define SOCKET_BOUND_MIN_MB 4
/// Smallest and largest buffer of a socket for one direction, in bytes.
#define SOCKET_BUFFER_MIN 2048
#define SOCKET_BUFFER_MAX 16384
/// Part of the bound that is divided between the present connections, as a
/// divisor: earlier ones keep larger buffers.
#define SOCKET_RESERVE 4
/// Buffers of a connection, and the factor by which the kernel exceeds their
/// sizes to account for its own overhead.
#define SOCKET_BUFFERS 2
#define SOCKET_OVERHEAD 2
/// Memory of a process without clients, and of the allocator's fragments.
#define PROCESS_MEMORY_MB 20
/// Shortest age that counts in the choice of a body, so that large bodies are
/// told from small ones also when all have just begun.
#define AGE_MIN USEC_PER_MSEC
/// A client that has taken a byte of its responses in the first time, and whose
/// last response ended less than the second one ago, is not dropped.
#define UNREAD_TIMEOUT USEC_PER_SEC
#define UNREAD_MAX (5 * USEC_PER_SEC)
/// A connection is kept for this time before it is closed in favour of another
/// one, so that a flood of connections leaves time for a request. As each new
/// connection waits for those before it, longer would keep all callers out.
#define WAITING_MIN (200 * USEC_PER_MSEC)

/// A client's connection.
struct client {
	void *owner;
	const void *group;
	guint index; /// in `clients`
	struct client_state state;
};

struct client_limits {
	uint64_t max_bytes;        /// 0: not limited
	uint64_t max_socket_bytes; /// 0: not limited
	uint64_t socket_bytes;     /// that the kernel may take for all clients
	uint64_t held;
	uint64_t
	    droppable; /// of `held`, what isn't part of a request passed on
	GPtrArray *clients; /// struct client *
	struct handle_table *handles;
};

/// Creates an account without a bound and without clients.
///
/// @return the account; free with client_limits_free()
struct client_limits *
client_limits_new(void)
{
	struct client_limits *limits = g_new0(struct client_limits, 1);

	limits->clients = g_ptr_array_new_with_free_func(g_free);
	limits->handles = handle_table_new();
	return limits;
}

/// Frees an account.
///
/// @param limits  all bytes must have been released; or NULL
void
client_limits_free(struct client_limits *limits)
{
	if (limits == NULL)
		return;
	g_ptr_array_unref(limits->clients);
	handle_table_free(limits->handles);
	g_free(limits);
}

/// Sets the bound on the bytes held on behalf of all clients.
///
/// @param limits     an account
/// @param max_bytes  bytes; 0: not limited
void
client_limits_set_bound(struct client_limits *limits, uint64_t max_bytes)
{
	limits->max_bytes = max_bytes;
}

/// @param limits  an account
/// @return the bound in bytes; 0: not limited
uint64_t
client_limits_bound(const struct client_limits *limits)
{
	return limits->max_bytes;
}

/// @param limits  an account
/// @return bytes held on behalf of clients
uint64_t
client_limits_held(const struct client_limits *limits)
{
	return limits->held;
}

/// Checks whether a new request fits beside what can't be dropped.
///
/// @param limits  an account
/// @param bytes   length of its body, in bytes
/// @return false if it must be refused
bool
client_limits_fits(const struct client_limits *limits, uint64_t bytes)
{
	uint64_t kept = limits->held - MIN(limits->held, limits->droppable);

	return limits->max_bytes == 0 ||
	    (kept <= limits->max_bytes && bytes <= limits->max_bytes - kept);
}

/// Checks whether more than half of the bytes are used, so that less should be
/// buffered for each client.
///
/// @param limits  an account
/// @return whether memory is short
bool
client_limits_is_short(const struct client_limits *limits)
{
	return limits->max_bytes != 0 && limits->held > limits->max_bytes / 2;
}

/// Sets the bound on the memory of the kernel's buffers for all clients.
///
/// @param limits     an account
/// @param max_bytes  bytes; 0: not limited
void
client_limits_set_socket_bound(struct client_limits *limits, uint64_t max_bytes)
{
	limits->max_socket_bytes = max_bytes;
}

/// Computes the size of the kernel's buffers of the next client's socket: the
/// more connections there are, the smaller are they.
///
/// @param limits  an account
/// @return bytes for each direction, a power of two; 0: not limited
size_t
client_limits_socket_buffer(const struct client_limits *limits)
{
	uint64_t share = limits->max_socket_bytes / SOCKET_RESERVE /
	    (SOCKET_BUFFERS * SOCKET_OVERHEAD) / (limits->clients->len + 1);
	size_t bytes = SOCKET_BUFFER_MAX;

	if (limits->max_socket_bytes == 0)
		return 0;
	while (bytes > share && bytes > SOCKET_BUFFER_MIN)
		bytes /= 2;
	return bytes;
}

/// Checks whether the kernel's buffers of one more socket exceed the bound.
///
/// @param limits  an account
/// @return whether no further connection should be accepted
bool
client_limits_sockets_are_full(const struct client_limits *limits)
{
	uint64_t next = SOCKET_BUFFERS * SOCKET_OVERHEAD *
	    client_limits_socket_buffer(limits);

	return limits->socket_bytes + next > limits->max_socket_bytes;
}

/// @return whether a client can be dropped before it has sent a whole request
static bool
is_incomplete(const struct client_state *state)
{
	return state->stage == CLIENT_IN_HEAD || state->stage == CLIENT_IN_BODY;
}

/// @return bytes that can be dropped without the loss of a request passed on
static size_t
droppable_bytes(const struct client_state *state)
{
	if (is_incomplete(state) || state->stage == CLIENT_IN_CALL)
		return state->bytes;
	return 0;
}

/// Adds a client's connection.
///
/// @param limits  an account
/// @param owner   returned when the client is chosen
/// @param group   connections that have a common bound
/// @param state   copied
/// @return handle of the client; release with client_limits_remove()
uint32_t
client_limits_add(struct client_limits *limits, void *owner, const void *group,
    const struct client_state *state)
{
	struct client *client = g_new0(struct client, 1);

	client->owner = owner;
	client->group = group;
	client->index = limits->clients->len;
	client->state = *state;
	limits->droppable += droppable_bytes(state);
	limits->socket_bytes += state->socket_bytes;
	g_ptr_array_add(limits->clients, client);
	return handle_table_add(limits->handles, client);
}

/// Notes the state of a client's connection.
///
/// @param limits  an account
/// @param client  handle of the client
/// @param state   copied
void
client_limits_update(struct client_limits *limits, uint32_t client,
    const struct client_state *state)
{
	struct client *row = handle_table_get(limits->handles, client);

	limits->droppable -= droppable_bytes(&row->state);
	limits->droppable += droppable_bytes(state);
	limits->socket_bytes += state->socket_bytes - row->state.socket_bytes;
	row->state = *state;
}

/// Removes a client whose connection has ended.
///
/// @param limits  an account
/// @param client  handle of the client; invalid afterwards
void
client_limits_remove(struct client_limits *limits, uint32_t client)
{
	struct client *row = handle_table_get(limits->handles, client);
	guint index = row->index;

	limits->droppable -= droppable_bytes(&row->state);
	limits->socket_bytes -= row->state.socket_bytes;
	handle_table_remove(limits->handles, client);
	g_ptr_array_remove_index_fast(limits->clients, index);
	if (index < limits->clients->len) {
		struct client *moved = limits->clients->pdata[index];

		moved->index = index;
	}
}

/// Computes how much and for how long a client occupies memory.
///
/// @return bytes times microseconds; 0 if it can't be dropped for memory
static double
memory_cost(const struct client_state *state, usec_t now)
{
	usec_t age = MAX(now - state->started_at, AGE_MIN);

	return (double)droppable_bytes(state) * (double)age;
}

/// Checks whether a client doesn't read its finished responses, or reads them
/// so slowly that it occupies memory and a connection for long.
static bool
is_slow_reader(const struct client_state *state, usec_t now)
{
	return state->stage == CLIENT_UNREAD &&
	    (now - state->started_at >= UNREAD_TIMEOUT ||
		now - state->waiting_since >= UNREAD_MAX);
}

/// Computes how much memory the unread responses of a client occupy.
///
/// @return bytes; 0 if it can't be dropped for memory
static double
unread_cost(const struct client_state *state, usec_t now)
{
	return is_slow_reader(state, now) ? (double)state->bytes : 0;
}

/// Finds the client with the highest cost.
///
/// @return its owner; NULL if all costs are 0
static void *
pick_costliest(const struct client_limits *limits,
    double (*cost)(const struct client_state *state, usec_t now), usec_t now)
{
	double highest = 0;
	void *owner = NULL;

	for (guint i = 0; i < limits->clients->len; i++) {
		const struct client *client = limits->clients->pdata[i];
		double value = cost(&client->state, now);

		if (value <= highest)
			continue;
		highest = value;
		owner = client->owner;
	}
	return owner;
}

/// Chooses the client to be dropped while the bound on bytes is exceeded: the
/// largest and slowest incomplete request, or further requests behind a call;
/// if there is none, the client with most bytes of finished responses that
/// takes none of them, or takes them slowly.
///
/// @param limits  an account
/// @param now     present time
/// @return owner of the client; NULL if none has to be or can be dropped
void *
client_limits_pick_for_memory(const struct client_limits *limits, usec_t now)
{
	void *owner;

	if (limits->max_bytes == 0 || limits->held <= limits->max_bytes)
		return NULL;
	owner = pick_costliest(limits, memory_cost, now);
	if (owner != NULL)
		return owner;
	return pick_costliest(limits, unread_cost, now);
}

/// Checks whether a client's connection waits for a whole request.
static bool
is_waiting(const struct client_state *state, usec_t now)
{
	(void)now;
	return state->stage == CLIENT_IDLE || is_incomplete(state);
}

/// Finds the client of a group that has waited longest, and for at least
/// WAITING_MIN, among those that a check names.
///
/// @return its owner; NULL if there is none
static void *
pick_longest(const struct client_limits *limits, const void *group,
    bool (*check)(const struct client_state *state, usec_t now), usec_t now)
{
	usec_t earliest = now - WAITING_MIN;
	void *owner = NULL;

	for (guint i = 0; i < limits->clients->len; i++) {
		const struct client *client = limits->clients->pdata[i];

		if (client->group != group || !check(&client->state, now) ||
		    client->state.waiting_since > earliest)
			continue;
		earliest = client->state.waiting_since;
		owner = client->owner;
	}
	return owner;
}

/// Chooses the client whose connection is closed in favour of a new one: the
/// one that has waited longest without a whole request; if there is none, the
/// one whose responses have waited longest to be read.
///
/// @param limits  an account
/// @param group   group whose connections are used up
/// @param now     present time
/// @return owner of the client; NULL if all are in use or too young
void *
client_limits_pick_for_connection(
    const struct client_limits *limits, const void *group, usec_t now)
{
	void *owner = pick_longest(limits, group, is_waiting, now);

	if (owner != NULL)
		return owner;
	return pick_longest(limits, group, is_slow_reader, now);
}

/// Checks whether a client's connection is in use, and is to stay open.
static bool
is_kept_in_use(const struct client_state *state)
{
	return !state->is_yielding &&
	    (state->stage == CLIENT_IN_CALL || state->stage == CLIENT_UNREAD);
}

/// Chooses the client whose connection is closed after its next response,
/// because new ones wait and all are in use: the one that was accepted first.
/// Otherwise clients with further requests keep others out for ever.
///
/// @param limits  an account
/// @param group   group whose connections are used up
/// @return owner of the client; NULL if all in use were chosen before
void *
client_limits_pick_to_yield(
    const struct client_limits *limits, const void *group)
{
	usec_t earliest = USEC_NEVER;
	void *owner = NULL;

	for (guint i = 0; i < limits->clients->len; i++) {
		const struct client *client = limits->clients->pdata[i];

		if (client->group != group || !is_kept_in_use(&client->state) ||
		    client->state.accepted_at >= earliest)
			continue;
		earliest = client->state.accepted_at;
		owner = client->owner;
	}
	return owner;
}

/// Sets how many bytes an object holds.
///
/// @param hold   hold of the object
/// @param bytes  allocated bytes
void
client_hold_set(struct client_hold *hold, size_t bytes)
{
	if (hold->limits != NULL)
		hold->limits->held += bytes - hold->bytes;
	hold->bytes = bytes;
}

/// Releases all bytes that an object holds.
///
/// @param hold  hold of the object; can be used again
void
client_hold_clear(struct client_hold *hold)
{
	client_hold_set(hold, 0);
}

/// Computes when a body must be complete, or have more bytes.
///
/// @param limits      limits on the time
/// @param started_at  when the first byte of the request was read
/// @param received    bytes of the body so far
/// @return the deadline; USEC_NEVER if there is none
usec_t
client_body_deadline(const struct client_body_limits *limits, usec_t started_at,
    uint64_t received)
{
	usec_t deadline = USEC_NEVER;

	if (limits->max_time > 0)
		deadline = started_at + limits->max_time;
	if (limits->min_bytes_per_s > 0)
		deadline = MIN(deadline,
		    started_at + limits->grace +
			(usec_t)(received * USEC_PER_SEC /
			    limits->min_bytes_per_s));
	return deadline;
}

/// Returns the memory that the process itself leaves on a machine.
///
/// @param memory_mb  memory of the machine in MiB; 0: the smallest one's
/// @return the rest in bytes; 0: none
uint64_t
client_limits_derive_room(unsigned memory_mb)
{
	if (memory_mb == 0)
		memory_mb = SMALLEST_MEMORY_MB;
	return (uint64_t)(memory_mb - MIN(memory_mb, BASE_MEMORY_MB)) *
	    MEBIBYTE;
}

/// Derives the bound on the bytes held for clients from the machine's memory.
/// A body is held twice at most, as it was read and as it is sent on, so the
/// bound is half of what the process itself leaves.
///
/// @param memory_mb    memory of the machine in MiB; 0: the smallest one's
/// @param override_mb  MiB that replace the derived bound; 0: none
/// @param max_body     longest body of a request in bytes; one always fits
/// @return the bound in bytes
uint64_t
client_limits_derive_bound(
    unsigned memory_mb, unsigned override_mb, uint64_t max_body)
{
	uint64_t bound_mb = override_mb;

	if (memory_mb == 0)
		memory_mb = SMALLEST_MEMORY_MB;
	if (bound_mb == 0 && memory_mb > BASE_MEMORY_MB)
		bound_mb = (memory_mb - BASE_MEMORY_MB) / 2;
	if (override_mb == 0)
		bound_mb = MAX(bound_mb, BOUND_MIN_MB);
	return MAX(bound_mb * MEBIBYTE, 2 * max_body + REQUEST_EXTRA_BYTES);
}

/// Derives the bound on the kernel's buffers of clients' sockets from the
/// machine's memory.
///
/// @param memory_mb    memory of the machine in MiB; 0: the smallest one's
/// @param override_mb  MiB that replace the derived bound; 0: none
/// @return the bound in bytes
uint64_t
client_limits_derive_socket_bound(unsigned memory_mb, unsigned override_mb)
{
	uint64_t room = client_limits_derive_room(memory_mb);

	if (override_mb > 0)
		return (uint64_t)override_mb * MEBIBYTE;
	return MAX(room / SOCKET_SHARE, SOCKET_BOUND_MIN_MB * MEBIBYTE);
}

/// Checks whether clients may take more memory than a machine has.
///
/// @param memory_mb     memory of the machine in MiB; 0: the smallest one's
/// @param client_bytes  bound on the bytes held for clients
/// @param socket_bytes  bound on the kernel's buffers of their sockets
/// @return whether this and the process itself exceed the memory
bool
client_limits_exceed_machine(
    unsigned memory_mb, uint64_t client_bytes, uint64_t socket_bytes)
{
	uint64_t machine =
	    (uint64_t)(memory_mb == 0 ? SMALLEST_MEMORY_MB : memory_mb) *
	    MEBIBYTE;

	return PROCESS_MEMORY_MB * MEBIBYTE + client_bytes + socket_bytes >
	    machine;
}

/// Divides the machine's descriptors.
///
/// @param max_fds      descriptors of the process; 0: the smallest machine's
/// @param max_callers  maximum number of connections of callers
/// @return numbers of connections
struct client_connections
client_limits_derive_connections(unsigned max_fds, unsigned max_callers)
{
	unsigned usable = max_fds == 0 ? SMALLEST_DESCRIPTORS : max_fds;

	usable -= MIN(usable, FILE_DESCRIPTORS);
	return (struct client_connections){
	    .callers =
		MIN(max_callers, MAX(usable / CALLER_SHARE, CONNECTIONS_MIN)),
	    .members = MAX(usable / MEMBER_SHARE, CONNECTIONS_MIN),
	    .admin = ADMIN_CONNECTIONS,
	};
}
