#ifndef CODEC_DOCUMENT_JSON_H
#define CODEC_DOCUMENT_JSON_H

/**
 * DOC: JSON with comments: settings, service documents, the platform's lists
 *
 * Errors are of SETTINGS_ERROR and read "LABEL: PATH: reason; remedy".
 */

#include "core/document.h"
#include "core/error.h"
#include "core/peer.h"
#include "core/routing.h"

/**
 * service_doc_parse() - read and check a service document
 * @label: file name or key, for errors
 * @text: the document, need not be NUL-terminated
 * @text_bytes: its length
 * @version: version the platform gave it
 * @error: set on failure
 *
 * Return: a document with one reference, its hash and text set, or NULL.
 */
struct service_doc *service_doc_parse(const char *label, const char *text,
				      size_t text_bytes, uint64_t version,
				      GError **error);

/**
 * routing_table_parse() - read and check a routing table
 * @label: file name or key, for errors
 * @text: the table, need not be NUL-terminated
 * @text_bytes: its length
 * @version: version the platform gave it
 * @error: set on failure
 *
 * Return: a table with one reference, or NULL.
 */
struct routing_table *routing_table_parse(const char *label, const char *text,
					  size_t text_bytes, uint64_t version,
					  GError **error);

/**
 * settings_parse() - read and check a settings file's text
 * @label: file name, for errors
 * @text: the text, need not be NUL-terminated
 * @text_bytes: its length
 * @out: filled on success
 * @error: set on failure
 *
 * Return: whether it is accepted.
 */
bool settings_parse(const char *label, const char *text, size_t text_bytes,
		    struct settings *out, GError **error);

/**
 * settings_load() - read and check a settings file
 * @path: the file
 * @out: filled on success
 * @error: set on failure
 *
 * Return: whether it is accepted.
 */
bool settings_load(const char *path, struct settings *out, GError **error);

/**
 * instances_parse() - read and check the platform's list of instances
 * @text: the text
 * @text_bytes: its length
 * @version: the platform's version of the list on success
 * @list: owned array of struct instance_doc on success
 * @error: set on failure
 *
 * Return: whether it is accepted.
 */
bool instances_parse(const char *text, size_t text_bytes, uint64_t *version,
		     GArray **list, GError **error);

/**
 * struct index_entry - one document in the platform's index
 * @key: service
 * @version: its version
 */
struct index_entry {
	struct name key;
	uint64_t version;
};

/**
 * index_parse() - read and check the platform's index of documents
 * @text: the text
 * @text_bytes: its length
 * @version: the platform's version of the index on success
 * @list: owned array of struct index_entry on success
 * @error: set on failure
 *
 * Return: whether it is accepted.
 */
bool index_parse(const char *text, size_t text_bytes, uint64_t *version,
		 GArray **list, GError **error);

#endif
