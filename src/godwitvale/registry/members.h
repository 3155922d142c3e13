/* The platform's list of live and leaving instances. */
#ifndef GODWITVALE_REGISTRY_MEMBERS_H
#define GODWITVALE_REGISTRY_MEMBERS_H

#include "godwitvale/serve/instance_defs.h"

/// One listed instance.
struct member {
	node_id id;
	char *name;
	char *ip;
	uint16_t peer_port;
	char *zone;
	bool leaving;
};

struct member_list *member_list_new(struct instance *instance);
void member_list_free(struct member_list *list);
void member_list_tick(struct member_list *list, usec_t now);
void member_list_read_soon(struct member_list *list);
const struct member *member_list_find(
    const struct member_list *list, node_id id);
GPtrArray *member_list_all(struct member_list *list);
uint64_t member_list_revision(const struct member_list *list);

#endif
