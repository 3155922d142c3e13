/*
 * Adds up what organisations hold, divides scarce engine memory among them, and
 * derives the headroom of those above their share.
 * organisation_shares_report.c exchanges reports with other instances.
 */
#include "godwitvale/core/organisation_shares_state.h"

/// Utilisation from which on the headroom is in full effect. Fragments of
/// memory in which no request fits keep engines below 1.
#define SHARES_FULL 0.9
/// Headroom that an organisation far above its share approaches. A third of an
/// engine has room for several requests of the others.
#define SHARES_HEADROOM_MAX 0.3
/// An organisation becomes limited at this multiple of its share, and is no
/// longer limited at its share, so that one at its share doesn't change with
/// every request.
#define SHARES_LIMIT_RATIO 1.1
/// An organisation counts as wanting room for this long after its last request
/// has stopped waiting at this instance, so that short waits count in a report.
#define SHARES_WANT_SPAN (500 * USEC_PER_MSEC)
/// Shortest time between two changes that are returned for an organisation.
#define SHARES_CHANGE_INTERVAL (5 * USEC_PER_SEC)
/// Engines that were last set before this time aren't known any more.
#define SHARES_LOAD_TTL (2 * USEC_PER_SEC)

/// Frees a service (struct share_service *).
static void
free_service(void *data)
{
	struct share_service *service = data;

	g_hash_table_unref(service->organisations);
	g_free(service);
}

/// Creates an empty table.
///
/// @param own  hash of the name of this instance
/// @return the table; free with organisation_shares_free()
struct organisation_shares *
organisation_shares_new(uint64_t own)
{
	struct organisation_shares *shares =
	    g_new0(struct organisation_shares, 1);

	shares->own = own;
	shares->report_interval = ORGANISATION_SHARES_REPORT_INTERVAL;
	shares->services = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_service);
	shares->peers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return shares;
}

/// Frees a table.
///
/// @param shares  not NULL
void
organisation_shares_free(struct organisation_shares *shares)
{
	g_hash_table_unref(shares->services);
	g_hash_table_unref(shares->peers);
	g_free(shares);
}

/// Returns a service; adds it if it isn't known.
///
/// @return NULL if the table is full
static struct share_service *
get_service(struct organisation_shares *shares, uint64_t key)
{
	struct share_service *service =
	    g_hash_table_lookup(shares->services, &key);

	if (service != NULL)
		return service;
	if (g_hash_table_size(shares->services) >=
	    ORGANISATION_SHARES_TABLE_SERVICES)
		return NULL;
	service = g_new0(struct share_service, 1);
	service->key = key;
	service->scale = 1;
	service->organisations =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_hash_table_insert(shares->services, &service->key, service);
	return service;
}

/// Returns an organisation at a service; adds it if it isn't known.
///
/// @param service  service to search
/// @param key      hash of the organisation's name
/// @param max      number of organisations up to which one is added
/// @return NULL if it isn't known and isn't added
struct share_organisation *
organisation_shares_get(struct share_service *service, uint64_t key, guint max)
{
	struct share_organisation *organisation =
	    g_hash_table_lookup(service->organisations, &key);

	if (organisation != NULL)
		return organisation;
	if (g_hash_table_size(service->organisations) >= max)
		return NULL;
	organisation = g_new0(struct share_organisation, 1);
	organisation->key = key;
	g_hash_table_insert(
	    service->organisations, &organisation->key, organisation);
	return organisation;
}

/// Returns an organisation at a service for this instance's own figures.
static struct share_organisation *
get_own(struct organisation_shares *shares, uint64_t service_key, uint64_t key)
{
	struct share_service *service = get_service(shares, service_key);

	return service == NULL ? NULL
			       : organisation_shares_get(service, key,
				     ORGANISATION_SHARES_TABLE_ORGANISATIONS);
}

/// Adds to the tokens that an organisation holds by this instance.
///
/// @param shares        table to update
/// @param service       hash of the service's name
/// @param organisation  hash of the organisation's name
/// @param tokens        negative when requests end
void
organisation_shares_charge(struct organisation_shares *shares, uint64_t service,
    uint64_t organisation, int32_t tokens)
{
	struct share_organisation *found =
	    get_own(shares, service, organisation);

	if (found != NULL)
		found->own_tokens = MAX(found->own_tokens + tokens, 0);
}

/// Notes that a request of an organisation waits at this instance.
///
/// @param shares        table to update
/// @param service       hash of the service's name
/// @param organisation  hash of the organisation's name
void
organisation_shares_begin_wait(
    struct organisation_shares *shares, uint64_t service, uint64_t organisation)
{
	struct share_organisation *found =
	    get_own(shares, service, organisation);

	if (found != NULL)
		found->n_waiting++;
}

/// Notes that a request of an organisation doesn't wait any more.
///
/// @param shares        table to update
/// @param now           current time
/// @param service       hash of the service's name
/// @param organisation  hash of the organisation's name
void
organisation_shares_end_wait(struct organisation_shares *shares, usec_t now,
    uint64_t service, uint64_t organisation)
{
	struct share_organisation *found =
	    get_own(shares, service, organisation);

	if (found == NULL || found->n_waiting == 0)
		return;
	found->n_waiting--;
	found->wanted_until = now + SHARES_WANT_SPAN;
}

/// Sets what is known of the engines of a service. Called before each tick.
///
/// @param shares  table to update
/// @param now     current time
/// @param load    copied
void
organisation_shares_set_load(struct organisation_shares *shares, usec_t now,
    const struct organisation_shares_load *load)
{
	struct share_service *service = get_service(shares, load->service);

	if (service == NULL)
		return;
	service->load = *load;
	service->loaded_at = now;
}

/// @param organisation  organisation at a service
/// @param now           current time
/// @return whether it has waiting requests at any instance, as far as known
bool
organisation_shares_wants(
    const struct share_organisation *organisation, usec_t now)
{
	return organisation->n_waiting > 0 ||
	    now < organisation->wanted_until ||
	    now < organisation->peer_wanted_until;
}

/// Returns the tokens that an organisation holds by all instances.
static double
count_held(const struct share_service *service,
    const struct share_organisation *organisation)
{
	return (double)organisation->own_tokens * service->scale +
	    (double)organisation->peer_tokens;
}

/// Returns the tokens that all organisations hold, without scaling.
static double
count_all_held(const struct share_service *service)
{
	GHashTableIter iter;
	void *value;
	double sum = 0;

	g_hash_table_iter_init(&iter, service->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct share_organisation *organisation = value;

		sum += (double)organisation->own_tokens +
		    (double)organisation->peer_tokens;
	}
	return sum;
}

/// Returns the factor from this instance's own tokens to those of all. While
/// others report, it is 1. Otherwise the others are taken to hold the same, but
/// not more than is in use.
static double
estimate_scale(const struct share_service *service, double held)
{
	double factor = MAX(service->load.n_instances, 1);

	if (service->n_reports > 0 || held <= 0)
		return 1;
	factor = MIN(factor, (double)service->load.used / held);
	return MAX(factor, 1);
}

/// Orders demands, smallest first.
static gint
compare_demands(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/// Lists the demands of all organisations: those that want room take any
/// amount, the others what they hold.
///
/// @param most  amount that stands for any
/// @return tokens, as doubles, smallest first
static GArray *
list_demands(const struct share_service *service, usec_t now, double most)
{
	GArray *demands = g_array_new(false, false, sizeof(double));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, service->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		double demand = organisation_shares_wants(value, now)
		    ? most
		    : count_held(service, value);

		g_array_append_val(demands, demand);
	}
	g_array_sort(demands, compare_demands);
	return demands;
}

/// Divides memory by max-min fairness: small demands are met, and the others
/// get equal parts of the rest.
///
/// @param capacity  tokens to be divided
/// @return the equal part, which is the share of each; `capacity` if all
///         demands are met
static double
divide(const GArray *demands, double capacity)
{
	double left = capacity;

	for (guint i = 0; i < demands->len; i++) {
		double level = left / (demands->len - i);
		double wanted = g_array_index(demands, double, i);

		if (wanted > level)
			return level;
		left -= wanted;
	}
	return capacity;
}

/// Computes the shares of a service. Tokens that nobody reports, as their
/// instances are of an earlier build or name only their largest organisations,
/// are left out on both sides.
static void
divide_service(struct share_service *service, usec_t now)
{
	double held = count_all_held(service);
	double capacity;
	GArray *demands;

	service->scale = estimate_scale(service, held);
	held *= service->scale;
	capacity = (double)service->load.capacity -
	    MAX((double)service->load.used - held, 0);
	capacity = MAX(capacity, held);
	demands = list_demands(service, now, capacity);
	service->level = divide(demands, capacity);
	g_array_unref(demands);
	service->pressure = service->load.capacity <= 0
	    ? 0
	    : (service->load.utilisation - ORGANISATION_SHARES_THRESHOLD) /
		(SHARES_FULL - ORGANISATION_SHARES_THRESHOLD);
	service->pressure = CLAMP(service->pressure, 0, 1);
}

/// Returns the headroom of an organisation that is limited.
static double
compute_headroom(const struct share_service *service,
    const struct share_organisation *organisation)
{
	double held = count_held(service, organisation);

	if (!organisation->is_limited || held <= service->level)
		return 0;
	return SHARES_HEADROOM_MAX * service->pressure *
	    (1 - service->level / held);
}

/// Updates whether an organisation is limited.
static void
update_limited(const struct share_service *service,
    struct share_organisation *organisation)
{
	double held = count_held(service, organisation);
	double ratio = organisation->is_limited ? 1 : SHARES_LIMIT_RATIO;

	organisation->is_limited =
	    service->pressure > 0 && held > ratio * service->level;
}

/// Describes an organisation at a service.
static struct organisation_state
describe(const struct share_service *service,
    const struct share_organisation *organisation)
{
	return (struct organisation_state){
	    .service = service->key,
	    .organisation = organisation->key,
	    .held = (int64_t)count_held(service, organisation),
	    .share = (int64_t)service->level,
	    .headroom = compute_headroom(service, organisation),
	    .is_limited = organisation->is_limited,
	    .is_estimate =
		service->n_reports == 0 && service->load.n_instances > 1,
	};
}

/// Checks whether nothing is known of an organisation any more. One whose end
/// of a limit wasn't returned yet is kept.
static bool
is_idle(const struct share_organisation *organisation, usec_t now)
{
	return organisation->own_tokens == 0 &&
	    organisation->peer_tokens == 0 && !organisation->is_told_limited &&
	    !organisation_shares_wants(organisation, now);
}

/// Updates the organisations of a service, and removes those that hold nothing.
///
/// @return number of changes that were added
static size_t
update_organisations(struct share_service *service, usec_t now,
    struct organisation_state *changes, size_t max)
{
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, service->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct share_organisation *organisation = value;

		update_limited(service, organisation);
		if (n < max &&
		    organisation->is_limited != organisation->is_told_limited &&
		    (organisation->told_at == 0 ||
			now >=
			    organisation->told_at + SHARES_CHANGE_INTERVAL)) {
			organisation->is_told_limited =
			    organisation->is_limited;
			organisation->told_at = now;
			changes[n++] = describe(service, organisation);
		}
		if (is_idle(organisation, now))
			g_hash_table_iter_remove(&iter);
	}
	return n;
}

/// Returns when an instance sends its next report in a large fleet. Its times
/// are an interval apart and depend on its name, so that the reports of all are
/// spread, and memory that becomes scarce again and again postpones none.
static usec_t
find_report_time(const struct organisation_shares *shares, usec_t now)
{
	usec_t interval = shares->report_interval;
	usec_t phase = (usec_t)(shares->own % (uint64_t)interval);

	return now + (phase - now % interval + interval) % interval;
}

/// Starts the reports when the memory of a service becomes scarce: at once, or
/// in a large fleet at this instance's time.
static void
update_report_time(struct organisation_shares *shares, usec_t now,
    unsigned n_instances, bool is_scarce)
{
	shares->report_interval = MAX(ORGANISATION_SHARES_REPORT_INTERVAL,
	    n_instances * USEC_PER_SEC / ORGANISATION_SHARES_FLEET_RATE);
	if (is_scarce && !shares->was_scarce &&
	    shares->report_interval > ORGANISATION_SHARES_REPORT_INTERVAL)
		shares->next_report_at =
		    MAX(shares->next_report_at, find_report_time(shares, now));
	shares->was_scarce = is_scarce;
}

/// Computes the shares of all services. Called often; the headroom in between
/// follows what this instance sends itself.
///
/// @param shares   table to update
/// @param now      current time
/// @param changes  receives the organisations that have become limited or are
///                 no longer; the others follow with the next call
/// @param max      number of elements in `changes`
/// @return number of changes
size_t
organisation_shares_tick(struct organisation_shares *shares, usec_t now,
    struct organisation_state *changes, size_t max)
{
	GHashTableIter iter;
	void *value;
	size_t n = 0;
	unsigned n_instances = 1;
	bool is_scarce = false;

	organisation_shares_expire_reports(shares, now);
	g_hash_table_iter_init(&iter, shares->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct share_service *service = value;

		if (now >= service->loaded_at + SHARES_LOAD_TTL)
			service->load = (struct organisation_shares_load){0};
		divide_service(service, now);
		n += update_organisations(service, now, changes + n, max - n);
		n_instances = MAX(n_instances, service->load.n_instances);
		is_scarce |= service->pressure > 0;
		if (service->load.capacity == 0 && service->n_reports == 0 &&
		    g_hash_table_size(service->organisations) == 0)
			g_hash_table_iter_remove(&iter);
	}
	update_report_time(shares, now, n_instances, is_scarce);
	return n;
}

/// Returns the share of each engine that an organisation must leave free for
/// others, in addition to what all must leave free.
///
/// @param shares        table to query
/// @param now           current time
/// @param service       hash of the service's name
/// @param organisation  hash of the organisation's name
/// @return from 0 to 1; 0 if it isn't limited
double
organisation_shares_headroom(const struct organisation_shares *shares,
    usec_t now, uint64_t service, uint64_t organisation)
{
	const struct share_service *found =
	    g_hash_table_lookup(shares->services, &service);
	const struct share_organisation *holder;

	if (found == NULL || found->pressure <= 0 ||
	    now >= found->loaded_at + SHARES_LOAD_TTL)
		return 0;
	holder = g_hash_table_lookup(found->organisations, &organisation);
	return holder == NULL ? 0 : compute_headroom(found, holder);
}

/// Orders states, the largest holding first.
static int
compare_states(const void *a, const void *b)
{
	const struct organisation_state *left = a;
	const struct organisation_state *right = b;

	return (left->held < right->held) - (left->held > right->held);
}

/// Lists the organisations at the services whose memory is scarce, the largest
/// first.
///
/// @param shares  table to query
/// @param states  filled in
/// @param max     number of elements in `states`
/// @return number of elements filled in
size_t
organisation_shares_list_states(const struct organisation_shares *shares,
    struct organisation_state *states, size_t max)
{
	GArray *all =
	    g_array_new(false, false, sizeof(struct organisation_state));
	GHashTableIter services;
	void *service;
	size_t n;

	g_hash_table_iter_init(&services, shares->services);
	while (g_hash_table_iter_next(&services, NULL, &service)) {
		const struct share_service *found = service;
		GHashTableIter iter;
		void *value;

		g_hash_table_iter_init(&iter, found->organisations);
		while (found->pressure > 0 &&
		    g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct organisation_state state =
			    describe(found, value);

			g_array_append_val(all, state);
		}
	}
	g_array_sort(all, compare_states);
	n = MIN(max, all->len);
	for (size_t i = 0; i < n; i++)
		states[i] = g_array_index(all, struct organisation_state, i);
	g_array_unref(all);
	return n;
}

/// @param shares  table to query
/// @return number of organisations that are limited now, summed over services
unsigned
organisation_shares_count_limited(const struct organisation_shares *shares)
{
	GHashTableIter services;
	void *service;
	unsigned n = 0;

	g_hash_table_iter_init(&services, shares->services);
	while (g_hash_table_iter_next(&services, NULL, &service)) {
		const struct share_service *found = service;
		GHashTableIter iter;
		void *value;

		g_hash_table_iter_init(&iter, found->organisations);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			n += ((const struct share_organisation *)value)
				 ->is_limited;
	}
	return n;
}
