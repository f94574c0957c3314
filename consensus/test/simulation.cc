#include "simulation.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace trestlepost::consensus::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds step_time{20};
constexpr std::size_t voter_count = 3;
constexpr std::size_t node_count = 4;  // "d" stays a learner

class recording_machine final : public state_machine {
 public:
  std::function<void(const entry&)> on_apply;

  void apply(const entry& committed) override {
    commands_.push_back(committed.data);
    on_apply(committed);
  }
  std::string save() const override {
    json out(Json::arrayValue);
    for (const std::string& it : commands_) out.append(it);
    return to_text(out);
  }
  result<void> load(std::string_view data) override {
    std::vector<std::string> loaded;
    const result<json> parsed = parse_json(data.empty() ? "[]" : data);
    for (const json& it : *parsed) loaded.push_back(it.asString());
    if (loaded.size() < commands_.size()) regressed = true;
    commands_ = std::move(loaded);
    return {};
  }

  const std::vector<std::string>& commands() const { return commands_; }
  bool regressed = false;

 private:
  std::vector<std::string> commands_;
};

struct packet {
  message content;
  int due_step = 0;
};

class simulation;

struct node final : message_sink {
  simulation* owner = nullptr;
  std::string name;
  simulated_disk disk;
  recording_machine machine;
  std::unique_ptr<group_host> host;
  int suspended_until = 0;
  int down_until = 0;
  int slow_until = 0;     // the disk is slow
  int write_ends_at = 0;  // step at which the write in progress ends
  int clock_percent = 100;
  monotonic_time local_now;

  replica_id id() const { return {name, disk.incarnation}; }
  void send(const message& out) override;
};

class simulation {
 public:
  explicit simulation(const simulation_options& options)
      : options_(options), random_(options.seed) {}

  simulation_outcome run();
  void enqueue(const message& out);

 private:
  void start(node& it);
  void found();
  void run_until_crash(node& it, const std::function<void()>& action);
  void crash(node& it);
  void crash_writing_nodes();
  void step(bool faults);
  void inject_fault();
  void lose_disk();
  void propose();
  void deliver();
  /// Ends the write in progress on a slow disk when its time has come.
  void end_writes(node& it);
  void tick_all();
  void check();
  void record_apply(const node& by, const entry& committed);
  bool is_repaired() const;
  node* leader();
  bool replicas_agree() const;
  void heal();
  bool reachable(const std::string& from, const std::string& to) const {
    return !blocked_links_.contains({from, to});
  }

  simulation_options options_;
  seeded_random random_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::vector<packet> packets_;
  std::set<std::pair<std::string, std::string>> blocked_links_;
  std::map<log_index, std::string> applied_;
  std::map<term_number, std::string> leaders_;
  std::map<std::string, std::size_t> times_applied_;
  simulation_outcome outcome_;
  int step_ = 0;
  std::uint64_t next_command_ = 1;
  std::uint64_t next_incarnation_ = 1;
};

void node::send(const message& out) {
  owner->enqueue(out);
}

void simulation::enqueue(const message& out) {
  const auto lost = [this] { return random_.below(100) < 3; };
  if (!reachable(out.from.node, out.to.node) || lost()) return;
  const int delay = 1 + static_cast<int>(random_.below(4));
  packets_.push_back({out, step_ + delay});
  if (random_.below(100) < 3) packets_.push_back({out, step_ + delay + 7});
}

void simulation::start(node& it) {
  it.owner = this;
  it.machine = recording_machine();
  node* self = &it;
  it.machine.on_apply = [this, self](const entry& committed) {
    record_apply(*self, committed);
  };
  group_options options;
  options.replica = options_.replica;
  options.snapshot_every = 20;
  it.disk.skip_sync = options_.skip_sync;
  it.host = std::make_unique<group_host>(
      it.id(), options, std::make_unique<simulated_storage>(it.disk),
      it.machine, it, random_);
  it.host->start(it.local_now);
  it.host->set_desired_voters({"a", "b", "c"});
}

void simulation::found() {
  member_list members;
  for (const char* name : {"a", "b", "c", "d"}) {
    std::unique_ptr<node> it = std::make_unique<node>();
    it->name = name;
    it->disk.incarnation = next_incarnation_++;
    it->clock_percent = 97 + static_cast<int>(random_.below(7));
    members.push_back({it->id(), nodes_.size() < voter_count});
    nodes_.push_back(std::move(it));
  }
  for (const std::unique_ptr<node>& it : nodes_) start(*it);
  nodes_[0]->host->found(nodes_[0]->local_now, "group", members);
}

void simulation::run_until_crash(node& it,
                                 const std::function<void()>& action) {
  try {
    action();
  } catch (const crash_signal&) {
    crash(it);
  }
}

void simulation::crash(node& it) {
  it.host.reset();
  it.disk.pending_write = nullptr;
  it.disk.crash_before_sync = -1;
  it.disk.crash_after_sync = -1;
  it.down_until = step_ + static_cast<int>(random_.below(150));
}

void simulation::crash_writing_nodes() {
  for (const std::unique_ptr<node>& it : nodes_) {
    if (it->host && it->disk.pending_write) crash(*it);
  }
}

void simulation::record_apply(const node& by, const entry& committed) {
  const auto [it, added] = applied_.emplace(committed.index, committed.data);
  if (!added && it->second != committed.data) {
    outcome_.violations.push_back("node " + by.name + " applied a different " +
                                  "entry at index " +
                                  std::to_string(committed.index));
  }
  if (added) {
    ++outcome_.acknowledged;
    if (++times_applied_[committed.data] > 1) {
      outcome_.violations.push_back("a command was committed twice");
    }
  }
}

node* simulation::leader() {
  for (const std::unique_ptr<node>& it : nodes_) {
    if (it->host && it->host->core().is_leader()) return it.get();
  }
  return nullptr;
}

bool simulation::is_repaired() const {
  const node* settled = nullptr;
  for (const std::unique_ptr<node>& it : nodes_) {
    if (!it->host) continue;
    if (it->host->holds_lease(it->local_now)) settled = it.get();
  }
  if (settled == nullptr) return false;
  const replica& core = settled->host->core();
  if (core.members_change_pending()) return false;
  std::size_t found = 0;
  for (const std::unique_ptr<node>& it : nodes_) {
    const member voter{it->id(), true};
    const member_list& members = core.members();
    if (std::find(members.begin(), members.end(), voter) != members.end()) {
      ++found;
    }
  }
  std::size_t voters = 0;
  for (const member& it : core.members()) voters += it.voter ? 1 : 0;
  return found == voter_count && voters == voter_count;
}

void simulation::lose_disk() {
  if (!options_.lose_disks || !is_repaired()) return;
  node& it = *nodes_[random_.below(voter_count)];
  it.host.reset();
  it.slow_until = 0;
  const std::uint64_t former = it.disk.incarnation;
  it.disk = simulated_disk();
  it.disk.incarnation =
      options_.reuse_incarnation ? former : ++next_incarnation_;
  it.down_until = step_ + static_cast<int>(random_.below(100));
  ++outcome_.disks_lost;
}

void simulation::inject_fault() {
  node& it = *nodes_[random_.below(node_count)];
  const node& other = *nodes_[random_.below(node_count)];
  switch (random_.below(16)) {
    case 0:
      if (it.host) crash(it);
      break;
    case 1:
      it.disk.crash_before_sync = static_cast<int>(random_.below(3));
      break;
    case 2:
      it.disk.crash_after_sync = static_cast<int>(random_.below(3));
      break;
    case 3:
      it.suspended_until = step_ + static_cast<int>(random_.below(200));
      break;
    case 4:
      blocked_links_.emplace(it.name, other.name);
      break;
    case 5:
      blocked_links_.emplace(it.name, other.name);
      blocked_links_.emplace(other.name, it.name);
      break;
    case 6:
    case 7:
      blocked_links_.clear();
      break;
    case 8:
    case 9:
      it.slow_until = step_ + static_cast<int>(random_.below(200));
      break;
    case 10:
    case 11:
      crash_writing_nodes();
      break;
    default:
      lose_disk();
      break;
  }
}

void simulation::propose() {
  for (const std::unique_ptr<node>& it : nodes_) {
    if (!it->host || step_ < it->suspended_until) continue;
    if (!it->host->core().is_leader()) continue;
    run_until_crash(*it, [this, &it] {
      it->host->propose(it->local_now,
                        "command " + std::to_string(next_command_++));
    });
  }
}

void simulation::deliver() {
  std::vector<packet> due;
  std::erase_if(packets_, [this, &due](const packet& it) {
    if (it.due_step > step_) return false;
    due.push_back(it);
    return true;
  });
  for (const packet& it : due) {
    for (const std::unique_ptr<node>& to : nodes_) {
      if (to->name != it.content.to.node || !to->host) continue;
      if (step_ < to->suspended_until) {
        packets_.push_back({it.content, to->suspended_until});
        continue;
      }
      run_until_crash(*to,
                      [&] { to->host->receive(to->local_now, it.content); });
    }
  }
}

void simulation::end_writes(node& it) {
  it.disk.slow = step_ < it.slow_until;
  if (!it.disk.pending_write) {
    it.write_ends_at = 0;
    return;
  }
  if (it.write_ends_at == 0) {
    it.write_ends_at = step_ + 1 + static_cast<int>(random_.below(60));
  }
  if (it.disk.slow && step_ < it.write_ends_at) return;
  it.write_ends_at = 0;
  const std::function<void()> write =
      std::exchange(it.disk.pending_write, nullptr);
  run_until_crash(it, write);
}

void simulation::tick_all() {
  for (const std::unique_ptr<node>& it : nodes_) {
    if (it->host && step_ >= it->suspended_until) end_writes(*it);
    it->local_now += step_time * it->clock_percent / 100;
    if (!it->host && step_ >= it->down_until) start(*it);
    if (!it->host || step_ < it->suspended_until) continue;
    run_until_crash(*it, [&] { it->host->tick(it->local_now); });
    if (!it->host || step_ % 10 != 0) continue;
    if (!it->host->needs_join(it->local_now)) continue;
    node* to = leader();
    if (to == nullptr || step_ < to->suspended_until) continue;
    if (!reachable(it->name, to->name)) continue;
    run_until_crash(*to,
                    [&] { to->host->handle_join(to->local_now, it->id()); });
  }
}

void simulation::check() {
  int leases = 0;
  for (const std::unique_ptr<node>& it : nodes_) {
    if (it->machine.regressed) {
      outcome_.violations.push_back("node " + it->name +
                                    " lost applied commands");
      it->machine.regressed = false;
    }
    if (!it->host || !it->host->core().is_leader()) continue;
    const term_number term = it->host->core().term();
    const auto [found, added] = leaders_.emplace(term, it->name);
    if (added) ++outcome_.leaders;
    if (found->second != it->name) {
      outcome_.violations.push_back("two leaders in one term");
    }
    if (it->host->holds_lease(it->local_now)) ++leases;
  }
  if (leases > 1) outcome_.violations.push_back("two leases at one time");
}

void simulation::step(bool faults) {
  ++step_;
  if (faults && random_.below(100) < 3) inject_fault();
  if (random_.below(100) < 15) propose();
  deliver();
  tick_all();
  check();
}

void simulation::heal() {
  blocked_links_.clear();
  for (const std::unique_ptr<node>& it : nodes_) {
    it->suspended_until = 0;
    it->down_until = 0;
    it->slow_until = 0;
    it->disk.crash_before_sync = -1;
    it->disk.crash_after_sync = -1;
  }
}

bool simulation::replicas_agree() const {
  for (const std::unique_ptr<node>& it : nodes_) {
    if (it->name == "d") continue;
    if (!it->host || it->host->applied() < applied_.rbegin()->first) {
      return false;
    }
    if (it->machine.commands().size() < outcome_.acknowledged) return false;
  }
  return true;
}

simulation_outcome simulation::run() {
  found();
  while (step_ < options_.steps) step(true);
  heal();
  const std::size_t before = outcome_.acknowledged;
  for (int i = 0; i < 2000 && !outcome_.converged; ++i) {
    step(false);
    outcome_.converged = outcome_.acknowledged > before && replicas_agree();
  }
  return outcome_;
}

}  // namespace

simulation_outcome simulate(const simulation_options& options) {
  return simulation(options).run();
}

}  // namespace trestlepost::consensus::test
