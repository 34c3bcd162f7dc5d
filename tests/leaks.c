/**
 * @file leaks.c
 * Leak checker: h2o keeps freed buffers in a list of each thread and does not
 * give them back when a thread ends.
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
