#include "Common/settings.h"

#include <algorithm>

#include <charconv>
#include <fstream>
#include <sstream>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>

namespace mango {

namespace {

constexpr std::uint64_t maximumDurationMs = 366ULL * 24 * 3600 * 1000;

settings_failure badValue(const std::string &text, const std::string &expected)
{
    return {settings_failure::kind::badValue, "", "", "'" + text + "' is not " + expected};
}

// Splits "250ms" into "250" and "ms"; either may be empty.
std::pair<std::string, std::string> splitUnit(const std::string &text)
{
    const auto end = text.find_first_not_of("0123456789");
    if (end == std::string::npos) {
        return {text, ""};
    }
    return {text.substr(0, end), boost::algorithm::trim_copy(text.substr(end))};
}

std::string kindName(settings_failure::kind reason)
{
    switch (reason) {
    case settings_failure::kind::unreadableFile:
        return "unreadable file";
    case settings_failure::kind::unknownKey:
        return "unknown key";
    case settings_failure::kind::missingKey:
        return "missing key";
    case settings_failure::kind::badSyntax:
        return "bad syntax";
    case settings_failure::kind::badValue:
        break;
    }
    return "bad value";
}

} // namespace

std::string describe(const settings_failure &failure)
{
    std::string line = failure.file.empty() ? "" : failure.file + ": ";
    line += kindName(failure.reason);
    if (!failure.key.empty()) {
        line += " " + failure.key;
    }
    if (!failure.detail.empty()) {
        line += ": " + failure.detail;
    }
    return line;
}

std::string toText(const host_address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

result<ini_sections, settings_failure> parseIni(const std::string &text, const std::string &file)
{
    boost::property_tree::ptree tree;
    std::istringstream input(text);
    try {
        boost::property_tree::read_ini(input, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return settings_failure{settings_failure::kind::badSyntax, file,
                                "line " + std::to_string(error.line()), error.message()};
    }
    ini_sections sections;
    for (const auto &[name, section] : tree) {
        if (section.empty() && !section.data().empty()) {
            return settings_failure{settings_failure::kind::badSyntax, file, name,
                                    "key outside any section"};
        }
        ini_section read{name, {}};
        for (const auto &[key, value] : section) {
            read.values[key] = value.data();
        }
        sections.push_back(std::move(read));
    }
    return sections;
}

result<std::string, settings_failure> readTextFile(const std::string &path)
{
    std::ifstream input(path, std::ios::binary);
    std::ostringstream content;
    if (!input || !(content << input.rdbuf())) {
        return settings_failure{settings_failure::kind::unreadableFile, path, "", ""};
    }
    return content.str();
}

result<ini_sections, settings_failure> readIniFile(const std::string &path)
{
    const auto text = readTextFile(path);
    return failed(text) ? failureOf(text) : parseIni(valueOf(text), path);
}

result<std::uint64_t, settings_failure> parseCount(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return badValue(text, "a non-negative integer");
    }
    return value;
}

result<double, settings_failure> parseNumber(const std::string &text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !(value >= 0 && value < 1e12)) {
        return badValue(text, "a non-negative number below 1e12");
    }
    return value;
}

result<std::chrono::milliseconds, settings_failure> parseDuration(const std::string &text)
{
    static const std::map<std::string, std::uint64_t> millisecondsPerUnit = {
            {"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}};
    const auto [digits, unit] = splitUnit(text);
    const auto count = parseCount(digits);
    const auto scale = millisecondsPerUnit.find(unit);
    if (failed(count) || scale == millisecondsPerUnit.end()
        || valueOf(count) > maximumDurationMs / scale->second) {
        return badValue(text, "a duration such as 250ms, 3s, 5m or 24h, at most 366 days");
    }
    return std::chrono::milliseconds(valueOf(count) * scale->second);
}

result<std::uint64_t, settings_failure> parseBytes(const std::string &text)
{
    static const std::map<std::string, std::uint64_t> bytesPerUnit = {
            {"B", 1}, {"KB", 1ULL << 10U}, {"MB", 1ULL << 20U}, {"GB", 1ULL << 30U}};
    const auto [digits, unit] = splitUnit(text);
    const auto count = parseCount(digits);
    const auto scale = bytesPerUnit.find(unit);
    if (failed(count) || scale == bytesPerUnit.end()
        || valueOf(count) > (1ULL << 50U) / scale->second) {
        return badValue(text, "a size such as 512B, 64KB, 32MB or 2GB");
    }
    return valueOf(count) * scale->second;
}

result<bool, settings_failure> parseYesOrNo(const std::string &text)
{
    if (text == "yes") {
        return true;
    }
    if (text == "no") {
        return false;
    }
    return badValue(text, "yes or no");
}

result<host_address, settings_failure> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return badValue(text, "an address such as 127.0.0.1:8080");
    }
    boost::system::error_code error;
    const std::string ip = text.substr(0, colon);
    boost::asio::ip::make_address(ip, error);
    const auto port = parseCount(text.substr(colon + 1));
    if (error || failed(port) || valueOf(port) > 65535) {
        return badValue(text, "an address such as 127.0.0.1:8080 (host names are not supported)");
    }
    return host_address{ip, static_cast<std::uint16_t>(valueOf(port))};
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    boost::algorithm::split(items, text, boost::algorithm::is_any_of(","));
    for (std::string &item : items) {
        boost::algorithm::trim(item);
    }
    std::erase(items, "");
    return items;
}

settings_reader::settings_reader(ini_section section, std::string file)
    : m_section(std::move(section))
    , m_file(std::move(file))
{}

template<class Value, class Parser>
Value settings_reader::read(const std::string &key, Value fallback, Parser parser)
{
    m_readKeys[key] = true;
    const auto found = m_section.values.find(key);
    if (found == m_section.values.end()) {
        return fallback;
    }
    auto parsed = parser(found->second);
    if (failed(parsed)) {
        reject(key, failureOf(parsed).detail);
        return fallback;
    }
    return valueOf(parsed);
}

std::string settings_reader::text(const std::string &key, const std::string &fallback)
{
    return read(key, fallback, [](const std::string &value) {
        return result<std::string, settings_failure>(std::in_place_index<0>, value);
    });
}

std::string settings_reader::requiredText(const std::string &key)
{
    std::string value = text(key, "");
    if (value.empty()) {
        m_failures.push_back({settings_failure::kind::missingKey, m_file,
                              "[" + m_section.name + "] " + key, "a value is required"});
    }
    return value;
}

std::chrono::milliseconds settings_reader::duration(const std::string &key,
                                                    std::chrono::milliseconds fallback)
{
    return read(key, fallback, parseDuration);
}

std::uint64_t settings_reader::bytes(const std::string &key, std::uint64_t fallback)
{
    return read(key, fallback, parseBytes);
}

std::uint64_t settings_reader::count(const std::string &key, std::uint64_t fallback)
{
    return read(key, fallback, parseCount);
}

double settings_reader::number(const std::string &key, double fallback)
{
    return read(key, fallback, parseNumber);
}

bool settings_reader::flag(const std::string &key, bool fallback)
{
    return read(key, fallback, parseYesOrNo);
}

host_address settings_reader::address(const std::string &key, const host_address &fallback)
{
    return read(key, fallback, parseAddress);
}

host_address settings_reader::requiredAddress(const std::string &key)
{
    requiredText(key);
    return address(key, {});
}

void settings_reader::reject(const std::string &key, const std::string &detail)
{
    m_failures.push_back(
            {settings_failure::kind::badValue, m_file, "[" + m_section.name + "] " + key, detail});
}

result<done, settings_failure> settings_reader::finish() const
{
    for (const auto &[key, value] : m_section.values) {
        if (!m_readKeys.contains(key)) {
            return settings_failure{settings_failure::kind::unknownKey, m_file,
                                    "[" + m_section.name + "] " + key, ""};
        }
    }
    if (!m_failures.empty()) {
        return m_failures.front();
    }
    return done{};
}

std::vector<host_address> readSeeds(settings_reader &reader)
{
    std::vector<host_address> seeds;
    const std::uint64_t port = reader.count("peer_port", 0);
    for (const std::string &item : splitList(reader.requiredText("seeds"))) {
        auto address = parseAddress(item);
        if (failed(address)) {
            reader.reject("seeds", "'" + item + "' is not an address such as 10.0.0.1:80");
            return seeds;
        }
        if (port != 0) {
            valueOf(address).port = static_cast<std::uint16_t>(port);
        }
        seeds.push_back(valueOf(address));
    }
    if (seeds.empty()) {
        reader.reject("seeds", "the list contains no address");
    }
    return seeds;
}

ini_section sectionOf(const ini_sections &sections, const std::string &name)
{
    const auto found =
            std::find_if(sections.begin(), sections.end(), [&](const ini_section &section) {
                return section.name == name;
            });
    return found == sections.end() ? ini_section{name, {}} : *found;
}

result<done, settings_failure> finishAll(const std::vector<const settings_reader *> &readers,
                                         const ini_sections &sections,
                                         const std::vector<std::string> &knownSections,
                                         const std::string &file)
{
    for (const ini_section &section : sections) {
        if (std::find(knownSections.begin(), knownSections.end(), section.name)
            == knownSections.end()) {
            return settings_failure{settings_failure::kind::unknownKey, file,
                                    "[" + section.name + "]", "no such section"};
        }
    }
    for (const settings_reader *reader : readers) {
        auto finished = reader->finish();
        if (failed(finished)) {
            return finished;
        }
    }
    return done{};
}

} // namespace mango
