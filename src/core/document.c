#include "core/document.h"

struct service_doc *service_doc_ref(struct service_doc *doc)
{
	g_atomic_int_inc(&doc->refs);
	return doc;
}

void service_doc_unref(struct service_doc *doc)
{
	if (!doc || !g_atomic_int_dec_and_test(&doc->refs))
		return;
	g_free(doc->text);
	g_free(doc->backends);
	g_free(doc->routes);
	g_free(doc);
}

uint32_t service_doc_slots(const struct service_doc *doc)
{
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < doc->backend_count; i++)
		slots += doc->backends[i].capacity_slots;
	return slots;
}

uint32_t service_doc_floor_slots(const struct service_doc *doc)
{
	switch (doc->floor.kind) {
	case FLOOR_SLOTS:
		return doc->floor.slots;
	case FLOOR_PERCENT:
		return (service_doc_slots(doc) * doc->floor.percent + 99) / 100;
	}
	return service_doc_slots(doc);
}

uint32_t instance_cpu_permille(const struct instance_doc *instance)
{
	return instance->self_report.cpu_permille > 0 ?
		       instance->self_report.cpu_permille :
		       PERMILLE_ONE;
}

bool instance_self_report_equal(const struct instance_self_report *a,
				const struct instance_self_report *b)
{
	return a->cpu_permille == b->cpu_permille && a->aside == b->aside &&
	       a->platform == b->platform;
}

bool settings_instance_list_published(const struct settings *settings)
{
	return settings->platform_kind == PLATFORM_DOCUMENTS &&
	       settings->seed_count == 0;
}
