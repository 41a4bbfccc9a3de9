#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/review-2/case-$(basename "$here")
gateway=target/bin/heatherridge-gateway
[ -x "$program" ] && [ -x "$gateway" ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 1 118 "$program" "$gateway" "$folder" "${TROUBLE:-1}" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
