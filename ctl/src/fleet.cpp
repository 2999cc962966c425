#include "laburnum/ctl/commands.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::ctl {
namespace {

namespace json = boost::json;
namespace bhttp = boost::beast::http;

constexpr Duration kCallTimeout = seconds(2);
constexpr Duration kPollPeriod = milliseconds(200);

/// An instance as it published itself.
struct Instance
{
  std::string name;
  std::string role;
  std::string domain;
  contract::Address operators;
};

asio::awaitable<Result<std::vector<Instance>>>
instancesOf(coordination::ObjectClient& aClient)
{
  const auto objects = co_await aClient.list("instance");
  if (!objects) {
    co_return objects.failure();
  }
  std::vector<Instance> all;
  for (const contract::Object& object : objects->objects) {
    const json::value value = json::parse(object.value);
    contract::FieldReader reader(value, "");
    const auto address = contract::parseAddress(reader.text("operators", ""));
    all.push_back({ .name = object.name,
                    .role = reader.text("role", "?"),
                    .domain = reader.text("failure_domain", "?"),
                    .operators = address ? *address : contract::Address{} });
  }
  co_return all;
}

asio::awaitable<Result<json::object>>
statusOf(Loop& aLoop, const Instance& aInstance)
{
  http::ClientPool pool(aLoop, aInstance.operators);
  http::Request request{ bhttp::verb::get, "/status", 11 };
  const auto response = co_await pool.request(std::move(request), kCallTimeout);
  if (!response) {
    co_return response.failure();
  }
  json::error_code error;
  const json::value body = json::parse(response->body(), error);
  if (error || !body.is_object()) {
    co_return Failure{ .error = Error::PlatformUnavailable,
                       .detail = "no JSON status" };
  }
  co_return body.as_object();
}

std::string
textOf(const json::object& aObject, std::string_view aField)
{
  const json::value* found = aObject.if_contains(aField);
  if (found == nullptr) {
    return "-";
  }
  return found->is_string() ? std::string(found->as_string())
                            : json::serialize(*found);
}

/// What the holders of the duties say of models and groups; others say
/// nothing.
std::string
dutiesIn(const json::object& aStatus)
{
  std::string text;
  const json::value* lines = aStatus.if_contains("placement");
  for (const json::value& line : lines != nullptr && lines->is_array()
                                   ? lines->as_array()
                                   : json::array()) {
    text += "model " + std::string(line.as_string()) + "\n";
  }
  const json::value* group = aStatus.if_contains("group");
  if (group != nullptr && group->is_object() &&
      textOf(group->as_object(), "duty") == "held") {
    const json::object& fields = group->as_object();
    text += "group " + textOf(fields, "name") + ": epoch " +
            textOf(fields, "epoch") + ", step " + textOf(fields, "step") +
            ", " + textOf(fields, "size") + " ranks, changing " +
            textOf(fields, "changing") + "\n";
  }
  return text;
}

} // namespace

asio::awaitable<CommandResult>
showStatus(Loop& aLoop,
           coordination::ObjectClient& aClient,
           const Options& aOptions)
{
  const auto instances = co_await instancesOf(aClient);
  if (!instances) {
    co_return failed(instances.failure());
  }
  json::array items;
  std::vector<std::vector<std::string>> rows;
  std::string duties;
  for (const Instance& instance : *instances) {
    const auto status = co_await statusOf(aLoop, instance);
    if (status) {
      duties += dutiesIn(*status);
    }
    if (!status) {
      rows.push_back({ instance.name,
                       instance.role,
                       instance.domain,
                       "unreachable",
                       "-",
                       "-",
                       "-" });
      items.push_back(json::object{ { "instance", instance.name },
                                    { "state", "unreachable" } });
      continue;
    }
    items.push_back(*status);
    rows.push_back({ instance.name,
                     instance.role,
                     instance.domain,
                     textOf(*status, "state"),
                     textOf(*status, "ready"),
                     textOf(*status, "config_age_s"),
                     textOf(*status, "invalid") });
  }
  co_return CommandResult{ .output = aOptions.json
                                       ? json::serialize(items) + "\n"
                                       : table({ "INSTANCE",
                                                 "ROLE",
                                                 "DOMAIN",
                                                 "STATE",
                                                 "READY",
                                                 "CONFIG_AGE_S",
                                                 "INVALID" },
                                               rows) +
                                           duties };
}

asio::awaitable<CommandResult>
waitForRollout(Loop& aLoop,
               coordination::ObjectClient& aClient,
               const Options& aOptions)
{
  const std::string key = aOptions.words[1] + "/" + aOptions.words[2];
  const auto object =
    co_await aClient.read(aOptions.words[1], aOptions.words[2]);
  if (!object) {
    co_return failed(object.failure());
  }
  const auto instances = co_await instancesOf(aClient);
  if (!instances) {
    co_return failed(instances.failure());
  }
  const Instant end = aLoop.now() + aOptions.timeout;
  for (;;) {
    std::size_t inForce = 0;
    std::string behind;
    for (const Instance& instance : *instances) {
      const auto status = co_await statusOf(aLoop, instance);
      if (!status) {
        behind += "  " + instance.name + ": unreachable\n";
        continue;
      }
      const json::value* versions = status->if_contains("versions");
      const json::value* version =
        versions == nullptr ? nullptr : versions->as_object().if_contains(key);
      json::error_code error;
      const bool good = version != nullptr && version->to_number<std::uint64_t>(
                                                error) >= object->version;
      inForce += good ? 1 : 0;
      behind += good ? "" : "  " + instance.name + ": behind\n";
    }
    const std::string progress =
      key + " version " + std::to_string(object->version) + " in force at " +
      std::to_string(inForce) + " of " + std::to_string(instances->size()) +
      "\n";
    if (inForce == instances->size()) {
      co_return CommandResult{ .output = progress };
    }
    if (!aOptions.wait || aLoop.now() >= end) {
      co_return CommandResult{ .code = ExitCode::TimedOut,
                               .output = progress + behind };
    }
    co_await aLoop.sleep(kPollPeriod);
  }
}

asio::awaitable<CommandResult>
drainInstance(Loop& aLoop,
              coordination::ObjectClient& aClient,
              const Options& aOptions)
{
  const auto instances = co_await instancesOf(aClient);
  if (!instances) {
    co_return failed(instances.failure());
  }
  for (const Instance& instance : *instances) {
    if (instance.name != aOptions.words[1]) {
      continue;
    }
    http::ClientPool pool(aLoop, instance.operators);
    http::Request request{ bhttp::verb::post, "/orders/drain", 11 };
    const auto response =
      co_await pool.request(std::move(request), kCallTimeout);
    if (!response) {
      co_return failed(response.failure());
    }
    co_return CommandResult{ .output =
                               instance.name + ": " + response->body() };
  }
  co_return failed({ .error = Error::ObjectNotFound,
                     .detail = "instance/" + aOptions.words[1] });
}

} // namespace laburnum::ctl
