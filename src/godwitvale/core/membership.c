/* Tracks the other instances by their heartbeats. */
#include "godwitvale/core/membership.h"

#include <string.h>

#include "godwitvale/core/hash.h"

/// Number of consecutive missed heartbeats after which an instance counts as
/// lost. Heartbeats are datagrams, and the loss of a few doesn't mean that an
/// instance has failed.
#define MEMBERSHIP_LOST_HEARTBEATS 6

struct membership {
	char *own_name;      /// name of this instance
	usec_t lost_timeout; /// minimum time without heartbeats before a loss
	membership_listener listener;
	void *owner;
	GHashTable *members; /// name -> struct member *
	GHashTable *by_hash; /// hash of a name -> struct member *, not owned
	unsigned peak_size;  /// maximum of membership_size() so far
	GRand *rand;         /// chooses among members with equal configurations
};

/// Frees a member (struct member *).
static void
member_free(void *data)
{
	struct member *member = data;

	g_free(member->name);
	g_free(member->ip);
	g_free(member);
}

/// Creates a membership without other instances.
///
/// @param own_name      name of this instance
/// @param lost_timeout  minimum time without heartbeats after which a member
///                      counts as lost
/// @param listener      called on each change
/// @param owner         passed to the listener
/// @return the membership; free with membership_free()
struct membership *
membership_new(const char *own_name, usec_t lost_timeout,
    membership_listener listener, void *owner)
{
	struct membership *membership = g_new0(struct membership, 1);

	membership->own_name = g_strdup(own_name);
	membership->lost_timeout = lost_timeout;
	membership->listener = listener;
	membership->owner = owner;
	membership->members =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
	membership->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	membership->peak_size = 1;
	membership->rand = g_rand_new_with_seed((guint32)hash_name(own_name));
	return membership;
}

/// Frees a membership and its members, without calling the listener.
///
/// @param membership  membership to free, not NULL
void
membership_free(struct membership *membership)
{
	g_hash_table_unref(membership->by_hash);
	g_hash_table_unref(membership->members);
	g_rand_free(membership->rand);
	g_free(membership->own_name);
	g_free(membership);
}

/// Adds the sender of a heartbeat as a member.
static struct member *
add_member(
    struct membership *membership, const struct member_heartbeat *heartbeat)
{
	struct member *member = g_new0(struct member, 1);

	member->name = g_strdup(heartbeat->name);
	member->ip = g_strdup(heartbeat->ip);
	member->name_hash = hash_name(heartbeat->name);
	member->incarnation = heartbeat->incarnation;
	g_hash_table_insert(membership->members, member->name, member);
	g_hash_table_insert(membership->by_hash, &member->name_hash, member);
	membership->peak_size =
	    MAX(membership->peak_size, membership_size(membership));
	return member;
}

/// @return whether any member can reach the store
static bool
can_any_member_reach_store(const struct membership *membership)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((const struct member *)value)->store_reachable)
			return true;
	return false;
}

/// Postpones the time at which a member counts as lost.
static void
note_alive(
    const struct membership *membership, struct member *member, usec_t now)
{
	member->last_heartbeat_at = now;
	member->lost_deadline = now +
	    MAX(MEMBERSHIP_LOST_HEARTBEATS * member->interval,
		membership->lost_timeout);
}

/// Handles a received heartbeat.
///
/// @param membership  membership to update
/// @param now         current time
/// @param heartbeat   contents of the heartbeat; copied
/// @return the sender; NULL when this instance itself sent the heartbeat, or
///         when it was sent before the sender's last restart
const struct member *
membership_handle_heartbeat(struct membership *membership, usec_t now,
    const struct member_heartbeat *heartbeat)
{
	struct member *member;
	bool is_new = false;
	bool has_restarted;
	bool is_first_to_reach_store;

	if (strcmp(heartbeat->name, membership->own_name) == 0)
		return NULL;
	member = g_hash_table_lookup(membership->members, heartbeat->name);
	if (member != NULL && heartbeat->incarnation < member->incarnation)
		return NULL;
	if (member == NULL) {
		member = add_member(membership, heartbeat);
		is_new = true;
	}
	if (strcmp(member->ip, heartbeat->ip) != 0) {
		g_free(member->ip);
		member->ip = g_strdup(heartbeat->ip);
	}
	has_restarted = heartbeat->incarnation > member->incarnation;
	member->incarnation = heartbeat->incarnation;
	is_first_to_reach_store = heartbeat->store_reachable &&
	    !member->store_reachable && !can_any_member_reach_store(membership);
	member->directory_revision = heartbeat->directory_revision;
	member->config_revision = heartbeat->config_revision;
	member->config_version = heartbeat->config_version;
	member->store_era = heartbeat->store_era;
	member->features = heartbeat->features;
	member->zone = heartbeat->zone;
	member->store_reachable = heartbeat->store_reachable;
	member->leaving = heartbeat->leaving;
	member->link_mbps = heartbeat->link_mbps;
	member->interval = heartbeat->interval;
	member->sequence = has_restarted
	    ? heartbeat->sequence
	    : MAX(member->sequence, heartbeat->sequence);
	note_alive(membership, member, now);
	if (has_restarted)
		membership->listener(
		    membership->owner, MEMBER_RESTARTED, member);
	if (is_new)
		membership->listener(membership->owner, MEMBER_JOINED, member);
	if (is_first_to_reach_store)
		membership->listener(
		    membership->owner, MEMBER_REACHED_STORE, member);
	return member;
}

/// Handles a heartbeat that says only that the sender's state is unchanged.
///
/// @param membership   membership to update
/// @param now          current time
/// @param name_hash    hash of the sender's name
/// @param incarnation  of the sender
/// @return the sender; NULL if this incarnation of it isn't a member
const struct member *
membership_handle_alive(struct membership *membership, usec_t now,
    uint64_t name_hash, uint64_t incarnation)
{
	struct member *member =
	    g_hash_table_lookup(membership->by_hash, &name_hash);

	if (member == NULL || member->incarnation != incarnation)
		return NULL;
	note_alive(membership, member, now);
	return member;
}

/// Checks whether a numbered message is newer than all that came before from
/// the same incarnation of its sender, and notes its number.
///
/// @param membership  membership to update
/// @param name        the sender; must be a member
/// @param sequence    number of the message; 0: the sender's build sends none
/// @return whether the message is to be applied
bool
membership_accept_sequence(
    struct membership *membership, const char *name, uint64_t sequence)
{
	struct member *member = g_hash_table_lookup(membership->members, name);

	if (sequence == 0)
		return true;
	if (member == NULL || sequence <= member->sequence)
		return false;
	member->sequence = sequence;
	return true;
}

/// Removes the members whose `lost_deadline` has passed, and reports them as
/// lost.
///
/// @param membership  membership to update
/// @param now         current time
void
membership_tick(struct membership *membership, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (now < member->lost_deadline)
			continue;
		membership->listener(membership->owner, MEMBER_LOST, member);
		g_hash_table_remove(membership->by_hash, &member->name_hash);
		g_hash_table_iter_remove(&iter);
	}
}

/// Removes all members and reports them as lost. Must be called after this
/// process was suspended, as the data on the members may be as old as the start
/// of the suspension.
///
/// @param membership  membership to update
void
membership_forget_all(struct membership *membership)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		membership->listener(membership->owner, MEMBER_LOST, value);
		g_hash_table_remove(membership->by_hash,
		    &((const struct member *)value)->name_hash);
		g_hash_table_iter_remove(&iter);
	}
}

/// @param membership  membership to count
/// @return number of live instances whose names come before this one's, the
/// same
///         order at all instances
unsigned
membership_position(const struct membership *membership)
{
	GHashTableIter iter;
	void *name;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		n += strcmp(name, membership->own_name) < 0;
	return n;
}

/// @return the number of live instances, including this one
unsigned
membership_size(const struct membership *membership)
{
	return g_hash_table_size(membership->members) + 1;
}

/// @param membership  membership to query
/// @return the largest number of instances seen alive at the same time,
///         including this one
unsigned
membership_peak_size(const struct membership *membership)
{
	return membership->peak_size;
}

/// Returns the rank of this instance among the readers, which read the store on
/// behalf of all instances: the first MEMBERSHIP_STORE_READERS by name among
/// the live instances that can reach the store and aren't leaving.
///
/// @param membership       membership to query
/// @param store_reachable  whether this instance can reach the store
/// @return the rank, from 0; -1 when this instance isn't a reader
int
membership_reader_rank(
    const struct membership *membership, bool store_reachable)
{
	int n_earlier_readers = 0;
	GHashTableIter iter;
	void *value;

	if (!store_reachable)
		return -1;
	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (member->store_reachable && !member->leaving &&
		    strcmp(member->name, membership->own_name) < 0)
			n_earlier_readers++;
	}
	return n_earlier_readers < MEMBERSHIP_STORE_READERS ? n_earlier_readers
							    : -1;
}

/// @param membership  membership to search
/// @param name        name of an instance
/// @return the member, or NULL when no member has this name
const struct member *
membership_find(const struct membership *membership, const char *name)
{
	return g_hash_table_lookup(membership->members, name);
}

/// @param membership  membership to search
/// @param name_hash   hash of the name of an instance
/// @return the member, or NULL when no member has this name
const struct member *
membership_find_by_hash(const struct membership *membership, uint64_t name_hash)
{
	return g_hash_table_lookup(membership->by_hash, &name_hash);
}

/// @param membership   membership to count
/// @param now          current time
/// @param n_intervals  number of heartbeats
/// @return number of members that have missed this many heartbeats or more
unsigned
membership_count_silent(
    const struct membership *membership, usec_t now, unsigned n_intervals)
{
	GHashTableIter iter;
	void *value;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		n += now >
		    member->last_heartbeat_at + n_intervals * member->interval;
	}
	return n;
}

/// Compares two members by a property.
///
/// @return negative, zero or positive, as the first one is older, the same or
///         newer
typedef int (*member_compare)(
    const struct member *member, const struct member *other);

/// Compares configurations: by version, and by revision if a version is
/// unknown.
static int
compare_configs(const struct member *member, const struct member *other)
{
	if (member->config_version != other->config_version)
		return member->config_version < other->config_version ? -1 : 1;
	if (member->config_revision != other->config_revision)
		return member->config_revision < other->config_revision ? -1
									: 1;
	return 0;
}

/// Compares the eras of the members' data.
static int
compare_eras(const struct member *member, const struct member *other)
{
	if (member->store_era == other->store_era)
		return 0;
	return member->store_era < other->store_era ? -1 : 1;
}

/// Compares what the members know of the upstreams.
static int
compare_directories(const struct member *member, const struct member *other)
{
	if (member->store_era != other->store_era)
		return compare_eras(member, other);
	if (member->directory_revision == other->directory_revision)
		return 0;
	return member->directory_revision < other->directory_revision ? -1 : 1;
}

/// Finds a random one of the members that are the newest by a comparison.
static const struct member *
find_newest(const struct membership *membership, member_compare compare)
{
	const struct member *newest = NULL;
	gint32 n_newest = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;
		int order = newest == NULL ? 1 : compare(member, newest);

		if (order < 0)
			continue;
		if (order > 0)
			n_newest = 0;
		/* Equal members are equally likely. */
		n_newest++;
		if (g_rand_int_range(membership->rand, 0, n_newest) == 0)
			newest = member;
	}
	return newest;
}

/// @param membership  membership to query
/// @return a random one of the members with the newest configuration; NULL when
///         there are no members
const struct member *
membership_find_newest_config(const struct membership *membership)
{
	return find_newest(membership, compare_configs);
}

/// @param membership  membership to query
/// @return a random one of the members with data of the latest era of the
/// store;
///         NULL when there are no members
const struct member *
membership_find_newest_era(const struct membership *membership)
{
	return find_newest(membership, compare_eras);
}

/// @param membership  membership to query
/// @return a random one of the members that know the latest revision of the
///         upstreams; NULL when there are no members
const struct member *
membership_find_newest_directory(const struct membership *membership)
{
	return find_newest(membership, compare_directories);
}

/// Returns the rank of this instance for a task that only some instances may
/// perform, by rendezvous hashing. Instances that see the same members agree on
/// the ranks; the two sides of a network partition each have their own.
///
/// @param membership  membership to query
/// @param task        number of the task
/// @return number of live instances that rank higher and aren't leaving
unsigned
membership_task_rank(const struct membership *membership, uint64_t task)
{
	uint64_t own = hash_pair(hash_name(membership->own_name), task);
	unsigned rank = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (!member->leaving &&
		    hash_pair(member->name_hash, task) > own)
			rank++;
	}
	return rank;
}

/// @param membership  membership to list
/// @return all members (struct member *); free with g_ptr_array_unref()
GPtrArray *
membership_list(const struct membership *membership)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	return list;
}
