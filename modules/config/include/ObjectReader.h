/// @file
/// Reads typed fields of a JSON object and rejects unknown keys, wrong types and values out of
/// range.
#pragma once

#include "Error.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::config {

/// The inclusive range of a number and its default when absent.
struct NumberRule
{
  std::uint64_t m_default = 0;
  std::uint64_t m_min = 0;
  std::uint64_t m_max = 0;
};

/// The inclusive range of a real number and its default when absent.
struct RealRule
{
  double m_default = 0;
  double m_min = 0;
  double m_max = 0;
};

/// Reads the fields of one object. Errors name the path of the field.
class ObjectReader
{
public:
  /// @param aObject must outlive the reader.
  /// @param aPath path of the object, put before the field names in messages.
  /// @param aKind kind of the errors that the reader returns.
  ObjectReader(const boost::json::object& aObject, std::string aPath, ErrorKind aKind);

  /// @return the whole number, or aRule's default if the key is absent.
  Result<std::uint64_t> Number(std::string_view aKey, const NumberRule& aRule);
  /// @return the real number, or aRule's default if the key is absent.
  Result<double> Real(std::string_view aKey, const RealRule& aRule);
  /// @return the fraction in [0, 1], or aDefault if the key is absent.
  Result<double> Fraction(std::string_view aKey, double aDefault);
  /// @return the text; an error if it is absent or empty.
  Result<std::string> Text(std::string_view aKey);
  /// @return the text, or aDefault if the key is absent.
  Result<std::string> TextOr(std::string_view aKey, std::string_view aDefault);
  /// @return the boolean, or aDefault if the key is absent.
  Result<bool> Flag(std::string_view aKey, bool aDefault);
  /// @return the list of non-empty texts; an empty list if the key is absent.
  Result<std::vector<std::string>> TextList(std::string_view aKey);
  /// @return the object, or nullptr if the key is absent.
  Result<const boost::json::object*> Object(std::string_view aKey);
  /// Call after all fields have been read.
  /// @return an error if the object has a key that was never read.
  Result<void> RejectUnknownKeys();

private:
  /// Looks up aKey and records it in m_readKeys.
  const boost::json::value* Find(std::string_view aKey);
  boost::leaf::error_id InvalidValue(std::string_view aKey, std::string_view aExpected) const;

  const boost::json::object& m_object;
  std::string m_path;
  ErrorKind m_kind;
  std::set<std::string, std::less<>> m_readKeys;
};

} // namespace sequoiastep::config
