#include "ObjectReader.h"

#include <boost/json.hpp>
#include <fmt/core.h>
#include <limits>

namespace sequoiastep::config {

namespace json = boost::json;

ObjectReader::ObjectReader(const json::object& aObject, std::string aPath, ErrorKind aKind)
  : m_object(aObject)
  , m_path(std::move(aPath))
  , m_kind(aKind)
{
}

const json::value*
ObjectReader::Find(std::string_view aKey)
{
  m_readKeys.emplace(aKey);
  return m_object.if_contains(aKey);
}

boost::leaf::error_id
ObjectReader::InvalidValue(std::string_view aKey, std::string_view aExpected) const
{
  return Fail(m_kind, fmt::format("{}.{}: set it to {}", m_path, aKey, aExpected));
}

Result<std::uint64_t>
ObjectReader::Number(std::string_view aKey, const NumberRule& aRule)
{
  const json::value* value = Find(aKey);
  if (value == nullptr) {
    return aRule.m_default;
  }
  const bool isWhole = value->is_uint64() || (value->is_int64() && value->get_int64() >= 0);
  const std::uint64_t number = isWhole ? value->to_number<std::uint64_t>() : 0;
  if (!isWhole || number < aRule.m_min || number > aRule.m_max) {
    return InvalidValue(aKey,
                        fmt::format("a whole number from {} to {}", aRule.m_min, aRule.m_max));
  }
  return number;
}

Result<double>
ObjectReader::Real(std::string_view aKey, const RealRule& aRule)
{
  const json::value* value = Find(aKey);
  if (value == nullptr) {
    return aRule.m_default;
  }
  const double number =
    value->is_number() ? value->to_number<double>() : std::numeric_limits<double>::quiet_NaN();
  if (!(number >= aRule.m_min && number <= aRule.m_max)) {
    return InvalidValue(aKey, fmt::format("a number from {} to {}", aRule.m_min, aRule.m_max));
  }
  return number;
}

Result<double>
ObjectReader::Fraction(std::string_view aKey, double aDefault)
{
  return Real(aKey, { .m_default = aDefault, .m_min = 0, .m_max = 1 });
}

Result<std::string>
ObjectReader::Text(std::string_view aKey)
{
  const json::value* value = Find(aKey);
  if (value == nullptr || !value->is_string() || value->get_string().empty()) {
    return InvalidValue(aKey, "a text that is not empty");
  }
  return std::string(value->get_string());
}

Result<std::string>
ObjectReader::TextOr(std::string_view aKey, std::string_view aDefault)
{
  if (Find(aKey) == nullptr) {
    return std::string(aDefault);
  }
  return Text(aKey);
}

Result<bool>
ObjectReader::Flag(std::string_view aKey, bool aDefault)
{
  const json::value* value = Find(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_bool()) {
    return InvalidValue(aKey, "true or false");
  }
  return value->get_bool();
}

Result<std::vector<std::string>>
ObjectReader::TextList(std::string_view aKey)
{
  std::vector<std::string> texts;
  const json::value* value = Find(aKey);
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    return InvalidValue(aKey, "a list of texts");
  }
  for (const json::value& item : value->get_array()) {
    if (!item.is_string() || item.get_string().empty()) {
      return InvalidValue(aKey, "a list of texts that are not empty");
    }
    texts.emplace_back(item.get_string());
  }
  return texts;
}

Result<const json::object*>
ObjectReader::Object(std::string_view aKey)
{
  const json::value* value = Find(aKey);
  if (value == nullptr) {
    return static_cast<const json::object*>(nullptr);
  }
  if (!value->is_object()) {
    return InvalidValue(aKey, "a JSON object");
  }
  return &value->get_object();
}

Result<void>
ObjectReader::RejectUnknownKeys()
{
  for (const auto& member : m_object) {
    if (!m_readKeys.contains(member.key())) {
      return Fail(m_kind,
                  fmt::format("{}.{}: unknown key; remove it or correct its spelling",
                              m_path,
                              std::string_view(member.key())));
    }
  }
  return {};
}

} // namespace sequoiastep::config
