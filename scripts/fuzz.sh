#!/usr/bin/env bash
# Builds the libFuzzer targets with clang and runs each for a bounded time.
set -euo pipefail
seconds=${FUZZ_SECONDS:-30}
CC=clang CXX=clang++ cmake -S . -B build-fuzz -G Ninja -DLABURNUM_FUZZ=ON -DLABURNUM_BUILD_TESTS=OFF \
  -DLABURNUM_BUILD_BENCH=OFF >/dev/null
ninja -C build-fuzz fuzz_frames fuzz_contract
for target in wire/fuzz_frames contract/fuzz_contract; do
  "build-fuzz/$target" -seed=1 -max_total_time="$seconds" -max_len=4096
done
