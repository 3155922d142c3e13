/* Text of a request's fields for log lines. */
#include "godwitvale/entry/entry_request_defs.h"

/// Formats the ids of prompt segments.
///
/// @param segments    ids
/// @param n_segments  number of ids
/// @return the ids, in hexadecimal and separated by commas, or "-"; owned by
///         the caller
char *
entry_request_format_segments(const uint64_t *segments, unsigned n_segments)
{
	GString *text = g_string_new(n_segments == 0 ? "-" : NULL);

	for (unsigned i = 0; i < n_segments; i++)
		g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
		    i == 0 ? "" : ",", segments[i]);
	return g_string_free(text, false);
}
