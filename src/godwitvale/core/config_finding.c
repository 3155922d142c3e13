/* Collects the findings of the check of a configuration, within a bound. */
#include "godwitvale/core/config_finding.h"

#include <string.h>

#include "godwitvale/core/hash.h"

/// Bits of a key's hash that are shown: enough to tell keys apart, and too few
/// to test a guess.
#define KEY_HASH_MASK 0xffffff

/// Severities that aren't CONFIG_WARNING.
static const struct {
	enum config_finding_kind kind;
	enum config_severity severity;
} severities[] = {
    {CONFIG_UNREADABLE, CONFIG_ERROR},
    {CONFIG_TOO_LONG, CONFIG_ERROR},
    {CONFIG_REPEATED, CONFIG_ERROR},
    {CONFIG_OPEN_TO_ALL, CONFIG_ERROR},
    {CONFIG_KEY_UNUSABLE, CONFIG_ERROR},
    {CONFIG_ROUTE_SHADOWED, CONFIG_ERROR},
    {CONFIG_HOST_UNMATCHED, CONFIG_ERROR},
    {CONFIG_PREFIX_UNMATCHED, CONFIG_ERROR},
    {CONFIG_SERVICE_MISSING, CONFIG_ERROR},
    {CONFIG_SERVICE_REPEATED, CONFIG_ERROR},
    {CONFIG_ORGANISATION_REPEATED, CONFIG_ERROR},
    {CONFIG_KEY_SHARED, CONFIG_ERROR},
    {CONFIG_NO_ORGANISATION, CONFIG_ERROR},
    {CONFIG_ROUTE_WITHOUT_WEIGHT, CONFIG_ERROR},
    {CONFIG_ROUTE_WITHOUT_UPSTREAM, CONFIG_ERROR},
    {CONFIG_TIMEOUT_ZERO, CONFIG_ERROR},
    {CONFIG_BODY_OVER_MEMORY, CONFIG_ERROR},
    {CONFIG_VERSION_NOT_HIGHER, CONFIG_ERROR},
    {CONFIG_ROUTE_ADDED, CONFIG_NOTE},
    {CONFIG_SERVICE_ADDED, CONFIG_NOTE},
    {CONFIG_ORGANISATION_ADDED, CONFIG_NOTE},
    {CONFIG_KEY_ADDED, CONFIG_NOTE},
    {CONFIG_SHARE_ADDED, CONFIG_NOTE},
    {CONFIG_CHANGED, CONFIG_NOTE},
    {CONFIG_CHANGED_AT_ONCE, CONFIG_NOTE},
    {CONFIG_LIMIT_CHANGED, CONFIG_NOTE},
};

/// Frees a finding (struct config_finding *).
static void
finding_free(void *data)
{
	struct config_finding *finding = data;

	g_free(finding->path);
	g_free(finding->subject);
	g_free(finding->other);
	g_free(finding->before);
	g_free(finding->after);
	g_free(finding);
}

/// Creates an empty list.
///
/// @return the list, to be freed by config_findings_free()
struct config_findings *
config_findings_new(void)
{
	struct config_findings *findings = g_new0(struct config_findings, 1);

	for (int i = 0; i <= CONFIG_ERROR; i++)
		findings->kept[i] =
		    g_ptr_array_new_with_free_func(finding_free);
	return findings;
}

/// Frees a list and its findings.
///
/// @param findings  may be NULL
void
config_findings_free(struct config_findings *findings)
{
	if (findings == NULL)
		return;
	for (int i = 0; i <= CONFIG_ERROR; i++)
		g_ptr_array_unref(findings->kept[i]);
	g_free(findings);
}

/// Adds a finding, whose texts the caller fills in.
///
/// @param findings  the list
/// @param kind      kind of the finding
/// @param place     where it is; NULL: the configuration as a whole
/// @return the finding, owned by the list; NULL if the list is full: it is only
///     counted
struct config_finding *
config_findings_add(struct config_findings *findings,
    enum config_finding_kind kind, const struct config_place *place)
{
	enum config_severity severity = config_finding_severity(kind);
	struct config_finding *finding;

	findings->counts[severity]++;
	if (findings->kept[severity]->len >= CONFIG_FINDINGS_MAX)
		return NULL;
	finding = g_new0(struct config_finding, 1);
	finding->kind = kind;
	if (place != NULL)
		finding->place = *place;
	g_ptr_array_add(findings->kept[severity], finding);
	return finding;
}

/// Returns the severity of a kind of finding.
///
/// @param kind  the kind
/// @return its severity
enum config_severity
config_finding_severity(enum config_finding_kind kind)
{
	for (size_t i = 0; i < G_N_ELEMENTS(severities); i++)
		if (severities[i].kind == kind)
			return severities[i].severity;
	return CONFIG_WARNING;
}

/// Copies a name or a value for a finding. The end of a long one is replaced by
/// dots.
///
/// @param text  may be NULL, and need not be valid UTF-8
/// @return the copy, owned by the caller; NULL if the text is
char *
config_finding_text(const char *text)
{
	if (text == NULL)
		return NULL;
	if (strnlen(text, CONFIG_TEXT_BYTES_MAX + 1) <= CONFIG_TEXT_BYTES_MAX)
		return g_strdup(text);
	return g_strdup_printf("%.*s...", CONFIG_TEXT_BYTES_MAX - 3, text);
}

/// Names a key without revealing it: by a short hash.
///
/// @param key  the key
/// @return the name, owned by the caller
char *
config_finding_key_text(const char *key)
{
	return g_strdup_printf(
	    "#%06x", (unsigned)(hash_name(key) & KEY_HASH_MASK));
}
