/* Reads and writes the header fields of forwarded requests. */
#include "godwitvale/entry/forward_fields.h"

#include <string.h>

#include "godwitvale/core/verdict.h"

#define FIELD_SENDER "Godwitvale-Forwarded-By"
#define FIELD_INCARNATION "Godwitvale-Incarnation"
#define FIELD_ORGANISATION "Godwitvale-Organisation"
#define FIELD_CONFIG "Godwitvale-Config"
#define FIELD_ATTEMPTS "Godwitvale-Attempts"
#define FIELD_COUNTED "Godwitvale-Counted"
#define FIELD_VERSION "Godwitvale-Stream-Version"
#define FIELD_VERDICT "Godwitvale-Verdict"
#define FIELD_REASON "Godwitvale-Refusal"

static const char *const all_fields[] = {FIELD_SENDER, FIELD_INCARNATION,
    FIELD_ORGANISATION, FIELD_CONFIG, FIELD_ATTEMPTS, FIELD_COUNTED,
    FIELD_VERSION, FIELD_VERDICT, FIELD_REASON};

static const enum verdict verdicts[] = {
    VERDICT_NOT_RUN, VERDICT_MAY_HAVE_RUN, VERDICT_RAN};

/// Removes all fields of forwarded requests and their answers from a head.
///
/// @param head  changed
void
forward_fields_remove(struct http_head *head)
{
	for (size_t i = 0; i < G_N_ELEMENTS(all_fields); i++)
		http_head_remove(head, all_fields[i]);
}

/// Adds a field with a number.
static void
add_hex(struct http_head *head, const char *name, uint64_t number)
{
	char text[17];

	g_snprintf(text, sizeof(text), "%" G_GINT64_MODIFIER "x", number);
	http_head_add(head, name, text);
}

/// Reads a field with a number.
///
/// @return false if the field is missing or isn't a number in that base
static bool
read_number(const struct http_head *head, const char *name, unsigned base,
    uint64_t max, uint64_t *number)
{
	const char *text = http_head_get(head, name);
	guint64 value;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(text, base, 0, max, &value, NULL))
		return false;
	*number = value;
	return true;
}

/// Adds the fields of a forwarded request.
///
/// @param head     head of the request, without such fields
/// @param request  their values
void
forward_fields_write_request(
    struct http_head *head, const struct forward_request *request)
{
	http_head_add(head, FIELD_SENDER, request->sender);
	add_hex(head, FIELD_INCARNATION, request->incarnation);
	if (request->organisation != NULL)
		http_head_add(head, FIELD_ORGANISATION, request->organisation);
	http_head_add_number(head, FIELD_CONFIG, request->config_version);
	http_head_add_number(head, FIELD_ATTEMPTS, request->attempts);
	if (request->is_counted)
		http_head_add_number(head, FIELD_COUNTED, 1);
	if (request->has_version)
		add_hex(head, FIELD_VERSION, request->version_key);
}

/// Reads the fields of a forwarded request.
///
/// @param head     head of a request
/// @param request  filled in; free with forward_request_clear()
/// @return false if the request isn't a forwarded one, or its fields are
///         invalid
bool
forward_fields_read_request(
    const struct http_head *head, struct forward_request *request)
{
	const char *sender = http_head_get(head, FIELD_SENDER);
	uint64_t attempts = 0;
	uint64_t counted = 0;

	memset(request, 0, sizeof(*request));
	if (sender == NULL ||
	    !read_number(head, FIELD_INCARNATION, 16, G_MAXUINT64,
		&request->incarnation) ||
	    !read_number(head, FIELD_CONFIG, 10, G_MAXUINT64,
		&request->config_version) ||
	    !read_number(head, FIELD_ATTEMPTS, 10, G_MAXINT, &attempts))
		return false;
	if (http_head_get(head, FIELD_VERSION) != NULL) {
		request->has_version = true;
		if (!read_number(head, FIELD_VERSION, 16, G_MAXUINT64,
			&request->version_key))
			return false;
	}
	read_number(head, FIELD_COUNTED, 10, 1, &counted);
	request->is_counted = counted == 1;
	request->attempts = (unsigned)attempts;
	request->sender = g_strdup(sender);
	request->organisation =
	    g_strdup(http_head_get(head, FIELD_ORGANISATION));
	return true;
}

/// Frees the strings of a forwarded request's fields.
///
/// @param request  may be empty
void
forward_request_clear(struct forward_request *request)
{
	g_clear_pointer(&request->sender, g_free);
	g_clear_pointer(&request->organisation, g_free);
}

/// Marks an answer as the receiver's own.
///
/// @param head     head of the answer
/// @param verdict  whether the request ran
/// @param reason   why it is refused; 0: it isn't
void
forward_fields_write_own(struct http_head *head, enum verdict verdict,
    enum retry_after_reason reason)
{
	http_head_add(head, FIELD_VERDICT, verdict_name(verdict));
	if (reason != 0)
		http_head_add(
		    head, FIELD_REASON, retry_after_reason_name(reason));
}

/// Adds the software version of the upstream that answers.
///
/// @param head         head of the answer
/// @param version_key  the version; 0: unknown
void
forward_fields_write_version(struct http_head *head, uint64_t version_key)
{
	add_hex(head, FIELD_VERSION, version_key);
}

/// @return why the receiver refuses; 0: unknown
static enum retry_after_reason
read_reason(const struct http_head *head)
{
	const char *name = http_head_get(head, FIELD_REASON);

	for (int reason = 1; name != NULL && reason <= RETRY_AFTER_N_REASONS;
	     reason++)
		if (strcmp(retry_after_reason_name(
			       (enum retry_after_reason)reason),
			name) == 0)
			return (enum retry_after_reason)reason;
	return (enum retry_after_reason)0;
}

/// Reads what the answer to a forwarded request says.
///
/// @param head    head of the answer
/// @param answer  filled in; an unknown verdict counts as may-have-run
void
forward_fields_read_answer(
    const struct http_head *head, struct forward_answer *answer)
{
	const char *name = http_head_get(head, FIELD_VERDICT);

	*answer = (struct forward_answer){
	    .is_own = name != NULL, .verdict = VERDICT_MAY_HAVE_RUN};
	for (size_t i = 0; name != NULL && i < G_N_ELEMENTS(verdicts); i++)
		if (strcmp(verdict_name(verdicts[i]), name) == 0)
			answer->verdict = verdicts[i];
	answer->reason = read_reason(head);
	read_number(head, FIELD_VERSION, 16, G_MAXUINT64, &answer->version_key);
}
