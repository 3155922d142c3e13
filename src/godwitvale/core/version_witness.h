/*
 * What an instance can say of the software versions that a service has had.
 *
 * Load pattern: instances are killed in the middle of a release, and callers
 * take their streams up at the ones that are started in their place. Such an
 * instance sees the upstreams that are left, and takes their version for the
 * only one there was. So each statement says since when its instance has
 * watched the upstreams.
 */
#ifndef GODWITVALE_CORE_VERSION_WITNESS_H
#define GODWITVALE_CORE_VERSION_WITNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Statement of an instance on the versions of a service.
struct version_witness {
	/// only version that the service has had in the time asked for; 0:
	/// several, or none is known
	uint64_t only_version;
	bool has_several;
	uint64_t revision; /// store revision of the upstreams that it knows
	usec_t running_since;
	/// it knows all upstreams that were registered at this time or later;
	/// USEC_NEVER: unknown
	usec_t watched_since;
	/// store revision at that time
	uint64_t watched_from;
};

bool version_witness_covers(const struct version_witness *own,
    const struct version_witness *other, usec_t since);
bool version_witness_contradicts(
    const struct version_witness *other, uint64_t version);

#endif
