#pragma once

#include <string>

#include <log4cxx/logger.h>

namespace mango {

// The components that write logs, by the name that prefixes their lines.
namespace log_part {
inline constexpr const char *consensus = "consensus";
inline constexpr const char *control = "control";
inline constexpr const char *entry = "entry";
inline constexpr const char *scheduler = "scheduler";
inline constexpr const char *storage = "storage";
inline constexpr const char *wire = "wire";
} // namespace log_part

// Starts logging to standard output at a level of debug, info, warn or error; returns false for any
// other level. A separate thread writes the lines from a bounded buffer. Lines are dropped while
// the buffer is full, so that a caller never blocks on the output.
bool startLogging(const std::string &level);

// Writes the buffered lines and stops logging; nothing may be logged afterwards.
void finishLogging();

// Returns the logger of one component.
log4cxx::LoggerPtr logger(const char *part);

// Write one message for a component of log_part.
void logDebug(const char *part, const std::string &message);
void logInfo(const char *part, const std::string &message);
void logWarn(const char *part, const std::string &message);
void logError(const char *part, const std::string &message);

} // namespace mango
