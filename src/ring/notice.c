#include "ring/notice.h"

#include <errno.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "ring/ring.h"

/**
 * struct notice_board - the board
 * @subjects: ring of uint64_t
 * @woken: the descriptor was made readable and not cleared since, atomic
 * @fd: eventfd
 */
struct notice_board {
	struct ring *subjects;
	gint woken;
	int32_t fd;
};

struct notice_board *notice_board_new(uint32_t room_notices)
{
	struct notice_board *board;
	int32_t fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);

	if (fd < 0)
		return NULL;
	board = g_new0(struct notice_board, 1);
	board->subjects = ring_new(sizeof(uint64_t), room_notices, 0);
	board->fd = fd;
	return board;
}

void notice_board_free(struct notice_board *board)
{
	if (!board)
		return;
	ring_close(board->subjects);
	ring_free(board->subjects);
	close(board->fd);
	g_free(board);
}

int32_t notice_board_fd(const struct notice_board *board)
{
	return board->fd;
}

void notice_post(struct notice_board *board, uint64_t subject)
{
	if (ring_push(board->subjects, &subject) != RING_OK)
		g_warning("notice board: no room for a notice");
	if (!g_atomic_int_compare_and_exchange(&board->woken, 0, 1))
		return;
	if (eventfd_write(board->fd, 1) != 0)
		g_warning("notice board: cannot wake its reader: %s",
			  g_strerror(errno));
}

void notice_begin(struct notice_board *board)
{
	eventfd_t count;

	if (eventfd_read(board->fd, &count) != 0)
		g_debug("notice board: woken for nothing");
	/* Before the notices are taken: a later one wakes the reader again. */
	g_atomic_int_set(&board->woken, 0);
}

bool notice_take(struct notice_board *board, uint64_t *subject)
{
	return ring_pop(board->subjects, subject, 0) == RING_OK;
}

void notice_clear(struct notice_board *board)
{
	uint64_t subject;

	notice_begin(board);
	while (notice_take(board, &subject))
		;
}
