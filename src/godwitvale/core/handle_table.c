/* Generation-tagged handles into a growing array. */
#include "godwitvale/core/handle_table.h"

#include <glib.h>

/// Low bits of a handle are the place from 1, the others the generation.
#define PLACE_BITS 20
#define PLACE_MASK ((1u << PLACE_BITS) - 1)
#define GENERATION_MASK (UINT32_MAX >> PLACE_BITS)
/// Places freed wait in a queue of this length, so that a place's generations
/// last as long as possible.
#define FREE_MIN 256

struct place {
	void *value;
	uint32_t generation;
};

struct handle_table {
	GArray *places; /// struct place
	GQueue free;    /// places free for use, oldest first
};

/// Makes an empty table.
///
/// @return the table; free with handle_table_free()
struct handle_table *
handle_table_new(void)
{
	struct handle_table *table = g_new0(struct handle_table, 1);

	table->places = g_array_new(FALSE, TRUE, sizeof(struct place));
	g_queue_init(&table->free);
	return table;
}

/// Frees the table, not the values in it.
///
/// @param table  the table or NULL
void
handle_table_free(struct handle_table *table)
{
	if (table == NULL)
		return;
	g_queue_clear(&table->free);
	g_array_free(table->places, TRUE);
	g_free(table);
}

/// Enters a value.
///
/// @param table  the table
/// @param value  not NULL
/// @return its handle, never 0
uint32_t
handle_table_add(struct handle_table *table, void *value)
{
	struct place *place;
	uint32_t number;

	if (g_queue_get_length(&table->free) > FREE_MIN) {
		number = GPOINTER_TO_UINT(g_queue_pop_head(&table->free));
	} else {
		g_array_set_size(table->places, table->places->len + 1);
		number = table->places->len;
		g_assert(number <= PLACE_MASK);
	}
	place = &g_array_index(table->places, struct place, number - 1);
	place->value = value;
	return place->generation << PLACE_BITS | number;
}

/// Finds a value.
///
/// @param table   the table
/// @param handle  any number
/// @return the value, or NULL when the handle isn't in use
void *
handle_table_get(const struct handle_table *table, uint32_t handle)
{
	uint32_t number = handle & PLACE_MASK;
	struct place *place;

	if (number == 0 || number > table->places->len)
		return NULL;
	place = &g_array_index(table->places, struct place, number - 1);
	if (place->generation != handle >> PLACE_BITS)
		return NULL;
	return place->value;
}

/// Takes a value out; its handle finds nothing from now on.
///
/// @param table   the table
/// @param handle  one in use
void
handle_table_remove(struct handle_table *table, uint32_t handle)
{
	uint32_t number = handle & PLACE_MASK;
	struct place *place;

	g_assert(handle_table_get(table, handle) != NULL);
	place = &g_array_index(table->places, struct place, number - 1);
	place->value = NULL;
	place->generation = (place->generation + 1) & GENERATION_MASK;
	g_queue_push_tail(&table->free, GUINT_TO_POINTER(number));
}
