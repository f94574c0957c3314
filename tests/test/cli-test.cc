// Tests exit codes and output of the command line client and the daemon.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

#include "cluster.h"

namespace trestlepost::test {
namespace {

struct program_result {
  int status = 0;
  std::string output;
};

program_result run(const cluster& it, std::vector<std::string> command) {
  const std::string log = it.folder() + "/cli.log";
  std::filesystem::remove(log);
  process child(command, it.folder(), log);
  program_result out;
  out.status = child.wait();
  std::ifstream in(log);
  out.output = {std::istreambuf_iterator<char>(in),
                std::istreambuf_iterator<char>()};
  return out;
}

program_result ctl(const cluster& it, std::vector<std::string> arguments,
                   const std::string& node = "isola-2") {
  std::vector<std::string> command{
      std::string(TRESTLEPOST_BIN) + "/trestlepost", "--node",
      it.address(node, 7002)};
  command.insert(command.end(), arguments.begin(), arguments.end());
  return run(it, std::move(command));
}

TEST(cli_test, commands_return_documented_exit_codes_on_any_node) {
  cluster it;
  it.bring_up();
  ::setenv("TRESTLEPOST_TOKEN", "operator-token", 1);
  std::ofstream(it.folder() + "/good.jsonc")
      << R"({"regions": [{"name": "golfo", "labels": {"m": "1"}}]}  // fine)";
  std::ofstream(it.folder() + "/bad.jsonc")
      << R"({"regions": [{"nmae": "golfo"}]})";
  for (const std::string& node : it.nodes()) {
    EXPECT_EQ(ctl(it, {"status"}, node).status, 0) << node;
    EXPECT_EQ(ctl(it, {"get", "regions"}, node).status, 0) << node;
    EXPECT_EQ(ctl(it, {"audit"}, node).status, 0) << node;
    EXPECT_EQ(ctl(it, {"held"}, node).status, 0) << node;
  }
  const program_result applied =
      ctl(it, {"apply", "-f", "good.jsonc", "--change-id", "c1", "--wait"},
          "golfo-2");
  EXPECT_EQ(applied.status, 0) << applied.output;
  EXPECT_NE(applied.output.find("accepted"), std::string::npos);
  EXPECT_EQ(ctl(it, {"apply", "-f", "good.jsonc"})
                .output.rfind("nothing to change", 0),
            0U);
  const program_result bad = ctl(it, {"apply", "-f", "bad.jsonc"});
  EXPECT_EQ(bad.status, 2);
  EXPECT_NE(bad.output.find("did you mean \"name\"?"), std::string::npos);
  EXPECT_EQ(ctl(it, {"check", "bad.jsonc"}).status, 2);
  EXPECT_EQ(ctl(it, {"check", "good.jsonc"}).status, 0);
  const program_result no_file = ctl(it, {"check", "none.jsonc"});
  EXPECT_EQ(no_file.status, 2);
  EXPECT_NE(no_file.output.find("cannot read none.jsonc"), std::string::npos);
  EXPECT_EQ(no_file.output.find("-f"), std::string::npos);  // no such flag
  EXPECT_EQ(ctl(it, {"apply", "-f", "good.jsonc", "--change-id", "c2",
                     "--if-revision", "1"})
                .status,
            3);
  EXPECT_EQ(ctl(it, {"delete", "region", "golfo"}).status, 1);
  EXPECT_EQ(ctl(it, {"get", "region", "none"}).status, 2);
  const program_result explained =
      ctl(it, {"explain", "--caller", "terminal", "--service", "guida"});
  EXPECT_EQ(explained.status, 0) << explained.output;
  EXPECT_NE(explained.output.find("served in"), std::string::npos);
  EXPECT_EQ(
      ctl(it, {"explain", "--caller", "nobody", "--service", "guida"}).status,
      1);
  EXPECT_EQ(ctl(it, {"release", "0123"}).status, 2);
  const program_result as_json = ctl(it, {"--output", "json", "status"});
  EXPECT_TRUE(parse_json(as_json.output)) << as_json.output;
  EXPECT_EQ(ctl(it, {"drain", "guida-golfo-1"}).status, 0);
  EXPECT_EQ(ctl(it, {"drain", "guida-golfo-1", "--undo"}).status, 0);
  ::setenv("TRESTLEPOST_TOKEN", "read-token", 1);
  EXPECT_EQ(ctl(it, {"status"}).status, 0);
  EXPECT_EQ(ctl(it, {"drain", "guida-golfo-1"}).status, 5);
  ::setenv("TRESTLEPOST_TOKEN", "guess", 1);
  EXPECT_EQ(ctl(it, {"status"}).status, 5);
  it.kill_node("stretto-2");
  EXPECT_EQ(ctl(it, {"status"}, "stretto-2").status, 4);
}

// A suspended node accepts connections and never answers: the client waited for
// it forever instead of asking the next node.
TEST(cli_test, a_suspended_node_is_passed_over) {
  cluster it;
  it.bring_up();
  ::setenv("TRESTLEPOST_TOKEN", "operator-token", 1);
  it.freeze_node("isola-2");
  constexpr std::chrono::seconds suspension{15};
  std::thread resumer([&it, suspension] {
    std::this_thread::sleep_for(suspension);
    it.thaw_node("isola-2");
  });
  const std::chrono::steady_clock::time_point begin =
      std::chrono::steady_clock::now();
  const program_result out =
      ctl(it, {"--node", it.address("golfo-2", 7002), "status"}, "isola-2");
  EXPECT_EQ(out.status, 0) << out.output;
  EXPECT_LT(std::chrono::steady_clock::now() - begin, suspension * 2 / 3);
  resumer.join();
}

TEST(cli_test, the_daemon_rejects_invalid_settings_at_start) {
  cluster it;
  it.bring_up();
  std::ofstream(it.folder() + "/typo.jsonc")
      << "{\n  \"node\": \"x\",\n  \"regoin\": \"isola\"\n}\n";
  const std::string daemon = std::string(TRESTLEPOST_BIN) + "/trestlepostd";
  const program_result typo = run(it, {daemon, "--settings", "typo.jsonc"});
  EXPECT_EQ(typo.status, 2);
  EXPECT_NE(typo.output.find("typo.jsonc:3: regoin"), std::string::npos)
      << typo.output;
  const program_result taken = run(it, {daemon, "--settings", "isola-2.jsonc"});
  EXPECT_EQ(taken.status, 3);
  EXPECT_NE(taken.output.find("cannot listen"), std::string::npos);
  const program_result folder =
      run(it, {daemon, "--settings", "isola-1.jsonc"});
  EXPECT_EQ(folder.status, 3);
  EXPECT_NE(folder.output.find("another process uses"), std::string::npos);
  EXPECT_EQ(run(it, {daemon, "--check", "--settings", "isola-2.jsonc"}).status,
            0);
}

// A daemon that was told to reload its settings while it read them ended.
TEST(cli_test, a_hangup_during_the_start_does_not_end_the_daemon) {
  cluster it;
  const std::string fifo = it.folder() + "/fifo.jsonc";
  ASSERT_EQ(::mkfifo(fifo.c_str(), 0600), 0);
  process daemon({std::string(TRESTLEPOST_BIN) + "/trestlepostd", "--check",
                  "--settings", "fifo.jsonc"},
                 it.folder(), it.folder() + "/daemon.log");
  // Opens once the daemon has begun to read.
  std::ofstream settings(fifo);
  daemon.signal(SIGHUP);
  std::ifstream text(it.folder() + "/isola-2.jsonc");
  settings << text.rdbuf();
  settings.close();
  EXPECT_EQ(daemon.wait(), 0);
}

}  // namespace
}  // namespace trestlepost::test
