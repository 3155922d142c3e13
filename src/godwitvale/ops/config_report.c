/*
 * Prints the findings of the check of a configuration. Names and values come
 * from a file that nobody has checked, so what isn't printable is escaped.
 */
#include "godwitvale/ops/config_report.h"

#include <string.h>

#include <json-c/json.h>

/// Name and message of a kind of finding. In the message, %s stands for the
/// name of the route, service or organisation, %o for that of the other one, %r
/// for the other place, %b and %a for the values before and after.
static const struct {
	const char *name;
	const char *message;
} kinds[CONFIG_FINDING_KINDS] = {
    [CONFIG_UNREADABLE] = {"unreadable", "instances reject this: %b"},
    [CONFIG_TOO_LONG] = {"too-long",
	"longer than %b bytes, the most that "
	"the store holds"},
    [CONFIG_NOT_STRICT] = {"not-strict-json",
	"instances read this, but it isn't strict JSON in UTF-8: %b"},
    [CONFIG_REPEATED] = {"repeated-field",
	"occurs before in the same object; only the last one counts"},
    [CONFIG_UNKNOWN_FIELD] = {"unknown-field",
	"not a field that instances know; it is ignored"},
    [CONFIG_UNKNOWN_VALUE] = {"unknown-value",
	"\"%b\" isn't one of the values; requests run at most once"},
    [CONFIG_WRONG_TYPE] = {"wrong-type",
	"expected %b; it is ignored as if it were missing"},
    [CONFIG_OUT_OF_RANGE] = {"out-of-range",
	"%b is out of range; instances use %a"},
    [CONFIG_FRACTION] = {"fraction",
	"%b isn't a whole number; instances use %a"},
    [CONFIG_OPEN_TO_ALL] = {"open-to-all",
	"expected a list; it is ignored, so that no request needs a key"},
    [CONFIG_KEY_UNUSABLE] = {"key-unusable",
	"not a string without NUL bytes; callers can't send such a key"},
    [CONFIG_SERVICE_IGNORED] = {"service-ignored",
	"ignored, as the route has a list of services"},
    [CONFIG_ROUTE_SHADOWED] = {"route-shadowed",
	"route %s never matches: %r has the same host and prefix and comes "
	"first"},
    [CONFIG_HOST_UNMATCHED] = {"host-unmatched",
	"route %s never matches: a host is compared without its port, has 1 "
	"to 255 bytes and no blanks"},
    [CONFIG_PREFIX_UNMATCHED] = {"prefix-unmatched",
	"route %s never matches: paths begin with a slash and have no blanks"},
    [CONFIG_SERVICE_MISSING] = {"service-missing",
	"route %s leads to service %o, which doesn't exist"},
    [CONFIG_SERVICE_UNUSED] = {"service-unused",
	"no route sends requests to service %s"},
    [CONFIG_SERVICE_REPEATED] = {"service-repeated",
	"ignored: %r has the same name and comes later"},
    [CONFIG_ROUTE_NAME_REPEATED] = {"route-name-repeated",
	"%r is called %s, too"},
    [CONFIG_ORGANISATION_REPEATED] = {"organisation-repeated",
	"%r is called %s, too"},
    [CONFIG_KEY_SHARED] = {"key-shared",
	"organisation %o has this key, too, and loses it to %s"},
    [CONFIG_KEY_REPEATED] = {"key-repeated",
	"organisation %s has this key twice"},
    [CONFIG_KEYLESS] = {"keyless",
	"organisation %s has no key of its own, and can't send requests"},
    [CONFIG_NO_ORGANISATION] = {"no-organisation",
	"routes need a key, but there is none; their requests get 401"},
    [CONFIG_ROUTE_WITHOUT_WEIGHT] = {"route-without-weight",
	"all weights of route %s are 0; its requests are refused"},
    [CONFIG_ROUTE_WITHOUT_UPSTREAM] = {"route-without-upstream",
	"no service of route %s has a ready upstream outside of the evacuated "
	"zones"},
    [CONFIG_SHARE_WITHOUT_UPSTREAM] = {"share-without-upstream",
	"service %o has no ready upstream outside of the evacuated zones; its "
	"share of the requests of route %s is refused"},
    [CONFIG_TIMEOUT_ZERO] = {"timeout-zero",
	"every request of route %s times out at once"},
    [CONFIG_TIMEOUT_UNDER_TARGET] = {"timeout-under-target",
	"route %s: %a is less than %r, which is %b"},
    [CONFIG_ATTEMPTS_UNUSED] = {"attempts-unused",
	"requests of route %s run at most once; another attempt is only made "
	"if an upstream says that it has not run the request"},
    [CONFIG_GAP_WITHOUT_STREAM] = {"gap-without-stream",
	"the answers of route %s aren't streams, so that this has no effect"},
    [CONFIG_BODY_OVER_BOUND] = {"body-over-bound",
	"a body of %a bytes takes more than the %b bytes that the settings "
	"allow for all clients; instances raise that bound"},
    [CONFIG_BODY_OVER_MEMORY] = {"body-over-memory",
	"a body of %a bytes, which is held twice, takes more than the %b "
	"bytes that the machine has left"},
    [CONFIG_BODY_AND_SOCKETS_OVER_MEMORY] = {"body-and-sockets-over-memory",
	"the bytes for all clients and the kernel's buffers for their "
	"connections together take more than the %b bytes that the machine "
	"has left"},
    [CONFIG_VERSION_NOT_HIGHER] = {"version-not-higher",
	"instances ignore version %a, as it isn't higher than %b, which is in "
	"force"},
    [CONFIG_ROUTE_ADDED] = {"route-added", "route %s is added"},
    [CONFIG_ROUTE_REMOVED] = {"route-removed",
	"route %s is removed: running requests end as before; new ones, "
	"repeats and resumptions of streams go to a route with a shorter "
	"prefix, or get 404"},
    [CONFIG_SERVICE_ADDED] = {"service-added", "service %s is added"},
    [CONFIG_SERVICE_REMOVED] = {"service-removed",
	"service %s is removed: requests that wait for it are refused; those "
	"at an upstream end as before"},
    [CONFIG_ORGANISATION_ADDED] = {"organisation-added",
	"organisation %s is added"},
    [CONFIG_ORGANISATION_REMOVED] = {"organisation-removed",
	"organisation %s is removed: running requests end as before; new "
	"ones, repeats and resumptions of streams get 401"},
    [CONFIG_KEY_ADDED] = {"key-added", "organisation %s gets key %o"},
    [CONFIG_KEY_REMOVED] = {"key-removed",
	"key %o of organisation %s is removed: running requests end as "
	"before; new ones, repeats and resumptions of streams get 401"},
    [CONFIG_KEY_MOVED] = {"key-moved",
	"key %o of organisation %b now belongs to %s: running requests count "
	"for the former, their repeats for the latter"},
    [CONFIG_SHARE_ADDED] = {"share-added",
	"route %s also leads to service %o; applies to requests that arrive "
	"later"},
    [CONFIG_SHARE_REMOVED] = {"share-removed",
	"route %s no longer leads to service %o: running requests end there; "
	"repeats and resumptions of streams go to another service"},
    [CONFIG_CHANGED] = {"changed",
	"%b becomes %a; applies to requests that arrive later"},
    [CONFIG_CHANGED_AT_ONCE] = {"changed-at-once",
	"%b becomes %a; applies at once, also when running requests are sent "
	"again or moved"},
    [CONFIG_LOWERED] = {"lowered",
	"%b becomes %a; running requests keep the former, their repeats get "
	"the latter"},
    [CONFIG_LOWERED_AT_ONCE] = {"lowered-at-once",
	"%b becomes %a at once: running requests that are sent again or moved "
	"find less room"},
    [CONFIG_LIMIT_CHANGED] = {"limit-changed",
	"%b becomes %a; applies at once to all connections, but not to "
	"requests that were read"},
    [CONFIG_LIMIT_LOWERED] = {"limit-lowered",
	"%b becomes %a at once: requests that are being read may fail; those "
	"that were read end as before"},
    [CONFIG_KEYS_NOT_NEEDED] = {"keys-not-needed",
	"the list of organisations is removed: no request needs a key"},
    [CONFIG_KEYS_NEEDED] = {"keys-needed",
	"a list of organisations is added: requests without a key get 401"},
};

static const char *const severity_names[] = {
    [CONFIG_NOTE] = "note",
    [CONFIG_WARNING] = "warning",
    [CONFIG_ERROR] = "error",
};

/// Appends a text. What isn't printable or not UTF-8 is escaped.
static void
append_printable(GString *out, const char *text)
{
	while (text != NULL && *text != '\0') {
		gunichar c = g_utf8_get_char_validated(text, -1);

		if (c == (gunichar)-1 || c == (gunichar)-2 ||
		    !g_unichar_isprint(c)) {
			g_string_append_printf(
			    out, "\\x%02x", (unsigned char)*text++);
			continue;
		}
		g_string_append_unichar(out, c);
		text = g_utf8_next_char(text);
	}
}

/// Appends a name in quotes.
static void
append_name(GString *out, const char *name)
{
	g_string_append_c(out, '"');
	append_printable(out, name);
	g_string_append_c(out, '"');
}

/// Returns the path of the other place of a finding.
static char *
related_path(
    const struct config_report *report, const struct config_finding *finding)
{
	return finding->has_related ? report->config_path(&finding->related)
				    : NULL;
}

/// Appends what a letter of a message stands for.
static void
append_part(GString *out, const struct config_report *report,
    const struct config_finding *finding, char letter)
{
	char *path;

	switch (letter) {
	case 's':
		append_name(out, finding->subject);
		break;
	case 'o':
		append_name(out, finding->other);
		break;
	case 'r':
		path = related_path(report, finding);
		append_printable(out, path);
		g_free(path);
		break;
	case 'b':
		append_printable(out, finding->before);
		break;
	default:
		append_printable(out, finding->after);
	}
}

/// Formats the message of a finding.
///
/// @return the message, owned by the caller
static GString *
format_message(
    const struct config_report *report, const struct config_finding *finding)
{
	GString *out = g_string_new(NULL);
	const char *format = kinds[finding->kind].message;

	for (; *format != '\0'; format++) {
		if (*format == '%')
			append_part(out, report, finding, *++format);
		else
			g_string_append_c(out, *format);
	}
	return out;
}

/// Returns the file that a finding is about.
static const char *
find_file(
    const struct config_report *report, const struct config_finding *finding)
{
	return finding->in_force ? report->in_force_file : report->file;
}

/// Counts the findings that the list hasn't kept.
static size_t
count_left_out(const struct config_findings *findings)
{
	size_t left_out = 0;

	for (int i = 0; i <= CONFIG_ERROR; i++)
		left_out += findings->counts[i] - findings->kept[i]->len;
	return left_out;
}

/// Appends the line of a finding.
static void
append_line(GString *out, const struct config_report *report,
    const struct config_finding *finding)
{
	GString *message = format_message(report, finding);

	append_printable(out, find_file(report, finding));
	if (finding->line > 0)
		g_string_append_printf(
		    out, ":%u:%u", finding->line, finding->column);
	g_string_append_printf(out,
	    ": %s: ", severity_names[config_finding_severity(finding->kind)]);
	if (finding->path != NULL && *finding->path != '\0') {
		append_printable(out, finding->path);
		g_string_append(out, ": ");
	}
	g_string_append_printf(out, "%s\n", message->str);
	g_string_free(message, TRUE);
}

/// Formats the findings, one line each, errors first.
///
/// @param report  what is reported
/// @return the text, to be freed by the caller
GString *
config_report_text(const struct config_report *report)
{
	const struct config_findings *findings = report->findings;
	GString *out = g_string_new(NULL);
	size_t left_out = count_left_out(findings);

	for (int i = CONFIG_ERROR; i >= 0; i--)
		for (guint j = 0; j < findings->kept[i]->len; j++)
			append_line(out, report, findings->kept[i]->pdata[j]);
	if (left_out > 0)
		g_string_append_printf(
		    out, "%zu more findings are left out\n", left_out);
	append_printable(out, report->file);
	if (report->version > 0)
		g_string_append_printf(
		    out, ": version %" G_GUINT64_FORMAT, report->version);
	g_string_append_printf(out,
	    ": errors: %zu, warnings: %zu, notes: %zu\n",
	    findings->counts[CONFIG_ERROR], findings->counts[CONFIG_WARNING],
	    findings->counts[CONFIG_NOTE]);
	return out;
}

/// Adds a text to a JSON object, escaped as in the text report.
static void
add_text(json_object *object, const char *name, const char *text)
{
	GString *printable;

	if (text == NULL)
		return;
	printable = g_string_new(NULL);
	append_printable(printable, text);
	json_object_object_add(
	    object, name, json_object_new_string(printable->str));
	g_string_free(printable, TRUE);
}

/// Converts a finding to a JSON object.
///
/// @return the object, owned by the caller
static json_object *
finding_to_json(
    const struct config_report *report, const struct config_finding *finding)
{
	json_object *object = json_object_new_object();
	GString *message = format_message(report, finding);
	char *related = related_path(report, finding);

	add_text(object, "severity",
	    severity_names[config_finding_severity(finding->kind)]);
	add_text(object, "kind", kinds[finding->kind].name);
	add_text(object, "file", find_file(report, finding));
	if (finding->line > 0) {
		json_object_object_add(
		    object, "line", json_object_new_int64(finding->line));
		json_object_object_add(
		    object, "column", json_object_new_int64(finding->column));
	}
	add_text(object, "path", finding->path);
	add_text(object, "related", related);
	add_text(object, "name", finding->subject);
	add_text(object, "other", finding->other);
	add_text(object, "before", finding->before);
	add_text(object, "after", finding->after);
	/* Is printable already, and would be escaped twice. */
	json_object_object_add(
	    object, "message", json_object_new_string(message->str));
	g_string_free(message, TRUE);
	g_free(related);
	return object;
}

/// Formats the findings as one JSON object.
///
/// @param report  what is reported
/// @return the JSON text, to be freed by the caller
GString *
config_report_json(const struct config_report *report)
{
	const struct config_findings *findings = report->findings;
	json_object *root = json_object_new_object();
	json_object *list = json_object_new_array();
	GString *out;

	for (int i = CONFIG_ERROR; i >= 0; i--)
		for (guint j = 0; j < findings->kept[i]->len; j++)
			json_object_array_add(list,
			    finding_to_json(
				report, findings->kept[i]->pdata[j]));
	add_text(root, "file", report->file);
	add_text(root, "in_force", report->in_force_file);
	json_object_object_add(
	    root, "version", json_object_new_uint64(report->version));
	json_object_object_add(root, "errors",
	    json_object_new_uint64(findings->counts[CONFIG_ERROR]));
	json_object_object_add(root, "warnings",
	    json_object_new_uint64(findings->counts[CONFIG_WARNING]));
	json_object_object_add(root, "notes",
	    json_object_new_uint64(findings->counts[CONFIG_NOTE]));
	json_object_object_add(
	    root, "left_out", json_object_new_uint64(count_left_out(findings)));
	json_object_object_add(root, "findings", list);
	out = g_string_new(json_object_to_json_string_ext(
	    root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
	g_string_append_c(out, '\n');
	json_object_put(root);
	return out;
}
