#include "wire/json_fields.h"

#include <cmath>

namespace mosspath::wire {

void ThrowBadMessage(const std::string& what) { throw BadMessage(what); }

Json ParseObject(std::string_view text) {
  Json parsed = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded()) ThrowBadMessage("not JSON");
  if (!parsed.is_object()) ThrowBadMessage("not an object");
  return parsed;
}

const Json* OptionalField(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& RequiredField(const Json& object, const char* key) {
  const Json* value = OptionalField(object, key);
  if (value == nullptr) ThrowBadMessage(std::string(key) + " is missing");
  return *value;
}

std::string TextField(const Json& object, const char* key) {
  const Json& value = RequiredField(object, key);
  if (!value.is_string()) ThrowBadMessage(std::string(key) + " is not a string");
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > kMaxName) {
    ThrowBadMessage(std::string(key) + " is empty or too long");
  }
  return text;
}

double ToAmount(const Json& value, const char* key) {
  if (!value.is_number()) ThrowBadMessage(std::string(key) + " is not a number");
  const double amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount) {
    ThrowBadMessage(std::string(key) + " is out of range");
  }
  return amount;
}

double AmountField(const Json& object, const char* key) {
  return ToAmount(RequiredField(object, key), key);
}

bool FlagField(const Json& object, const char* key) {
  const Json& value = RequiredField(object, key);
  if (!value.is_boolean()) ThrowBadMessage(std::string(key) + " is not a boolean");
  return value.get<bool>();
}

uint64_t CountField(const Json& object, const char* key) {
  const Json& value = RequiredField(object, key);
  if (!value.is_number_unsigned()) ThrowBadMessage(std::string(key) + " is not a count");
  return value.get<uint64_t>();
}

const Json& ListField(const Json& object, const char* key) {
  const Json& value = RequiredField(object, key);
  if (!value.is_array()) ThrowBadMessage(std::string(key) + " is not a list");
  return value;
}

}  // namespace mosspath::wire
