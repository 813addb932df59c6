#include "Common/log.h"

#include <map>

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace mango {

namespace {

// Two seconds of log lines at the burst limit of the log budget, about 100 KB.
constexpr int bufferedLines = 800;

} // namespace

bool startLogging(const std::string &level)
{
    static const std::map<std::string, log4cxx::LevelPtr> levels = {
            {"debug", log4cxx::Level::getDebug()},
            {"info", log4cxx::Level::getInfo()},
            {"warn", log4cxx::Level::getWarn()},
            {"error", log4cxx::Level::getError()}};
    const auto found = levels.find(level);
    if (found == levels.end()) {
        return false;
    }
    auto layout = std::make_shared<log4cxx::PatternLayout>(
            LOG4CXX_STR("%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p [%c] %m%n"));
    auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.out"));
    auto buffer = std::make_shared<log4cxx::AsyncAppender>();
    buffer->setBufferSize(bufferedLines);
    buffer->setBlocking(false);
    buffer->addAppender(console);
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(buffer);
    log4cxx::Logger::getRootLogger()->setLevel(found->second);
    return true;
}

void finishLogging()
{
    log4cxx::LogManager::shutdown();
}

log4cxx::LoggerPtr logger(const char *part)
{
    return log4cxx::Logger::getLogger(part);
}

void logDebug(const char *part, const std::string &message)
{
    LOG4CXX_DEBUG(logger(part), message);
}

void logInfo(const char *part, const std::string &message)
{
    LOG4CXX_INFO(logger(part), message);
}

void logWarn(const char *part, const std::string &message)
{
    LOG4CXX_WARN(logger(part), message);
}

void logError(const char *part, const std::string &message)
{
    LOG4CXX_ERROR(logger(part), message);
}

} // namespace mango
