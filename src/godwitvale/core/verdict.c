/* Verdicts: raising them and their names on the wire. */
#include "godwitvale/core/verdict.h"

#include <glib.h>

/// Joins two pieces of evidence on the same request.
///
/// @param old   what was known before
/// @param seen  the new evidence
/// @return the stronger of the two; evidence never lowers a verdict
enum verdict
verdict_raise(enum verdict old, enum verdict seen)
{
	return seen > old ? seen : old;
}

/// Names a verdict as answers, logs and scripts spell it.
///
/// @param verdict  the verdict
/// @return a static string
const char *
verdict_name(enum verdict verdict)
{
	static const char *const names[] = {
	    [VERDICT_NOT_RUN] = "not-run",
	    [VERDICT_MAY_HAVE_RUN] = "may-have-run",
	    [VERDICT_RAN] = "ran",
	};

	g_assert((unsigned)verdict < G_N_ELEMENTS(names));
	return names[verdict];
}
