/* Combines and names verdicts: whether an upstream has executed a request. */
#include "godwitvale/core/verdict.h"

#include <glib.h>

/// Combines two verdicts on the same request.
///
/// @param known     verdict from the evidence so far
/// @param evidence  verdict that follows from the new evidence
/// @return the higher of the two; evidence never lowers a verdict
enum verdict
verdict_raise(enum verdict known, enum verdict evidence)
{
	return evidence > known ? evidence : known;
}

/// Returns the name of a verdict, as used in answers, logs and test scripts.
///
/// @param verdict  a valid verdict
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
