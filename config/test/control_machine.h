// One simulated machine of the control group: its disk outlives its process.
// It runs the shipped group_host, group_formation and config_state_machine;
// what the daemon does around them with sockets is done here with letters.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../../consensus/test/simulated_disk.h"
#include "trestlepost/config/state_machine.h"
#include "trestlepost/consensus/group_formation.h"

namespace trestlepost::config::test {

/// A message between replicas, or the question of a node to be taken in.
struct letter {
  std::string from_machine;
  std::string from_address;
  std::string to_address;
  std::optional<consensus::message> message;
  consensus::replica_id joiner;
  std::string joiner_address;
  bool passed_on = false;
};

/// The configuration, with an observer of what is applied and in force.
class plan_machine final : public consensus::state_machine {
 public:
  std::function<void(const consensus::entry&)> on_applied;
  std::function<void()> on_loaded;
  std::function<void(const audit_record&)> on_decided;
  /// Broken on purpose: the plan that came last holds, whatever its number.
  bool skip_number_check = false;

  plan_machine() { renew(); }
  void apply(const consensus::entry& committed) override;
  std::string save() const override { return inner_->save(); }
  void load(std::string_view data) override;

  const plan_ptr& plan() const { return inner_->store().plan(); }

 private:
  void renew();
  std::unique_ptr<config_state_machine> inner_;
};

/// How a machine runs its replica.
struct machine_options {
  consensus::replica_options replica;
  std::size_t tolerated_losses = 2;
  /// Broken on purpose: the first acknowledgement waits for no voters.
  bool acknowledge_early = false;
  bool skip_number_check = false;
};

/// One machine: started, stopped, moved and deprived of its disk by the
/// simulation.
class control_machine final : public consensus::message_sink {
 public:
  control_machine(std::string name, std::string address,
                  std::uint64_t incarnation);

  // Set by the simulation before the first start.
  std::function<void(letter)> post;
  std::function<void(const consensus::entry&)> on_applied;
  std::function<void()> on_loaded;
  std::function<void()> on_crash;

  void start(const machine_options& options, random_source& random);
  /// Founds a group alone, as the first seed of a first start does.
  void found(const std::string& group_id);
  void stop();
  void lose_disk(std::uint64_t incarnation);
  void deliver(const letter& in);
  void tick(const std::vector<std::string>& contacts);
  void send(const consensus::message& out) override;

  bool leads() const;
  bool may_acknowledge() const;
  /// Runs `decided` once the change is decided here, if ever.
  void propose(const change& asked,
               std::function<void(const change_result&)> decided);
  void read(std::function<void()> ready);

  consensus::replica_id id() const { return {name, disk.incarnation}; }
  bool running() const { return process_ != nullptr; }
  const consensus::group_host& host() const { return *process_->host; }
  const plan_machine& machine() const { return process_->machine; }

  std::string name;
  std::string address;
  consensus::test::simulated_disk disk;
  int frozen_until = 0;
  int down_until = 0;
  int clock_percent = 100;
  bool present = true;  // false: not there yet, or taken away for good
  monotonic_time local_now;

 private:
  struct process {
    std::map<std::string, std::string> heard_from;
    plan_machine machine;
    consensus::group_formation growth{heard_from};
    std::unique_ptr<consensus::group_host> host;
    std::map<std::string, std::function<void(const change_result&)>> waiting;
    std::uint64_t next_read = 1;
    monotonic_time next_join;
  };

  /// Runs `action`; the process ends when its disk says so meanwhile.
  void guarded(const std::function<void()>& action);
  void take_join(const letter& in);
  void post_join(const std::string& to, const consensus::replica_id& joiner,
                 const std::string& joiner_address, bool passed_on);

  machine_options options_;
  std::unique_ptr<process> process_;
};

}  // namespace trestlepost::config::test
