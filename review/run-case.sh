#!/bin/sh
# Plays a case: run-case.sh CASE FOLDER TROUBLE. Ends with status 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run. With TROUBLE 0 the disruption is left out.
root="$(cd "$(dirname "$0")/.." && pwd)" || exit 2
folder="$(cd "$2" && pwd)" || exit 2
cd "$root" || exit 2
TMPDIR="$(mktemp -d)" || exit 2
PIDS="$TMPDIR/pids"
export TMPDIR PIDS
: >"$PIDS"
# Ends what the case started and did not end itself.
clean_up() {
    while read -r pid; do
        case "$(tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline")" in
        target/release/balsamchute\ edge* | *review/standin\ model-runner*) kill -KILL "$pid" ;;
        esac
    done <"$PIDS"
    rm -rf "$TMPDIR"
}
trap clean_up EXIT
trap 'exit 2' HUP INT TERM
timeout 110 target/review/standin "$1" "$folder/record.txt" "$3"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
