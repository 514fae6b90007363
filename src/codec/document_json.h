#ifndef CODEC_DOCUMENT_JSON_H
#define CODEC_DOCUMENT_JSON_H

/**
 * DOC: parsing of settings, service documents, routing tables and the
 * platform's lists, which are JSON with comments
 *
 * Errors are in the domain SETTINGS_ERROR and have the form
 * "LABEL: PATH: reason; remedy".
 */

#include "core/document.h"
#include "core/error.h"
#include "core/peer.h"
#include "core/routing.h"

/**
 * service_doc_parse() - parse and check a service document
 * @label: file name or document key, for error messages
 * @text: document text, need not be NUL-terminated
 * @text_bytes: length of @text
 * @version: version that the platform assigned to the document
 * @error: set on failure
 *
 * Return: a new document with one reference that the caller owns and with its
 * hash and a copy of the text, or NULL.
 */
struct service_doc *service_doc_parse(const char *label, const char *text,
				      size_t text_bytes, uint64_t version,
				      GError **error);

/**
 * routing_table_parse() - parse and check a routing table
 * @label: file name or document key, for error messages
 * @text: text of the table, need not be NUL-terminated
 * @text_bytes: length of @text
 * @version: version that the platform assigned to the table
 * @error: set on failure
 *
 * Return: a new table with one reference that the caller owns, or NULL.
 */
struct routing_table *routing_table_parse(const char *label, const char *text,
					  size_t text_bytes, uint64_t version,
					  GError **error);

/**
 * settings_parse() - parse and check the text of a settings file
 * @label: file name, for error messages
 * @text: settings text, need not be NUL-terminated
 * @text_bytes: length of @text
 * @out: settings, unchanged on failure
 * @error: set on failure
 *
 * Return: true when the settings are valid.
 */
bool settings_parse(const char *label, const char *text, size_t text_bytes,
		    struct settings *out, GError **error);

/**
 * settings_load() - read a settings file and parse it
 * @path: path of the file, also the label of errors
 * @out: settings, unchanged on failure
 * @error: set on failure
 *
 * Return: true when the file was read and the settings are valid.
 */
bool settings_load(const char *path, struct settings *out, GError **error);

/**
 * instances_parse() - parse and check the platform's list of instances
 * @text: list text, need not be NUL-terminated
 * @text_bytes: length of @text
 * @version: set to the platform's version of the list on success
 * @list: set on success to an array of struct instance_doc that the caller owns
 * @error: set on failure
 *
 * Return: true when the list is valid.
 */
bool instances_parse(const char *text, size_t text_bytes, uint64_t *version,
		     GArray **list, GError **error);

/**
 * struct index_entry - entry of the platform's index of documents
 * @key: key of the document, the name of its service
 * @version: version of the document
 */
struct index_entry {
	struct name key;
	uint64_t version;
};

/**
 * index_parse() - parse and check the platform's index of documents
 * @text: index text, need not be NUL-terminated
 * @text_bytes: length of @text
 * @version: set to the platform's version of the index on success
 * @list: set on success to an array of struct index_entry that the caller owns
 * @error: set on failure
 *
 * Return: true when the index is valid.
 */
bool index_parse(const char *text, size_t text_bytes, uint64_t *version,
		 GArray **list, GError **error);

#endif
