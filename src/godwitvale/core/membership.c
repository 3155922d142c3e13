/* The other instances, as their heartbeats tell. */
#include "godwitvale/core/membership.h"

#include <string.h>

#include "godwitvale/core/hash.h"

/// So many heartbeats in a row must be missed before an instance counts as
/// lost: a few lost datagrams tell nothing.
#define MEMBERSHIP_LOST_BEATS 6

struct membership {
	char *own_name;
	usec_t lost_span;
	membership_listener listener;
	void *owner;
	GHashTable *members; /// name -> struct member *
	unsigned peak;       /// most instances seen at a time, with this one
	GRand *rand;
};

/// Frees a member.
static void
member_free(void *data)
{
	struct member *member = data;

	g_free(member->name);
	g_free(member->ip);
	g_free(member);
}

/// Makes a membership of this instance alone.
///
/// @param own_name   this instance's name
/// @param lost_span  shortest silence after which a member counts as lost
/// @param listener   told of changes
/// @param owner      passed to it
/// @return the membership; free with membership_free()
struct membership *
membership_new(const char *own_name, usec_t lost_span,
    membership_listener listener, void *owner)
{
	struct membership *membership = g_new0(struct membership, 1);

	membership->own_name = g_strdup(own_name);
	membership->lost_span = lost_span;
	membership->listener = listener;
	membership->owner = owner;
	membership->members =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
	membership->peak = 1;
	membership->rand = g_rand_new_with_seed((guint32)hash_name(own_name));
	return membership;
}

/// Frees a membership.
///
/// @param membership  the membership
void
membership_free(struct membership *membership)
{
	g_hash_table_unref(membership->members);
	g_rand_free(membership->rand);
	g_free(membership->own_name);
	g_free(membership);
}

/// Adds a member.
static struct member *
add_member(struct membership *membership, const struct member_beat *beat)
{
	struct member *member = g_new0(struct member, 1);

	member->name = g_strdup(beat->name);
	member->ip = g_strdup(beat->ip);
	member->key = hash_name(beat->name);
	member->incarnation = beat->incarnation;
	g_hash_table_insert(membership->members, member->name, member);
	membership->peak = MAX(membership->peak, membership_size(membership));
	return member;
}

/// @return whether any member reaches the store
static bool
any_reads(const struct membership *membership)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((const struct member *)value)->reads_store)
			return true;
	return false;
}

/// Takes a heartbeat.
///
/// @param membership  the membership
/// @param now         time
/// @param beat        what it says
/// @return its sender, or NULL when it is this instance or an earlier life
const struct member *
membership_heard(
    struct membership *membership, usec_t now, const struct member_beat *beat)
{
	struct member *member;
	bool is_new = false;
	bool is_first_reader;

	if (strcmp(beat->name, membership->own_name) == 0)
		return NULL;
	member = g_hash_table_lookup(membership->members, beat->name);
	if (member != NULL && beat->incarnation < member->incarnation)
		return NULL;
	if (member == NULL) {
		member = add_member(membership, beat);
		is_new = true;
	}
	if (strcmp(member->ip, beat->ip) != 0) {
		g_free(member->ip);
		member->ip = g_strdup(beat->ip);
	}
	if (beat->incarnation > member->incarnation) {
		member->incarnation = beat->incarnation;
		membership->listener(
		    membership->owner, MEMBER_RESTARTED, member);
	}
	is_first_reader =
	    beat->reads_store && !member->reads_store && !any_reads(membership);
	member->directory_revision = beat->directory_revision;
	member->config_revision = beat->config_revision;
	member->reads_store = beat->reads_store;
	member->leaving = beat->leaving;
	member->heard_at = now;
	member->lost_at = now +
	    MAX(MEMBERSHIP_LOST_BEATS * beat->interval, membership->lost_span);
	if (is_new)
		membership->listener(membership->owner, MEMBER_JOINED, member);
	if (is_first_reader)
		membership->listener(membership->owner, MEMBER_READS, member);
	return member;
}

/// Loses the members that have been silent for too long.
///
/// @param membership  the membership
/// @param now         time
void
membership_tick(struct membership *membership, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (now < member->lost_at)
			continue;
		membership->listener(membership->owner, MEMBER_LOST, member);
		g_hash_table_iter_remove(&iter);
	}
}

/// Forgets all members: this process stood still, and what it knew of them
/// is as old as its pause.
///
/// @param membership  the membership
void
membership_forget_all(struct membership *membership)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		membership->listener(membership->owner, MEMBER_LOST, value);
		g_hash_table_iter_remove(&iter);
	}
}

/// @param membership  the membership
/// @return live instances, this one included
unsigned
membership_size(const struct membership *membership)
{
	return g_hash_table_size(membership->members) + 1;
}

/// @param membership  the membership
/// @return the most live instances that were seen at a time
unsigned
membership_peak(const struct membership *membership)
{
	return membership->peak;
}

/// Says whether this instance is one of those that read the store for all:
/// the first by name among the live ones that reach it.
///
/// @param membership   the membership
/// @param reads_store  whether this instance reaches it
/// @return its place among them from 0, or -1
int
membership_reader_rank(const struct membership *membership, bool reads_store)
{
	int before = 0;
	GHashTableIter iter;
	void *value;

	if (!reads_store)
		return -1;
	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (member->reads_store && !member->leaving &&
		    strcmp(member->name, membership->own_name) < 0)
			before++;
	}
	return before < MEMBERSHIP_READERS ? before : -1;
}

/// @param membership  the membership
/// @param name        an instance's
/// @return the member, or NULL when none is known by that name
const struct member *
membership_find(const struct membership *membership, const char *name)
{
	return g_hash_table_lookup(membership->members, name);
}

/// @param membership  the membership
/// @return a member with the newest configuration, drawn by chance, or NULL
const struct member *
membership_newest_config(const struct membership *membership)
{
	const struct member *newest = NULL;
	gint32 n_newest = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, membership->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		if (newest != NULL &&
		    member->config_revision < newest->config_revision)
			continue;
		if (newest == NULL ||
		    member->config_revision > newest->config_revision)
			n_newest = 0;
		/* Each of the equal ones is as likely. */
		n_newest++;
		if (g_rand_int_range(membership->rand, 0, n_newest) == 0)
			newest = member;
	}
	return newest;
}

/// @param membership  the membership
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
