/* Whether new work may be taken under the bundle in force. */
#include "godwitvale/core/authority.h"

#include <string.h>

#include <glib.h>

/// Prepares an instance that has no bundle yet.
///
/// @param authority  filled in
/// @param options    spans
void
authority_init(
    struct authority *authority, const struct authority_options *options)
{
	memset(authority, 0, sizeof(*authority));
	authority->options = *options;
}

/// Offers a genuine bundle. The embedder puts it in force, and raises the
/// register to its version, only when this returns true.
///
/// @param authority  the part
/// @param version    the bundle's version
/// @return true when it is newer than the one in force
bool
authority_offer(struct authority *authority, uint64_t version)
{
	if (version <= authority->version)
		return false;
	authority->version = version;
	authority->read_due = 0;
	return true;
}

/// Looks whether the register is to be read.
///
/// @param authority  the part
/// @param now        current time
/// @return AUTHORITY_READ or AUTHORITY_NOTHING
enum authority_step
authority_tick(struct authority *authority, usec_t now)
{
	if (authority->reading || now < authority->read_due)
		return AUTHORITY_NOTHING;
	authority->read_due = now + authority->options.read_interval;
	authority->asked_at = now;
	authority->reading = true;
	return AUTHORITY_READ;
}

/// Takes the register's value, as a majority of voters keeps it.
///
/// @param authority  the part
/// @param version    the highest accepted version
/// @return AUTHORITY_FETCH when that is newer than the bundle in force
enum authority_step
authority_take_read(struct authority *authority, uint64_t version)
{
	if (!authority->reading)
		return AUTHORITY_NOTHING;
	authority->reading = false;
	authority->register_seen = true;
	if (version > authority->version)
		return AUTHORITY_FETCH;
	if (authority->version > 0)
		authority->valid_until =
		    authority->asked_at + authority->options.freshness;
	return AUTHORITY_NOTHING;
}

/// Takes the news that no majority answered the read.
///
/// @param authority  the part
void
authority_take_isolation(struct authority *authority)
{
	authority->reading = false;
}

/// Takes the news that a peer has read the register in its present life. The
/// fleet has not just started then: only the register counts from now on.
///
/// @param authority  the part
void
authority_note_peer_read(struct authority *authority)
{
	authority->peer_read = true;
}

/// Takes what the listed instances say. It counts only until the register
/// could be read once, by this instance or a peer that it heard: in a fleet
/// that has just started, no majority of voters is ready yet. All listed ones
/// must have answered, since those that don't may have accepted a newer bundle
/// on the other side of a partition.
///
/// @param authority  the part
/// @param now        current time
/// @param listed     instances on the membership list
/// @param answered   of them, those that answered within the freshness span,
///                   this one included where it is listed itself
/// @param highest    the highest version that one of them named
void
authority_take_peers(struct authority *authority, usec_t now, unsigned listed,
    unsigned answered, uint64_t highest)
{
	usec_t until = now + authority->options.freshness / 2;

	if (authority->register_seen || authority->peer_read ||
	    authority->version == 0 || listed == 0 || answered < listed ||
	    highest > authority->version)
		return;
	authority->valid_until = MAX(authority->valid_until, until);
}

/// Tells whether new work may be taken, queued work sent.
///
/// @param authority  the part
/// @param now        current time
/// @return false when the bundle in force may not be the newest
bool
authority_may_admit(const struct authority *authority, usec_t now)
{
	return authority->version > 0 && now < authority->valid_until;
}
