/* Decides whether new work may be admitted under the bundle in force. */
#include "godwitvale/core/authority.h"

#include <string.h>

#include <glib.h>

/// Initialises the state of an instance that has no bundle yet.
///
/// @param authority  overwritten
/// @param options    copied
void
authority_init(
    struct authority *authority, const struct authority_options *options)
{
	memset(authority, 0, sizeof(*authority));
	authority->options = *options;
}

/// Accepts a bundle with a verified signature if it is newer than the one in
/// force. The embedding program must apply the bundle, and raise the register
/// to its version, only if this function returns true.
///
/// @param authority  state of this instance
/// @param version    version of the bundle
/// @return true if the bundle is newer than the one in force
bool
authority_accept_bundle(struct authority *authority, uint64_t version)
{
	if (version <= authority->version)
		return false;
	authority->version = version;
	authority->next_read_at = 0;
	return true;
}

/// Checks whether the register must be read now.
///
/// @param authority  state of this instance
/// @param now        current time, in microseconds
/// @return AUTHORITY_READ_REGISTER or AUTHORITY_NOTHING
enum authority_step
authority_tick(struct authority *authority, usec_t now)
{
	if (authority->read_in_progress || now < authority->next_read_at)
		return AUTHORITY_NOTHING;
	authority->next_read_at = now + authority->options.read_interval;
	authority->read_started_at = now;
	authority->read_in_progress = true;
	return AUTHORITY_READ_REGISTER;
}

/// Handles the register's value as read from a majority of voters.
///
/// @param authority  state of this instance
/// @param version    highest accepted version
/// @return AUTHORITY_FETCH_BUNDLE if it is newer than the bundle in force
enum authority_step
authority_handle_read(struct authority *authority, uint64_t version)
{
	if (!authority->read_in_progress)
		return AUTHORITY_NOTHING;
	authority->read_in_progress = false;
	authority->register_was_read = true;
	if (version > authority->version)
		return AUTHORITY_FETCH_BUNDLE;
	if (authority->version > 0)
		authority->valid_until =
		    authority->read_started_at + authority->options.freshness;
	return AUTHORITY_NOTHING;
}

/// Handles a read that no majority of voters answered.
///
/// @param authority  state of this instance
void
authority_handle_read_failure(struct authority *authority)
{
	authority->read_in_progress = false;
}

/// Records that a peer has read the register since it started. The fleet has
/// then not just started, so from now on only the register counts.
///
/// @param authority  state of this instance
void
authority_record_peer_read(struct authority *authority)
{
	authority->peer_read_register = true;
}

/// Handles the bundle versions that the listed instances report. They count
/// only until this instance, or a peer that reported to it, has read the
/// register once: in a fleet that has just started, no majority of voters is
/// ready yet. All listed instances must have answered, because one that has not
/// may have accepted a newer bundle on the other side of a network partition.
///
/// @param authority  state of this instance
/// @param now        current time, in microseconds
/// @param listed     number of instances on the membership list
/// @param answered   number of listed instances that answered within the
///     freshness period, including this instance if it is listed
/// @param highest    highest version that any of them reported
void
authority_handle_peer_versions(struct authority *authority, usec_t now,
    unsigned listed, unsigned answered, uint64_t highest)
{
	usec_t until = now + authority->options.freshness / 2;

	if (authority->register_was_read || authority->peer_read_register ||
	    authority->version == 0 || listed == 0 || answered < listed ||
	    highest > authority->version)
		return;
	authority->valid_until = MAX(authority->valid_until, until);
}

/// Checks whether new work may be admitted and queued work sent.
///
/// @param authority  state of this instance
/// @param now        current time, in microseconds
/// @return false if the bundle in force may not be the newest
bool
authority_may_admit(const struct authority *authority, usec_t now)
{
	return authority->version > 0 && now < authority->valid_until;
}
