// Reads, validates and interprets state charts.
#include "trestlepost/charts/chart.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>

#include "trestlepost/base/object_reader.h"

namespace trestlepost::charts {
namespace {

bool contains(const std::vector<std::string>& all, const std::string& one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

}  // namespace

/// Reads one chart and collects all errors in it.
class chart_reader {
 public:
  chart_reader(const std::string& text, const chart_interface& code)
      : problems_(text), code_(code) {}

  chart read(const json& document) {
    object_reader reader(document, "", problems_);
    out_.initial_ = reader.text("initial");
    const json& states = reader.raw("states");
    reader.finish();
    if (!states.isObject() || states.empty()) {
      problems_.add(document, "states", "the chart has no states",
                    "write \"states\": {\"name\": {\"on\": {...}}}");
      return std::move(out_);
    }
    for (const std::string& name : states.getMemberNames()) {
      read_state(name, states[name]);
    }
    check_targets(states);
    check_reachable(states);
    check_code_states(states);
    return std::move(out_);
  }

  const problem_list& problems() const { return problems_; }

 private:
  void read_state(const std::string& name, const json& value) {
    object_reader reader(value, "states." + name, problems_);
    const json& on = reader.raw("on");
    const std::vector<std::string> ignored = reader.texts_or_empty("ignore");
    reader.finish();
    chart::event_map& events = out_.states_[name];
    if (on.isObject()) {
      for (const std::string& event : on.getMemberNames()) {
        events[event] =
            read_transitions(on[event], "states." + name + "." + event);
      }
    }
    for (const std::string& event : ignored) events[event] = {};
    for (const auto& [event, unused] : events) {
      if (contains(code_.events, event)) continue;
      problems_.add(
          value, "states." + name, "event \"" + event + "\" is unknown",
          "did you mean \"" + nearest_word(event, code_.events) + "\"?");
    }
    for (const std::string& event : code_.events) {
      if (events.contains(event)) continue;
      problems_.add(value, "states." + name,
                    "event \"" + event + "\" is not handled",
                    "add it to \"on\" or to \"ignore\"");
    }
  }

  std::vector<chart::transition> read_transitions(const json& value,
                                                  const std::string& path) {
    std::vector<chart::transition> out;
    if (value.isString()) {
      out.push_back({value.asString(), {}});
      return out;
    }
    if (!value.isArray()) {
      problems_.add(value, path, "expected a state or a list of guarded states",
                    "write \"state\" or [{\"guard\": g, \"to\": state}]");
      return out;
    }
    for (const json& it : value) {
      object_reader reader(it, path, problems_);
      chart::transition one;
      one.target = reader.text("to");
      one.guard = reader.text_or("guard", "");
      reader.finish();
      if (!one.guard.empty() && !contains(code_.guards, one.guard)) {
        problems_.add(
            it, path, "guard \"" + one.guard + "\" is unknown",
            "did you mean \"" + nearest_word(one.guard, code_.guards) + "\"?");
      }
      out.push_back(std::move(one));
    }
    return out;
  }

  void check_targets(const json& states) {
    if (!out_.states_.contains(out_.initial_)) {
      problems_.add(states, "initial",
                    "state \"" + out_.initial_ + "\" does not exist",
                    "name one of the states");
    }
    for (const auto& [name, events] : out_.states_) {
      for (const auto& [event, transitions] : events) {
        for (const chart::transition& it : transitions) {
          if (out_.states_.contains(it.target)) continue;
          problems_.add(states[name], "states." + name + "." + event,
                        "state \"" + it.target + "\" does not exist",
                        "name one of the states");
        }
      }
    }
  }

  void check_reachable(const json& states) {
    std::set<std::string> reached{out_.initial_};
    std::vector<std::string> pending{out_.initial_};
    while (!pending.empty()) {
      const auto found = out_.states_.find(pending.back());
      pending.pop_back();
      if (found == out_.states_.end()) continue;
      for (const auto& [event, transitions] : found->second) {
        for (const chart::transition& it : transitions) {
          if (reached.insert(it.target).second) pending.push_back(it.target);
        }
      }
    }
    for (const auto& [name, unused] : out_.states_) {
      if (reached.contains(name)) continue;
      problems_.add(states[name], "states." + name,
                    "the state can't be reached",
                    "add a transition to it, or remove it");
    }
  }

  void check_code_states(const json& states) {
    for (const std::string& name : code_.states) {
      if (out_.states_.contains(name)) continue;
      problems_.add(states, "states", "state \"" + name + "\" is missing",
                    "add it; the code requires this state");
    }
  }

  problem_list problems_;
  const chart_interface& code_;
  chart out_;
};

result<chart> chart::parse(const std::string& text, const std::string& file,
                           const chart_interface& code) {
  const result<json> document = parse_json(text, json_comments::allow);
  if (!document) {
    return fail(error_kind::bad_settings,
                file + ": " + document.error().message,
                "fix the chart or reinstall the shipped one");
  }
  chart_reader reader(text, code);
  chart out = reader.read(*document);
  if (!reader.problems().empty()) {
    return fail(error_kind::bad_settings, reader.problems().to_text(file),
                "fix the chart or reinstall the shipped one");
  }
  return out;
}

result<chart> chart::load(const std::filesystem::path& file,
                          const chart_interface& code) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    return fail(error_kind::bad_settings, "cannot read " + file.string(),
                "set charts_folder to the folder of the shipped charts");
  }
  const std::string text{std::istreambuf_iterator<char>(in),
                         std::istreambuf_iterator<char>()};
  return parse(text, file.string(), code);
}

const std::string& chart::next(const std::string& state,
                               const std::string& event,
                               const guard_function& holds) const {
  const auto found = states_.find(state);
  if (found == states_.end()) return state;
  const auto it = found->second.find(event);
  if (it == found->second.end()) return state;
  for (const transition& one : it->second) {
    if (one.guard.empty() || holds(one.guard)) return one.target;
  }
  return state;
}

}  // namespace trestlepost::charts
