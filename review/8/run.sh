#!/usr/bin/env bash
# Clients in region b send requests of an idempotent route with attempts 2 whose
# home is region a. The gateway there has sent each to two replicas, which are
# slow, when its process is killed.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
: > "$case_folder/record.txt"
gateways=(front-a front-b front-c)
replicas=(a1 a2 a3 a4 c1 c2 c3)
# shellcheck source=review/standins-2/deployment.sh
. "$case_folder/../standins-2/deployment.sh"

write_plan() {
  cat <<X
{"version":$1,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/get/","kind":"idempotent","timeout_ms":6000,"goal_ms":300,"priority":1,"backend":"plain","attempts":2}],$plain_service}
X
}
# load GATEWAY PATH COUNT INTERVAL: sends so many GETs, one every so many ms.
load() {
  "$tool" load "${ip[$1]}:8144" shop.example "/get/$2" "$3" "$4" 6000 \
    X-Deadline-Ms > "$work/statuses-$1-$(basename "$2")" &
  pid[load-$1-$2]=$!
}

start_all "$(replica_list)"
start_replicas 3000
replace 3 25 || cannot_run "the first desired state was not taken"
for name in "${gateways[@]}"; do await_gateway "$name" /get/up; done
sleep 6  # all have been in touch for contact_ms
: > "$work/runs"
# Requests pay for the repeats of others: 0.2 for each.
for name in front-a front-b front-c; do load "$name" "quick-$name" 1000 40; done
sleep 10
load front-b slow 75 400
note "requests to front-b, 75 of them slow"
for round in 1 2 3 4; do
  sleep 5
  if [ "$trouble" != 0 ]; then
    kill -KILL "${pid[front-a]}"
    note "the process of front-a was killed"
    sleep 0.5
    start_node front-a false
    note "front-a started again"
  fi
done
wait "${pid[load-front-b-slow]}"
more=0
while read -r id status; do
  on=$(grep "id $id," "$work/runs" | cut -d' ' -f1 | tr '\n' ' ')
  ran=$(wc -w <<< "$on")
  note "$id: run by $on; answered: $status"
  [ "$ran" -le 2 ] || more=$((more + 1))
done < "$work/statuses-front-b-slow"
note "$more requests were run on more than 2 replicas; 3 are allowed"
[ "$more" -le 3 ]
broken=$?
note "$([ $broken = 0 ] && echo "the rule held" || echo "the rule was broken")"
exit $broken
