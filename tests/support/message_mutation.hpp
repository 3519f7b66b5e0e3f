#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include "support/mutation.hpp"

namespace tarragonquay::test_support
{

/// Damages messages in a way that depends on the seed only: fields are
/// removed, repeated or set to values that no sender would choose. The result
/// can always be parsed.
class message_mutator
{
public:
    explicit message_mutator(std::uint64_t seed) : random_(seed) {}

    std::size_t below(std::size_t limit) { return random_.below(limit); }

    template <class Message>
    Message damage(Message message)
    {
        for (std::size_t i = 1 + below(4); i > 0; --i)
            damage_once(message);
        // Also as bytes, when that still parses.
        Message reparsed;
        if (below(4) == 0 && reparsed.ParseFromString(
                                 random_.damage(message.SerializeAsString())))
            return reparsed;
        return message;
    }

private:
    using field_type = google::protobuf::FieldDescriptor;

    void damage_once(google::protobuf::Message& message)
    {
        const auto& fields = *message.GetDescriptor();
        if (fields.field_count() == 0)
            return;
        const auto& field = *fields.field(static_cast<int>(
            below(static_cast<std::size_t>(fields.field_count()))));
        const auto& access = *message.GetReflection();
        // Another member of a oneof would replace the whole message.
        if (field.containing_oneof() != nullptr &&
            !access.HasField(message, &field) && below(8) != 0)
            return damage_once(message);
        if (below(8) == 0)
            return access.ClearField(&message, &field);
        if (!field.is_repeated())
            return set(message, access, field);
        if (field.is_map())
            return;
        constexpr std::size_t most_copies = 64;
        for (std::size_t i = below(most_copies); i > 0; --i)
            add(message, access, field);
    }

    void set(google::protobuf::Message& message,
        const google::protobuf::Reflection& access, const field_type& field)
    {
        switch (field.cpp_type())
        {
        case field_type::CPPTYPE_INT32:
            return access.SetInt32(&message, &field, integer<std::int32_t>());
        case field_type::CPPTYPE_INT64:
            return access.SetInt64(&message, &field, integer<std::int64_t>());
        case field_type::CPPTYPE_UINT64:
            return access.SetUInt64(&message, &field,
                static_cast<std::uint64_t>(integer<std::int64_t>()));
        case field_type::CPPTYPE_DOUBLE:
            return access.SetDouble(&message, &field, number());
        case field_type::CPPTYPE_BOOL:
            return access.SetBool(&message, &field, below(2) == 0);
        case field_type::CPPTYPE_ENUM:
            return access.SetEnumValue(
                &message, &field, integer<std::int32_t>());
        case field_type::CPPTYPE_STRING:
            return access.SetString(
                &message, &field, text(access.GetString(message, &field)));
        case field_type::CPPTYPE_MESSAGE:
            return damage_once(*access.MutableMessage(&message, &field));
        default:
            return;
        }
    }

    void add(google::protobuf::Message& message,
        const google::protobuf::Reflection& access, const field_type& field)
    {
        if (field.cpp_type() == field_type::CPPTYPE_STRING)
            access.AddString(&message, &field, text("x"));
        if (field.cpp_type() != field_type::CPPTYPE_MESSAGE)
            return;
        auto& added = *access.AddMessage(&message, &field);
        const int count = access.FieldSize(message, &field);
        const auto source = below(static_cast<std::size_t>(count));
        if (source + 1 < static_cast<std::size_t>(count))
            added.CopyFrom(access.GetRepeatedMessage(
                message, &field, static_cast<int>(source)));
        if (below(2) == 0)
            damage_once(added);
    }

    template <class Integer>
    Integer integer()
    {
        using limits = std::numeric_limits<Integer>;
        const std::array<Integer, 8> values{0, 1, -1, 2, limits::max(),
            limits::min(), limits::max() / 2,
            static_cast<Integer>(random_.below(1'000'000))};
        return values.at(below(values.size()));
    }

    double number()
    {
        using limits = std::numeric_limits<double>;
        constexpr std::array<double, 6> values{0, -1, limits::max(),
            limits::infinity(), -limits::infinity(), limits::quiet_NaN()};
        return values.at(below(values.size()));
    }

    // Only ASCII, because proto3 refuses other bytes in a string.
    std::string text(std::string before)
    {
        constexpr std::size_t long_text = 10'000;
        switch (below(4))
        {
        case 0:
            return {};
        case 1:
            return std::string(long_text, 'x');
        case 2:
            return "a\r\nb: c/" + std::string(1, '\0');
        default:
            return before + "/9223372036854775807";
        }
    }

    mutator random_;
};

} // namespace tarragonquay::test_support
