#!/bin/sh
# Plays a case: run-case.sh CASE FOLDER. Ends with status 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
root="$(cd "$(dirname "$0")/.." && pwd)"
folder="$(cd "$2" && pwd)" || exit 2
cd "$root" || exit 2
PIDS="$(mktemp)" || exit 2
export PIDS
end_processes() {
    while read -r pid; do
        # Only processes that the case started and that still run.
        case "$(tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline")" in
        target/release/balsamchute\ edge* | *review/standin\ model-runner*) kill -KILL "$pid" ;;
        esac
    done <"$PIDS"
    rm -f "$PIDS"
}
trap end_processes EXIT
trap 'exit 2' HUP INT TERM
timeout 110 target/review/standin "$1" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
