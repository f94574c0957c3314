#!/usr/bin/env bash
# An operator's change is acknowledged by a control node that restarted while an
# earlier change, sent to its earlier process, waited for a frozen gateway. Then
# all control processes have been killed, two of them right after the
# acknowledgement. No disk is lost. The acknowledged change must be read back.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
: > "$case_folder/record.txt"
# Ten machines with the control nodes: the frozen one is a tenth of them.
gateways=(front-a front-b front-c front-a2 front-b2)
# shellcheck source=review/standins-2/deployment.sh
. "$case_folder/../standins-2/deployment.sh"

write_plan() {
  cat <<X
{"version":$1,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/get/","kind":"idempotent","timeout_ms":$((2000 + $1)),"goal_ms":300,"priority":1,"backend":"plain","attempts":2}],$plain_service}
X
}
# send NODE VERSION: sends the desired state once and prints the status.
send() {
  local status
  write_plan "$2" > "$work/plan-$2.json"
  status=$(order "$1" POST /-/config/replace "$work/plan-$2.json" | head -n 1)
  note "version $2 sent to $1; answered: $status"
  echo "$status"
}
kill_nodes() {
  [ "$trouble" != 0 ] || return 0
  for it in "$@"; do kill -KILL "${pid[$it]}"; done
  note "killed: $*"
  for it in "$@"; do wait "${pid[$it]}" 2> /dev/null; done
}
restart_nodes() {
  [ "$trouble" != 0 ] || return 0
  for it in "$@"; do start_node "$it" false; done
  note "started again: $*"
}
signal_gateway() {
  [ "$trouble" != 0 ] || return 0
  kill "-$1" "${pid[front-c]}"
  note "front-c gets SIG$1"
}

start_all '{"instances":[],"next_token":null}'
for n in $(seq 100); do
  [ "$(send core-c1 3)" != 200 ] || break
  [ "$n" != 100 ] || cannot_run "the first desired state was not taken"
  sleep 0.2
done
sleep 10  # all have been in touch for contact_ms
first=$(leader)
[ -n "$first" ] || cannot_run "no leader is known"
others=()
for it in "${controls[@]}"; do
  [ "$it" = "$first" ] || [ "$it" = core-c1 ] || others+=("$it")
done
second=${others[0]}
rest=()
for it in "${controls[@]}"; do
  [ "$it" = "$first" ] || [ "$it" = "$second" ] || rest+=("$it")
done
note "$first leads"

signal_gateway STOP
send "$second" 5 > "$work/first" &
sleep 0.3
kill_nodes "$second"
sleep 0.1
restart_nodes "$second"
sleep 2
kill_nodes "${rest[@]}"
status=$(send "$second" 7)
kill_nodes "$first" "$second"
sleep 0.3
restart_nodes "${rest[@]}"
signal_gateway CONT
sleep 0.5
restart_nodes "$first" "$second"
sleep 12  # recovery_s
acknowledged=3
[ "$(cat "$work/first")" != 200 ] || acknowledged=5
[ "$status" != 200 ] || acknowledged=7
note "newest acknowledged version: $acknowledged"
broken=0
version=$(read_version 10) || broken=1
[ "${version:-0}" -ge "$acknowledged" ] || broken=1
note "$([ $broken = 0 ] && echo "the rule held" || echo "the rule was broken")"
exit $broken
