/* Requests in progress: table, filter pipeline, refusals and answers. */
#ifndef GODWITVALE_SERVE_REQUEST_H
#define GODWITVALE_SERVE_REQUEST_H

#include "godwitvale/serve/refusal.h"
#include "godwitvale/serve/request_defs.h"

struct request *request_new(
    struct instance *instance, SoupServerMessage *message);
struct request *request_find(struct instance *instance, request_handle handle);
struct request *request_find_by_router_handle(
    struct instance *instance, router_request handle);
struct request *request_find_by_ticket(
    struct instance *instance, quorum_ticket ticket);
unsigned request_count(const struct instance *instance);
void request_advance(struct request *request);
bool request_retry(
    struct request *request, enum router_outcome outcome, enum verdict verdict);
void request_refuse(struct request *request, enum refusal refusal,
    usec_t retry_at, const char *detail);
void request_refuse_unsent(
    struct request *request, enum refusal refusal, usec_t retry_at);
void request_answer(struct request *request, unsigned status,
    const char *content_type, GBytes *body);
void request_stream_set_headers(struct request *request);
void request_stream_write(
    struct request *request, const char *data, size_t len);
void request_stream_flush(struct request *request);
void request_stream_end(struct request *request);
void request_report_router_outcome(struct request *request,
    enum router_outcome outcome, uint32_t generated_tokens);
void request_close_claim(struct request *request);

/// Filters in order of execution; the last entry has a NULL function.
extern const struct filter request_filters[];
/// First filter to run after the router has placed a request.
extern const struct filter *const request_filter_after_placement;

#endif
