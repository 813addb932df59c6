#pragma once

#include <cstdint>
#include <map>

namespace mango {

// The number of the latest command for each of the most recent keys, such as jobs or failure
// domains. Of the others only the number is known that their commands do not exceed. It is part of
// the replicated state.
template<class Key>
struct recent_commands
{
    std::map<Key, std::uint64_t> commandByKey;
    std::map<std::uint64_t, Key> keyByCommand;
    // The greatest number of a command that is not kept any more.
    std::uint64_t latestDropped = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(commandByKey, keyByCommand, latestDropped);
    }
};

// Removes a key, whose commands do not matter any more.
template<class Key>
void removeKey(recent_commands<Key> &recent, const Key &key)
{
    const auto known = recent.commandByKey.find(key);
    if (known != recent.commandByKey.end()) {
        recent.keyByCommand.erase(known->second);
        recent.commandByKey.erase(known);
    }
}

// Records a command, which is newer than all recorded ones, and drops the oldest beyond `maximum`.
template<class Key>
void recordCommand(recent_commands<Key> &recent, const Key &key, std::uint64_t command,
                   std::size_t maximum)
{
    removeKey(recent, key);
    recent.commandByKey.emplace(key, command);
    recent.keyByCommand.emplace(command, key);
    if (recent.keyByCommand.size() > maximum) {
        const auto oldest = recent.keyByCommand.begin();
        recent.latestDropped = oldest->first;
        recent.commandByKey.erase(oldest->second);
        recent.keyByCommand.erase(oldest);
    }
}

// Returns true when the latest command of a key is kept.
template<class Key>
bool hasKey(const recent_commands<Key> &recent, const Key &key)
{
    return recent.commandByKey.contains(key);
}

// Returns the number of the latest command of a key, or one that it does not exceed.
template<class Key>
std::uint64_t latestCommandOf(const recent_commands<Key> &recent, const Key &key)
{
    const auto known = recent.commandByKey.find(key);
    return known == recent.commandByKey.end() ? recent.latestDropped : known->second;
}

} // namespace mango
