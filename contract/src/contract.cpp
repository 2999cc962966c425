#include "laburnum/contract/contract.hpp"

#include <algorithm>

namespace laburnum::contract {
namespace {

constexpr Duration kMinInterval = milliseconds(1);
constexpr Duration kMaxInterval = std::chrono::hours(24);
constexpr double kMaxShare = 1e6;
constexpr double kMaxRate = 1e6;
constexpr std::size_t kKeyLabelSize = 71; // "sha256:" and 64 digits

bool
isKeyLabel(std::string_view aText)
{
  return aText.size() == kKeyLabelSize && aText.starts_with("sha256:") &&
         aText.find_first_not_of("0123456789abcdef", 7) ==
           std::string_view::npos;
}

void
checkName(FieldReader& aReader,
          std::string_view aField,
          std::string_view aFound,
          std::string_view aName)
{
  if (!aFound.empty() && !aName.empty() && aFound != aName) {
    aReader.fault(aField,
                  "found \"" + std::string(aFound) +
                    "\", expected the object's name \"" + std::string(aName) +
                    "\"");
  }
}

template<class T>
Result<T>
finished(FieldReader& aReader, T aValue)
{
  std::string faults = aReader.faults();
  if (!faults.empty()) {
    return Failure{ .error = Error::InvalidObject,
                    .detail = std::move(faults) };
  }
  return aValue;
}

bool
contains(const std::vector<std::string>& aAll, std::string_view aOne)
{
  return std::find(aAll.begin(), aAll.end(), aOne) != aAll.end();
}

} // namespace

bool
Contract::allowsModel(std::string_view aName, std::string_view aVersion) const
{
  for (const ModelRight& right : models) {
    if (right.name != aName) {
      continue;
    }
    return right.versions.empty() || aVersion.empty() ||
           contains(right.versions, aVersion);
  }
  return false;
}

bool
Contract::allowsService(std::string_view aName) const
{
  return contains(services, aName);
}

bool
ServiceRule::idempotent(std::string_view aMethod) const
{
  return contains(idempotentMethods, aMethod);
}

Result<Contract>
parseContract(const json::value& aValue, std::string_view aName)
{
  FieldReader reader(aValue, "");
  Contract contract;
  contract.account = reader.requiredText("account");
  checkName(reader, "account", contract.account, aName);
  contract.share = reader.number("share", 1, 0.001, kMaxShare);
  FieldReader priority = reader.object("priority");
  contract.defaultPriority =
    static_cast<int>(priority.integer("default", 5, 0, 9));
  contract.maxPriority = static_cast<int>(priority.integer(
    "max", contract.defaultPriority, contract.defaultPriority, 9));
  reader.finish(priority);
  contract.rate = reader.number("rate", 100, 0.001, kMaxRate);
  contract.burst =
    reader.number("burst", std::max(1.0, 2 * contract.rate), 1, kMaxRate);
  for (FieldReader& model : reader.objects("models")) {
    contract.models.push_back({ .name = model.requiredText("name"),
                                .versions = model.texts("versions") });
    reader.finish(model);
  }
  contract.services = reader.texts("services");
  contract.keys = reader.texts("keys");
  for (std::size_t i = 0; i < contract.keys.size(); ++i) {
    if (!isKeyLabel(contract.keys[i])) {
      reader.fault("keys[" + std::to_string(i) + "]",
                   "expected \"sha256:\" and 64 hexadecimal digits; a key "
                   "itself does not belong here");
    }
  }
  return finished(reader, std::move(contract));
}

Result<ServiceRule>
parseServiceRule(const json::value& aValue, std::string_view aName)
{
  FieldReader reader(aValue, "");
  ServiceRule rule;
  rule.name = reader.requiredText("name");
  checkName(reader, "name", rule.name, aName);
  if (reader.has("idempotent_methods")) {
    rule.idempotentMethods = reader.texts("idempotent_methods");
  } else {
    reader.texts("idempotent_methods");
  }
  return finished(reader, std::move(rule));
}

Result<ModelRule>
parseModelRule(const json::value& aValue, std::string_view aName)
{
  FieldReader reader(aValue, "");
  ModelRule rule;
  rule.name = reader.requiredText("name");
  checkName(reader, "name", rule.name, aName);
  rule.version = reader.text("version", "");
  rule.adapter = reader.text("adapter", "");
  rule.servers = static_cast<int>(reader.integer("servers", 1, 0, 10000));
  rule.weightGigabytes = reader.number("weight_gb", 1, 0.001, 1e6);
  return finished(reader, std::move(rule));
}

Result<PolicyRule>
parsePolicyRule(const json::value& aValue, std::string_view /*aName*/)
{
  FieldReader reader(aValue, "");
  PolicyRule rule;
  rule.routing = reader.text("routing", rule.routing);
  rule.queue = reader.text("queue", rule.queue);
  rule.admission = reader.boolean("admission", rule.admission);
  rule.retryShare = reader.number("retry_share", rule.retryShare, 0, 1);
  const auto readSeconds = [&reader](std::string_view aName,
                                     Duration aDefault) {
    return reader.duration(
      aName, seconds(1), aDefault, kMinInterval, kMaxInterval);
  };
  rule.quarantine = readSeconds("quarantine_s", rule.quarantine);
  rule.mapPlanInterval = readSeconds("map_plan_s", rule.mapPlanInterval);
  rule.weightStoreGigabytesPerSecond = reader.number(
    "weight_store_gb_s", rule.weightStoreGigabytesPerSecond, 0.001, 1e6);
  rule.parallelLoads = static_cast<int>(
    reader.integer("parallel_loads", rule.parallelLoads, 1, 1000));
  return finished(reader, std::move(rule));
}

Result<bool>
validateObject(std::string_view aKind,
               std::string_view aName,
               const json::value& aValue)
{
  const auto outcome = [](const auto& aParsed) -> Result<bool> {
    if (aParsed) {
      return true;
    }
    return aParsed.failure();
  };
  if (aKind == "contract") {
    return outcome(parseContract(aValue, aName));
  }
  if (aKind == "service") {
    return outcome(parseServiceRule(aValue, aName));
  }
  if (aKind == "model") {
    return outcome(parseModelRule(aValue, aName));
  }
  if (aKind == "policy") {
    return outcome(parsePolicyRule(aValue, aName));
  }
  if (!aValue.is_object()) {
    return Failure{ .error = Error::InvalidObject,
                    .detail = "document: expected object" };
  }
  return true;
}

} // namespace laburnum::contract
