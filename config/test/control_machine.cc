#include "control_machine.h"

#include <utility>

namespace trestlepost::config::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds join_interval{400};  // same as in the daemon
constexpr std::size_t snapshot_every = 20;  // entries; low, to take many

}  // namespace

void observed_machine::reset_state() {
  state_limits small;
  small.change_ids = 40;
  small.audit_records = 10;
  small.history = 10;
  inner_ = std::make_unique<config_state_machine>(small);
  inner_->on_decided = [this](const audit_record& it) {
    if (on_decided) on_decided(it);
  };
}

void observed_machine::apply(const consensus::entry& committed) {
  if (skip_number_check) {
    const result<change> requested = change_from(*parse_json(committed.data));
    const bool replaces = requested->plan && validate_plan(*requested->plan);
    if (replaces) reset_state();
  }
  inner_->apply(committed);
  if (on_applied) on_applied(committed);
}

result<void> observed_machine::load(std::string_view data) {
  result<void> loaded = inner_->load(data);
  if (on_loaded) on_loaded();
  return loaded;
}

control_machine::control_machine(std::string machine_name,
                                 std::string first_address,
                                 std::uint64_t incarnation)
    : name(std::move(machine_name)), address(std::move(first_address)) {
  disk.incarnation = incarnation;
}

void control_machine::start(const machine_options& options,
                            random_source& random) {
  options_ = options;
  process_ = std::make_unique<process>();
  process_->machine.skip_number_check = options.skip_number_check;
  process_->machine.on_applied = on_applied;
  process_->machine.on_loaded = on_loaded;
  process_->machine.on_decided = [this](const audit_record& record) {
    const auto it = process_->waiting.find(record.change_id);
    if (it == process_->waiting.end()) return;
    it->second(record.outcome);
    process_->waiting.erase(it);
  };
  consensus::group_options group;
  group.replica = options.replica;
  group.snapshot_every = snapshot_every;
  process_->host = std::make_unique<consensus::group_host>(
      id(), group, std::make_unique<consensus::test::simulated_storage>(disk),
      process_->machine, *this, random);
  consensus::open_membership open;
  open.min_voters = consensus::voters_to_tolerate(options.tolerated_losses);
  process_->host->set_open_membership(open);
  process_->host->start(local_now);
}

void control_machine::found(const std::string& group_id) {
  run_guarded([this, &group_id] {
    process_->host->found(local_now, group_id, {{id(), true, address}});
  });
}

void control_machine::stop() {
  process_.reset();
  disk.crash_before_sync = -1;
  disk.crash_after_sync = -1;
}

void control_machine::lose_disk(std::uint64_t incarnation) {
  stop();
  disk = consensus::test::simulated_disk();
  disk.incarnation = incarnation;
}

void control_machine::run_guarded(const std::function<void()>& action) {
  try {
    action();
  } catch (const consensus::test::crash_signal&) {
    stop();
    on_crash();
  }
}

void control_machine::deliver(const machine_message& in) {
  run_guarded([this, &in] {
    if (!in.message) {
      receive_join(in);
      return;
    }
    process_->formation.record_address(*process_->host, local_now,
                                       in.message->from, in.from_address);
    process_->host->receive(local_now, *in.message);
  });
}

void control_machine::receive_join(const machine_message& in) {
  const bool taken = process_->formation.handle_join(
      *process_->host, local_now, in.joiner, in.joiner_address);
  const std::optional<consensus::replica_id> leader = host().core().leader();
  if (taken || !leader || in.forwarded) return;
  send_join(process_->formation.address_of(host(), leader->node), in.joiner,
            in.joiner_address, true);
}

void control_machine::send_join(const std::string& to,
                                const consensus::replica_id& joiner,
                                const std::string& joiner_address,
                                bool forwarded) {
  machine_message out;
  out.from_machine = name;
  out.from_address = address;
  out.to_address = to;
  out.joiner = joiner;
  out.joiner_address = joiner_address;
  out.forwarded = forwarded;
  post(std::move(out));
}

void control_machine::send(const consensus::message& out) {
  machine_message one;
  one.from_machine = name;
  one.from_address = address;
  one.to_address = process_->formation.address_of(host(), out.to.node);
  one.message = out;
  post(std::move(one));
}

void control_machine::tick(const std::vector<std::string>& contacts) {
  run_guarded([this] {
    process_->host->tick(local_now);
    process_->formation.update(*process_->host, local_now, leads(), address);
  });
  if (!running()) return;
  if (local_now < process_->next_join || !host().needs_join(local_now)) return;
  process_->next_join = local_now + join_interval;
  for (const std::string& it : contacts) {
    if (it != address) send_join(it, id(), address, false);
  }
}

bool control_machine::leads() const {
  return process_->host->holds_lease(local_now);
}

bool control_machine::may_acknowledge() const {
  if (!leads()) return false;
  if (machine().plan() || options_.acknowledge_early) return true;
  return process_->formation.is_formed(
      host(), local_now,
      consensus::voters_to_tolerate(options_.tolerated_losses));
}

void control_machine::propose(
    const change& requested,
    std::function<void(const change_result&)> decided) {
  process_->waiting[requested.id] = std::move(decided);
  run_guarded([this, &requested] {
    const result<consensus::log_index> proposed =
        process_->host->propose(local_now, to_text(to_json(requested)));
    if (!proposed) process_->waiting.erase(requested.id);
  });
}

void control_machine::read(std::function<void()> ready) {
  run_guarded([this, &ready] {
    // Fails if this machine doesn't lead; then `ready` is never called.
    process_->host->request_read(local_now, process_->next_read++, ready);
  });
}

}  // namespace trestlepost::config::test
