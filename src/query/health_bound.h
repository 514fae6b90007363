#ifndef QUERY_HEALTH_BOUND_H
#define QUERY_HEALTH_BOUND_H

/**
 * DOC: Wilson score bounds of a share, in whole permille
 *
 * A share seen in few requests says little; its bounds say how little. @z is
 * the number of standard deviations, given as its square in permille.
 */

#include "core/units.h"

#define BOUND_Z_1 UINT64_C(1000)
#define BOUND_Z_1_6 UINT64_C(2706)
#define BOUND_Z_2 UINT64_C(4000)
#define BOUND_Z_3 UINT64_C(9000)

/**
 * share_lower_permille() - lower bound of a share
 * @part_requests: requests that count
 * @all_requests: all requests
 * @z_square_permille: confidence
 *
 * Return: 0 without requests.
 */
uint32_t share_lower_permille(uint32_t part_requests, uint32_t all_requests,
			      uint64_t z_square_permille);

/**
 * share_upper_permille() - upper bound of a share
 * @part_requests: requests that count
 * @all_requests: all requests
 * @z_square_permille: confidence
 *
 * Return: 1000 without requests.
 */
uint32_t share_upper_permille(uint32_t part_requests, uint32_t all_requests,
			      uint64_t z_square_permille);

#endif
