/* Reads a configuration from any of the forms in which operators have one. */
#ifndef NODE_CONFIG_FILE_H
#define NODE_CONFIG_FILE_H

#include "conf/findings.h"

/*
 * Reads the platform's document, a snapshot of release notes, or a release
 * note, which is applied to base; NULL: as the first one. Returns NULL with
 * the faults added to f.
 */
struct config *config_file_read(const struct config *base, const void *data,
				size_t len, struct findings *f);

#endif
