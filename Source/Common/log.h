#pragma once

#include <string>

#include <log4cxx/logger.h>

namespace mango {

// The parts of the system that write logs; each has a fixed prefix.
namespace log_part {
inline constexpr const char *consensus = "consensus";
inline constexpr const char *control = "control";
inline constexpr const char *entry = "entry";
inline constexpr const char *scheduler = "scheduler";
inline constexpr const char *storage = "storage";
inline constexpr const char *wire = "wire";
} // namespace log_part

// Starts logging to standard output; level is one of debug, info, warn, error. Lines are handed to
// a thread of their own through a bounded buffer, and left out when that is full, so that no caller
// ever waits for the output. Returns false for another level.
bool startLogging(const std::string &level);

// Writes what the buffer holds; nothing may be logged after that.
void finishLogging();

// The logger of one part.
log4cxx::LoggerPtr logger(const char *part);

void logDebug(const char *part, const std::string &sentence);
void logInfo(const char *part, const std::string &sentence);
void logWarn(const char *part, const std::string &sentence);
void logError(const char *part, const std::string &sentence);

} // namespace mango
