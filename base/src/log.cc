#include "trestlepost/base/log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <unistd.h>

#include <memory>

#include "trestlepost/base/log_writer.h"

namespace trestlepost {
namespace detail {

// The macros of log4cxx refer to these names without their namespace.
namespace helpers = log4cxx::helpers;
using log4cxx::AppenderSkeleton;
using log4cxx::LogString;

/// Formats events with the layout and writes them to standard output without
/// blocking.
class line_appender final : public log4cxx::AppenderSkeleton {
 public:
  DECLARE_LOG4CXX_OBJECT(line_appender)
  BEGIN_LOG4CXX_CAST_MAP()
  LOG4CXX_CAST_ENTRY(line_appender)
  LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
  END_LOG4CXX_CAST_MAP()

  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString line;
    getLayout()->format(line, event, pool);
    writer_.push(line);
  }
  void close() override { writer_.flush(); }
  bool requiresLayout() const override { return true; }

 private:
  log_writer writer_{STDOUT_FILENO};
};

IMPLEMENT_LOG4CXX_OBJECT(line_appender)

}  // namespace detail

namespace {

// Lines per second and burst for each event name. A gateway serves about 30
// requests per second. Failures have their own event names, so they are not
// dropped because of many successful requests.
constexpr log_rate_limiter::options rate_limits{100, 300};
// Maximum size of a field's value in bytes. The remainder of a longer value
// rarely helps the reader and fills the log.
constexpr std::size_t max_value_bytes = 512;

log4cxx::LevelPtr level_of(log_level level) {
  switch (level) {
    case log_level::debug:
      return log4cxx::Level::getDebug();
    case log_level::info:
      return log4cxx::Level::getInfo();
    case log_level::warn:
      return log4cxx::Level::getWarn();
    case log_level::error:
      break;
  }
  return log4cxx::Level::getError();
}

const log4cxx::LoggerPtr& logger() {
  static const log4cxx::LoggerPtr instance =
      log4cxx::Logger::getLogger("trestlepost");
  return instance;
}

}  // namespace

void start_log(const std::string& node, const std::string& region,
               log_level min_level, const std::string& file) {
  const std::shared_ptr<log4cxx::JSONLayout> layout =
      std::make_shared<log4cxx::JSONLayout>();
  layout->setLocationInfo(false);
  log4cxx::AppenderPtr appender;
  if (file.empty()) {
    appender = std::make_shared<detail::line_appender>();
    appender->setLayout(layout);
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
  }
  logger()->removeAllAppenders();
  logger()->setAdditivity(false);
  logger()->addAppender(appender);
  logger()->setLevel(level_of(min_level));
  log4cxx::MDC::put("node", node);
  log4cxx::MDC::put("region", region);
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields) {
  const log4cxx::LevelPtr target = level_of(level);
  if (!logger()->isEnabledFor(target)) return;
  static log_rate_limiter limiter(rate_limits);
  const log_rate_limiter::decision decision =
      limiter.admit(event, boot_clock::now());
  if (!decision.write) return;
  if (decision.dropped_before > 0) {
    log4cxx::MDC::put("lines_left_out_before",
                      std::to_string(decision.dropped_before));
  }
  for (const log_field& it : fields) {
    log4cxx::MDC::put(it.name, it.value.substr(0, max_value_bytes));
  }
  logger()->forcedLog(target, std::string(event));
  for (const log_field& it : fields) log4cxx::MDC::remove(it.name);
  if (decision.dropped_before > 0) {
    log4cxx::MDC::remove("lines_left_out_before");
  }
}

void set_log_level(log_level min_level) {
  logger()->setLevel(level_of(min_level));
}

}  // namespace trestlepost
