/* Limit on the descriptors of this process. */
#ifndef GODWITVALE_OPS_DESCRIPTORS_H
#define GODWITVALE_OPS_DESCRIPTORS_H

#include <limits.h>

/// Number of descriptors of a process without a limit on them.
#define DESCRIPTORS_UNLIMITED UINT_MAX

unsigned descriptors_max(void);
void descriptors_raise(unsigned wanted);

#endif
