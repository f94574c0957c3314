// Evaluates endpoints by expected completion, prefill and cache copies.
#include "trestlepost/gateway/engine_evaluator.h"

#include <algorithm>

#include "trestlepost/gateway/preferred_endpoint.h"

namespace trestlepost::gateway {

namespace {

using membership::endpoint_view;

// Copying fewer tokens than this costs more than processing them, which takes a
// few milliseconds.
constexpr std::uint32_t min_copied_tokens = 256;
// Copying from another region adds a round trip of about 100 ms, in which an
// engine processes more tokens than this.
constexpr std::uint32_t min_remote_copied_tokens = 2048;
// Probability that a copy finds the tokens. The source may have evicted them;
// in another region, only the endpoint preferred by its gateways is known.
constexpr double copy_hit_probability = 0.9;
constexpr double remote_copy_hit_probability = 0.5;
// Probability that the endpoint preferred by all gateways has not cached a
// section when no endpoint is known to have it. Another gateway may have just
// sent the section there.
constexpr double preferred_miss_probability = 0.5;

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

routing::completion_estimate estimate_completion(
    const endpoint_view& view, const routing::engine_work& work,
    std::uint32_t tokens, const config::engine_profile& engine,
    const routing::engine_table& engines) {
  return routing::delayed(
      engines.predict(view.name, work, tokens, view.load),
      routing::slot_wait(view.load, engine.batch_slots,
                         engines.mean_slot_time(view.service)));
}

engine_evaluator::engine_evaluator(const std::vector<endpoint_view>& available,
                                   const routed_request& request,
                                   const config::engine_profile& engine,
                                   const routing::engine_table& engines,
                                   const remote_caches& remote)
    : work_(request.work), engine_(engine), engines_(engines) {
  const routing::prompt_section* shared = shared_section(work_);
  if (shared == nullptr) return;
  find_best_cached(available);
  if (best_uncached_tokens_ < min_copied_tokens) return;
  preferred_ = preferred_for(
      available, *shared,
      [](const endpoint_view& it) -> const std::string& { return it.name; });
  if (best_uncached_tokens_ < min_remote_copied_tokens) return;
  remote_source_address_ = remote.likely_source(
      request.service, *shared, [&request](const std::string& region) {
        return request.permits(region);
      });
}

void engine_evaluator::find_best_cached(
    const std::vector<endpoint_view>& available) {
  for (const endpoint_view& it : available) {
    const std::uint32_t uncached_tokens =
        engines_.uncached(it.name, work_).shared;
    const bool better = best_cached_ == nullptr ||
                        uncached_tokens < best_uncached_tokens_ ||
                        (uncached_tokens == best_uncached_tokens_ &&
                         it.load < best_cached_->load);
    if (!better) continue;
    best_cached_ = &it;
    best_uncached_tokens_ = uncached_tokens;
  }
}

evaluated_endpoint engine_evaluator::evaluate(const endpoint_view& view) const {
  const routing::uncached_prompt uncached_tokens =
      engines_.uncached(view.name, work_);
  evaluated_endpoint out;
  out.chosen.name = view.name;
  out.chosen.address = view.address;
  std::uint32_t copied = 0;
  if (engine_.moves &&
      uncached_tokens.shared >= best_uncached_tokens_ + min_copied_tokens) {
    out.chosen.copy_cache_from = best_cached_->address;
    copied = share_of_tokens(uncached_tokens.shared - best_uncached_tokens_,
                             copy_hit_probability);
  } else if (engine_.moves && !remote_source_address_.empty()) {
    out.chosen.copy_cache_from = remote_source_address_;
    copied =
        share_of_tokens(uncached_tokens.shared, remote_copy_hit_probability);
  }
  const std::uint32_t prefill = uncached_tokens.shared - copied;
  out.chosen.prefill_tokens = uncached_tokens.own + prefill;
  out.chosen.expected = estimate_completion(
      view, work_, out.chosen.prefill_tokens, engine_, engines_);
  const double prompt = std::max(1U, work_.prompt_tokens);
  const double miss_probability =
      &view == preferred_ ? preferred_miss_probability : 1;
  out.candidate = {out.chosen.expected, miss_probability * prefill / prompt,
                   copied / prompt};
  return out;
}

}  // namespace trestlepost::gateway
