/* Keeps crashes until a round trip confirms them. */
#include "godwitvale/core/crash_doubts.h"

#include <string.h>

#include <glib.h>

/// What is sent within this time after a crash, and answered, confirms it. A
/// cut of links lasts longer.
#define CRASH_DOUBTS_SENT_SPAN (300 * USEC_PER_MSEC)
/// Time that an answer may take.
#define CRASH_DOUBTS_ANSWER_SPAN (2 * USEC_PER_SEC)
/// Of the requests that were sent within one such span, the last one that was
/// answered is remembered.
#define CRASH_DOUBTS_SLOT_SPAN (50 * USEC_PER_MSEC)
/// Number of spans. They cover the longest time from a crash to its report.
#define CRASH_DOUBTS_SLOTS 64

/// A crash that doesn't count yet.
struct doubtful_crash {
	usec_t crashed_at;
	void *crash; /// what the owner of the table knows of it
};

struct crash_doubts {
	struct doubtful_crash crashes[CRASH_DOUBTS_MAX];
	size_t n;
	usec_t answered[CRASH_DOUBTS_SLOTS]; /// when they were sent
};

/// Creates a table without crashes.
///
/// @return the table; free with crash_doubts_free()
struct crash_doubts *
crash_doubts_new(void)
{
	return g_new0(struct crash_doubts, 1);
}

/// Frees a table.
///
/// @param doubts  not NULL
void
crash_doubts_free(struct crash_doubts *doubts)
{
	g_free(doubts);
}

/// Adds a crash.
///
/// @param doubts      table to add to
/// @param crashed_at  time of the crash
/// @param crash       what crash_doubts_take_confirmed() or
///                    crash_doubts_take_expired() returns
/// @return false if the table is full
bool
crash_doubts_add(struct crash_doubts *doubts, usec_t crashed_at, void *crash)
{
	if (doubts->n == CRASH_DOUBTS_MAX)
		return false;
	doubts->crashes[doubts->n++] =
	    (struct doubtful_crash){.crashed_at = crashed_at, .crash = crash};
	return true;
}

/// Notes that an upstream has answered.
///
/// @param doubts   table to update
/// @param sent_at  time at which what it answers was sent
void
crash_doubts_note_answered(struct crash_doubts *doubts, usec_t sent_at)
{
	usec_t *slot = &doubts->answered[(sent_at / CRASH_DOUBTS_SLOT_SPAN) %
	    CRASH_DOUBTS_SLOTS];

	*slot = MAX(*slot, sent_at);
}

/// Checks whether an answer to a probe that is sent now would confirm a crash.
///
/// @param doubts  table to search
/// @param now     current time
/// @return whether there is such a crash
bool
crash_doubts_want_probes(const struct crash_doubts *doubts, usec_t now)
{
	for (size_t i = 0; i < doubts->n; i++)
		if (now <=
		    doubts->crashes[i].crashed_at + CRASH_DOUBTS_SENT_SPAN)
			return true;
	return false;
}

/// Checks whether something that was sent right after a crash was answered.
static bool
is_confirmed(const struct crash_doubts *doubts, usec_t crashed_at)
{
	for (size_t i = 0; i < CRASH_DOUBTS_SLOTS; i++)
		if (doubts->answered[i] > crashed_at &&
		    doubts->answered[i] <= crashed_at + CRASH_DOUBTS_SENT_SPAN)
			return true;
	return false;
}

/// Removes the crash at an index. The others keep their order.
static void *
take_crash(struct crash_doubts *doubts, size_t i)
{
	void *crash = doubts->crashes[i].crash;

	doubts->n--;
	memmove(&doubts->crashes[i], &doubts->crashes[i + 1],
	    (doubts->n - i) * sizeof(doubts->crashes[0]));
	return crash;
}

/// Removes a crash that counts; the one that was added first.
///
/// @param doubts  table to search
/// @return what was added; NULL: none counts
void *
crash_doubts_take_confirmed(struct crash_doubts *doubts)
{
	for (size_t i = 0; i < doubts->n; i++)
		if (is_confirmed(doubts, doubts->crashes[i].crashed_at))
			return take_crash(doubts, i);
	return NULL;
}

/// Removes a crash that can't be confirmed any more.
///
/// @param doubts  table to search
/// @param now     current time
/// @return what was added; NULL: there is none
void *
crash_doubts_take_expired(struct crash_doubts *doubts, usec_t now)
{
	for (size_t i = 0; i < doubts->n; i++)
		if (now >= doubts->crashes[i].crashed_at +
			CRASH_DOUBTS_SENT_SPAN + CRASH_DOUBTS_ANSWER_SPAN)
			return take_crash(doubts, i);
	return NULL;
}
