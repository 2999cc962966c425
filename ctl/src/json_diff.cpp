#include "laburnum/ctl/json_diff.hpp"

#include <boost/json/serialize.hpp>
#include <set>

namespace laburnum::ctl {
namespace {

namespace json = boost::json;

void
compare(const std::string& aPath,
        const json::value* aBefore,
        const json::value* aAfter,
        std::vector<FieldChange>& aChanges)
{
  if (aBefore != nullptr && aAfter != nullptr && *aBefore == *aAfter) {
    return;
  }
  const bool bothObjects = aBefore != nullptr && aAfter != nullptr &&
                           aBefore->is_object() && aAfter->is_object();
  if (!bothObjects) {
    aChanges.push_back(
      { .path = aPath,
        .before = aBefore == nullptr ? "" : json::serialize(*aBefore),
        .after = aAfter == nullptr ? "" : json::serialize(*aAfter) });
    return;
  }
  std::set<std::string> names;
  for (const auto& field : aBefore->as_object()) {
    names.emplace(field.key());
  }
  for (const auto& field : aAfter->as_object()) {
    names.emplace(field.key());
  }
  for (const std::string& name : names) {
    compare(aPath.empty() ? name : aPath + "." + name,
            aBefore->as_object().if_contains(name),
            aAfter->as_object().if_contains(name),
            aChanges);
  }
}

} // namespace

std::vector<FieldChange>
diff(const json::value& aBefore, const json::value& aAfter)
{
  std::vector<FieldChange> changes;
  compare("", &aBefore, &aAfter, changes);
  return changes;
}

std::string
print(const std::vector<FieldChange>& aChanges)
{
  std::string text;
  for (const FieldChange& change : aChanges) {
    const std::string before =
      change.before.empty() ? "(absent)" : change.before;
    const std::string after = change.after.empty() ? "(absent)" : change.after;
    const std::string path = change.path.empty() ? "(whole)" : change.path;
    text += "  " + path + ": " + before + " -> " + after + "\n";
  }
  return text;
}

} // namespace laburnum::ctl
