#include "trestlepost/consensus/group_host.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::consensus {

group_host::group_host(replica_id self, group_options options,
                       std::unique_ptr<storage> store, state_machine& machine,
                       message_sink& sink, random_source& random)
    : self_(std::move(self)),
      options_(options),
      storage_(std::move(store)),
      machine_(machine),
      sink_(sink),
      random_(random) {}

result<void> group_host::start(monotonic_time now) {
  result<durable_state> state = storage_->load();
  if (!state) return tl::make_unexpected(state.error());
  applied_ = state->base.index;
  applied_term_ = state->base.term;
  last_snapshot_bytes_ = state->base.data.size();
  if (!state->base.data.empty()) {
    result<void> loaded = machine_.load(state->base.data);
    if (!loaded) return loaded;
  }
  replica_ = std::make_unique<replica>(self_, options_.replica,
                                       std::move(*state), random_, now);
  return {};
}

result<void> group_host::restart(monotonic_time now,
                                 std::unique_ptr<storage> store) {
  storage_ = std::move(store);
  reads_.clear();
  confirmed_reads_.clear();
  to_apply_.clear();
  writing_ = false;
  unstored_ = {};
  bytes_since_snapshot_ = 0;
  result<void> started = machine_.load({});
  if (started) started = start(now);
  if (started) {
    failure_.reset();
  } else {
    failure_ = started.error();
  }
  return started;
}

result<void> group_host::found(monotonic_time now, std::string group_id,
                               member_list members) {
  result<void> done = replica_->found(std::move(group_id), std::move(members));
  if (!done) return done;
  process_output();
  finish_writes();
  if (failure_) return tl::make_unexpected(*failure_);
  tick(now);
  finish_writes();
  return {};
}

result<void> group_host::recover_alone(monotonic_time now,
                                       std::string group_id) {
  if (failure_) return tl::make_unexpected(*failure_);
  replica_->tick(now);
  result<void> done = replica_->recover_alone(std::move(group_id));
  if (!done) return done;
  process_output();
  finish_writes();
  if (failure_) return tl::make_unexpected(*failure_);
  tick(now);
  finish_writes();
  return {};
}

void group_host::tick(monotonic_time now) {
  if (failure_) return;
  replica_->tick(now);
  if (replica_->is_leader()) adjust_members(now);
  process_output();
  // Not sooner: a write usually ends before the next tick, and then the
  // messages are sent once and complete.
  send_early();
}

void group_host::receive(monotonic_time now, const message& in) {
  if (failure_) return;
  replica_->receive(now, in);
  process_output();
}

result<log_index> group_host::propose(monotonic_time now, std::string command) {
  if (failure_) return tl::make_unexpected(*failure_);
  if (replica_->is_leader() && !replica_->holds_lease(now) &&
      replica_->has_committed_in_term()) {
    return fail(error_kind::unavailable, "the leader has lost its majority",
                "try again; another leader will be elected");
  }
  result<log_index> index =
      replica_->propose(entry_type::command, std::move(command));
  process_output();
  if (failure_) return tl::make_unexpected(*failure_);
  return index;
}

result<void> group_host::request_read(monotonic_time now, std::uint64_t token,
                                      std::function<void()> ready) {
  if (failure_) return tl::make_unexpected(*failure_);
  replica_->tick(now);
  reads_.push_back({token, std::move(ready)});
  result<void> proposed = replica_->request_read(token);
  if (!proposed) reads_.pop_back();
  process_output();
  return proposed;
}

bool group_host::holds_lease(monotonic_time now) const {
  return !failure_ && replica_->has_committed_in_term() &&
         applied_term_ == replica_->term() && replica_->holds_lease(now);
}

void group_host::process_output() {
  if (processing_output_) return;
  processing_output_ = true;
  // Before the next write begins: under constant load there always is one.
  compact_if_due();
  const auto can_write = [this] {
    return !failure_ && !writing_ && replica_->has_output();
  };
  while (can_write()) write_and_send();
  if (!failure_) apply_committed();
  // Writes the output that the state machine has caused in the same iteration.
  while (can_write()) write_and_send();
  processing_output_ = false;
}

void group_host::stop_after(const error& cause) {
  failure_ = cause;
  log_event(log_level::error, "storage-failed",
            {{"detail", cause.message}, {"remedy", cause.remedy}});
}

void group_host::write_and_send() {
  output out = replica_->take_output();
  const write_batch writes = std::exchange(out.writes, {});
  if (writes.empty()) {
    deliver(out);
    return;
  }
  writing_ = true;
  allows_early_messages_ = writes.only_entries();
  unstored_ = std::move(out);
  storage_->start_save(
      writes, [this](const result<void>& saved) { handle_written(saved); });
}

void group_host::handle_written(const result<void>& saved) {
  writing_ = false;
  const output stored = std::exchange(unstored_, {});
  if (!saved) {
    stop_after(saved.error());
    return;
  }
  deliver(stored);
  process_output();
}

void group_host::deliver(const output& stored) {
  replica_->mark_durable();
  for (const message& it : stored.messages) sink_.send(it);
  queue_committed(stored);
}

void group_host::send_early() {
  if (failure_ || !writing_ || !allows_early_messages_) return;
  for (const message& it : replica_->take_early_messages(unstored_.messages)) {
    sink_.send(it);
  }
}

void group_host::finish_writes() {
  while (writing_) storage_->wait();
}

void group_host::queue_committed(const output& out) {
  if (out.restore) {
    to_apply_.clear();
    const result<void> loaded = machine_.load(out.restore->data);
    if (!loaded) {
      stop_after(loaded.error());
      return;
    }
    applied_ = out.restore->index;
    applied_term_ = out.restore->term;
    last_snapshot_bytes_ = out.restore->data.size();
  }
  to_apply_.insert(to_apply_.end(), out.committed.begin(), out.committed.end());
  const log_index last_committed =
      to_apply_.empty() ? applied_ : to_apply_.back().index;
  for (const std::uint64_t token : out.reads_ready) {
    const auto it = std::find_if(
        reads_.begin(), reads_.end(),
        [token](const waiting_read& read) { return read.token == token; });
    if (it == reads_.end()) continue;
    confirmed_reads_.push_back({last_committed, std::move(it->ready)});
    reads_.erase(it);
  }
}

void group_host::apply_committed() {
  std::size_t bytes = 0;
  while (!to_apply_.empty() && bytes <= options_.apply_bytes) {
    const entry it = std::move(to_apply_.front());
    to_apply_.pop_front();
    if (it.type == entry_type::command) machine_.apply(it);
    applied_ = it.index;
    applied_term_ = it.term;
    bytes += it.data.size();
  }
  bytes_since_snapshot_ += bytes;
  finish_reads();
  compact_if_due();
}

void group_host::finish_reads() {
  while (!confirmed_reads_.empty() &&
         confirmed_reads_.front().index <= applied_) {
    const std::function<void()> ready =
        std::move(confirmed_reads_.front().ready);
    confirmed_reads_.pop_front();
    ready();
  }
}

void group_host::compact_if_due() {
  if (failure_ || writing_) return;
  const log_index first = replica_->first_index();
  const bool many_entries = applied_ >= first + options_.snapshot_every;
  const bool many_bytes =
      bytes_since_snapshot_ >=
      std::max(options_.snapshot_bytes, 2 * last_snapshot_bytes_);
  if (!many_entries && !many_bytes) return;
  bytes_since_snapshot_ = 0;
  const snapshot base = replica_->compact(applied_, machine_.save());
  last_snapshot_bytes_ = base.data.size();
  const hard_state hard{replica_->term(), replica_->voted_for(),
                        replica_->group_id()};
  writing_ = true;
  allows_early_messages_ = true;
  // Entries that are not durable yet are stored by the next write.
  storage_->start_compact(
      base, hard, replica_->durable_entries(),
      [this](const result<void>& saved) { handle_written(saved); });
}

}  // namespace trestlepost::consensus
