/* Combines and names verdicts: whether an upstream has executed a request. */
#ifndef GODWITVALE_CORE_VERDICT_H
#define GODWITVALE_CORE_VERDICT_H

#include "godwitvale/core/verdict_defs.h"

enum verdict verdict_raise(enum verdict known, enum verdict evidence);
const char *verdict_name(enum verdict verdict);

#endif
