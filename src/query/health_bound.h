#ifndef QUERY_HEALTH_BOUND_H
#define QUERY_HEALTH_BOUND_H

/**
 * DOC: Wilson score interval of a proportion, in whole permille
 *
 * The interval is wide when the proportion was observed in few requests. The
 * confidence is given as z, a number of standard deviations, by its square in
 * permille.
 */

#include "core/units.h"

/* Squares of z = 1, 1.645, 2 and 3, in permille. */
#define BOUND_Z_1 UINT64_C(1000)
#define BOUND_Z_1_6 UINT64_C(2706)
#define BOUND_Z_2 UINT64_C(4000)
#define BOUND_Z_3 UINT64_C(9000)

/**
 * share_lower_permille() - lower bound of a proportion
 * @part_requests: requests with the property, at most @all_requests
 * @all_requests: all requests
 * @z_square_permille: square of z, one of BOUND_Z_*
 *
 * Return: the bound in permille; 0 without requests.
 */
uint32_t share_lower_permille(uint32_t part_requests, uint32_t all_requests,
			      uint64_t z_square_permille);

/**
 * share_upper_permille() - upper bound of a proportion
 * @part_requests: requests with the property, at most @all_requests
 * @all_requests: all requests
 * @z_square_permille: square of z, one of BOUND_Z_*
 *
 * Return: the bound in permille; 1000 without requests.
 */
uint32_t share_upper_permille(uint32_t part_requests, uint32_t all_requests,
			      uint64_t z_square_permille);

#endif
