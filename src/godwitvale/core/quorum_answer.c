/* Answers to a learner, put together from their pages. */
#include "godwitvale/core/quorum_private.h"

/// Frees an answer.
///
/// @param data  a struct quorum_answer
static void
free_answer(gpointer data)
{
	struct quorum_answer *answer = data;

	g_byte_array_free(answer->seen, TRUE);
	g_array_free(answer->records, TRUE);
	g_free(answer);
}

/// Makes an empty list of answers.
///
/// @return the list; it frees its answers
GPtrArray *
quorum_answers_new(void)
{
	return g_ptr_array_new_with_free_func(free_answer);
}

/// Finds the answer of one instance.
///
/// @param answers  the list
/// @param from     the instance
/// @return its answer, or NULL
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

/// Starts an answer anew, from one of its pages.
///
/// @param answer   the answer
/// @param message  the page
static void
restart(struct quorum_answer *answer, const struct quorum_message *message)
{
	answer->complete = false;
	answer->nonce = message->nonce;
	answer->serial = message->round;
	answer->revision = message->revision;
	answer->ready_revision = message->ready_revision;
	answer->floor_revision = message->floor_revision;
	answer->lapsed = message->lapsed;
	answer->n_pages = message->n_pages;
	answer->n_seen = 0;
	g_byte_array_set_size(answer->seen, 0);
	g_byte_array_set_size(answer->seen, message->n_pages);
	for (uint32_t i = 0; i < message->n_pages; i++)
		answer->seen->data[i] = 0;
	g_array_set_size(answer->records, 0);
}

/// Adds a page to the answer of its sender. Pages of different answers are
/// never put together.
///
/// @param answers  the list
/// @param from     the sender
/// @param message  the page
/// @return the answer where this page completed it, else NULL
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
		answer->seen = g_byte_array_new();
		answer->records =
		    g_array_new(FALSE, FALSE, sizeof(struct quorum_record));
		g_ptr_array_add(answers, answer);
		restart(answer, message);
	} else if (message->nonce != answer->nonce ||
	    (!answer->complete && message->round > answer->serial)) {
		restart(answer, message);
	}
	if (answer->complete || message->round != answer->serial)
		return NULL;
	if (message->n_pages != answer->n_pages ||
	    answer->seen->data[message->page] != 0)
		return NULL;
	answer->seen->data[message->page] = 1;
	answer->n_seen++;
	g_array_append_vals(
	    answer->records, message->records, message->n_records);
	answer->complete = answer->n_seen == answer->n_pages;
	return answer->complete ? answer : NULL;
}
