/// @file
/// Reads typed fields of a JSON object and refuses unknown keys, wrong types and wrong ranges.
#pragma once

#include "Error.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::config {

/// The range of a number and what it is when absent.
struct NumberRule
{
  std::uint64_t m_default = 0;
  std::uint64_t m_least = 0;
  std::uint64_t m_most = 0;
};

/// Reads one object. Errors bear aKind and name the path of the field.
class ObjectReader
{
public:
  /// @param aObject must outlive the reader.
  /// @param aPath where the object stands, for messages.
  ObjectReader(const boost::json::object& aObject, std::string aPath, ErrorKind aKind);

  /// @return the number, or aRule's default if the key is absent.
  Result<std::uint64_t> Number(std::string_view aKey, const NumberRule& aRule);
  /// @return the fraction in [0, 1], or aDefault if the key is absent.
  Result<double> Fraction(std::string_view aKey, double aDefault);
  /// @return the text; an error if it is absent or empty.
  Result<std::string> Text(std::string_view aKey);
  /// @return the text, or aDefault if the key is absent.
  Result<std::string> TextOr(std::string_view aKey, std::string_view aDefault);
  /// @return the truth value, or aDefault if the key is absent.
  Result<bool> Flag(std::string_view aKey, bool aDefault);
  /// @return the list of texts, empty if the key is absent.
  Result<std::vector<std::string>> Texts(std::string_view aKey);
  /// @return the object, or nullptr if the key is absent.
  Result<const boost::json::object*> Object(std::string_view aKey);
  /// Call last. @return an error if the object has a key that was never asked for.
  Result<void> Finish();

private:
  const boost::json::value* Find(std::string_view aKey);
  boost::leaf::error_id Wrong(std::string_view aKey, std::string_view aExpected) const;

  const boost::json::object& m_object;
  std::string m_path;
  ErrorKind m_kind;
  std::set<std::string, std::less<>> m_asked;
};

} // namespace sequoiastep::config
