#include "command/start_notice.h"

static uint32_t find_index(const struct service *service,
			   const struct start_id *start);
static uint32_t index_to_replace(struct service *service, struct instant now);

void start_notice_store(struct service *service, const struct start_id *start,
			const struct backend_notice *notice, struct instant now)
{
	struct start_notice *stored;
	uint32_t index;

	if (!start_named(start))
		return;
	index = find_index(service, start);
	if (index == START_NOTICES_MAX) {
		index = index_to_replace(service, now);
		service->start_notices[index] =
			(struct start_notice){ .start = *start };
	}
	stored = &service->start_notices[index];
	stored->notice.draining |= notice->draining;
	stored->notice.pause_until_us =
		MAX(stored->notice.pause_until_us, notice->pause_until_us);
}

const struct backend_notice *start_notice_find(const struct service *service,
					       const struct start_id *start)
{
	uint32_t index = find_index(service, start);

	return index < START_NOTICES_MAX ?
		       &service->start_notices[index].notice :
		       NULL;
}

/*
 * Return: index of the notice of @start, START_NOTICES_MAX when none is stored.
 */
static uint32_t find_index(const struct service *service,
			   const struct start_id *start)
{
	uint32_t i;

	if (!start_named(start))
		return START_NOTICES_MAX;
	for (i = 0; i < START_NOTICES_MAX; i++) {
		if (start_equal(&service->start_notices[i].start, start))
			break;
	}
	return i;
}

/* Return: index of the first notice that has expired, else of the oldest. */
static uint32_t index_to_replace(struct service *service, struct instant now)
{
	const struct backend_notice *notice;
	uint32_t oldest = service->start_notice_next;
	uint32_t i;

	for (i = 0; i < START_NOTICES_MAX; i++) {
		notice = &service->start_notices[i].notice;
		if (!notice->draining && now.mono_us >= notice->pause_until_us)
			return i;
	}
	service->start_notice_next = (oldest + 1) % START_NOTICES_MAX;
	return oldest;
}
