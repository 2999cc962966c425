#!/usr/bin/env bash
# Starts a platform, two model engines, a plain service, an agent beside each
# and one entry; streams a completion, books a visit, and changes a contract.
set -euo pipefail
build=$1
work=$(mktemp -d)
# shellcheck source=scripts/lib.sh
. "$(dirname "$0")/lib.sh"

standin platform platform
standin engine-1 engine --step-us 5000
standin engine-2 engine --step-us 5000
standin visits service
daemon agent-1 agent a "{\"kind\":\"engine\",\"address\":\"$(address engine-1)\",\"offers\":[\"garden@1\"]}"
daemon agent-2 agent b "{\"kind\":\"engine\",\"address\":\"$(address engine-2)\",\"offers\":[\"garden@1\"]}"
daemon agent-3 agent a "{\"kind\":\"plain\",\"address\":\"$(address visits)\",\"offers\":[\"visits\"]}"
daemon entry-1 entry a
export LABURNUM_PLATFORM
LABURNUM_PLATFORM=$(address platform)
ctl() { "$build/apps/laburnumctl" --by demo "$@"; }
agents_linked() { curl -s "http://$(operators entry-1)/status" | grep -q '"agents":3'; }
await 10 agents_linked
url="http://$(callers entry-1)"
key="Authorization: Bearer garden-key"
label="sha256:$(printf garden-key | openssl dgst -sha256 -r | cut -d' ' -f1)"

echo "== a contract, applied and in force everywhere"
echo "{ \"account\": \"pomoc\", \"share\": 2, \"models\": [{ \"name\": \"garden\" }], \"keys\": [\"$label\"] }" >"$work/contract.json"
ctl contract apply "$work/contract.json"
ctl rollout --wait contract pomoc

echo "== a streamed completion"
curl -sN "$url/v1/completions" -H "$key" -d '{"model":"garden","prompt":"When do I prune roses?","max_tokens":5,"stream":true}'

echo "== the contract lists no service yet, so a booking is refused, with the verdict"
book() { curl -s -i "$url/services/visits/book" -H "$key" -H "Idempotency-Key: visit-7" -d '{"visit":7}' | tr -d '\r'; }
book | grep -iE '^HTTP|verdict|error'

echo "== the contract is changed; the booking runs once, a resend gets the same answer"
ctl contract get pomoc | sed 's/"share":2/"share":2,"services":["visits"]/' >"$work/changed.json"
ctl contract apply "$work/changed.json"
ctl rollout --wait contract pomoc
book | grep -iE '^HTTP|verdict|^\{'
book | grep -iE '^HTTP|replayed|verdict|^\{'
curl -s "http://$(address visits)/standin/counts"
echo
runs=$(curl -s "http://$(address visits)/standin/counts" | grep -o '"runs":[0-9]*')
[ "$runs" = '"runs":1' ] || { echo "the booking ran other than once: $runs"; exit 1; }

echo "== status and audit"
ctl status
ctl audit

echo "== a graceful stop of the entry"
kill -TERM "$(cat "$work/entry-1.pid")"
entry_gone() { ! kill -0 "$(cat "$work/entry-1.pid")" 2>/dev/null; }
await 10 entry_gone
echo "demo: good"
