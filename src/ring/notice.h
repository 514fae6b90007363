#ifndef RING_NOTICE_H
#define RING_NOTICE_H

/**
 * DOC: notice board
 *
 * A duty with one small ring for each of many subjects cannot wait on all of
 * them. Such rings are announced to a board: the first item after the ring was
 * found empty puts the ring's subject there and makes the board's descriptor
 * readable, so that the duty can wait in an event loop.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct notice_board;

/**
 * notice_board_new() - make a board
 * @room_notices: how many notices fit, more than 0
 *
 * Return: a board to be freed with notice_board_free(), NULL when the process
 * has no descriptor left.
 */
struct notice_board *notice_board_new(uint32_t room_notices);

/**
 * notice_board_free() - free a board that no open ring is announced to
 * @board: the board, or NULL
 */
void notice_board_free(struct notice_board *board);

/**
 * notice_board_fd() - the descriptor to wait for
 * @board: the board
 *
 * Return: readable while notices may be there.
 */
int32_t notice_board_fd(const struct notice_board *board);

/**
 * notice_post() - put a subject on the board
 * @board: the board
 * @subject: the subject
 */
void notice_post(struct notice_board *board, uint64_t subject);

/**
 * notice_begin() - make the descriptor unreadable before notices are taken
 * @board: the board
 */
void notice_begin(struct notice_board *board);

/**
 * notice_take() - take the oldest notice
 * @board: the board
 * @subject: filled on success
 *
 * Return: false when there is none.
 */
bool notice_take(struct notice_board *board, uint64_t *subject);

/**
 * notice_clear() - take all notices, where it is known whom they are for
 * @board: the board
 */
void notice_clear(struct notice_board *board);

#endif
