#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 runs it
# without the disruption.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
root="$(cd "$here/../.." && pwd)" || exit 2
program="$root/target/review/case$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/release/latchtrack" ] || exit 2
folder="$(mktemp -d)" || exit 2

# Ends what the case started and did not end itself, and removes the temporary folder.
clean_up() {
    while read -r pid; do
        if grep -qs "$folder" "/proc/$pid/cmdline"; then kill -9 "$pid"; fi
    done 2>/dev/null <"$folder/pids"
    rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

timeout 118 "$program" "$folder" "$root" "$here/record.txt"
case "$?" in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
