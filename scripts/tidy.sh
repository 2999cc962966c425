#!/usr/bin/env bash
# Runs clang-tidy on the given files. A file that was clean before, with the same headers, rules and
# linter, is not looked at again; the record is kept outside the build so that a fresh clone has it.
set -euo pipefail
build=$1
shift
cache=${XDG_CACHE_HOME:-$HOME/.cache}/laburnum-tidy
mkdir -p "$cache"
common=$( (clang-tidy --version; cat .clang-tidy cmake/*.cmake; git ls-files '*.hpp' | xargs sha256sum; dpkg-query -W libboost1.81-dev liblog4cplus-dev) | sha256sum)
check() {
  local key
  key=$(echo "$common $(sha256sum <"$2")" | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  clang-tidy -p "$1" --quiet "$2" && touch "$cache/$key"
}
export -f check
export common cache
printf '%s\n' "$@" | xargs -P 6 -I{} bash -c 'check "$0" "$1"' "$build" {}
