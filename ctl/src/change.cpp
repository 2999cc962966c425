#include "laburnum/ctl/change.hpp"

#include "laburnum/ctl/json_diff.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

namespace laburnum::ctl {
namespace {

namespace json = boost::json;

constexpr int kTries = 5;
constexpr Duration kPause = milliseconds(200);

/// The present object; version 0 and a null value if there is none.
struct Present
{
  std::uint64_t version = 0;
  json::value value;
};

asio::awaitable<Result<Present>>
readPresent(coordination::ObjectClient& aClient, const Change& aChange)
{
  const auto object = co_await aClient.read(aChange.kind, aChange.name);
  if (object) {
    co_return Present{ .version = object->version,
                       .value = json::parse(object->value) };
  }
  if (object.failure().error == Error::ObjectNotFound) {
    co_return Present{};
  }
  co_return object.failure();
}

Failure
conflict(const Change& aChange, const Present& aPresent)
{
  const json::value wanted =
    aChange.value ? *aChange.value : json::value(nullptr);
  std::string detail = aChange.kind + "/" + aChange.name;
  if (!aChange.base && aPresent.version > 0) {
    detail += " exists; say which version was edited, by \"$version\" in the "
              "file or --base.";
  } else {
    detail += " was changed by another operator since version " +
              std::to_string(aChange.base.value_or(0)) + ".";
  }
  detail += " The present version is " + std::to_string(aPresent.version) +
            ". Present against wanted:\n" + print(diff(aPresent.value, wanted));
  return { .error = Error::Conflict, .detail = std::move(detail) };
}

json::object
auditRecord(const Change& aChange, const Present& aBefore)
{
  const auto now = std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  json::object record{ { "who", aChange.who },      { "when_ms", now.count() },
                       { "kind", aChange.kind },    { "name", aChange.name },
                       { "from", aBefore.version }, { "state", "intended" } };
  record["before"] = aBefore.value;
  record["after"] = aChange.value ? *aChange.value : json::value(nullptr);
  return record;
}

/// Writes until the platform answers; a lost reply is settled by the record's
/// unique name.
asio::awaitable<Result<std::uint64_t>>
writeAudit(Loop& aLoop,
           coordination::ObjectClient& aClient,
           const contract::Object& aRecord,
           std::uint64_t aExpected)
{
  for (int i = 0; i < kTries; ++i) {
    const auto outcome = co_await aClient.write(aRecord, aExpected);
    if (const auto* written = std::get_if<coordination::Written>(&outcome)) {
      co_return written->version;
    }
    if (const auto* other = std::get_if<coordination::WriteConflict>(&outcome);
        other && other->present) {
      co_return other->present->version;
    }
    co_await aLoop.sleep(kPause);
  }
  co_return Failure{ .error = Error::PlatformUnavailable,
                     .detail = "the audit record can't be written" };
}

asio::awaitable<Result<std::uint64_t>>
writeChange(Loop& aLoop,
            coordination::ObjectClient& aClient,
            const Change& aChange,
            const Present& aBefore)
{
  contract::Object object{ .kind = aChange.kind, .name = aChange.name };
  object.deleted = !aChange.value.has_value();
  object.value = aChange.value ? json::serialize(*aChange.value) : "";
  for (int i = 0; i < kTries; ++i) {
    const auto outcome = co_await aClient.write(object, aBefore.version);
    if (const auto* written = std::get_if<coordination::Written>(&outcome)) {
      co_return written->version;
    }
    const auto now = co_await readPresent(aClient, aChange);
    if (!now) {
      co_await aLoop.sleep(kPause);
      continue;
    }
    const bool isOurs =
      now->version != aBefore.version &&
      (aChange.value ? now->version > 0 && now->value == *aChange.value
                     : now->version == 0);
    if (isOurs) {
      co_return now->version; // A lost reply: the write took effect.
    }
    if (now->version != aBefore.version) {
      co_return conflict(aChange, *now);
    }
    co_await aLoop.sleep(kPause);
  }
  co_return Failure{ .error = Error::PlatformUnavailable,
                     .detail = "no answer to the change" };
}

} // namespace

bool
isOperatorKind(std::string_view aKind)
{
  return aKind == "contract" || aKind == "service" || aKind == "model" ||
         aKind == "policy";
}

asio::awaitable<Result<ChangeResult>>
makeChange(Loop& aLoop, coordination::ObjectClient& aClient, Change aChange)
{
  const auto before = co_await readPresent(aClient, aChange);
  if (!before) {
    co_return before.failure();
  }
  if (aChange.value && before->version > 0 && before->value == *aChange.value) {
    co_return ChangeResult{ .version = before->version, .unchanged = true };
  }
  if (!aChange.value && before->version == 0) {
    co_return Failure{ .error = Error::ObjectNotFound,
                       .detail = aChange.kind + "/" + aChange.name };
  }
  if (aChange.base.value_or(0) != before->version) {
    co_return conflict(aChange, *before);
  }
  json::object record = auditRecord(aChange, *before);
  contract::Object audit{ .kind = "audit" };
  audit.name = std::to_string(record["when_ms"].as_int64()) + "-" +
               std::to_string(entropySeed());
  audit.value = json::serialize(record);
  const auto intent = co_await writeAudit(aLoop, aClient, audit, 0);
  if (!intent) {
    co_return intent.failure();
  }
  const auto version = co_await writeChange(aLoop, aClient, aChange, *before);
  record["state"] = version ? "accepted" : "refused";
  if (version) {
    record["to"] = *version;
  }
  audit.value = json::serialize(record);
  // An intent without this second word is settled by the versions it names.
  [[maybe_unused]] const auto second =
    co_await writeAudit(aLoop, aClient, audit, *intent);
  if (!version) {
    co_return version.failure();
  }
  co_return ChangeResult{
    .version = *version,
    .diff = print(diff(before->value,
                       aChange.value ? *aChange.value : json::value(nullptr)))
  };
}

} // namespace laburnum::ctl
