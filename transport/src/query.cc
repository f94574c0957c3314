#include "trestlepost/transport/query.h"

namespace trestlepost::transport {

std::string_view query_value(std::string_view target, std::string_view name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) return {};
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view parameter = rest.substr(0, end);
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    const std::size_t equals = parameter.find('=');
    if (equals != std::string_view::npos &&
        parameter.substr(0, equals) == name) {
      return parameter.substr(equals + 1);
    }
  }
  return {};
}

}  // namespace trestlepost::transport
