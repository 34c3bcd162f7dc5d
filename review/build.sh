#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, into target/review/.
# Run it after the build of the deploy file, from anywhere.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -g -O2 -Wall -Wextra -pthread"
glib="$(pkg-config --cflags --libs glib-2.0)"
for case in review/standin/case_*.c; do
	name="$(basename "$case" .c)"
	${CC:-gcc} $flags -o "target/review/$name" "$case" \
		review/standin/rig.c standin/line_members.c $glib -lm
done
