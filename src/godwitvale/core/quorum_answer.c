/* Assembles the answers that a learner receives in pages. */
#include "godwitvale/core/quorum_private.h"

/// Frees an answer when it is removed from its list.
///
/// @param data  a struct quorum_answer
static void
free_answer(gpointer data)
{
	struct quorum_answer *answer = data;

	g_byte_array_free(answer->pages_received, TRUE);
	g_array_free(answer->records, TRUE);
	g_free(answer);
}

/// Creates an empty list of answers.
///
/// @return the list, which owns its answers
GPtrArray *
quorum_answers_new(void)
{
	return g_ptr_array_new_with_free_func(free_answer);
}

/// Finds the answer of one instance.
///
/// @param answers  list of struct quorum_answer
/// @param from     instance that may have answered
/// @return the answer, possibly incomplete; NULL if no page was received
struct quorum_answer *
quorum_answer_find(const GPtrArray *answers, node_id from)
{
	for (guint i = 0; i < answers->len; i++) {
		struct quorum_answer *answer = g_ptr_array_index(answers, i);

		if (answer->from == from)
			return answer;
	}
	return NULL;
}

/// Discards the pages received of an instance's answer, and prepares to receive
/// the pages of a new answer of the same instance.
///
/// @param answer   answer to reset
/// @param message  the first page of the new answer to arrive, of any index
static void
reset_answer(struct quorum_answer *answer, const struct quorum_message *message)
{
	answer->complete = false;
	answer->nonce = message->nonce;
	answer->serial = message->sequence;
	answer->revision = message->revision;
	answer->ready_revision = message->ready_revision;
	answer->floor_revision = message->floor_revision;
	answer->prior_votes_expired = message->prior_votes_expired;
	answer->n_pages = message->n_pages;
	answer->n_pages_received = 0;
	g_byte_array_set_size(answer->pages_received, 0);
	g_byte_array_set_size(answer->pages_received, message->n_pages);
	for (uint32_t i = 0; i < message->n_pages; i++)
		answer->pages_received->data[i] = 0;
	g_array_set_size(answer->records, 0);
}

/// Adds a page to the answer of the instance that sent the page. A page of a
/// newer answer discards the pages of an incomplete older answer, as pages of
/// different answers must not be combined.
///
/// @param answers  list of struct quorum_answer; if it contains no answer of
///     the sender, one is created
/// @param from     sending instance
/// @param message  page to add
/// @return the answer if this page completed it, otherwise NULL
struct quorum_answer *
quorum_answer_add_page(
    GPtrArray *answers, node_id from, const struct quorum_message *message)
{
	struct quorum_answer *answer = quorum_answer_find(answers, from);

	if (message->page >= message->n_pages)
		return NULL;
	if (answer == NULL) {
		answer = g_new0(struct quorum_answer, 1);
		answer->from = from;
		answer->pages_received = g_byte_array_new();
		answer->records =
		    g_array_new(FALSE, FALSE, sizeof(struct quorum_record));
		g_ptr_array_add(answers, answer);
		reset_answer(answer, message);
	} else if (message->nonce != answer->nonce ||
	    (!answer->complete && message->sequence > answer->serial)) {
		reset_answer(answer, message);
	}
	if (answer->complete || message->sequence != answer->serial)
		return NULL;
	if (message->n_pages != answer->n_pages ||
	    answer->pages_received->data[message->page] != 0)
		return NULL;
	answer->pages_received->data[message->page] = 1;
	answer->n_pages_received++;
	g_array_append_vals(
	    answer->records, message->records, message->n_records);
	answer->complete = answer->n_pages_received == answer->n_pages;
	return answer->complete ? answer : NULL;
}
