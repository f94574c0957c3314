#include "trestlepost/base/json_document.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/value_stack.hpp>
#include <cstdint>
#include <string>

#include "trestlepost/base/json.h"

namespace trestlepost {
namespace {

using boost::json::string_view;
using error_code = boost::json::error_code;

/// Parser handler that builds the values of a document and counts its keys,
/// including duplicates.
class document_builder {
 public:
  static constexpr std::size_t max_object_size = -1;
  static constexpr std::size_t max_array_size = -1;
  static constexpr std::size_t max_key_size = -1;
  static constexpr std::size_t max_string_size = -1;

  void reset(boost::json::storage_ptr to) { values_.reset(std::move(to)); }
  boost::json::value release() { return values_.release(); }
  std::size_t keys() const { return keys_; }

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return true; }
  bool on_object_end(std::size_t n, error_code&) {
    values_.push_object(n);
    return true;
  }
  bool on_array_begin(error_code&) { return true; }
  bool on_array_end(std::size_t n, error_code&) {
    values_.push_array(n);
    return true;
  }
  bool on_key_part(string_view text, std::size_t, error_code&) {
    values_.push_chars(text);
    return true;
  }
  bool on_key(string_view text, std::size_t, error_code&) {
    ++keys_;
    values_.push_key(text);
    return true;
  }
  bool on_string_part(string_view text, std::size_t, error_code&) {
    values_.push_chars(text);
    return true;
  }
  bool on_string(string_view text, std::size_t, error_code&) {
    values_.push_string(text);
    return true;
  }
  bool on_number_part(string_view, error_code&) { return true; }
  bool on_int64(std::int64_t n, string_view, error_code&) {
    values_.push_int64(n);
    return true;
  }
  bool on_uint64(std::uint64_t n, string_view, error_code&) {
    values_.push_uint64(n);
    return true;
  }
  bool on_double(double n, string_view, error_code&) {
    values_.push_double(n);
    return true;
  }
  bool on_bool(bool it, error_code&) {
    values_.push_bool(it);
    return true;
  }
  bool on_null(error_code&) {
    values_.push_null();
    return true;
  }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }

 private:
  boost::json::value_stack values_;
  std::size_t keys_ = 0;
};

/// Counts the members of all objects in `value`, at any depth.
std::size_t count_members(const boost::json::value& value) {
  std::size_t out = 0;
  if (const boost::json::array* all = value.if_array()) {
    for (const boost::json::value& it : *all) out += count_members(it);
  }
  if (const boost::json::object* all = value.if_object()) {
    out += all->size();
    for (const boost::json::key_value_pair& it : *all) {
      out += count_members(it.value());
    }
  }
  return out;
}

tl::unexpected<error> not_json(const std::string& problem) {
  return fail(error_kind::bad_input, "not valid JSON: " + problem,
              "send one well-formed JSON document");
}

}  // namespace

result<json_document> json_document::parse(std::string_view text) {
  boost::json::parse_options options;
  options.max_depth = max_json_depth;
  boost::json::basic_parser<document_builder> parser(options);
  json_document out;
  out.arena_ = std::make_unique<boost::json::monotonic_resource>();
  parser.handler().reset(out.arena_.get());
  error_code ec;
  const std::size_t n = parser.write_some(false, text.data(), text.size(), ec);
  if (ec) return not_json(ec.message());
  if (n < text.size()) return not_json("text follows the document");
  out.root_ = std::make_unique<boost::json::value>(parser.handler().release());
  // An object stores each key once, so fewer members than parsed keys means
  // that there are duplicates.
  if (count_members(*out.root_) != parser.handler().keys()) {
    return not_json("a key stands twice in an object");
  }
  return out;
}

const boost::json::value& member_of(const boost::json::value& object,
                                    std::string_view key) {
  static const boost::json::value none;
  const boost::json::object* all = object.if_object();
  if (all == nullptr) return none;
  const boost::json::value* found = all->if_contains({key.data(), key.size()});
  return found == nullptr ? none : *found;
}

}  // namespace trestlepost
