#include "duty/config_source.h"

#include "duty/config_source_http.h"
#include "platform/store_source.h"

/**
 * struct config_source - client of one kind of platform
 * @kind: which member of the union is valid
 * @documents: with PLATFORM_DOCUMENTS, owned
 * @store: with PLATFORM_STORE, owned
 */
struct config_source {
	enum platform_kind kind;
	union {
		struct documents_source *documents;
		struct store_source *store;
	};
};

struct config_source *config_source_new(const struct settings *settings,
					GError **error)
{
	struct config_source *source = g_new0(struct config_source, 1);
	bool made = false;

	source->kind = (enum platform_kind)settings->platform_kind;
	switch (source->kind) {
	case PLATFORM_DOCUMENTS:
		source->documents = documents_source_new(settings, error);
		made = source->documents != NULL;
		break;
	case PLATFORM_STORE:
		source->store = store_source_new(settings, error);
		made = source->store != NULL;
		break;
	}
	if (made)
		return source;
	g_free(source);
	return NULL;
}

void config_source_free(struct config_source *source)
{
	if (!source)
		return;
	switch (source->kind) {
	case PLATFORM_DOCUMENTS:
		documents_source_free(source->documents);
		break;
	case PLATFORM_STORE:
		store_source_free(source->store);
		break;
	}
	g_free(source);
}

bool config_source_begin(struct config_source *source,
			 const struct source_request *request)
{
	switch (source->kind) {
	case PLATFORM_DOCUMENTS:
		return documents_source_begin(source->documents, request);
	case PLATFORM_STORE:
		return store_source_begin(source->store, request);
	}
	return false;
}

bool config_source_wait(struct config_source *source, uint64_t deadline_us,
			struct source_answer *answer)
{
	switch (source->kind) {
	case PLATFORM_DOCUMENTS:
		return documents_source_wait(source->documents, deadline_us,
					     answer);
	case PLATFORM_STORE:
		return store_source_wait(source->store, deadline_us, answer);
	}
	return false;
}

uint64_t config_source_restate(struct config_source *source,
			       const struct config_offer *held)
{
	switch (source->kind) {
	case PLATFORM_DOCUMENTS:
		/* Its publisher gives each document its version. */
		return 0;
	case PLATFORM_STORE:
		return store_source_restate(source->store, held);
	}
	return 0;
}

void config_source_wake(struct config_source *source)
{
	switch (source->kind) {
	case PLATFORM_DOCUMENTS:
		documents_source_wake(source->documents);
		break;
	case PLATFORM_STORE:
		store_source_wake(source->store);
		break;
	}
}

void source_answer_clear(struct source_answer *answer)
{
	g_clear_error(&answer->error);
	g_clear_pointer(&answer->text, g_byte_array_unref);
}
