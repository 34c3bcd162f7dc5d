/** @file tls_files.c Creates a self-signed certificate. */
#include "tls_files.h"

#include <check.h>
#include <glib/gstdio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <stdio.h>

#define VALID_SECONDS 3600

static X509 *certificate_of(EVP_PKEY *key)
{
	X509 *x = X509_new();
	X509_NAME *name = X509_get_subject_name(x);

	ASN1_INTEGER_set(X509_get_serialNumber(x), 1);
	X509_gmtime_adj(X509_getm_notBefore(x), -VALID_SECONDS);
	X509_gmtime_adj(X509_getm_notAfter(x), VALID_SECONDS);
	X509_set_pubkey(x, key);
	X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
				   (const unsigned char *)"localhost", -1, -1,
				   0);
	X509_set_issuer_name(x, name);
	X509_sign(x, key, EVP_sha256());
	return x;
}

static bool write_files(const char *certificate, const char *key)
{
	EVP_PKEY *pair = EVP_EC_gen("P-256");
	X509 *x = certificate_of(pair);
	FILE *out = fopen(certificate, "we");
	bool ok = out && PEM_write_X509(out, x);

	if (out)
		fclose(out);
	out = fopen(key, "we");
	ok = ok && out &&
	     PEM_write_PrivateKey(out, pair, NULL, NULL, 0, NULL, NULL);
	if (out)
		fclose(out);
	X509_free(x);
	EVP_PKEY_free(pair);
	return ok;
}

void tls_files_make(struct settings *s)
{
	char *directory = g_dir_make_tmp("tls-XXXXXX", NULL);

	ck_assert_ptr_nonnull(directory);
	g_snprintf(s->tls_certificate, PATH_BYTES, "%s/c.pem", directory);
	g_snprintf(s->tls_key, PATH_BYTES, "%s/k.pem", directory);
	ck_assert(write_files(s->tls_certificate, s->tls_key));
	g_free(directory);
}

void tls_files_remove(const struct settings *s)
{
	char *directory = g_path_get_dirname(s->tls_key);

	g_remove(s->tls_certificate);
	g_remove(s->tls_key);
	g_rmdir(directory);
	g_free(directory);
}
