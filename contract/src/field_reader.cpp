#include "laburnum/contract/field_reader.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>
#include <cmath>
#include <limits>

namespace laburnum::contract {
namespace {

constexpr std::size_t kMaxSuggestDistance = 3;

/// Edit distance by Wagner and Fischer (1974).
std::size_t
editDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  for (std::size_t j = 0; j < row.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t replaced = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ row[j + 1] + 1, row[j] + 1, replaced });
    }
  }
  return row.back();
}

std::string_view
kindName(const json::value& aValue)
{
  return json::to_string(aValue.kind());
}

} // namespace

Result<json::value>
parseDocument(std::string_view aText)
{
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  options.max_depth = 32;
  json::stream_parser parser({}, options);
  boost::json::error_code error;
  // After a fault in a comment the parser counts beyond the text.
  const std::size_t read = std::min(
    aText.size(), parser.write_some(aText.data(), aText.size(), error));
  if (!error && read < aText.size()) {
    const auto rest = aText.substr(read);
    if (rest.find_first_not_of(" \t\r\n") != std::string_view::npos) {
      error = json::error::extra_data;
    }
  }
  if (!error) {
    parser.finish(error);
  }
  if (error) {
    const auto line = 1 + std::count(aText.begin(), aText.begin() + read, '\n');
    return Failure{ .error = Error::InvalidObject,
                    .detail =
                      "line " + std::to_string(line) + ": " + error.message() };
  }
  return parser.release();
}

FieldReader::FieldReader(const json::value& aValue, std::string aPath)
  : mPath(std::move(aPath))
{
  if (aValue.is_object()) {
    mObject = aValue.as_object();
    return;
  }
  mFaults.push_back((mPath.empty() ? "document" : mPath) + ": found " +
                    std::string(kindName(aValue)) + ", expected object");
}

const json::value*
FieldReader::find(std::string_view aName)
{
  mKnown.emplace(aName);
  return mObject.if_contains(aName);
}

bool
FieldReader::has(std::string_view aName) const
{
  return mObject.contains(aName);
}

bool
FieldReader::hasObject(std::string_view aName) const
{
  const json::value* value = mObject.if_contains(aName);
  return value != nullptr && value->is_object();
}

void
FieldReader::fault(std::string_view aName, std::string_view aMessage)
{
  std::string path = mPath.empty() ? "" : mPath + ".";
  mFaults.push_back(path.append(aName).append(": ").append(aMessage));
}

std::string
FieldReader::text(std::string_view aName, std::string aDefault)
{
  const json::value* value = find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_string()) {
    fault(aName,
          "found " + std::string(kindName(*value)) + ", expected string");
    return aDefault;
  }
  return std::string(value->as_string());
}

std::string
FieldReader::requiredText(std::string_view aName)
{
  std::string value = text(aName, "");
  if (value.empty() && (!has(aName) || mObject.at(aName).is_string())) {
    fault(aName, "missing or empty, expected a non-empty string");
  }
  return value;
}

double
FieldReader::number(std::string_view aName,
                    double aDefault,
                    double aLow,
                    double aHigh)
{
  const json::value* value = find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  boost::json::error_code error;
  const double found = value->is_number()
                         ? value->to_number<double>(error)
                         : std::numeric_limits<double>::quiet_NaN();
  if (error || !(found >= aLow && found <= aHigh)) {
    fault(aName,
          "found " + json::serialize(*value) + ", expected a number from " +
            json::serialize(json::value(aLow)) + " to " +
            json::serialize(json::value(aHigh)));
    return aDefault;
  }
  return found;
}

std::int64_t
FieldReader::integer(std::string_view aName,
                     std::int64_t aDefault,
                     std::int64_t aLow,
                     std::int64_t aHigh)
{
  const json::value* value = find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  boost::json::error_code error;
  const auto found =
    value->is_number() ? value->to_number<std::int64_t>(error) : aLow - 1;
  if (error || found < aLow || found > aHigh) {
    fault(aName,
          "found " + json::serialize(*value) + ", expected an integer from " +
            std::to_string(aLow) + " to " + std::to_string(aHigh));
    return aDefault;
  }
  return found;
}

Duration
FieldReader::duration(std::string_view aName,
                      Duration aUnit,
                      Duration aDefault,
                      Duration aLow,
                      Duration aHigh)
{
  const auto unit = static_cast<double>(aUnit.count());
  const double found = number(aName,
                              static_cast<double>(aDefault.count()) / unit,
                              static_cast<double>(aLow.count()) / unit,
                              static_cast<double>(aHigh.count()) / unit);
  return Duration(std::llround(found * unit));
}

bool
FieldReader::boolean(std::string_view aName, bool aDefault)
{
  const json::value* value = find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_bool()) {
    fault(aName,
          "found " + std::string(kindName(*value)) +
            ", expected true or false");
    return aDefault;
  }
  return value->as_bool();
}

std::vector<std::string>
FieldReader::texts(std::string_view aName)
{
  std::vector<std::string> all;
  const json::value* value = find(aName);
  if (value == nullptr) {
    return all;
  }
  if (!value->is_array()) {
    fault(aName,
          "found " + std::string(kindName(*value)) +
            ", expected an array of strings");
    return all;
  }
  for (std::size_t i = 0; i < value->as_array().size(); ++i) {
    const json::value& item = value->as_array()[i];
    if (!item.is_string()) {
      fault(std::string(aName) + "[" + std::to_string(i) + "]",
            "found " + std::string(kindName(item)) + ", expected string");
      continue;
    }
    all.emplace_back(item.as_string());
  }
  return all;
}

std::vector<FieldReader>
FieldReader::objects(std::string_view aName)
{
  std::vector<FieldReader> all;
  const json::value* value = find(aName);
  if (value == nullptr) {
    return all;
  }
  if (!value->is_array()) {
    fault(aName,
          "found " + std::string(kindName(*value)) +
            ", expected an array of objects");
    return all;
  }
  const std::string base = mPath.empty() ? "" : mPath + ".";
  for (std::size_t i = 0; i < value->as_array().size(); ++i) {
    all.emplace_back(value->as_array()[i],
                     base + std::string(aName) + "[" + std::to_string(i) + "]");
  }
  return all;
}

FieldReader
FieldReader::object(std::string_view aName)
{
  const json::value* value = find(aName);
  const std::string base = mPath.empty() ? "" : mPath + ".";
  return FieldReader(value == nullptr ? json::value(json::object()) : *value,
                     base + std::string(aName));
}

void
FieldReader::checkUnknown()
{
  for (const auto& field : mObject) {
    const std::string_view name = field.key();
    if (mKnown.contains(name)) {
      continue;
    }
    std::string nearest;
    std::size_t best = kMaxSuggestDistance + 1;
    for (const std::string& known : mKnown) {
      const std::size_t distance = editDistance(name, known);
      if (distance < best) {
        best = distance;
        nearest = known;
      }
    }
    fault(name,
          nearest.empty()
            ? "unknown field"
            : "unknown field, nearest known is \"" + nearest + "\"");
    mKnown.emplace(name);
  }
}

void
FieldReader::finish(FieldReader& aNested)
{
  aNested.checkUnknown();
  mFaults.insert(mFaults.end(), aNested.mFaults.begin(), aNested.mFaults.end());
  aNested.mFaults.clear();
}

std::string
FieldReader::faults()
{
  checkUnknown();
  return faultsOfKnown();
}

std::string
FieldReader::faultsOfKnown() const
{
  std::string all;
  for (const std::string& each : mFaults) {
    all += (all.empty() ? "" : "\n") + each;
  }
  return all;
}

} // namespace laburnum::contract
