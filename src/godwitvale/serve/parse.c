/*
 * Parses the JSON bodies of generation requests: checks the fields, estimates
 * the tokens of the prompt and hashes its prefix for the router.
 */
#include "godwitvale/serve/parse.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/core/hash.h"

/// Estimated average length of a token, in bytes.
#define CHARS_PER_TOKEN 4
/// Number of words in one prefix block of a prompt.
#define PREFIX_BLOCK_WORDS 16
/// Characters that separate the words of a prompt.
#define WORD_SEPARATORS " \t\r\n"
/// Maximum nesting depth of JSON input.
#define JSON_DEPTH_MAX 32

G_DEFINE_QUARK(godwitvale - parse - error, parse_error)

/// Parses a JSON text. The input must be exactly one JSON value in UTF-8.
///
/// @param data   the text; need not end with a NUL byte
/// @param len    length of the text in bytes
/// @param error  set to PARSE_ERROR_JSON on failure
/// @return the value, owned by the caller, or NULL on failure
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

/// Computes the chained hashes of the prompt's leading blocks. Engines compute
/// the same hashes to name the blocks in their prefix caches.
///
/// @param request  its prefix hashes are set
/// @param prompt   text of the prompt
static void
hash_prefix_blocks(struct request *request, const char *prompt)
{
	uint64_t words[PREFIX_BLOCK_WORDS];
	unsigned n_words = 0;
	uint64_t chained_hash = 0;

	while (request->n_prefix < ROUTER_PREFIX_BLOCKS_MAX) {
		size_t len;
		char *word;

		prompt += strspn(prompt, WORD_SEPARATORS);
		len = strcspn(prompt, WORD_SEPARATORS);
		if (len == 0)
			return;
		word = g_strndup(prompt, len);
		words[n_words++] = hash_name(word);
		g_free(word);
		prompt += len;
		if (n_words < PREFIX_BLOCK_WORDS)
			continue;
		chained_hash = hash_pair(
		    chained_hash, hash_bytes(words, sizeof(words), 0));
		request->prefix[request->n_prefix++] = chained_hash;
		n_words = 0;
	}
}

/// Estimates the number of tokens of a prompt and hashes its prefix blocks.
///
/// @param request  its prompt tokens and prefix hashes are set
/// @param prompt   text of the prompt
static void
estimate_prompt(struct request *request, const GString *prompt)
{
	request->prompt_tokens = (uint32_t)(prompt->len / CHARS_PER_TOKEN) + 1;
	hash_prefix_blocks(request, prompt->str);
}

/// Appends the contents of chat messages to a prompt, separated by spaces.
///
/// @param prompt    text to append to
/// @param messages  must be an array of objects with a string "content"
/// @return false if the messages have another type or the array is empty
static bool
append_message_contents(GString *prompt, struct json_object *messages)
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

/// Reads the prompt from the body: "messages" of a chat request, otherwise
/// "prompt".
///
/// @param request  its chat flag selects the field
/// @param root     the parsed body
/// @param prompt   text to append to
/// @return false if the field is missing or of a wrong type
static bool
read_prompt(
    const struct request *request, struct json_object *root, GString *prompt)
{
	struct json_object *value;

	if (request->chat)
		return json_object_object_get_ex(root, "messages", &value) &&
		    append_message_contents(prompt, value);
	if (!json_object_object_get_ex(root, "prompt", &value) ||
	    !json_object_is_type(value, json_type_string))
		return false;
	g_string_append_len(prompt, json_object_get_string(value),
	    json_object_get_string_len(value));
	return true;
}

/// Reads the fields other than the prompt: "model", "stream" and "max_tokens".
///
/// @param request  its target, stream flag and maximum of tokens are set
/// @param root     the parsed body
/// @return the name of the first missing or invalid field, or NULL
static const char *
read_other_fields(struct request *request, struct json_object *root)
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

/// Replaces the body by the one sent to the engine: the caller's body with
/// "stream" set to true.
///
/// @param request  its body is replaced
/// @param root     the parsed body; "stream" is set
static void
set_engine_body(struct request *request, struct json_object *root)
{
	const char *text;

	json_object_object_add(root, "stream", json_object_new_boolean(true));
	text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	g_bytes_unref(request->body);
	request->body = g_bytes_new(text, strlen(text));
}

/// Parses the body of a generation request and sets the fields of the request.
///
/// @param request  its body is parsed, and replaced by the one for the engine
/// @param error    set to an error of domain PARSE_ERROR on failure
/// @return false if the body is invalid
bool
parse_generation_request(struct request *request, GError **error)
{
	gsize len = 0;
	const char *data = g_bytes_get_data(request->body, &len);
	struct json_object *root = parse_json(data, len, error);
	GString *prompt = NULL;
	const char *invalid_field;
	bool valid = false;

	if (root == NULL)
		return false;
	if (!json_object_is_type(root, json_type_object)) {
		g_set_error(error, PARSE_ERROR, PARSE_ERROR_JSON,
		    "the body is not a JSON object");
		goto out;
	}
	invalid_field = read_other_fields(request, root);
	if (invalid_field != NULL) {
		g_set_error(error, PARSE_ERROR, PARSE_ERROR_FIELD,
		    "field \"%s\" is missing or of a wrong type",
		    invalid_field);
		goto out;
	}
	prompt = g_string_new(NULL);
	if (!read_prompt(request, root, prompt)) {
		g_set_error(error, PARSE_ERROR, PARSE_ERROR_FIELD,
		    "field \"%s\" is missing or of a wrong type",
		    request->chat ? "messages" : "prompt");
		goto out;
	}
	estimate_prompt(request, prompt);
	set_engine_body(request, root);
	valid = true;
out:
	if (prompt != NULL)
		g_string_free(prompt, TRUE);
	json_object_put(root);
	return valid;
}
