#pragma once

#include <bit>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace mango {

namespace detail {

// Reads from memory the format of cereal's portable binary archive. Unlike cereal's own reader, it
// rejects a container length that exceeds the remaining bytes before it allocates memory, so that
// malformed input cannot exhaust the memory.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_input_archive(std::string_view bytes)
        : InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>(this)
        , m_remaining(bytes)
    {
        std::uint8_t littleEndian = 0;
        loadBytes(&littleEndian, sizeof littleEndian);
        if (littleEndian != 1) {
            throw cereal::Exception("serialized data is not little-endian");
        }
    }

    void loadBytes(void *target, std::size_t size)
    {
        if (size > m_remaining.size()) {
            throw cereal::Exception("serialized data is truncated");
        }
        std::memcpy(target, m_remaining.data(), size);
        m_remaining.remove_prefix(size);
    }

    [[nodiscard]] std::size_t bytesLeft() const
    {
        return m_remaining.size();
    }

private:
    std::string_view m_remaining;
};

template<class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive &archive, Number &number)
{
    archive.loadBytes(std::addressof(number), sizeof number);
}

template<class Item>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive &archive, cereal::BinaryData<Item> &data)
{
    archive.loadBytes(data.data, static_cast<std::size_t>(data.size));
}

template<class Item>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive &archive,
                                    cereal::NameValuePair<Item> &pair)
{
    archive(pair.value);
}

template<class Item>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive &archive, cereal::SizeTag<Item> &tag)
{
    archive(tag.size);
    if (tag.size > archive.bytesLeft()) {
        throw cereal::Exception("container length exceeds the remaining data");
    }
}

// Appends to a string in the little-endian format of cereal's portable binary archive. Cereal's own
// writer needs a stream, whose construction costs more than most messages.
class memory_output_archive
    : public cereal::OutputArchive<memory_output_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit memory_output_archive(std::string &bytes)
        : OutputArchive<memory_output_archive, cereal::AllowEmptyClassElision>(this)
        , m_bytes(bytes)
    {
        m_bytes += '\1';
    }

    void saveBytes(const void *source, std::size_t size)
    {
        m_bytes.append(static_cast<const char *>(source), size);
    }

private:
    std::string &m_bytes;
};

template<class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_SAVE_FUNCTION_NAME(memory_output_archive &archive, const Number &number)
{
    archive.saveBytes(std::addressof(number), sizeof number);
}

template<class Item>
void CEREAL_SAVE_FUNCTION_NAME(memory_output_archive &archive, const cereal::BinaryData<Item> &data)
{
    archive.saveBytes(data.data, static_cast<std::size_t>(data.size));
}

template<class Item>
void CEREAL_SERIALIZE_FUNCTION_NAME(memory_output_archive &archive,
                                    cereal::NameValuePair<Item> &pair)
{
    archive(pair.value);
}

template<class Item>
void CEREAL_SERIALIZE_FUNCTION_NAME(memory_output_archive &archive, cereal::SizeTag<Item> &tag)
{
    archive(tag.size);
}

} // namespace detail

// Appends a value to the bytes as encode() writes it.
template<class Value>
void appendEncoded(std::string &bytes, const Value &value)
{
    static_assert(std::endian::native == std::endian::little);
    detail::memory_output_archive archive(bytes);
    archive(value);
}

// Serializes a value in cereal's portable binary format, little-endian.
template<class Value>
std::string encode(const Value &value)
{
    std::string bytes;
    appendEncoded(bytes, value);
    return bytes;
}

// Deserializes a value that encode() wrote. Returns false when the data is truncated, has trailing
// bytes or is not a valid value; the value may then be partly overwritten.
template<class Value>
bool decode(std::string_view bytes, Value &value)
{
    try {
        detail::bounded_input_archive archive(bytes);
        archive(value);
        return archive.bytesLeft() == 0;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace mango

namespace cereal::traits::detail {

// Names the output archive that this input archive reads, as cereal requires.
template<>
struct get_output_from_input<mango::detail::bounded_input_archive>
{
    using type = mango::detail::memory_output_archive;
};

// Names the input archive that reads what this output archive writes.
template<>
struct get_input_from_output<mango::detail::memory_output_archive>
{
    using type = mango::detail::bounded_input_archive;
};

} // namespace cereal::traits::detail
