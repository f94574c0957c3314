# shellcheck shell=bash
# Sourced: runs commands beside each other and collects what became of them.
#   begin NAME COMMAND...   starts one and keeps what it prints
#   collect                 waits for all, prints each, in the order of their
#                           beginning; status 1 when any has failed
jobs_folder=$(mktemp -d)
declare -A job_ids=()
job_names=()

end_jobs() {
  for name in "${job_names[@]}"; do
    kill -- "-${job_ids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$jobs_folder"
}
trap end_jobs EXIT

timed() {
  local from=$SECONDS status=0
  "$@" || status=$?
  echo "status $status after $((SECONDS - from)) s: $*"
  return "$status"
}

begin() {
  local name=$1
  shift
  set -m  # a process group of its own, which end_jobs can end as a whole
  timed "$@" < /dev/null > "$jobs_folder/$name" 2>&1 &
  set +m
  job_ids[$name]=$!
  job_names+=("$name")
}

collect() {
  local failed=()
  for name in "${job_names[@]}"; do
    wait "${job_ids[$name]}" || failed+=("$name")
    echo "== $name"
    cat "$jobs_folder/$name"
  done
  job_names=()
  [ ${#failed[@]} -eq 0 ] || { echo "failed: ${failed[*]}"; return 1; }
}
