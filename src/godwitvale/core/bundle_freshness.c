/* Decides whether new work may be admitted under this instance's bundle. */
#include "godwitvale/core/bundle_freshness.h"

#include <string.h>

#include <glib.h>

/// Initialises the freshness state of an instance that has no bundle yet.
///
/// @param freshness  state to initialise; overwritten
/// @param options    copied into the state
void
bundle_freshness_init(struct bundle_freshness *freshness,
    const struct bundle_freshness_options *options)
{
	memset(freshness, 0, sizeof(*freshness));
	freshness->options = *options;
}

/// Raises the version of the bundle in force if a bundle is newer. Only if this
/// function returns true, the embedding program must apply the bundle and raise
/// the version register to the bundle's version.
///
/// @param freshness  state of this instance
/// @param version    version of a bundle whose signature has been verified
/// @return true if this version is higher than that of the bundle in force
bool
bundle_freshness_advance_version(
    struct bundle_freshness *freshness, uint64_t version)
{
	if (version <= freshness->version)
		return false;
	freshness->version = version;
	freshness->next_read_at = 0;
	return true;
}

/// Checks whether a read of the version register is due. If so, records that
/// the read has started.
///
/// @param freshness  state of this instance
/// @param now        current time, in microseconds
/// @return BUNDLE_FRESHNESS_READ_REGISTER if the embedding program must read
///     the register now, otherwise BUNDLE_FRESHNESS_NOTHING
enum bundle_freshness_step
bundle_freshness_tick(struct bundle_freshness *freshness, usec_t now)
{
	if (freshness->read_in_progress || now < freshness->next_read_at)
		return BUNDLE_FRESHNESS_NOTHING;
	freshness->next_read_at = now + freshness->options.read_interval;
	freshness->read_started_at = now;
	freshness->read_in_progress = true;
	return BUNDLE_FRESHNESS_READ_REGISTER;
}

/// Handles a successful read of the version register. If no newer bundle
/// exists, extends the time until which new work may be admitted.
///
/// @param freshness  state of this instance
/// @param version    value that the read returned
/// @return BUNDLE_FRESHNESS_FETCH_BUNDLE if this version is higher than that of
///     the bundle in force, otherwise BUNDLE_FRESHNESS_NOTHING
enum bundle_freshness_step
bundle_freshness_handle_read(
    struct bundle_freshness *freshness, uint64_t version)
{
	if (!freshness->read_in_progress)
		return BUNDLE_FRESHNESS_NOTHING;
	freshness->read_in_progress = false;
	freshness->register_was_read = true;
	if (version > freshness->version)
		return BUNDLE_FRESHNESS_FETCH_BUNDLE;
	if (freshness->version > 0)
		freshness->valid_until = freshness->read_started_at +
		    freshness->options.read_validity;
	return BUNDLE_FRESHNESS_NOTHING;
}

/// Handles a read of the version register that no majority of voters answered.
/// The next read is due one read interval after the start of the failed read.
///
/// @param freshness  state of this instance
void
bundle_freshness_handle_read_failure(struct bundle_freshness *freshness)
{
	freshness->read_in_progress = false;
}

/// Records that a peer has read the version register since the peer's process
/// started. The fleet as a whole has then not just started, so this instance
/// stops using the versions that peers report and uses only the register.
///
/// @param freshness  state of this instance
void
bundle_freshness_record_peer_read(struct bundle_freshness *freshness)
{
	freshness->peer_read_register = true;
}

/// Handles the versions of the bundles that the listed instances have in force.
/// These versions permit new work only until this instance, or a peer that has
/// reported to this instance, has read the version register once: while the
/// whole fleet starts, no majority of voters is ready yet. All listed instances
/// must have answered, because an instance that has not answered may have a
/// newer bundle on the other side of a network partition.
///
/// @param freshness        state of this instance
/// @param now              current time, in microseconds
/// @param n_listed         number of instances on the membership list
/// @param n_answered       number of listed instances that answered within the
///     freshness period, including this instance if it is listed
/// @param highest_version  highest bundle version that these instances reported
void
bundle_freshness_handle_peer_versions(struct bundle_freshness *freshness,
    usec_t now, unsigned n_listed, unsigned n_answered,
    uint64_t highest_version)
{
	usec_t until = now + freshness->options.read_validity / 2;

	if (freshness->register_was_read || freshness->peer_read_register ||
	    freshness->version == 0 || n_listed == 0 || n_answered < n_listed ||
	    highest_version > freshness->version)
		return;
	freshness->valid_until = MAX(freshness->valid_until, until);
}

/// Checks whether this instance may admit new work and send queued work to
/// upstreams.
///
/// @param freshness  state of this instance
/// @param now        current time, in microseconds
/// @return false if there is no bundle, or if a newer bundle than the one in
///     force may exist
bool
bundle_freshness_may_admit(const struct bundle_freshness *freshness, usec_t now)
{
	return freshness->version > 0 && now < freshness->valid_until;
}
