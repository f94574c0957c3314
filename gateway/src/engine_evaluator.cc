#include "trestlepost/gateway/engine_evaluator.h"

#include <algorithm>

#include "trestlepost/gateway/preferred_endpoint.h"

namespace trestlepost::gateway {

namespace {

using membership::endpoint_view;

// Copying fewer tokens than this costs more than processing them, which takes a
// few milliseconds.
constexpr std::uint32_t least_copied = 256;
// Copying from another region adds a round trip of about 100 ms, in which an
// engine processes more tokens than this.
constexpr std::uint32_t least_copied_far = 2048;
// Probability that a copy finds the tokens. The source may have evicted them;
// in another region, only the endpoint preferred by its gateways is known.
constexpr double copy_works = 0.9;
constexpr double remote_copy_works = 0.5;
// Probability that the endpoint preferred by all gateways has not cached a
// section when no endpoint is known to have it. Another gateway may have just
// sent the section there.
constexpr double preferred_lacks_section = 0.5;

/// Returns the section that groups requests by endpoint: the last one shared
/// with other requests.
const routing::prompt_section* shared_section(
    const routing::engine_work& work) {
  if (work.sections.empty()) return nullptr;
  const std::size_t n = work.sections.size();
  return &work.sections[n > 1 ? n - 2 : 0];
}

/// Returns the fraction `share` of `tokens`, rounded down.
std::uint32_t share_of_tokens(std::uint32_t tokens, double share) {
  return static_cast<std::uint32_t>(tokens * share);
}

}  // namespace

routing::outlook expected_at(const endpoint_view& view,
                             const routing::engine_work& work,
                             std::uint32_t tokens,
                             const config::engine_profile& engine,
                             const routing::engine_book& engines) {
  return routing::delayed(engines.predict(view.name, work, tokens, view.load),
                          routing::slot_wait(view.load, engine.batch_slots,
                                             engines.mean_hold(view.service)));
}

engine_weighing::engine_weighing(const std::vector<endpoint_view>& open,
                                 const routed_request& request,
                                 const config::engine_profile& engine,
                                 const routing::engine_book& engines,
                                 const remote_caches& remote)
    : work_(request.work), engine_(engine), engines_(engines) {
  const routing::prompt_section* shared = shared_section(work_);
  if (shared == nullptr) return;
  find_holder(open);
  if (holder_lacks_ < least_copied) return;
  preferred_ = preferred_for(
      open, *shared,
      [](const endpoint_view& it) -> const std::string& { return it.name; });
  if (holder_lacks_ < least_copied_far) return;
  remote_address_ =
      remote.likely_holder(request.service, *shared, *request.route);
}

void engine_weighing::find_holder(const std::vector<endpoint_view>& open) {
  for (const endpoint_view& it : open) {
    const std::uint32_t lacks = engines_.uncached(it.name, work_).shared;
    const bool better = holder_ == nullptr || lacks < holder_lacks_ ||
                        (lacks == holder_lacks_ && it.load < holder_->load);
    if (!better) continue;
    holder_ = &it;
    holder_lacks_ = lacks;
  }
}

weighed_endpoint engine_weighing::weigh(const endpoint_view& view) const {
  const routing::uncached_prompt lacks = engines_.uncached(view.name, work_);
  weighed_endpoint out;
  out.chosen.name = view.name;
  out.chosen.address = view.address;
  std::uint32_t copied = 0;
  if (engine_.moves && lacks.shared >= holder_lacks_ + least_copied) {
    out.chosen.copy_cache_from = holder_->address;
    copied = share_of_tokens(lacks.shared - holder_lacks_, copy_works);
  } else if (engine_.moves && !remote_address_.empty()) {
    out.chosen.copy_cache_from = remote_address_;
    copied = share_of_tokens(lacks.shared, remote_copy_works);
  }
  const std::uint32_t read = lacks.shared - copied;
  out.chosen.read_tokens = lacks.own + read;
  out.chosen.expected =
      expected_at(view, work_, out.chosen.read_tokens, engine_, engines_);
  const double prompt = std::max(1U, work_.prompt_tokens);
  const double unread = &view == preferred_ ? preferred_lacks_section : 1;
  out.candidate = {out.chosen.expected, unread * read / prompt,
                   copied / prompt};
  return out;
}

}  // namespace trestlepost::gateway
