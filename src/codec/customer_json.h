#ifndef CODEC_CUSTOMER_JSON_H
#define CODEC_CUSTOMER_JSON_H

/**
 * DOC: customers in the routing table's document
 */

#include "codec/json_fields.h"
#include "core/customer.h"

/**
 * customers_read() - read the list of customers of a routing table
 * @node: root object of the document
 * @out: set to an owned table, also on failure; NULL if there is no list
 * @error: set on failure; its text has no hash of a key
 *
 * Return: true when the list is absent or valid.
 */
bool customers_read(const struct json_node *node, struct customer_table **out,
		    GError **error);

#endif
