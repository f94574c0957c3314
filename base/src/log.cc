#include "trestlepost/base/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <memory>

namespace trestlepost {
namespace {

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
               log_level lowest, const std::string& file) {
  const std::shared_ptr<log4cxx::JSONLayout> layout =
      std::make_shared<log4cxx::JSONLayout>();
  layout->setLocationInfo(false);
  log4cxx::AppenderPtr appender;
  if (file.empty()) {
    appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
  }
  logger()->removeAllAppenders();
  logger()->setAdditivity(false);
  logger()->addAppender(appender);
  logger()->setLevel(level_of(lowest));
  log4cxx::MDC::put("node", node);
  log4cxx::MDC::put("region", region);
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields) {
  const log4cxx::LevelPtr target = level_of(level);
  if (!logger()->isEnabledFor(target)) return;
  for (const log_field& it : fields) log4cxx::MDC::put(it.name, it.value);
  logger()->forcedLog(target, std::string(event));
  for (const log_field& it : fields) log4cxx::MDC::remove(it.name);
}

}  // namespace trestlepost
