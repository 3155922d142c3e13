/*
 * Maps 32-bit handles to pointers, in an array of slots that grows as needed. A
 * slot's generation counts its releases and tells released handles from valid
 * ones.
 */
#include "godwitvale/core/handle_table.h"

#include <glib.h>

/// The low bits of a handle hold the slot number, counted from 1. The high bits
/// hold the generation.
#define SLOT_BITS 20
#define SLOT_MASK ((1u << SLOT_BITS) - 1)
#define GENERATION_MASK (UINT32_MAX >> SLOT_BITS)
/// Free slots are reused only when `free_slots` holds more than this many. A
/// slot is then reused rarely, so that it takes long until its generation wraps
/// around and a released handle becomes valid again.
#define FREE_SLOTS_MIN 256

struct handle_slot {
	void *value;
	uint32_t generation; /// number of releases, modulo 2^12
};

struct handle_table {
	GArray *slots;     /// struct handle_slot
	GQueue free_slots; /// slot numbers, least recently freed first
};

/// Creates an empty table.
///
/// @return the table; free with handle_table_free()
struct handle_table *
handle_table_new(void)
{
	struct handle_table *table = g_new0(struct handle_table, 1);

	table->slots = g_array_new(FALSE, TRUE, sizeof(struct handle_slot));
	g_queue_init(&table->free_slots);
	return table;
}

/// Frees a table, but not the values in it.
///
/// @param table  table to free, or NULL
void
handle_table_free(struct handle_table *table)
{
	if (table == NULL)
		return;
	g_queue_clear(&table->free_slots);
	g_array_free(table->slots, TRUE);
	g_free(table);
}

/// Adds a value.
///
/// @param table  table of fewer than 2^20 values
/// @param value  not NULL; owned by the caller
/// @return the value's handle, never 0
uint32_t
handle_table_add(struct handle_table *table, void *value)
{
	struct handle_slot *slot;
	uint32_t slot_number;

	if (g_queue_get_length(&table->free_slots) > FREE_SLOTS_MIN) {
		slot_number =
		    GPOINTER_TO_UINT(g_queue_pop_head(&table->free_slots));
	} else {
		g_array_set_size(table->slots, table->slots->len + 1);
		slot_number = table->slots->len;
		g_assert(slot_number <= SLOT_MASK);
	}
	slot =
	    &g_array_index(table->slots, struct handle_slot, slot_number - 1);
	slot->value = value;
	return slot->generation << SLOT_BITS | slot_number;
}

/// Looks up a value.
///
/// @param table   table that the value was added to
/// @param handle  any number
/// @return the value, or NULL when the handle was released or never issued
void *
handle_table_get(const struct handle_table *table, uint32_t handle)
{
	uint32_t slot_number = handle & SLOT_MASK;
	struct handle_slot *slot;

	if (slot_number == 0 || slot_number > table->slots->len)
		return NULL;
	slot =
	    &g_array_index(table->slots, struct handle_slot, slot_number - 1);
	if (slot->generation != handle >> SLOT_BITS)
		return NULL;
	return slot->value;
}

/// Removes a value and releases its handle.
///
/// @param table   table that the value was added to
/// @param handle  a handle in use
void
handle_table_remove(struct handle_table *table, uint32_t handle)
{
	uint32_t slot_number = handle & SLOT_MASK;
	struct handle_slot *slot;

	g_assert(handle_table_get(table, handle) != NULL);
	slot =
	    &g_array_index(table->slots, struct handle_slot, slot_number - 1);
	slot->value = NULL;
	slot->generation = (slot->generation + 1) & GENERATION_MASK;
	g_queue_push_tail(&table->free_slots, GUINT_TO_POINTER(slot_number));
}
