/* Text of a request's fields for log lines. */
#include "godwitvale/entry/entry_request_defs.h"

/// Formats the ids of a prompt's shared segments.
///
/// @param request  request in any state
/// @return the ids, in hexadecimal and separated by commas, or "-"; owned by
///         the caller
char *
entry_request_format_segments(const struct entry_request *request)
{
	const struct site_request *params = &request->params;
	GString *text = g_string_new(params->n_segments == 0 ? "-" : NULL);

	for (unsigned i = 0; i < params->n_segments; i++)
		g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
		    i == 0 ? "" : ",", params->segments[i]);
	return g_string_free(text, false);
}
