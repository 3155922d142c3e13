/* Limit on the descriptors of this process. */
#include "godwitvale/ops/descriptors.h"

#include <sys/resource.h>

#include <glib.h>

/// @return the most descriptors that this process may have; 0: unknown
unsigned
descriptors_max(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return 0;
	return (unsigned)MIN(limit.rlim_cur, DESCRIPTORS_UNLIMITED);
}

/// Raises the limit, as far as this is allowed. It is never lowered.
///
/// @param wanted  number of descriptors
void
descriptors_raise(unsigned wanted)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= wanted)
		return;
	limit.rlim_cur = MIN((rlim_t)wanted, limit.rlim_max);
	setrlimit(RLIMIT_NOFILE, &limit);
}
