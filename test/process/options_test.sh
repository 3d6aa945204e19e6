#!/usr/bin/env bash
# Checks that the daemon accepts every option that its help lists, in every role.
set -euo pipefail
daemon=$1
options=$("$daemon" --help | grep -oE '^  --[a-z-]+ [A-Z]+' | tr -s ' ' | cut -d' ' -f2)
[ "$(wc -w <<<"$options")" -ge 15 ] || { echo "expected 15 options or more in --help, found: $options"; exit 1; }
got=$("$daemon" gateway --demand-exchange maybe --check-settings 2>&1 || true)
case "$got" in
    *"demand-exchange"*"expected on or off, found 'maybe'"*) ;;
    *) echo "expected the fault of --demand-exchange with what was found, found: $got"; exit 1 ;;
esac
for role in entry agent gateway expertagent; do
    for option in $options; do
        got=$("$daemon" "$role" "$option" 5 --check-settings 2>&1 || true)
        case "$got" in
            *"not a unique prefix"* | *"Unexpected argument"*)
                echo "expected $role to accept $option as --help says, found: ${got%%$'\n'*}"
                exit 1 ;;
        esac
    done
done
