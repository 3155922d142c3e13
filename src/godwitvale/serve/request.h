/* One caller's request: table, stages and answers. */
#ifndef GODWITVALE_SERVE_REQUEST_H
#define GODWITVALE_SERVE_REQUEST_H

#include "godwitvale/serve/refusal.h"
#include "godwitvale/serve/request_defs.h"

struct request *request_new(
    struct instance *instance, SoupServerMessage *message);
struct request *request_find(struct instance *instance, request_handle handle);
struct request *request_find_routed(
    struct instance *instance, router_request routed);
struct request *request_find_ticket(
    struct instance *instance, quorum_ticket ticket);
unsigned request_count(const struct instance *instance);
void request_advance(struct request *request);
bool request_retry(struct request *request, enum router_outcome end);
void request_refuse(struct request *request, enum refusal refusal,
    usec_t retry_at, const char *detail);
void request_refuse_checked(
    struct request *request, enum refusal refusal, usec_t retry_at);
void request_answer(struct request *request, unsigned status,
    const char *content_type, GBytes *body);
void request_stream_begin(struct request *request);
void request_stream_write(
    struct request *request, const char *data, size_t len);
void request_stream_flush(struct request *request);
void request_stream_end(struct request *request);
void request_leave_router(
    struct request *request, enum router_outcome end, uint32_t tokens);
void request_settle_claim(struct request *request);

/// The pipe; ends with an empty row.
extern const struct filter request_filters[];
/// The filter that a request goes on with once the router has placed it.
extern const struct filter *const request_placed_filter;

#endif
