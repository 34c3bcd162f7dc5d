#!/bin/sh
# Builds the stand-ins that the scripts of this review start. Run it after the
# build of the deploy file; what it makes lies in target/review-2/.
set -e
cd "$(dirname "$0")/.."
modules="libh2o-evloop libzmq glib-2.0 jansson msgpack libxxhash libsodium
	sqlite3 libpq libcurl openssl"
out=target/review-2
mkdir -p $out
for source in review/standin-2/*.c
do
	${CC:-gcc} -std=gnu11 -g -O2 -Wall -Wextra -Werror -DH2O_USE_LIBUV=0 \
		-pthread $(pkg-config --cflags $modules) \
		-c -o "$out/$(basename "$source" .c).o" "$source"
done
${CC:-gcc} -pthread -o $out/rig $out/*.o target/libhyssopmount.a \
	$(pkg-config --libs $modules) -lm
