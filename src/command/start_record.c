#include "command/start_record.h"

/*
 * Records of a service beyond two for each listed backend server, so that all
 * of them may lapse at once; beyond that, the oldest is dropped.
 */
#define SPARE_RECORDS 64

static bool has_history(const struct backend_doc *listed);
static GHashTable *index_by_start(const struct service_doc *doc);
static uint32_t records_max(const struct service *service,
			    const struct service_doc *old_doc);
static void learn(struct service *service, const struct backend_doc *before,
		  const struct backend_doc *after);
static void note(struct service *service, const struct start_id *start,
		 uint64_t writes, enum start_standing standing);
static bool overrides(const struct start_record *record, uint64_t writes,
		      enum start_standing standing);
static struct start_record *find_or_add(struct service *service,
					const struct start_id *start);
static void drop_oldest(struct service *service, uint32_t max);
static gint compare_notes(gconstpointer a, gconstpointer b);
static void drop_outdated(struct service *service);
static void judge(struct service *service);
static bool is_news(const struct service *service,
		    const struct left_start *heard);
static const struct backend_doc *find_listed(const struct service_doc *doc,
					     const struct start_id *start);
static guint start_bucket(gconstpointer data);
static gboolean starts_equal(gconstpointer a, gconstpointer b);

void start_records_follow(struct service *service,
			  const struct service_doc *old_doc)
{
	GHashTable *listed = index_by_start(service->doc);
	const struct backend_doc *before;
	uint64_t notes = service->start_notes;
	uint32_t i;

	for (i = 0; i < old_doc->backend_count; i++) {
		before = &old_doc->backends[i];
		if (has_history(before))
			learn(service, before,
			      g_hash_table_lookup(listed, &before->start));
	}
	g_hash_table_unref(listed);
	drop_outdated(service);
	/* Of a service that has lapsed as a whole, what is known is kept. */
	if (service->start_notes != notes)
		drop_oldest(service, records_max(service, old_doc));
	judge(service);
}

bool start_record_hear(struct service *service, const struct left_start *heard)
{
	const struct backend_doc *listed;

	if (!is_news(service, heard))
		return false;
	listed = find_listed(service->doc, &heard->start);
	if (!listed || !has_history(listed) || listed->writes > heard->writes)
		return false;
	note(service, &heard->start, heard->writes, heard->standing);
	judge(service);
	return start_record_left(service, listed) != NULL;
}

const struct start_record *start_record_left(const struct service *service,
					     const struct backend_doc *listed)
{
	const struct start_record *record;

	if (!service->start_records || !has_history(listed))
		return NULL;
	record = g_hash_table_lookup(service->start_records, &listed->start);
	if (!record)
		return NULL;
	switch (record->standing) {
	case START_READY:
		return NULL;
	case START_DRAINING:
		return listed->writes < record->writes ? record : NULL;
	case START_ENDED:
		return listed->writes <= record->writes ? record : NULL;
	}
	return NULL;
}

/* Return: whether writes of the start can be compared. */
static bool has_history(const struct backend_doc *listed)
{
	return start_named(&listed->start) &&
	       listed->start.started_unix_ms != 0 && listed->writes != 0;
}

/* Return: an owned map of starts to struct backend_doc, not owned. */
static GHashTable *index_by_start(const struct service_doc *doc)
{
	GHashTable *index = g_hash_table_new(start_bucket, starts_equal);
	struct backend_doc *listed;
	uint32_t i;

	for (i = 0; i < doc->backend_count; i++) {
		listed = &doc->backends[i];
		if (has_history(listed))
			g_hash_table_insert(index, &listed->start, listed);
	}
	return index;
}

/* @after is NULL when the new document lacks the start. */
static void learn(struct service *service, const struct backend_doc *before,
		  const struct backend_doc *after)
{
	if (after && after->writes >= before->writes)
		return;
	if (after) {
		note(service, &before->start, before->writes,
		     before->draining ? START_DRAINING : START_READY);
		return;
	}
	/* A full list has no room for all that the platform has. */
	if (service->doc->backend_count < DOC_BACKENDS_MAX)
		note(service, &before->start, before->writes, START_ENDED);
}

static void note(struct service *service, const struct start_id *start,
		 uint64_t writes, enum start_standing standing)
{
	struct start_record *record = find_or_add(service, start);

	record->noted = ++service->start_notes;
	if (overrides(record, writes, standing))
		record->standing = standing;
	record->writes = MAX(record->writes, writes);
}

/* An end holds until a later write. */
static bool overrides(const struct start_record *record, uint64_t writes,
		      enum start_standing standing)
{
	if (standing == START_ENDED || writes > record->writes)
		return true;
	return writes == record->writes && record->standing != START_ENDED;
}

static struct start_record *find_or_add(struct service *service,
					const struct start_id *start)
{
	struct start_record *record;

	if (!service->start_records)
		service->start_records = g_hash_table_new_full(
			start_bucket, starts_equal, NULL, g_free);
	record = g_hash_table_lookup(service->start_records, start);
	if (record)
		return record;
	record = g_new0(struct start_record, 1);
	record->start = *start;
	g_hash_table_insert(service->start_records, &record->start, record);
	return record;
}

static uint32_t records_max(const struct service *service,
			    const struct service_doc *old_doc)
{
	return 2 * MAX(service->doc->backend_count, old_doc->backend_count) +
	       SPARE_RECORDS;
}

/* Drops all but the latest @max records. */
static void drop_oldest(struct service *service, uint32_t max)
{
	const struct start_record *record;
	GHashTableIter iter;
	GArray *notes;
	gpointer value;
	uint64_t oldest;

	if (!service->start_records ||
	    g_hash_table_size(service->start_records) <= max)
		return;
	notes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_iter_init(&iter, service->start_records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record = value;
		g_array_append_val(notes, record->noted);
	}
	g_array_sort(notes, compare_notes);
	oldest = g_array_index(notes, uint64_t, notes->len - max);
	g_array_unref(notes);
	g_hash_table_iter_init(&iter, service->start_records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record = value;
		if (record->noted < oldest)
			g_hash_table_iter_remove(&iter);
	}
}

static gint compare_notes(gconstpointer a, gconstpointer b)
{
	const uint64_t *x = a;
	const uint64_t *y = b;

	return (*x > *y) - (*x < *y);
}

/* Drops the records of starts whose entries were written again. */
static void drop_outdated(struct service *service)
{
	const struct backend_doc *listed;
	const struct start_record *record;
	uint32_t i;

	if (!service->start_records)
		return;
	for (i = 0; i < service->doc->backend_count; i++) {
		listed = &service->doc->backends[i];
		record = g_hash_table_lookup(service->start_records,
					     &listed->start);
		if (record && listed->writes > record->writes)
			g_hash_table_remove(service->start_records,
					    &listed->start);
	}
}

static void judge(struct service *service)
{
	uint32_t i;

	service->left_backends = 0;
	for (i = 0; i < service->doc->backend_count; i++) {
		service->backends[i].left =
			start_record_left(service, &service->doc->backends[i]);
		service->left_backends += service->backends[i].left;
	}
}

/* Return: whether the peer has seen a later state than this instance. */
static bool is_news(const struct service *service,
		    const struct left_start *heard)
{
	const struct start_record *record;

	if (!service->start_records)
		return true;
	record = g_hash_table_lookup(service->start_records, &heard->start);
	if (!record || heard->writes > record->writes)
		return true;
	return heard->writes == record->writes &&
	       record->standing != START_ENDED &&
	       heard->standing == START_ENDED;
}

/* Return: the entry of the start, or NULL. */
static const struct backend_doc *find_listed(const struct service_doc *doc,
					     const struct start_id *start)
{
	uint32_t i;

	for (i = 0; i < doc->backend_count; i++) {
		if (start_equal(&doc->backends[i].start, start))
			return &doc->backends[i];
	}
	return NULL;
}

static guint start_bucket(gconstpointer data)
{
	const struct start_id *start = data;

	return g_str_hash(start->instance.text) ^
	       g_int64_hash(&start->started_unix_ms);
}

static gboolean starts_equal(gconstpointer a, gconstpointer b)
{
	return start_equal(a, b);
}
