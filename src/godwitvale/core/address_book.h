/*
 * Addresses at which instances run, or ran a while ago. Chooses those that get
 * a heartbeat directly.
 *
 * Load pattern: a fleet starts from a few seeds, and its parts find each other
 * again after a network partition. An address is kept for some time after it
 * was last named. In a large fleet only a few random ones are probed, so that
 * the datagrams don't grow with it.
 */
#ifndef GODWITVALE_CORE_ADDRESS_BOOK_H
#define GODWITVALE_CORE_ADDRESS_BOOK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

struct address_book;

/// Which addresses are probed beside the random ones.
struct address_probes {
	unsigned n_random;
	bool seeds;
	bool hubs; /// that were hubs by their last heartbeat
};

struct address_book *address_book_new(uint32_t own, guint32 seed);
void address_book_free(struct address_book *book);
void address_book_add(
    struct address_book *book, uint32_t address, usec_t expires_at);
void address_book_add_seed(struct address_book *book, uint32_t address);
bool address_book_note_hub(
    struct address_book *book, uint32_t address, bool is_hub);
void address_book_expire(struct address_book *book, usec_t now);
GArray *address_book_list(const struct address_book *book);
GArray *address_book_list_probes(
    struct address_book *book, const struct address_probes *probes);

#endif
