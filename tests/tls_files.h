/** @file tls_files.h A certificate of its own for tests. */
#ifndef TLS_FILES_H
#define TLS_FILES_H

#include <stdbool.h>

/** Writes a key and a certificate signed by itself, PEM. */
bool tls_files_write(const char *certificate, const char *key);

#endif
