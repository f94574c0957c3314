#include "config_file.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/hash.h"

namespace trestlepost::ctl {
namespace {

constexpr char fix_remedy[] = "correct the file and try again";

/// Files contain the token itself; only its hash is sent to a node.
void hash_token(json& spec) {
  if (!spec.isObject() || !spec["token"].isString()) {
    if (spec.isObject()) spec.removeMember("token");
    return;
  }
  spec["token_sha256"] = sha256_hex(spec["token"].asString());
  spec.removeMember("token");
}

}  // namespace

result<std::vector<config::edit>> read_config(const std::string& text,
                                              const std::string& file,
                                              bool check_references) {
  const result<json> document = parse_json(text, json_comments::allow);
  if (!document) {
    return fail(error_kind::bad_input, file + ": " + document.error().message,
                fix_remedy);
  }
  problem_list problems(text);
  object_reader reader(*document, "", problems);
  std::vector<config::edit> out;
  config::object_store validated_store;
  for (const config::object_kind kind : config::all_object_kinds) {
    const std::string list(config::list_name(kind));
    for (json& spec : reader.objects_or_empty(list.c_str())) {
      if (kind == config::object_kind::caller) hash_token(spec);
      const std::string name = text_of(spec, "name");
      config::edit one{kind, name, spec, std::nullopt};
      validated_store.put(one, 1, problems);
      out.push_back(std::move(one));
    }
  }
  reader.finish();
  if (problems.empty() && check_references) validated_store.check(problems);
  if (!problems.empty()) {
    return fail(error_kind::bad_input, problems.to_text(file), fix_remedy);
  }
  return out;
}

}  // namespace trestlepost::ctl
