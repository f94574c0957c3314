// trestlepost: the command line client for operators.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "commands.h"

namespace {

using trestlepost::ctl::client;
using trestlepost::ctl::client_options;
using trestlepost::ctl::commands;

constexpr char completion_script[] = R"(_trestlepost() {
  local words="init apply get delete status audit explain drain held release check recover completion"
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[1]}"))
  else
    COMPREPLY=($(compgen -W "--node --token-file --output --help" -f -- \
      "${COMP_WORDS[$COMP_CWORD]}"))
  fi
}
complete -F _trestlepost trestlepost
)";

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::string read_token(const std::string& file) {
  if (file.empty()) return environment("TRESTLEPOST_TOKEN");
  std::ifstream in(file);
  std::string out;
  std::getline(in, out);
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Operates trestlepost, the multi-region inference gateway"};
  app.require_subcommand(1);
  app.fallthrough();
  app.set_version_flag("--version", TRESTLEPOST_VERSION);
  client_options connection;
  std::string token_file;
  std::string output = "text";
  app.add_option("--node", connection.nodes,
                 "operators' address of a node; may be repeated")
      ->envname("TRESTLEPOST_NODE");
  app.add_option("--token-file", token_file,
                 "file with the operator's token (default: TRESTLEPOST_TOKEN)");
  app.add_option("--output", output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));

  app.add_subcommand("init", "found the configuration group; only once");
  app.add_subcommand("status", "show nodes, groups and endpoints");
  app.add_subcommand("completion", "print a completion script for bash");

  trestlepost::ctl::apply_options apply;
  CLI::App* apply_command = app.add_subcommand("apply", "apply a file");
  apply_command->add_option("-f,--file", apply.file, "the file")->required();
  apply_command->add_option(
      "--change-id", apply.change_id,
      "id of the change, so that it can be retried safely");
  apply_command->add_option(
      "--if-revision", apply.if_revision,
      "refuse unless the configuration is at this revision");
  apply_command->add_flag("--wait", apply.wait,
                          "wait until the change is in force on every node");

  std::string kind;
  std::string name;
  std::string change_id;
  CLI::App* get_command = app.add_subcommand("get", "show objects");
  get_command->add_option("kind", kind, "regions, services, ...");
  get_command->add_option("name", name);
  CLI::App* delete_command = app.add_subcommand("delete", "remove an object");
  delete_command->add_option("kind", kind)->required();
  delete_command->add_option("name", name)->required();
  delete_command->add_option("--change-id", change_id);

  trestlepost::ctl::audit_options audit;
  CLI::App* audit_command =
      app.add_subcommand("audit", "show who changed what");
  audit_command->add_option("--operator", audit.operator_name);
  audit_command->add_option("--kind", audit.kind);
  audit_command->add_option("--name", audit.name);
  audit_command->add_option("--since", audit.since,
                            "maximum age, for example \"2 h\"");
  audit_command->add_option("--limit", audit.limit);

  trestlepost::ctl::explain_options explain;
  CLI::App* explain_command =
      app.add_subcommand("explain", "show where a request would be served");
  explain_command->add_option("--caller", explain.caller)->required();
  explain_command->add_option("--service", explain.service)->required();
  explain_command->add_option("--labels", explain.labels, "key=value,...");
  explain_command->add_flag("--run-once", explain.run_once,
                            "explain a request with an idempotency key");

  bool undo = false;
  bool this_node = false;
  std::string endpoint;
  CLI::App* drain_command =
      app.add_subcommand("drain", "stop sending new requests to an endpoint");
  drain_command->add_option("endpoint", endpoint);
  drain_command->add_flag("--undo", undo, "send requests to it again");
  drain_command->add_flag("--this-node", this_node,
                          "stop the node of --node when its requests end");

  app.add_subcommand("held", "show held requests, which no endpoint receives");
  std::string fingerprint;
  CLI::App* release_command =
      app.add_subcommand("release", "send a held request to endpoints again");
  release_command->add_option("fingerprint", fingerprint)->required();
  release_command->add_option("--change-id", change_id);

  bool accept_loss = false;
  CLI::App* recover_command = app.add_subcommand(
      "recover", "continue from one control node's disk after a lost majority");
  recover_command->add_flag("--accept-loss", accept_loss,
                            "accept the loss of changes on the lost nodes");

  std::string file;
  CLI::App* check_command = app.add_subcommand("check", "validate a file");
  check_command->add_option("file", file)->required();

  CLI11_PARSE(app, argc, argv);
  if (app.got_subcommand("completion")) {
    std::cout << completion_script;
    return 0;
  }
  connection.token = read_token(token_file);
  client rpc(connection);
  commands run(rpc, {output == "json"});
  if (app.got_subcommand("init")) return run.init();
  if (app.got_subcommand("status")) return run.status();
  if (apply_command->parsed()) return run.apply(apply);
  if (get_command->parsed()) return run.get(kind, name);
  if (delete_command->parsed()) return run.remove(kind, name, change_id);
  if (audit_command->parsed()) return run.audit(audit);
  if (explain_command->parsed()) return run.explain(explain);
  if (check_command->parsed()) return run.check(file);
  if (recover_command->parsed()) return run.recover(accept_loss);
  if (app.got_subcommand("held")) return run.held();
  if (release_command->parsed()) return run.release(fingerprint, change_id);
  if (drain_command->parsed()) {
    if (this_node) return run.drain_node();
    if (!endpoint.empty()) return run.drain_endpoint(endpoint, undo);
    std::cerr << "trestlepost: name an endpoint, or use --this-node\n";
    return trestlepost::ctl::exit_codes::bad_input;
  }
  return trestlepost::ctl::exit_codes::bad_input;
}
