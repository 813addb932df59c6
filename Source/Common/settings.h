#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/result.h"

namespace mango {

// Why a settings file or table was rejected: the kind of error, the file, the key and a detail.
struct settings_failure
{
    enum class kind { unreadableFile, unknownKey, missingKey, badValue, badSyntax };
    kind reason = kind::badValue;
    std::string file;
    std::string key;
    std::string detail;
};

// Returns one line for the operator with file, kind of error, key and detail.
std::string describe(const settings_failure &failure);

// An IP address with a port. Host names are not supported.
struct host_address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const host_address &) const = default;
    auto operator<=>(const host_address &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(ip, port);
    }
};

// Returns the address in the form IP:PORT.
std::string toText(const host_address &address);

// One section of an INI file with its keys and values.
struct ini_section
{
    std::string name;
    std::map<std::string, std::string> values;
};

// The sections of an INI file, in the order of the file.
using ini_sections = std::vector<ini_section>;

// Parses INI text with the parser of Boost.PropertyTree; failures name `file`.
result<ini_sections, settings_failure> parseIni(const std::string &text, const std::string &file);

// Returns the content of a file, or a failure of the kind unreadableFile.
result<std::string, settings_failure> readTextFile(const std::string &path);

// Reads and parses an INI file.
result<ini_sections, settings_failure> readIniFile(const std::string &path);

// The parsers of single values. Their failures have the kind badValue and no file or key.

// Parses an integer with the unit ms, s, m or h, such as "250ms" or "24h"; 366 days at most.
result<std::chrono::milliseconds, settings_failure> parseDuration(const std::string &text);
// Parses an integer with the unit B, KB, MB or GB (powers of 1024), such as "64KB"; 2^50 bytes at
// most.
result<std::uint64_t, settings_failure> parseBytes(const std::string &text);
// Parses a non-negative integer without a unit.
result<std::uint64_t, settings_failure> parseCount(const std::string &text);
// Parses a decimal number of at least 0 and below 1e12.
result<double, settings_failure> parseNumber(const std::string &text);
// Parses "yes" or "no".
result<bool, settings_failure> parseYesOrNo(const std::string &text);
// Parses an IP address with a port, such as "10.0.0.1:80".
result<host_address, settings_failure> parseAddress(const std::string &text);

// Splits a list such as "a, b, c" at the commas, trims the items and drops empty ones.
std::vector<std::string> splitList(const std::string &text);

// Reads typed values from one INI section. An invalid value is replaced by the fallback, and
// finish() reports the error, so that a caller checks for errors once, after it has read all keys.
class settings_reader
{
public:
    settings_reader(ini_section section, std::string file);

    // Each function below returns the value of a key, or the fallback if the key is missing. A
    // required key must be present and not empty.
    std::string text(const std::string &key, const std::string &fallback);
    std::string requiredText(const std::string &key);
    std::chrono::milliseconds duration(const std::string &key, std::chrono::milliseconds fallback);
    std::uint64_t bytes(const std::string &key, std::uint64_t fallback);
    std::uint64_t count(const std::string &key, std::uint64_t fallback);
    double number(const std::string &key, double fallback);
    bool flag(const std::string &key, bool fallback);
    host_address requiredAddress(const std::string &key);
    host_address address(const std::string &key, const host_address &fallback);

    // Records that a check of the caller rejected the value of a key; finish() reports it unless an
    // earlier failure was recorded.
    void reject(const std::string &key, const std::string &detail);
    // Returns a failure for a key of the section that was not read, otherwise the first failure
    // recorded. Call it after all keys have been read.
    [[nodiscard]] result<done, settings_failure> finish() const;

private:
    template<class Value, class Parser>
    Value read(const std::string &key, Value fallback, Parser parser);

    ini_section m_section;
    std::string m_file;
    std::map<std::string, bool> m_readKeys;
    std::vector<settings_failure> m_failures;
};

// Reads the required key "seeds", the addresses through which a process discovers the others. The
// key "peer_port", if set, replaces the port of every address.
std::vector<host_address> readSeeds(settings_reader &reader);

// Returns the section of that name, or one without keys if it is missing.
ini_section sectionOf(const ini_sections &sections, const std::string &name);

// Returns a failure for a section that is not in `knownSections`, otherwise the first failure of
// the readers, all of which read sections of one file.
result<done, settings_failure> finishAll(const std::vector<const settings_reader *> &readers,
                                         const ini_sections &sections,
                                         const std::vector<std::string> &knownSections,
                                         const std::string &file);

} // namespace mango
