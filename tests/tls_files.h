/** @file tls_files.h Self-signed certificate for tests. */
#ifndef TLS_FILES_H
#define TLS_FILES_H

#include "../src/settings.h"
/**
 * Writes a key and a self-signed certificate to a new directory and sets their
 * paths in @a s.
 */
void tls_files_make(struct settings *s);
/** Removes the files and their directory. */
void tls_files_remove(const struct settings *s);

#endif
