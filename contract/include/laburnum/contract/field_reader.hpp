#pragma once

#include "laburnum/kernel/result.hpp"
#include "laburnum/kernel/time.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum::contract {

namespace json = boost::json;

/// Parses JSON with comments and trailing commas; an error names its line.
/// Pre: none. Thread safety: any thread.
Result<json::value>
parseDocument(std::string_view aText);

/// Reads the fields of one JSON object and collects every fault with its path.
/// Fields that were never asked for are faults, with the nearest known name.
/// Thread safety: one thread an object.
class FieldReader
{
public:
  FieldReader(const json::value& aValue, std::string aPath);

  // Scalars. Pre: a name is asked for once. A fault leaves the fall-back.

  std::string text(std::string_view aName, std::string aDefault);
  std::string requiredText(std::string_view aName);
  double number(std::string_view aName,
                double aDefault,
                double aLow,
                double aHigh);
  std::int64_t integer(std::string_view aName,
                       std::int64_t aDefault,
                       std::int64_t aLow,
                       std::int64_t aHigh);
  bool boolean(std::string_view aName, bool aDefault);

  /// A duration in aUnit, whole or with a fraction, rounded to microseconds.
  Duration duration(std::string_view aName,
                    Duration aUnit,
                    Duration aDefault,
                    Duration aLow,
                    Duration aHigh);

  // Structure.

  /// The texts of an array, or an empty list. Pre: none.
  std::vector<std::string> texts(std::string_view aName);

  /// The objects of an array, each with its own reader. Pre: the parent lives.
  std::vector<FieldReader> objects(std::string_view aName);

  /// A reader of a nested object; an absent one reads as empty. Pre: none.
  FieldReader object(std::string_view aName);

  /// True when the field is present. Pre: none.
  bool has(std::string_view aName) const;

  /// True when the field is present and an object. Pre: none.
  bool hasObject(std::string_view aName) const;

  // Faults.

  /// Records a fault at a field of this object. Pre: none.
  void fault(std::string_view aName, std::string_view aMessage);

  /// Takes over the faults of a nested reader, and its unknown fields.
  /// Pre: all known fields of the nested reader have been asked for.
  void finish(FieldReader& aNested);

  /// All faults, one a line, or empty. Pre: as for `finish`.
  std::string faults();

  /// As `faults`, but unknown fields are let pass, as in what a newer version
  /// of the other side sends. Pre: none.
  std::string faultsOfKnown() const;

private:
  const json::value* find(std::string_view aName);
  void checkUnknown();

  json::object mObject;
  std::string mPath;
  std::set<std::string, std::less<>> mKnown;
  std::vector<std::string> mFaults;
};

} // namespace laburnum::contract
