/**
 * @file leaks.c
 * Settings of the leak sanitizer: h2o keeps freed buffers in a list per thread
 * and does not free them when the thread ends, so they are not reported.
 */
const char *__lsan_default_suppressions(void);
const char *__lsan_default_options(void);

const char *__lsan_default_suppressions(void)
{
	return "leak:h2o_mem_alloc_recycle\n";
}

const char *__lsan_default_options(void)
{
	return "print_suppressions=0";
}
