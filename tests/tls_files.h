/** @file tls_files.h A certificate of its own for tests. */
#ifndef TLS_FILES_H
#define TLS_FILES_H

#include "../src/settings.h"
/**
 * Writes a key and a certificate signed by itself into a new directory and
 * names them in @a s.
 */
void tls_files_make(struct settings *s);
void tls_files_remove(const struct settings *s);

#endif
