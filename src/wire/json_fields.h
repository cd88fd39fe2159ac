// Validating accessors for JSON fields. Each function throws BadMessage, with a text that names the
// field, if a required field is missing, or if the value has the wrong type or is out of range.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "mosspath/wire/json.h"
#include "wire/field_names.h"

namespace mosspath::wire {

// Upper bound of amounts (cores, gigabytes, seconds, prices). Amounts are not negative.
inline constexpr double kMaxAmount = 1e9;
// Maximum number of tasks in one job.
inline constexpr uint32_t kMaxTasks = 100'000;

[[noreturn]] void ThrowBadMessage(const std::string& what);

// Returns the value of a required field; null counts as missing.
[[nodiscard]] const Json& RequiredField(const Json& object, const char* key);
// Returns the value of an optional field, or a null pointer if the field is missing or null.
[[nodiscard]] const Json* OptionalField(const Json& object, const char* key);
// Returns a string that is not empty and has at most kMaxName bytes.
[[nodiscard]] std::string TextField(const Json& object, const char* key);
[[nodiscard]] double AmountField(const Json& object, const char* key);
// Returns the value as an amount. `key` is the field that the error message names.
[[nodiscard]] double ToAmount(const Json& value, const char* key);
[[nodiscard]] bool FlagField(const Json& object, const char* key);
// Returns an unsigned integer.
[[nodiscard]] uint64_t CountField(const Json& object, const char* key);
[[nodiscard]] const Json& ListField(const Json& object, const char* key);

// Returns the enum value whose name in the protocol the field holds.
template <typename Enum, size_t kSize>
[[nodiscard]] Enum EnumField(const Json& object, const char* key,
                             const EnumNames<Enum, kSize>& names) {
  const EnumName<Enum>* entry = FindName(TextField(object, key), names);
  if (entry == nullptr) ThrowBadMessage(std::string(key) + " has an unknown value");
  return entry->value;
}

}  // namespace mosspath::wire
