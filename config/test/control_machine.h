// A simulated machine of the control group, whose disk survives its process. It
// runs the production classes group_host, group_formation and
// config_state_machine; messages in memory replace the daemon's sockets.
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

/// A message between two machines: a consensus message, or a join request if
/// `message` is unset.
struct machine_message {
  std::string from_machine;
  std::string from_address;
  std::string to_address;
  std::optional<consensus::message> message;
  consensus::replica_id joiner;
  std::string joiner_address;
  bool forwarded = false;
};

/// The configuration state machine with callbacks for the simulation's checks.
class observed_machine final : public consensus::state_machine {
 public:
  std::function<void(const consensus::entry&)> on_applied;
  std::function<void()> on_loaded;
  std::function<void(const audit_record&)> on_decided;
  /// Fault injection: the latest plan is put in force regardless of its number.
  bool skip_number_check = false;

  observed_machine() { reset_state(); }
  void apply(const consensus::entry& committed) override;
  std::string save() const override { return inner_->save(); }
  result<void> load(std::string_view data) override;

  const plan_ptr& plan() const { return inner_->store().plan(); }

 private:
  void reset_state();
  std::unique_ptr<config_state_machine> inner_;
};

/// Settings of a machine and its replica.
struct machine_options {
  consensus::replica_options replica;
  std::size_t tolerated_losses = 2;
  /// Fault injection: plans are acknowledged before the group has grown to
  /// enough voters.
  bool acknowledge_early = false;
  bool skip_number_check = false;
};

/// One machine. The simulation starts and stops it, changes its address and
/// erases its disk.
class control_machine final : public consensus::message_sink {
 public:
  control_machine(std::string name, std::string address,
                  std::uint64_t incarnation);

  // Set by the simulation before the first start.
  std::function<void(machine_message)> post;
  std::function<void(const consensus::entry&)> on_applied;
  std::function<void()> on_loaded;
  std::function<void()> on_crash;

  void start(const machine_options& options, random_source& random);
  /// Founds a group with this machine as its only member, as the first seed
  /// does on its first start.
  void found(const std::string& group_id);
  void stop();
  void lose_disk(std::uint64_t incarnation);
  void deliver(const machine_message& in);
  void tick(const std::vector<std::string>& contacts);
  void send(const consensus::message& out) override;

  bool leads() const;
  bool may_acknowledge() const;
  /// Proposes a change. `decided` is called when the change is decided on this
  /// machine; it may never be called.
  void propose(const change& requested,
               std::function<void(const change_result&)> decided);
  /// Requests a linearizable read; `ready` is called when it is confirmed.
  void read(std::function<void()> ready);

  consensus::replica_id id() const { return {name, disk.incarnation}; }
  bool running() const { return process_ != nullptr; }
  const consensus::group_host& host() const { return *process_->host; }
  const observed_machine& machine() const { return process_->machine; }

  std::string name;
  std::string address;
  consensus::test::simulated_disk disk;
  int suspended_until = 0;  // step of the simulation
  int down_until = 0;       // step of the simulation
  int clock_percent = 100;  // speed of the local clock
  bool present = true;      // false: not added yet, or removed permanently
  monotonic_time local_now;

 private:
  struct process {
    std::map<std::string, std::string> node_addresses;
    observed_machine machine;
    consensus::group_formation formation{node_addresses};
    std::unique_ptr<consensus::group_host> host;
    std::map<std::string, std::function<void(const change_result&)>> waiting;
    std::uint64_t next_read = 1;
    monotonic_time next_join;
  };

  /// Runs `action`. If the simulated disk raises a crash, stops the process.
  void run_guarded(const std::function<void()>& action);
  void receive_join(const machine_message& in);
  void send_join(const std::string& to, const consensus::replica_id& joiner,
                 const std::string& joiner_address, bool forwarded);

  machine_options options_;
  std::unique_ptr<process> process_;
};

}  // namespace trestlepost::config::test
