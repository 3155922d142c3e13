/*
 * Maps 32-bit handles to pointers. Each handle contains a slot number and the
 * slot's generation, a counter that increases when the slot is released, so
 * that a lookup by a released handle returns NULL.
 */
#ifndef GODWITVALE_CORE_HANDLE_TABLE_H
#define GODWITVALE_CORE_HANDLE_TABLE_H

#include <stdint.h>

struct handle_table;

struct handle_table *handle_table_new(void);
void handle_table_free(struct handle_table *table);
uint32_t handle_table_add(struct handle_table *table, void *value);
void *handle_table_get(const struct handle_table *table, uint32_t handle);
void handle_table_remove(struct handle_table *table, uint32_t handle);

#endif
