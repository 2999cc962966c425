#!/usr/bin/env bash
# Failure tests of running daemons; usage: live.sh BUILD SOURCE CASE.
set -euo pipefail
build=$1
source=$2
work=$(mktemp -d)
# shellcheck source=scripts/lib.sh
. "$source/scripts/lib.sh"
export LABURNUM_PLATFORM
key="Authorization: Bearer test-key"

fail() {
  echo "FAILED: $*"
  tail -n 5 "$work"/*.log
  exit 1
}

# fixture ENTRIES: a platform, two engines, a service, their agents, entries,
# and a contract that allows all of it.
fixture() {
  standin platform platform
  LABURNUM_PLATFORM=$(address platform)
  standin engine-1 engine --step-us 20000
  standin engine-2 engine --step-us 20000
  standin visits service
  daemon agent-1 agent a "{\"kind\":\"engine\",\"address\":\"$(address engine-1)\",\"offers\":[\"m@1\"]}"
  daemon agent-2 agent b "{\"kind\":\"engine\",\"address\":\"$(address engine-2)\",\"offers\":[\"m@1\"]}"
  daemon agent-3 agent a "{\"kind\":\"plain\",\"address\":\"$(address visits)\",\"offers\":[\"visits\"]}"
  for i in $(seq "$1"); do daemon "entry-$i" entry a; done
  label="sha256:$(printf test-key | openssl dgst -sha256 -r | cut -d' ' -f1)"
  echo "{\"account\":\"t\",\"models\":[{\"name\":\"m\"}],\"services\":[\"visits\"],\"keys\":[\"$label\"]}" >"$work/contract.json"
  "$build/apps/laburnumctl" contract apply "$work/contract.json" >/dev/null
  "$build/apps/laburnumctl" rollout --wait contract t >/dev/null
  for i in $(seq "$1"); do await 20 agents_are "entry-$i" 3; done
}

agents_are() { curl -s "http://$(operators "$1")/status" | grep -q "\"agents\":$2"; }
state_is() { curl -s "http://$(operators "$1")/status" | grep -q "\"state\":\"$2\""; }
gone() { ! kill -0 "$(cat "$work/$1.pid")" 2>/dev/null; }
send_signal() { kill "-$2" "$(cat "$work/$1.pid")"; }
runs() { curl -s "http://$(address "$1")/standin/counts" | grep -o '"runs":[0-9]*' | cut -d: -f2; }
running_at() { curl -s "http://$(address "$1")/standin/counts" | grep -q '"running":[1-9]'; }
book() { curl -s -i -m 30 "http://$(callers "$1")/services/visits/book${3:-}" -H "$key" -H "Idempotency-Key: $2" -d "{\"visit\":\"$2\"}" | tr -d '\r'; }
booked() { book "$@" | grep -q '^HTTP/1.1 201'; }

# stream ENTRY PROMPT TOKENS FILE: starts a completion in the background.
stream() {
  curl -sN -m 60 "http://$(callers "$1")/v1/completions" -H "$key" \
    -d "{\"model\":\"m\",\"prompt\":\"$2\",\"max_tokens\":$3,\"stream\":true}" >"$work/$4" &
  echo $! >"$work/$4.pid"
}
finished() { ! kill -0 "$(cat "$work/$1.pid")" 2>/dev/null; }
words() { grep -o '"text":"w[^"]*"' "$work/$1"; }
whole() { grep -q '^data: \[DONE\]' "$work/$1" && [ "$(words "$1" | wc -l)" -eq "$2" ]; }
server_of_stream() { for i in 1 2; do if running_at "engine-$i"; then echo "$i"; fi; done | head -1; }
some_engine_runs() { [ -n "$(server_of_stream)" ]; }

# An entry and an agent are stopped with streams in progress: none is cut,
# and no new work starts on what leaves.
drain() {
  fixture 1
  for i in 1 2 3 4; do stream entry-1 "drain $i" 60 "s$i"; done
  await 10 running_at engine-1
  await 10 running_at engine-2
  send_signal agent-1 TERM
  await 5 state_is agent-1 not_ready
  before=$(runs engine-1)
  for i in 5 6 7; do stream entry-1 "drain $i" 10 "s$i"; done
  send_signal entry-1 TERM
  for i in 1 2 3 4 5 6 7; do await 30 finished "s$i"; done
  for i in 1 2 3 4; do whole "s$i" 60 || fail "stream $i was cut"; done
  for i in 5 6 7; do whole "s$i" 10 || fail "stream $i was cut"; done
  [ "$(runs engine-1)" -eq "$before" ] || fail "new work started on a leaving server"
  await 10 gone agent-1
  await 10 gone entry-1
}

# An agent is killed in the middle of a stream: the answer goes on elsewhere
# and is the same as one that was not disturbed.
kill_agent() {
  fixture 1
  stream entry-1 "the same prompt" 60 undisturbed
  await 30 finished undisturbed
  whole undisturbed 60 || fail "the undisturbed answer is not whole"
  stream entry-1 "the same prompt" 60 disturbed
  await 10 some_engine_runs
  sleep 0.3
  send_signal "agent-$(server_of_stream)" KILL
  await 30 finished disturbed
  whole disturbed 60 || fail "the disturbed answer is not whole"
  [ "$(words undisturbed)" = "$(words disturbed)" ] || fail "the answers differ"
}

# An engine dies in the middle of a stream and the other one answers the
# continuation with an error, which is neither part of the stream nor its end.
error_after_broken_stream() {
  fixture 1
  stream entry-1 "[no continuation]" 100 broken
  await 10 some_engine_runs
  sleep 0.3
  send_signal "engine-$(server_of_stream)" KILL
  await 30 finished broken
  [ "$(words broken | wc -l)" -gt 0 ] || fail "the stream had not begun"
  ! grep -q "the engine's failure" "$work/broken" || fail "the error stands in the stream"
  ! grep -q DONE "$work/broken" || fail "the stream ended as if it were complete"
  grep -q '^event: error' "$work/broken" || fail "no error: $(tail -c 300 "$work/broken")"
}

# An agent freezes and wakes: its connection is found silent and replaced,
# and the stream goes on without loss or repeat.
freeze_agent() {
  fixture 1
  stream entry-1 "frozen prompt" 100 frozen
  await 10 some_engine_runs
  sleep 0.3
  server=$(server_of_stream)
  send_signal "agent-$server" STOP
  sleep 2.2
  send_signal "agent-$server" CONT
  await 30 finished frozen
  whole frozen 100 || fail "the answer is not whole: $(tail -c 300 "$work/frozen")"
  grep -q agent_link_lost "$work/entry-1.log" || fail "the silent connection was not found"
}

# The platform is out: keyed bookings are refused as not run, everything else
# goes on; when it is back the same key runs once.
platform_out() {
  fixture 1
  fault() { curl -s "http://$(address platform)/standin/faults" -d "$1" >/dev/null; }
  fault '{"outage":true}'
  answer=$(book entry-1 out-1)
  echo "$answer" | grep -q 'LB-CLAIM-UNAVAILABLE' || fail "a keyed booking was not refused: $answer"
  echo "$answer" | grep -q 'Laburnum-Verdict: not_run' || fail "the verdict is not not_run"
  [ "$(runs visits)" -eq 0 ] || fail "a refused booking ran"
  stream entry-1 "during the outage" 5 out
  await 10 finished out
  whole out 5 || fail "a completion failed during the outage"
  fault '{"outage":false}'
  await 20 booked entry-1 out-1
  [ "$(runs visits)" -eq 1 ] || fail "the booking ran $(runs visits) times"
  fault '{"lose_replies":3}'
  book entry-1 out-2 | grep -q '^HTTP/1.1 201' || fail "lost replies were not settled"
  [ "$(runs visits)" -eq 2 ] || fail "lost replies doubled a booking"
}

# An entry dies between dispatch and outcome: a resend through another entry
# never runs the booking again, and is not told that it has not run.
kill_entry() {
  fixture 2
  book entry-1 dead-1 '?delay_ms=1500' >/dev/null &
  await 10 booking_began
  send_signal entry-1 KILL
  answer=$(book entry-2 dead-1 '?delay_ms=1500')
  # The agent still has the answer, and gives it to the entry that asks.
  echo "$answer" | grep -q '^HTTP/1.1 201' || fail "no answer from the agent: $answer"
  echo "$answer" | grep -q 'Laburnum-Verdict: ran' || fail "a wrong verdict: $answer"
  [ "$(runs visits)" -eq 1 ] || fail "the booking ran $(runs visits) times"
  # The same key, at once, through one entry: one runs, the other waits.
  book entry-2 twin '?delay_ms=500' >"$work/twin-1" &
  twin=$!
  book entry-2 twin '?delay_ms=500' >"$work/twin-2"
  wait "$twin"
  grep -q '^HTTP/1.1 201' "$work/twin-1" || fail "the first twin: $(cat "$work/twin-1")"
  grep -q '^HTTP/1.1 201' "$work/twin-2" || fail "the second twin: $(cat "$work/twin-2")"
  [ "$(runs visits)" -eq 2 ] || fail "twins ran twice"
}
booking_began() { [ "$(runs visits)" -ge 1 ]; }

# A caller that leaves cancels its work on the engine; a poisoned prompt costs
# two engines at most, and is then refused.
callers_and_poison() {
  fixture 1
  stream entry-1 "a caller that leaves" 500 left
  await 10 some_engine_runs
  kill "$(cat "$work/left.pid")"
  await 10 no_engine_runs
  poison() { curl -s -m 20 "http://$(callers entry-1)/v1/completions" -H "$key" -d '{"model":"m","prompt":"[crash]"}'; }
  for _ in 1 2 3 4; do poison >"$work/poison"; done
  grep -q 'LB-QUARANTINED' "$work/poison" || fail "the poison was not named: $(cat "$work/poison")"
  # Engines come back: a request beside the poison is served.
  for i in 1 2; do
    "$build/standins/laburnum-standin" engine --listen "$(address "engine-$i")" >/dev/null 2>&1 &
    pids+=($!)
  done
  served() { curl -s -m 5 "http://$(callers entry-1)/v1/completions" -H "$key" -d '{"model":"m","prompt":"innocent"}' | grep -q '"finish_reason":"stop"'; }
  await 20 served
  poison >"$work/poison"
  grep -q 'LB-QUARANTINED' "$work/poison" || fail "the poison ran again"
  kill -0 "${pids[-1]}" || fail "an engine was lost to a named poison"
}
no_engine_runs() { ! some_engine_runs; }

# The holder of a duty dies: another takes its lease over with a higher
# fencing number, and removes what the dead left in the platform.
duty() {
  forget_ms=1000
  fixture 1
  lease() { curl -s "http://$(address platform)/v1/objects/lease/instances"; }
  lease_field() { lease | grep -o "\"$1\":[^,}]*" | cut -d: -f2 | tr -d '"'; }
  held() { [ -n "$(lease_field holder)" ]; }
  await 15 held
  first=$(lease_field holder)
  fence=$(lease_field fence)
  send_signal "${first%%/*}" KILL
  taken_over() { [ -n "$(lease_field holder)" ] && [ "$(lease_field holder)" != "$first" ]; }
  await 20 taken_over
  [ "$(lease_field fence)" -gt "$fence" ] || fail "the fencing number did not grow"
  removed() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(address platform)/v1/objects/instance/${first%%/*}")" = 404 ]; }
  await 20 removed
}

# A model rule wants more servers than hold the model: one is loaded, after
# its streams have ended; the holder of the duty dies, and the next one goes
# on with a higher fencing number.
placement() {
  standin platform platform
  LABURNUM_PLATFORM=$(address platform)
  ctl() { "$build/apps/laburnumctl" "$@"; }
  for i in 1 2 3; do
    standin "engine-$i" engine --step-us 20000 --model a@1 --load-ms 300 $([ "$i" = 2 ] && echo --fencing)
    daemon "agent-$i" agent a "{\"kind\":\"engine\",\"address\":\"$(address "engine-$i")\",\"offers\":[\"a@1\"]}"
  done
  for i in 1 2; do daemon "entry-$i" entry a; done
  label="sha256:$(printf test-key | openssl dgst -sha256 -r | cut -d' ' -f1)"
  echo "{\"account\":\"t\",\"models\":[{\"name\":\"a\"},{\"name\":\"b\"}],\"keys\":[\"$label\"]}" >"$work/contract.json"
  ctl contract apply "$work/contract.json" >/dev/null
  ctl rollout --wait contract t >/dev/null
  await 20 agents_are entry-2 3
  complete() { curl -sN -m 30 "http://$(callers entry-2)/v1/completions" -H "$key" -d "{\"model\":\"$1\",\"prompt\":\"$2\",\"max_tokens\":$3,\"stream\":true}"; }
  for i in 1 2 3 4 5 6; do
    complete a "placed $i" 100 >"$work/s$i" &
    echo $! >"$work/s$i.pid"
  done
  for i in 1 2 3; do await 10 running_at "engine-$i"; done
  want() {
    version=$(ctl model get "$1" 2>/dev/null | grep -o 'version":[0-9]*' | cut -d: -f2) || true
    echo "{\"name\":\"$1\",\"version\":\"1\",\"servers\":$2}" >"$work/model.json"
    ctl model apply "$work/model.json" --base "${version:-0}" >/dev/null
  }
  want a 2
  want b 1
  placed() { ctl status | grep -q "model $1@1: wanted $2, present $2, loading 0"; }
  served() { complete "$1" "hello" 3 | grep -q '^data: \[DONE\]'; }
  await 30 placed b 1
  await 10 served b
  for i in 1 2 3 4 5 6; do
    await 30 finished "s$i"
    whole "s$i" 100 || fail "stream $i was cut"
  done
  lease() { curl -s "http://$(address platform)/v1/objects/lease/placement"; }
  lease_field() { lease | grep -o "\"$1\":[^,}]*" | cut -d: -f2 | tr -d '"'; }
  first=$(lease_field holder)
  fence=$(lease_field fence)
  [ "${first%%/*}" = entry-2 ] || send_signal "${first%%/*}" KILL
  [ "${first%%/*}" != entry-2 ] || send_signal entry-2 STOP
  want a 1
  want b 2
  taken_over() { [ "$(lease_field fence)" -gt "$fence" ]; }
  await 30 taken_over
  [ "${first%%/*}" != entry-2 ] || send_signal entry-2 CONT
  # An agent may have died as the holder: then its server is not there.
  case $first in agent*) await 40 placed a 1 ;; *) await 40 placed b 2 ;; esac
  await 10 served b
}

# The expert map of a group follows the experts' popularity, while one agent is
# frozen and the coordinating one is killed: no step mixes maps, and the group
# goes on.
expert_map() {
  standin platform platform
  LABURNUM_PLATFORM=$(address platform)
  standin group group --servers 2 --ranks 2 --step-us 5000
  engine() { sed -n "$1p" "$work/group.address"; }
  agent() { daemon "agent-$1" agent a "{\"kind\":\"engine\",\"address\":\"$(engine "$1")\",\"offers\":[\"m@1\"]}"; }
  agent 1
  agent 2
  daemon entry-1 entry a
  count() { curl -s "http://$(engine 1)/group/counts" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }
  drift() { curl -s "http://$(engine 1)/group/drift" >/dev/null; }
  skew_below() { [ "$(count skew_percent)" -lt "$1" ]; }
  begun() { [ "$(cat "$work"/agent-*.log | grep -c map_change_begun)" -gt "$1" ]; }
  skew_below 130 && fail "the map was balanced from the start"
  echo '{"map_plan_s":1}' >"$work/policy.json"
  "$build/apps/laburnumctl" policy apply "$work/policy.json" >/dev/null
  await 60 skew_below 115
  drift
  skew_below 115 && fail "the drift left the map balanced"
  send_signal agent-2 STOP
  sleep 1.2
  send_signal agent-2 CONT
  await 60 skew_below 115
  before=$(cat "$work"/agent-*.log | grep -c map_change_begun)
  holder=$(curl -s "http://$(address platform)/v1/objects/lease/maps-group" | grep -o 'agent-[12]' | head -1)
  drift
  await 20 begun "$before"
  send_signal "$holder" KILL
  await 10 gone "$holder"
  agent "${holder#agent-}"
  steps=$(count steps)
  advanced() { [ "$(count steps)" -gt $((steps + 200)) ]; }
  await 30 advanced
  await 90 skew_below 115
  [ "$(count mixed)" -eq 0 ] || fail "a step mixed maps"
}

# The platform's list says that an instance is leaving, and an operator drains
# another: both come to the same drain, and nothing is cut.
listed_leaving() {
  fixture 1
  for i in 1 2 3 4; do stream entry-1 "listed $i" 60 "s$i"; done
  await 10 running_at engine-1
  await 10 running_at engine-2
  curl -s -X PUT "http://$(address platform)/standin/instances/agent-1" -d '{"leaving":true}' >/dev/null
  await 10 grep -q 'listed as leaving' "$work/agent-1.log"
  before=$(runs engine-1)
  "$build/apps/laburnumctl" drain entry-1 >/dev/null
  await 5 grep -q "operator's order" "$work/entry-1.log"
  for i in 1 2 3 4; do
    await 30 finished "s$i"
    whole "s$i" 60 || fail "stream $i was cut"
  done
  [ "$(runs engine-1)" -eq "$before" ] || fail "new work started on a leaving server"
  await 20 gone agent-1
  await 20 gone entry-1
}

# TLS by settings: a certificate is replaced by SIGHUP without a restart, and a
# broken one leaves the present one in use.
tls() {
  certificate() { openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 2 -subj "/CN=$1" -keyout "$work/tls.key" -out "$work/tls.pem" 2>/dev/null; }
  subject_is() { openssl s_client -connect "$(callers entry-1)" </dev/null 2>/dev/null | openssl x509 -noout -subject | grep -q "CN = $1"; }
  certificate first
  tls_settings="\"tls\": { \"certificate\": \"$work/tls.pem\", \"key\": \"$work/tls.key\" },"
  fixture 1
  secure() { curl -sk -m 20 "https://$(callers entry-1)/v1/completions" -H "$key" -d '{"model":"m","prompt":"by TLS","max_tokens":3}' | grep -q '"finish_reason":"stop"'; }
  secure || fail "no answer by TLS"
  subject_is first || fail "another certificate than the first"
  certificate second
  send_signal entry-1 HUP
  await 5 subject_is second
  echo broken >"$work/tls.pem"
  send_signal entry-1 HUP
  await 5 grep -q certificate_kept "$work/entry-1.log"
  secure || fail "no answer after a broken certificate"
}

# A service sends broken answers through an agent and an entry: no caller gets
# one as an answer. The other side: whole answers are passed on.
broken_answers() {
  standin platform platform
  LABURNUM_PLATFORM=$(address platform)
  "$source/apps/tests/broken_service.py" >"$work/visits.address" 2>"$work/visits.log" &
  pids+=($!)
  until [ -s "$work/visits.address" ]; do sleep 0.02; done
  daemon agent-1 agent a "{\"kind\":\"plain\",\"address\":\"$(address visits)\",\"offers\":[\"visits\"]}"
  daemon entry-1 entry a
  label="sha256:$(printf test-key | openssl dgst -sha256 -r | cut -d' ' -f1)"
  echo "{\"account\":\"t\",\"services\":[\"visits\"],\"keys\":[\"$label\"]}" >"$work/contract.json"
  "$build/apps/laburnumctl" contract apply "$work/contract.json" >/dev/null
  "$build/apps/laburnumctl" rollout --wait contract t >/dev/null
  await 20 agents_are entry-1 1
  head -c 900000 /dev/zero >"$work/upload"
  call() { curl -s -i -m 30 "http://$(callers entry-1)/services/visits/$1" -H "$key" --data-binary "@$work/upload" | tr -d '\r'; }
  for answer in whole-close whole-length whole-chunked; do
    call "$answer" >"$work/received"
    grep -q '^HTTP/1.1 200' "$work/received" || fail "$answer: no answer"
    [ "$(tail -n 1 "$work/received")" = body ] || fail "$answer: not the whole body"
  done
  for answer in reset status name folded folded-interim folded-trailer; do
    call "$answer" >"$work/received"
    grep -q '^HTTP/1.1 5' "$work/received" || fail "$answer: not a failure"
    ! grep -q spoiled "$work/received" || fail "$answer: was passed on"
    grep -q '^Laburnum-Verdict: may_have_run' "$work/received" || fail "$answer: another verdict"
  done
}

"$3"
echo "$3: good"
