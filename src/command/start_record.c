#include "command/start_record.h"

#include "core/document_version.h"

/*
 * Records of a service beyond two for each backend server that it ever had, so
 * that all of them may lapse at once; beyond that, the oldest is dropped.
 */
#define SPARE_RECORDS 64

static bool has_history(const struct backend_doc *listed);
static GHashTable *index_by_start(const struct service_doc *doc);
static void note_left(const struct state *state, struct service *service,
		      const struct service_doc *old_doc);
static void note_unknown(struct service *service,
			 const struct service_doc *old_doc);
static void note(struct service *service, const struct start_id *start,
		 uint64_t version);
static bool written_since(const struct state *state,
			  const struct backend_doc *listed, uint64_t version);
static bool written_in_era(const struct state *state,
			   const struct backend_doc *listed);
static struct start_record *find_or_add(struct service *service,
					const struct start_id *start);
static struct start_record *find(const struct service *service,
				 const struct start_id *start);
static void drop_oldest(struct service *service, uint32_t max);
static gint compare_notes(gconstpointer a, gconstpointer b);
static void drop_outdated(const struct state *state, struct service *service);
static void judge(const struct state *state, struct service *service);
static bool find_listed(const struct service_doc *doc,
			const struct start_id *start, uint32_t *index);
static guint start_bucket(gconstpointer data);
static gboolean starts_equal(gconstpointer a, gconstpointer b);

bool start_records_see_version(struct state *state, uint64_t version)
{
	uint64_t known = state->era_begun_version;
	uint64_t era = doc_version_era(version);

	if (version == 0 || era < doc_version_era(known))
		return false;
	if (known != 0 && era == doc_version_era(known) && version >= known)
		return false;
	state->era_begun_version = version;
	return true;
}

bool start_records_review(const struct state *state, struct service *service)
{
	uint32_t left_backends = service->left_backends;

	if (left_backends == 0)
		return false;
	drop_outdated(state, service);
	judge(state, service);
	return service->left_backends < left_backends;
}

void start_records_follow(const struct state *state, struct service *service,
			  const struct service_doc *old_doc)
{
	service->listed_peak =
		MAX(service->listed_peak,
		    MAX(service->doc->backend_count, old_doc->backend_count));
	note_left(state, service, old_doc);
	if (service->doc->store_era > old_doc->store_era)
		note_unknown(service, old_doc);
	drop_outdated(state, service);
	drop_oldest(service, 2 * service->listed_peak + SPARE_RECORDS);
	judge(state, service);
}

bool start_record_hear(const struct state *state, struct service *service,
		       const struct left_start *heard)
{
	const struct start_record *record = find(service, &heard->start);
	const struct backend_doc *listed;
	uint32_t index;

	if (record && record->version >= heard->version)
		return false;
	if (!find_listed(service->doc, &heard->start, &index))
		return false;
	listed = &service->doc->backends[index];
	if (!has_history(listed) ||
	    service->backends[index].alive_version >= heard->version ||
	    written_since(state, listed, heard->version))
		return false;
	note(service, &heard->start, heard->version);
	judge(state, service);
	return true;
}

const struct start_record *start_record_left(const struct service *service,
					     const struct backend_doc *listed)
{
	return has_history(listed) ? find(service, &listed->start) : NULL;
}

/* Return: whether it is known when the entry was written. */
static bool has_history(const struct backend_doc *listed)
{
	return start_named(&listed->start) && listed->written_version != 0;
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

/*
 * Notes the starts that the new document lacks, and those that it lists as
 * ready in a state from before they drained.
 */
static void note_left(const struct state *state, struct service *service,
		      const struct service_doc *old_doc)
{
	GHashTable *listed = index_by_start(service->doc);
	const struct backend_doc *before;
	const struct backend_doc *after;
	uint32_t i;

	for (i = 0; i < old_doc->backend_count; i++) {
		before = &old_doc->backends[i];
		if (!has_history(before))
			continue;
		after = g_hash_table_lookup(listed, &before->start);
		if (!after)
			note(service, &before->start, service->doc->version);
		else if (before->draining && !after->draining &&
			 !written_since(state, after, before->written_version))
			note(service, &before->start, before->written_version);
	}
	g_hash_table_unref(listed);
}

/*
 * Notes the starts that were in no document of the era before: they may have
 * come and ended between two of them.
 */
static void note_unknown(struct service *service,
			 const struct service_doc *old_doc)
{
	GHashTable *known = index_by_start(old_doc);
	const struct backend_doc *listed;
	uint32_t i;

	for (i = 0; i < service->doc->backend_count; i++) {
		listed = &service->doc->backends[i];
		if (has_history(listed) &&
		    !g_hash_table_contains(known, &listed->start))
			note(service, &listed->start, old_doc->version);
	}
	g_hash_table_unref(known);
}

/* Notes that a start had left in the state of a version. */
static void note(struct service *service, const struct start_id *start,
		 uint64_t version)
{
	struct start_record *record = find_or_add(service, start);

	record->noted = ++service->start_notes;
	record->version = MAX(record->version, version);
}

/*
 * Return: whether an entry is known to have been written after the state of a
 * version. Within an era revisions say so; in a later one, an entry that was
 * not written in that era is one of the copy.
 */
static bool written_since(const struct state *state,
			  const struct backend_doc *listed, uint64_t version)
{
	uint64_t era = doc_version_era(listed->written_version);
	uint64_t seen_era = doc_version_era(version);

	if (era == seen_era)
		return listed->written_version > version;
	return era > seen_era && written_in_era(state, listed);
}

/* Return: whether an entry is known to have been written in the newest era. */
static bool written_in_era(const struct state *state,
			   const struct backend_doc *listed)
{
	uint64_t begun_version = state->era_begun_version;

	return listed->written_version > begun_version &&
	       doc_version_era(listed->written_version) ==
		       doc_version_era(begun_version);
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

/* Return: the record of a start, or NULL. */
static struct start_record *find(const struct service *service,
				 const struct start_id *start)
{
	if (!service->start_records)
		return NULL;
	return g_hash_table_lookup(service->start_records, start);
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
static void drop_outdated(const struct state *state, struct service *service)
{
	const struct backend_doc *listed;
	const struct start_record *record;
	uint32_t i;

	for (i = 0; i < service->doc->backend_count; i++) {
		listed = &service->doc->backends[i];
		record = find(service, &listed->start);
		if (record && written_since(state, listed, record->version))
			g_hash_table_remove(service->start_records,
					    &listed->start);
	}
}

static void judge(const struct state *state, struct service *service)
{
	const struct backend_doc *listed;
	struct backend *backend;
	uint32_t i;

	service->left_backends = 0;
	for (i = 0; i < service->doc->backend_count; i++) {
		listed = &service->doc->backends[i];
		backend = &service->backends[i];
		backend->left = start_record_left(service, listed) != NULL;
		if (has_history(listed) && written_in_era(state, listed))
			backend->alive_version = listed->written_version;
		service->left_backends += backend->left;
	}
}

/* Return: whether the start is listed; then @index is that of its entry. */
static bool find_listed(const struct service_doc *doc,
			const struct start_id *start, uint32_t *index)
{
	uint32_t i;

	for (i = 0; i < doc->backend_count; i++) {
		if (!start_equal(&doc->backends[i].start, start))
			continue;
		*index = i;
		return true;
	}
	return false;
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
