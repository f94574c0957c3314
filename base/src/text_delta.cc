#include "trestlepost/base/text_delta.h"

#include <charconv>
#include <unordered_map>
#include <vector>

namespace trestlepost {
namespace {

// A delta is "{" followed by any number of instructions: "=OFFSET,LENGTH;"
// copies from the old text, "+LENGTH;" inserts the LENGTH bytes after it.
constexpr char start_mark = '{';
constexpr char copy_mark = '=';
constexpr char insert_mark = '+';

/// Splits `text` after each closing brace.
std::vector<std::string_view> split_after_braces(std::string_view text) {
  std::vector<std::string_view> out;
  while (!text.empty()) {
    const std::size_t brace = text.find('}');
    const std::size_t n =
        brace == std::string_view::npos ? text.size() : brace + 1;
    out.push_back(text.substr(0, n));
    text.remove_prefix(n);
  }
  return out;
}

/// Writes instructions and merges adjacent ones of the same type.
class delta_writer {
 public:
  void copy(std::size_t offset, std::size_t length) {
    const bool follows =
        copied_ > 0 && inserted_.empty() && offset == offset_ + copied_;
    if (!follows) {
      flush();
      offset_ = offset;
    }
    copied_ += length;
  }
  void add(std::string_view text) {
    if (copied_ > 0) flush();
    inserted_ += text;
  }
  /// Returns the offset at which a copy would extend the current one.
  std::optional<std::size_t> next_offset() const {
    if (copied_ == 0) return std::nullopt;
    return offset_ + copied_;
  }
  std::string finish() {
    flush();
    return std::move(out_);
  }

 private:
  void flush() {
    if (copied_ > 0) {
      out_ += copy_mark + std::to_string(offset_) + ',' +
              std::to_string(copied_) + ';';
    }
    if (!inserted_.empty()) {
      out_ += insert_mark + std::to_string(inserted_.size()) + ';' + inserted_;
    }
    copied_ = 0;
    inserted_.clear();
  }

  std::string out_{start_mark};
  std::size_t offset_ = 0;
  std::size_t copied_ = 0;
  std::string inserted_;
};

/// Reads the tokens of a delta in order.
class delta_reader {
 public:
  explicit delta_reader(std::string_view text) : remaining_(text) {}

  bool at_end() const { return remaining_.empty(); }
  bool consume(char wanted) {
    if (remaining_.empty() || remaining_.front() != wanted) return false;
    remaining_.remove_prefix(1);
    return true;
  }
  std::optional<std::size_t> consume_number(char end) {
    std::size_t out = 0;
    const std::from_chars_result read = std::from_chars(
        remaining_.data(), remaining_.data() + remaining_.size(), out);
    if (read.ec != std::errc()) return std::nullopt;
    remaining_.remove_prefix(
        static_cast<std::size_t>(read.ptr - remaining_.data()));
    if (!consume(end)) return std::nullopt;
    return out;
  }
  std::optional<std::string_view> consume_bytes(std::size_t n) {
    if (n > remaining_.size()) return std::nullopt;
    const std::string_view out = remaining_.substr(0, n);
    remaining_.remove_prefix(n);
    return out;
  }

 private:
  std::string_view remaining_;
};

/// Reads the next instruction and returns its part of the new text. Returns
/// nullopt if the instruction is malformed or out of range.
std::optional<std::string_view> read_segment(delta_reader& in,
                                             std::string_view before) {
  if (in.consume(insert_mark)) {
    const std::optional<std::size_t> length = in.consume_number(';');
    if (!length) return std::nullopt;
    return in.consume_bytes(*length);
  }
  if (!in.consume(copy_mark)) return std::nullopt;
  const std::optional<std::size_t> offset = in.consume_number(',');
  if (!offset || *offset > before.size()) return std::nullopt;
  const std::optional<std::size_t> length = in.consume_number(';');
  if (!length || *length > before.size() - *offset) return std::nullopt;
  return before.substr(*offset, *length);
}

}  // namespace

std::string make_text_delta(std::string_view before, std::string_view after) {
  std::unordered_map<std::string_view, std::size_t> offsets;
  for (const std::string_view it : split_after_braces(before)) {
    offsets.emplace(it, static_cast<std::size_t>(it.data() - before.data()));
  }
  delta_writer out;
  for (const std::string_view it : split_after_braces(after)) {
    const std::optional<std::size_t> next = out.next_offset();
    if (next && before.substr(*next, it.size()) == it) {
      out.copy(*next, it.size());
      continue;
    }
    const auto found = offsets.find(it);
    if (found == offsets.end()) {
      out.add(it);
    } else {
      out.copy(found->second, it.size());
    }
  }
  return out.finish();
}

std::optional<std::string> apply_text_delta(std::string_view before,
                                            std::string_view delta,
                                            std::size_t limit) {
  delta_reader in(delta);
  if (!in.consume(start_mark)) return std::nullopt;
  std::string out;
  while (!in.at_end()) {
    const std::optional<std::string_view> piece = read_segment(in, before);
    if (!piece || piece->size() > limit - out.size()) return std::nullopt;
    out += *piece;
  }
  return out;
}

}  // namespace trestlepost
