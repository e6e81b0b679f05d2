#!/usr/bin/env bash
# Makes the files beside it that release_state.rs and release_control.rs read, all of them by the program that is named:
#
#     bash router/tests/release/make.sh PROGRAM [FOLDER]
#
# PROGRAM is a build of the release whose files are to be read for good. It founds a fleet, takes a policy, works and
# members through every state that lasts, says what it holds, and is ended by kill -9. FOLDER is this one if left out.
# What is here was written by 0.2.0. Made again, the files differ in times, keys and random numbers.
set -euo pipefail
program=$(realpath "$1")
here=$(cd "$(dirname "$0")" && pwd)
to=$(realpath -m "${2:-$here}")
work=$(mktemp -d)
router=
ended() {
    [ -z "$router" ] || kill -9 "$router" 2>/dev/null || true
    wait 2>/dev/null || true
}
trap 'status=$?; ended; [ $status = 0 ] || tail log >&2; rm -rf "$work"' EXIT
cp "$here/n0.json" "$here/fleet.cue" "$here/identity.cue" "$work"
cd "$work"
mkdir said

served() {
    "$program" serve --config n0.json --settings "$1" 2>>log &
    router=$!
}
say() { "$program" "$1" "$2" --socket run-n0.sock "${@:3}"; }
# Repeats a question until the answer holds some words.
until_said() {
    for _ in $(seq 200); do
        if [[ $(say "${@:2}" 2>/dev/null) == *"$1"* ]]; then return; fi
        sleep 0.05
    done
    echo "never said: $1" >&2
    say "${@:2}" >&2 || true
    cat log >&2
    exit 1
}
number() { sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"; }
policy() { printf 'author: "%s"\nreason: "%s"\n%s\n' "$1" "$2" "$3" >p.cue; }

# A fleet of one vote.
"$program" fleet init --config n0.json --settings fleet.cue
served fleet.cue
until_said '"leads":true' fleet status --json

# Version 1 in force, 2 withdrawn, 3 refused for its platform, 4 open until a second person confirms it.
policy ann "fewer repeats" 'indexes: history: {calls: 2, partly_at: 400ms}
drained: ["s-5"]'
say policy propose p.cue --base 0 --op 4001
say policy confirm 1 --by bob --op 4002
until_said '"number":1' policy show --json
policy bob "a mistake" 'indexes: history: calls: 1'
say policy propose p.cue --op 4003
say policy withdraw 2 --by bob --reason "too early" --op 4004
policy carol "too much" 'indexes: history: calls: 9'
say policy propose p.cue --op 4005
until_said '"fate":"refused"' policy history --json

# A member that is to vote and has yet to learn, and one that has left.
say fleet add n3 --address 127.94.7.1:9405 --zone west --vote --op 4006
say fleet remove n1 --op 4007

# Work in every state that lasts: in work, given back unfit, permitted, waiting; done and cancelled, in the past.
request() { say works ask "$@" --json | tee -a log | number number; }
permit() { say works next --request "$1" --timeout 20s --json | number permit; }
one=$(request s-0 --why "new disks" --by ann --lasts 30m --within 9000h --priority 3 --op 4010)
first=$(permit "$one")
say works begin "$first" --by ann --op 4011
other=$(request s-1 --why "new disks" --by ann --op 4009)
second=$(permit "$other")
say works begin "$second" --by dora --op 4012
say works done "$second" --by dora --failed "no disk" --op 4013
two=$(request s-2 --why memory --by bob --lasts 1h --op 4014)
permit "$two" >/dev/null
three=$(request s-3 --why kernel --by carol --op 4015)
third=$(permit "$three")
say works begin "$third" --by carol --op 4016
say works done "$third" --by carol --op 4017
until_said "request $three is closed" works history
four=$(request s-4 s-5 --why racks --by carol --in 9000h --together --op 4018)
five=$(request s-3 --why "not needed" --by carol --in 9000h --op 4019)
request router:n2 --why "a new kernel" --by bob --in 9001h --op 4023 >/dev/null
say works cancel "$five" --by carol --op 4020
say works change "$four" --priority 5 --within 9500h --by ann --op 4021
say works hold --by ann --why "a storm" --op 4022

policy dora "one call" 'indexes: history: {least: 1, calls: 1, copies: false}
drained: ["s-4", "s-5"]'
mv p.cue open.cue
say policy propose open.cue --base 1 --op 4008
until_said '"fit":1' fleet status --json
# Long enough that the leases of members that were never there are over, and what is known of each stays the same.
sleep 3

"$program" status --socket run-n0.sock --json >said/status.json
for words in "fleet status" "fleet members" "policy show" "policy history" "works list" "works history"; do
    # shellcheck disable=SC2086
    say $words --json >"said/${words// /-}.json"
done
say works plan s-3 --lasts 10m --json >said/works-plan.json
say works show "$four" --json >said/works-show.json
say policy diff open.cue --json >said/policy-diff.json
say policy check open.cue --json >said/policy-check.json
kill -9 "$router"
wait "$router" 2>/dev/null || true
# The journal as it was left, from its last two records on.
at=$(grep -abo 'ternpick-kept-1 fleet-seat' fleet-n0/seat | tail -2 | head -1 | cut -d: -f1)
tail -c +$((at + 1)) fleet-n0/seat >seat

# Keys of both kinds: one that signs, two that are retired and still published, one that is yet to sign.
"$program" keys new --keys keys --id released-1 --kind eddsa >/dev/null
token() {
    "$program" token mint --keys keys --issuer https://sign-on.example --audience search --subject anna \
        --tenant north --role crew --life 876000h --id "$1"
}
token of-released-1 >keys/token-of-released-1
"$program" keys rotate --keys keys --id released-2 --kind es256 --lead 0s --overlap 876000h >/dev/null
token of-released-2 >keys/token-of-released-2
sleep 1
"$program" keys rotate --keys keys --id released-3 --kind eddsa --lead 0s --overlap 876000h >/dev/null
"$program" keys new --keys keys --id released-4 --kind es256 --lead 876000h >/dev/null
"$program" keys list --keys keys --json >said/keys-list.json
for what in "--token lost" "--subject bob --matters 876000h" "--key stolen" "--certificate AB:CD:12" \
    "--subject bob --lift"; do
    # shellcheck disable=SC2086
    "$program" revoke --feed keys/revoked.json $what >/dev/null
done
# Both as a router keeps them for a start while their source is away.
served identity.cue
for _ in $(seq 200); do
    if [ -s kept-keys ] && [ -s kept-revocations ]; then break; fi
    sleep 0.05
done
"$program" status --socket run-n0.sock --json >said/status-of-identity.json
kill -9 "$router"
wait "$router" 2>/dev/null || true
router=
# A private table is its owner's alone; here anybody may read it.
chmod 644 keys/* kept-keys kept-revocations

mkdir -p "$to"
rm -rf "$to/seat" "$to/said" "$to/keys" "$to/kept-keys" "$to/kept-revocations"
cp -r open.cue seat said keys kept-keys kept-revocations "$to"
