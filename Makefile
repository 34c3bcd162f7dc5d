# hyssopmount: build, run and check.
#
#	make run	installs what is missing, builds, starts one instance
#	make demo	a short scenario over real sockets
#	make check	all tests, with sanitizers
#	make check-upgrade	this build beside the one in production
#	make traces	records the traces under tests/traces anew
#	make lint	formatter and linter
#	make format	rewrites the sources in house format

PACKAGES = libh2o-evloop-dev libzmq3-dev libglib2.0-dev libjansson-dev \
	libmsgpack-dev libxxhash-dev libsodium-dev libsqlite3-dev libpq-dev \
	libcurl4-openssl-dev libssl-dev check pkg-config
MODULES = libh2o-evloop libzmq glib-2.0 jansson msgpack libxxhash libsodium \
	sqlite3 libpq libcurl openssl

CC ?= gcc
BUILD ?= build/release
CFLAGS_BASE = -std=gnu11 -g -O2 -Wall -Wextra -Werror -DH2O_USE_LIBUV=0 \
	-pthread
SANITIZE = -fsanitize=address,undefined -fno-sanitize-recover=undefined \
	-fno-omit-frame-pointer
CFLAGS_ALL = $(CFLAGS_BASE) $(CFLAGS) \
	$(shell pkg-config --cflags $(MODULES) check)
LIBS = $(shell pkg-config --libs $(MODULES)) -lm -pthread
CHECK_LIBS = $(shell pkg-config --libs check)

SOURCES = $(wildcard core/*.c src/*.c platform/*.c standin/*.c)
OBJECTS = $(SOURCES:%.c=$(BUILD)/%.o)
LIBRARY = $(BUILD)/libhyssopmount.a
BINARY = $(BUILD)/hyssopmount
TEST_SUPPORT = $(patsubst %.c,$(BUILD)/%.o,\
	$(filter-out tests/test_%,$(wildcard tests/*.c)))
TEST_SOURCES = $(wildcard tests/test_*.c)
TESTS = $(TEST_SOURCES:%.c=$(BUILD)/%)
FORMATTED = $(wildcard core/*.[ch] src/*.[ch] platform/*.[ch] standin/*.[ch] \
	tests/*.[ch])

all: $(BINARY)
	@ln -sf $(BINARY) hyssopmount

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS_ALL) -MMD -MP -c -o $@ $<

$(LIBRARY): $(filter-out $(BUILD)/src/main.o,$(OBJECTS))
	@rm -f $@
	@ar rcs $@ $^

$(BINARY): $(BUILD)/src/main.o $(LIBRARY)
	$(CC) $(CFLAGS_ALL) -o $@ $(BUILD)/src/main.o $(LIBRARY) $(LIBS)

$(BUILD)/tests/test_%: $(BUILD)/tests/test_%.o $(TEST_SUPPORT) $(LIBRARY)
	$(CC) $(CFLAGS_ALL) -o $@ $< $(TEST_SUPPORT) $(LIBRARY) \
		$(CHECK_LIBS) $(LIBS)

# The program as the users' platform builds it: everything lies in target/.
deploy:
	@$(MAKE) --no-print-directory -s BUILD=target \
		target/hyssopmount

.PRECIOUS: $(BUILD)/tests/%.o

packages:
	@for p in $(PACKAGES); do \
		dpkg -s $$p >/dev/null 2>&1 || missing="$$missing $$p"; \
	done; \
	if [ -n "$$missing" ]; then \
		apt-get update -qq && apt-get install -y -qq $$missing; \
	fi

run: packages
	@$(MAKE) --no-print-directory -s all
	@./hyssopmount serve

demo: packages
	@$(MAKE) --no-print-directory -s all
	@./hyssopmount demo

tests: $(TESTS)

check: packages
	@$(MAKE) --no-print-directory -s BUILD=build/san \
		CFLAGS="$(SANITIZE)" check-run

check-run: $(BINARY) tests
	@HYSSOPMOUNT=$(BINARY) tests/run $(TESTS)

# The build that deploy/system.toml names as the one in production, from the
# history, serves beside this one.
PRODUCTION = $(shell sed -n 's/^production = "\(.*\)"/\1/p' deploy/system.toml)
PREVIOUS = build/previous-$(PRODUCTION)

$(PREVIOUS)/build/release/hyssopmount:
	@mkdir -p $(PREVIOUS)
	@git archive $(PRODUCTION) | tar -x -C $(PREVIOUS)
	@$(MAKE) --no-print-directory -s -C $(PREVIOUS) \
		build/release/hyssopmount

check-upgrade: $(PREVIOUS)/build/release/hyssopmount \
		$(BUILD)/tests/test_upgrade
	@PREVIOUS_BUILD=$(CURDIR)/$< tests/run $(BUILD)/tests/test_upgrade

# Records tests/traces anew, after a wanted change of behaviour.
traces: $(BUILD)/tests/test_traces
	@mkdir -p tests/traces
	@RECORD_TRACES=1 CK_FORK=no $<

lint:
	tests/platform_names
	clang-format --dry-run -Werror $(FORMATTED)
	@printf '%s\n' $(filter-out tests/%,$(SOURCES)) | \
		xargs -P 8 -n 4 sh -c 'clang-tidy --quiet "$$@" -- \
		$(CFLAGS_ALL) 2>/dev/null || exit 255' lint

format:
	clang-format -i $(FORMATTED)

clean:
	rm -rf build hyssopmount

-include $(OBJECTS:.o=.d) $(wildcard $(BUILD)/tests/*.d)

.PHONY: all deploy packages run demo traces tests check check-run check-upgrade \
	lint format clean
