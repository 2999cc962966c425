# Helpers to start daemons and stand-ins on free loopback ports.
# shellcheck shell=bash

pids=()
finish() {
  [ ${#pids[@]} -gt 0 ] && kill -9 "${pids[@]}" 2>/dev/null || true
  [ -n "${work:-}" ] && rm -rf "$work"
}
trap finish EXIT

# standin NAME KIND [options]: starts a stand-in; its address goes to $work/NAME.address.
standin() {
  local name=$1
  shift
  "$build/standins/laburnum-standin" "$@" >"$work/$name.address" 2>"$work/$name.log" &
  pids+=($!)
  disown
  echo $! >"$work/$name.pid"
  until [ -s "$work/$name.address" ]; do sleep 0.02; done
}

address() { cat "$work/$1.address"; }

# daemon NAME ROLE DOMAIN [server JSON]: starts laburnumd; waits until it is ready.
daemon() {
  local name=$1 role=$2 domain=$3 server=""
  [ $# -lt 4 ] || server="\"server\": $4,"
  [ "$role" != entry ] || server="$server ${tls_settings:-}"
  cat >"$work/$name.json" <<EOF
{ "instance": "$name", "role": "$role", "failure_domain": "$domain",
  "platform": ["$(address platform)"], "control_key": "demo",
  "limits": { "drain_grace_ms": ${grace_ms:-300}, "forget_instance_ms": ${forget_ms:-600000} },
  $server }
EOF
  "$build/apps/laburnumd" --settings "$work/$name.json" >>"$work/$name.log" 2>&1 &
  pids+=($!)
  disown
  echo $! >"$work/$name.pid"
  until operators "$name" >/dev/null 2>&1 && curl -sf "http://$(operators "$name")/readyz" >/dev/null; do
    kill -0 "$(cat "$work/$name.pid")" || { cat "$work/$name.log"; return 1; }
    sleep 0.02
  done
}

operators() { grep -o '"operators":"[^"]*"' "$work/$1.log" | tail -1 | cut -d'"' -f4 | grep .; }
callers() { grep -o '"callers":"[^"]*"' "$work/$1.log" | tail -1 | cut -d'"' -f4; }

# await SECONDS COMMAND...: repeats a command until it succeeds.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || { echo "gave up waiting for: $*" >&2; return 1; }
    sleep 0.05
  done
}
