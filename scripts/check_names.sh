#!/usr/bin/env bash
# Fails if a name of the users' pages stands in code outside platform/ and deploy/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Laburnumbank-|At-Server|"path_prefix"|"target_latency_ms"|"target_gap_ms"|"api_keys"|"max_connections"'
names="$names|/picked|\"retain\"|\"preloaded\"|stale_read|has_more|deletion_pending|cold_remaining_ms|/objects/servers"
if git grep -nE "$names" -- '*.cpp' '*.hpp' ':!platform/'; then
  echo "names of the users' platform belong in platform/"
  exit 1
fi
