#!/bin/sh
# Builds the stand-ins of the scripts of this review into build/review-3/.
set -e
cd "$(dirname "$0")/.."
make -s all
modules="libh2o-evloop libzmq glib-2.0 jansson msgpack libxxhash libsodium \
sqlite3 libpq libcurl openssl"
mkdir -p build/review-3
for program in review/lab-3/case_*.c; do
	name=$(basename "$program" .c)
	# shellcheck disable=SC2046
	${CC:-gcc} -std=gnu11 -g -O2 -Wall -Wextra -Werror -DH2O_USE_LIBUV=0 \
		-pthread $(pkg-config --cflags $modules) \
		-o "build/review-3/$name" "$program" review/lab-3/lab.c \
		review/lab-3/member.c build/release/libhyssopmount.a \
		$(pkg-config --libs $modules) -lm -pthread
done
