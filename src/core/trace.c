#include "core/trace.h"

bool trace_is_routine(const struct trace_record *record)
{
	switch (record->kind) {
	case TRACE_GRANTED:
		return record->tries == 0;
	case TRACE_ENDED:
		return record->ended.kind == EVIDENCE_OK;
	case TRACE_REFUSED:
		return false;
	}
	return false;
}

const char *trace_follow_text(enum trace_follow follow)
{
	switch (follow) {
	case FOLLOW_ANSWER:
		return "answer";
	case FOLLOW_RETRY:
		return "retry";
	case FOLLOW_REFUSAL:
		return "refusal";
	case FOLLOW_NOTHING:
		return "nothing";
	case FOLLOW_CHOOSE_AGAIN:
		return "choose_again";
	}
	return "";
}
