# shellcheck shell=bash
# Functions for parallel commands; sourced by other scripts.
#   timed COMMAND...        runs a command, prints its status and duration
#   begin NAME COMMAND...   starts a command in the background
#   collect                 waits for all, prints their output in the order in
#                           which they were started; status 1 if any failed
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
  set -m  # a separate process group, so that end_jobs can kill all of it
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
