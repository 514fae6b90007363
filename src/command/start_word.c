#include "command/start_word.h"

static uint32_t index_of(const struct service *service,
			 const struct start_id *start);
static uint32_t index_for(struct service *service, struct instant now);

void start_word_keep(struct service *service, const struct start_id *start,
		     const struct backend_word *word, struct instant now)
{
	struct start_word *kept;
	uint32_t index;

	if (!start_named(start))
		return;
	index = index_of(service, start);
	if (index == START_WORDS_MAX) {
		index = index_for(service, now);
		service->start_words[index] =
			(struct start_word){ .start = *start };
	}
	kept = &service->start_words[index];
	kept->word.draining |= word->draining;
	kept->word.pause_until_us =
		MAX(kept->word.pause_until_us, word->pause_until_us);
}

const struct backend_word *start_word_find(const struct service *service,
					   const struct start_id *start)
{
	uint32_t index = index_of(service, start);

	return index < START_WORDS_MAX ? &service->start_words[index].word :
					 NULL;
}

/* Return: START_WORDS_MAX when nothing is kept of it. */
static uint32_t index_of(const struct service *service,
			 const struct start_id *start)
{
	uint32_t i;

	if (!start_named(start))
		return START_WORDS_MAX;
	for (i = 0; i < START_WORDS_MAX; i++) {
		if (start_equal(&service->start_words[i].start, start))
			break;
	}
	return i;
}

/* One whose word is over, else the oldest. */
static uint32_t index_for(struct service *service, struct instant now)
{
	const struct backend_word *word;
	uint32_t oldest = service->start_word_next;
	uint32_t i;

	for (i = 0; i < START_WORDS_MAX; i++) {
		word = &service->start_words[i].word;
		if (!word->draining && now.mono_us >= word->pause_until_us)
			return i;
	}
	service->start_word_next = (oldest + 1) % START_WORDS_MAX;
	return oldest;
}
