// Checked reads of JSON fields. Each function throws BadMessage, with a text that names the field,
// if the field is missing (where it must be there), of another type, or out of range.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "mosspath/wire/json.h"
#include "wire/field_names.h"

namespace mosspath::wire {

// Amounts (cores, gigabytes, seconds, prices) are not negative, and at most this.
inline constexpr double kMaxAmount = 1e9;
// Tasks of one job.
inline constexpr uint32_t kMaxTasks = 100'000;

[[noreturn]] void ThrowBadMessage(const std::string& what);

// The value of a field that must be there and not null.
[[nodiscard]] const Json& RequiredField(const Json& object, const char* key);
// The value of an optional field; null pointer: it is not there, or null.
[[nodiscard]] const Json* OptionalField(const Json& object, const char* key);
// A string that is not empty and has at most kMaxName bytes.
[[nodiscard]] std::string TextField(const Json& object, const char* key);
[[nodiscard]] double AmountField(const Json& object, const char* key);
// The amount in a value that was read from the field `key`.
[[nodiscard]] double ToAmount(const Json& value, const char* key);
[[nodiscard]] bool FlagField(const Json& object, const char* key);
// A whole number that is not negative.
[[nodiscard]] uint64_t CountField(const Json& object, const char* key);
[[nodiscard]] const Json& ListField(const Json& object, const char* key);

// A value of an enum, by its name in the protocol.
template <typename Enum, size_t kSize>
[[nodiscard]] Enum EnumField(const Json& object, const char* key,
                             const EnumNames<Enum, kSize>& names) {
  const EnumName<Enum>* entry = FindName(TextField(object, key), names);
  if (entry == nullptr) ThrowBadMessage(std::string(key) + " has an unknown value");
  return entry->value;
}

}  // namespace mosspath::wire
