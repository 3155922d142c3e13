/* Requests for generations: checks the JSON body and describes its prompt. */
#include "godwitvale/serve/parse.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/core/hash.h"

/// Characters that one token stands for, on average, in an estimate.
#define CHARS_PER_TOKEN 4
/// Words of a prompt that one prefix block covers.
#define PREFIX_BLOCK_WORDS 16
/// What parts the words of a prompt.
#define WORD_BREAKS " \t\r\n"
/// Deepest nesting of a caller's JSON.
#define JSON_DEPTH_MAX 32

G_DEFINE_QUARK(godwitvale - parse - error, parse_error)

/// Parses a JSON text as a whole.
///
/// @param data   first byte
/// @param len    number of bytes
/// @param error  set to PARSE_ERROR_JSON on failure
/// @return the value, or NULL
struct json_object *
parse_json(const char *data, size_t len, GError **error)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
	struct json_object *value = NULL;

	json_tokener_set_flags(
	    tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
	if (len <= G_MAXINT)
		value = json_tokener_parse_ex(tokener, data, (int)len);
	if (value == NULL || json_tokener_get_parse_end(tokener) != len) {
		g_set_error(error, PARSE_ERROR, PARSE_ERROR_JSON,
		    "the body is not a whole JSON text");
		json_object_put(value);
		value = NULL;
	}
	json_tokener_free(tokener);
	return value;
}

/// Hashes the prompt's leading blocks, as engines name them.
///
/// @param request  its prefix is filled in
/// @param prompt   the prompt's text
static void
hash_blocks(struct request *request, const char *prompt)
{
	uint64_t words[PREFIX_BLOCK_WORDS];
	unsigned n_words = 0;
	uint64_t last = 0;

	while (request->n_prefix < ROUTER_PREFIX_BLOCKS_MAX) {
		size_t len;
		char *word;

		prompt += strspn(prompt, WORD_BREAKS);
		len = strcspn(prompt, WORD_BREAKS);
		if (len == 0)
			return;
		word = g_strndup(prompt, len);
		words[n_words++] = hash_name(word);
		g_free(word);
		prompt += len;
		if (n_words < PREFIX_BLOCK_WORDS)
			continue;
		last = hash_pair(last, hash_bytes(words, sizeof(words), 0));
		request->prefix[request->n_prefix++] = last;
		n_words = 0;
	}
}

/// Describes a prompt by its estimated tokens and chained block hashes.
///
/// @param request  filled in
/// @param prompt   the prompt's text
static void
describe_prompt(struct request *request, const GString *prompt)
{
	request->prompt_tokens = (uint32_t)(prompt->len / CHARS_PER_TOKEN) + 1;
	hash_blocks(request, prompt->str);
}

/// Appends the contents of chat messages to a prompt.
///
/// @param prompt    extended
/// @param messages  an array of objects with a string "content"
/// @return false when it is of another shape
static bool
append_messages(GString *prompt, struct json_object *messages)
{
	size_t n;

	if (!json_object_is_type(messages, json_type_array))
		return false;
	n = json_object_array_length(messages);
	for (size_t i = 0; i < n; i++) {
		struct json_object *content;
		struct json_object *message =
		    json_object_array_get_idx(messages, i);

		if (!json_object_object_get_ex(message, "content", &content) ||
		    !json_object_is_type(content, json_type_string))
			return false;
		if (i > 0)
			g_string_append_c(prompt, ' ');
		g_string_append_len(prompt, json_object_get_string(content),
		    json_object_get_string_len(content));
	}
	return n > 0;
}

/// Reads the prompt out of the body.
///
/// @param request  tells completions from chat
/// @param root     the body
/// @param prompt   extended
/// @return false when there is none
static bool
read_prompt(
    const struct request *request, struct json_object *root, GString *prompt)
{
	struct json_object *value;

	if (request->chat)
		return json_object_object_get_ex(root, "messages", &value) &&
		    append_messages(prompt, value);
	if (!json_object_object_get_ex(root, "prompt", &value) ||
	    !json_object_is_type(value, json_type_string))
		return false;
	g_string_append_len(prompt, json_object_get_string(value),
	    json_object_get_string_len(value));
	return true;
}

/// Reads the fields that are not the prompt.
///
/// @param request  filled in
/// @param root     the body
/// @return the name of a field of wrong type or range, or NULL
static const char *
read_fields(struct request *request, struct json_object *root)
{
	struct json_object *value;

	if (!json_object_object_get_ex(root, "model", &value) ||
	    !json_object_is_type(value, json_type_string))
		return "model";
	request->target = g_strdup(json_object_get_string(value));
	if (json_object_object_get_ex(root, "stream", &value)) {
		if (!json_object_is_type(value, json_type_boolean))
			return "stream";
		request->stream = json_object_get_boolean(value);
	}
	if (json_object_object_get_ex(root, "max_tokens", &value)) {
		int64_t tokens = json_object_get_int64(value);

		if (!json_object_is_type(value, json_type_int) || tokens < 1 ||
		    tokens > G_MAXINT32)
			return "max_tokens";
		request->max_tokens = (uint32_t)tokens;
	}
	return NULL;
}

/// Sets the body that the engine gets: as the caller sent it, but streamed.
///
/// @param request  its body is replaced
/// @param root     the body
static void
set_engine_body(struct request *request, struct json_object *root)
{
	const char *text;

	json_object_object_add(root, "stream", json_object_new_boolean(true));
	text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	g_bytes_unref(request->body);
	request->body = g_bytes_new(text, strlen(text));
}

/// Checks the body of a request for a generation.
///
/// @param request  its fields are filled in
/// @param error    set to a PARSE_ERROR on failure
/// @return false on bad input
bool
parse_generation(struct request *request, GError **error)
{
	gsize len = 0;
	const char *data = g_bytes_get_data(request->body, &len);
	struct json_object *root = parse_json(data, len, error);
	GString *prompt = NULL;
	const char *wrong;
	bool done = false;

	if (root == NULL)
		return false;
	if (!json_object_is_type(root, json_type_object)) {
		g_set_error(error, PARSE_ERROR, PARSE_ERROR_JSON,
		    "the body is not a JSON object");
		goto out;
	}
	wrong = read_fields(request, root);
	if (wrong != NULL) {
		g_set_error(error, PARSE_ERROR, PARSE_ERROR_FIELD,
		    "field \"%s\" is missing or of a wrong type", wrong);
		goto out;
	}
	prompt = g_string_new(NULL);
	if (!read_prompt(request, root, prompt)) {
		g_set_error(error, PARSE_ERROR, PARSE_ERROR_FIELD,
		    "field \"%s\" is missing or of a wrong type",
		    request->chat ? "messages" : "prompt");
		goto out;
	}
	describe_prompt(request, prompt);
	set_engine_body(request, root);
	done = true;
out:
	if (prompt != NULL)
		g_string_free(prompt, TRUE);
	json_object_put(root);
	return done;
}
