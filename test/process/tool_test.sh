#!/usr/bin/env bash
# Tests the operators' tool from validating a document to producing the one to publish, and its exit
# statuses.
set -euo pipefail
tool=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
expect() {
    local wanted=$1
    shift
    local got=0
    "$@" >"$work/out" 2>"$work/err" || got=$?
    [ "$got" -eq "$wanted" ] || { echo "expected exit $wanted, found $got: $*"; cat "$work/err"; exit 1; }
}
cat >"$work/base.json" <<'J'
{"version": 1, "accounts": [{"id": "a", "share": 1}], "halls": [{"id": "north", "region": "c"}]}
J
expect 0 "$tool" validate "$work/base.json"
echo '{"version": 1, "extra": 2}' >"$work/bad.json"
expect 1 "$tool" validate "$work/bad.json"
expect 0 "$tool" plan share a 3 --base="$work/base.json" --out="$work/plan.json"
expect 0 "$tool" plan share a 3 --base="$work/base.json" --json
digest=$(sed -n 's/.*"digest":"\([0-9a-f]*\)".*/\1/p' "$work/out")
expect 1 "$tool" confirm "$work/plan.json" 0000000000000000 --base="$work/base.json"
expect 0 "$tool" confirm "$work/plan.json" "$digest" --base="$work/base.json"
cp "$work/out" "$work/next.json"
expect 0 "$tool" validate "$work/next.json"
expect 0 "$tool" diff "$work/base.json" "$work/next.json"
expect 4 "$tool" confirm "$work/plan.json" "$digest" --base="$work/next.json"
expect 1 "$tool" plan drain-hall south --base="$work/base.json"
echo '{"time":"2026-12-02T16:01:02.000Z","event":"request.refused","instance":"g","id":"r-1","code":"not_found"}' >"$work/g.log"
expect 0 "$tool" explain r-1 "$work/g.log"
grep -q 'cause: no route' "$work/out" || { echo "expected the cause, found: $(cat "$work/out")"; exit 1; }
expect 0 "$tool" explain r-1 "$work/g.log" --json
expect 1 "$tool" explain r-2 "$work/g.log"
expect 1 "$tool" explain r-1 "$work/none.log"
# Nested too deeply for the stack, if written recursively.
nested="$(head -c 200000 /dev/zero | tr '\0' '[')$(head -c 200000 /dev/zero | tr '\0' ']')"
echo "{\"version\": $nested}" >"$work/nested.json"
expect 1 "$tool" validate "$work/nested.json"
expect 1 "$tool" diff "$work/base.json" "$work/nested.json"
expect 1 "$tool" plan share a 3 --base="$work/nested.json"
echo "{\"event\":\"request.refused\",\"id\":\"r-1\",\"code\":$nested}" >"$work/nested.log"
expect 0 "$tool" explain r-1 "$work/g.log" "$work/nested.log"
expect 0 "$tool" plan drain-hall north --base="$work/base.json"
# Words that no JSON document can hold.
echo '{"version": 1, "models": [{"name": "m", "version": "1"}]}' >"$work/model.json"
expect 2 "$tool" plan share "$(printf 'a\377')" 3 --base="$work/base.json"
expect 2 "$tool" plan model m "$(printf '\377')" --base="$work/model.json"
expect 2 "$tool" plan
expect 2 "$tool" plan share a much --base="$work/base.json"
expect 3 "$tool" status --operators=127.0.0.1:1 --json
expect 0 "$tool" version --json
expect 0 "$tool" --help
echo "tool: all as expected"
