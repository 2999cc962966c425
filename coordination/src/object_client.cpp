#include "laburnum/coordination/object_client.hpp"

#include "laburnum/contract/reply_parser.hpp"
#include "laburnum/http/target.hpp"
#include "laburnum/kernel/log.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::coordination {
namespace {

namespace bhttp = boost::beast::http;
namespace json = boost::json;

constexpr Duration kCallTimeout = seconds(2);

Failure
unavailable(std::string aDetail)
{
  return { .error = Error::PlatformUnavailable, .detail = std::move(aDetail) };
}

http::Target
kindTarget(std::string_view aKind)
{
  return http::Target("/v1/objects").segment(aKind);
}

http::Target
objectTarget(std::string_view aKind, std::string_view aName)
{
  return kindTarget(aKind).segment(aName);
}

std::string
objectText(std::string_view aKind, std::string_view aName)
{
  return std::string(aKind).append("/").append(aName);
}

Failure
invalidName(std::string_view aKind, std::string_view aName)
{
  return { .error = Error::InvalidObject,
           .detail = "found object \"" + objectText(aKind, aName) +
                     "\", expected a kind and a name that are not empty "
                     "and have no dot segments" };
}

Result<json::value>
parseBody(const http::Response& aResponse)
{
  auto body = contract::parseReply(aResponse.body());
  if (!body) {
    return unavailable("the platform's reply is not a JSON object");
  }
  return std::move(*body);
}

Result<ObjectList>
parseList(const http::Response& aResponse)
{
  const auto body = parseBody(aResponse);
  if (!body) {
    return body.failure();
  }
  const json::object& reply = body->as_object();
  const json::value* items = reply.if_contains("items");
  const json::value* version = reply.if_contains("version");
  if (items == nullptr || !items->is_array() || version == nullptr ||
      !version->is_number()) {
    return unavailable(
      "the platform's list has no array \"items\" or no numeric \"version\"");
  }
  ObjectList list;
  json::error_code error;
  list.version = version->to_number<std::uint64_t>(error);
  if (error) {
    return unavailable(
      "the platform's list has a negative or fractional \"version\"");
  }
  for (const json::value& item : items->as_array()) {
    auto object = parseObject(item);
    if (!object) {
      // A malformed object must not keep the others from being applied.
      log(LogLevel::Warn,
          "object_faulty",
          { { "detail", object.failure().detail } });
      continue;
    }
    list.objects.push_back(std::move(*object));
  }
  return list;
}

} // namespace

Result<contract::Object>
parseObject(const json::value& aValue)
{
  contract::FieldReader reader(aValue, "object");
  contract::Object object;
  object.kind = reader.requiredText("kind");
  object.name = reader.requiredText("name");
  object.version = static_cast<std::uint64_t>(
    reader.integer("version", 0, 0, std::numeric_limits<std::int64_t>::max()));
  object.deleted = reader.boolean("deleted", false);
  if (reader.has("value")) {
    object.value = json::serialize(aValue.as_object().at("value"));
  }
  reader.object("value");
  std::string faults = reader.faultsOfKnown();
  if (!faults.empty()) {
    return unavailable(std::move(faults));
  }
  return object;
}

json::object
toJson(const contract::Object& aObject)
{
  json::object object{ { "kind", aObject.kind },
                       { "name", aObject.name },
                       { "version", aObject.version },
                       { "deleted", aObject.deleted } };
  if (!aObject.value.empty()) {
    object["value"] = json::parse(aObject.value);
  }
  return object;
}

ObjectClient::ObjectClient(Loop& aLoop,
                           const std::vector<contract::Address>& aAddresses)
{
  for (const contract::Address& address : aAddresses) {
    mPools.push_back(std::make_unique<http::ClientPool>(aLoop, address));
  }
}

asio::awaitable<Result<http::Response>>
ObjectClient::call(http::Request aRequest, Duration aTimeout)
{
  if (mPools.empty()) {
    co_return unavailable("no platform address is configured");
  }
  ++mCalls;
  // A failed call is not repeated at the next address here: the caller of a
  // write has to know that the first call may have taken effect.
  auto response =
    co_await mPools[mCurrentPool]->request(std::move(aRequest), aTimeout);
  if (!response || response->result_int() >= 500 ||
      response->result_int() == 429) {
    mCurrentPool = (mCurrentPool + 1) % mPools.size();
    co_return unavailable(response
                            ? "status " + std::to_string(response->result_int())
                            : response.failure().detail);
  }
  co_return response;
}

asio::awaitable<Result<contract::Object>>
ObjectClient::read(std::string_view aKind, std::string_view aName)
{
  const auto target = objectTarget(aKind, aName).text();
  if (!target) {
    co_return invalidName(aKind, aName);
  }
  http::Request request{ bhttp::verb::get, *target, 11 };
  const auto response = co_await call(std::move(request), kCallTimeout);
  if (!response) {
    co_return response.failure();
  }
  if (response->result() == bhttp::status::not_found) {
    co_return Failure{ .error = Error::ObjectNotFound,
                       .detail = objectText(aKind, aName) };
  }
  const auto body = parseBody(*response);
  if (!body) {
    co_return body.failure();
  }
  co_return parseObject(*body);
}

asio::awaitable<Result<ObjectList>>
ObjectClient::list(std::string_view aKind)
{
  const auto target =
    (aKind.empty() ? http::Target("/v1/objects") : kindTarget(aKind)).text();
  if (!target) {
    co_return invalidName(aKind, "");
  }
  http::Request request{ bhttp::verb::get, *target, 11 };
  const auto response = co_await call(std::move(request), kCallTimeout);
  if (!response) {
    co_return response.failure();
  }
  co_return parseList(*response);
}

asio::awaitable<Result<ObjectList>>
ObjectClient::watch(std::uint64_t aAfterVersion, Duration aMaxWait)
{
  const auto millis =
    std::chrono::duration_cast<milliseconds>(aMaxWait).count();
  http::Request request{ bhttp::verb::get,
                         "/v1/watch?after=" + std::to_string(aAfterVersion) +
                           "&timeout_ms=" + std::to_string(millis),
                         11 };
  const auto response =
    co_await call(std::move(request), aMaxWait + kCallTimeout);
  if (!response) {
    co_return response.failure();
  }
  co_return parseList(*response);
}

asio::awaitable<Result<std::vector<ListedInstance>>>
ObjectClient::instances()
{
  http::Request request{ bhttp::verb::get, "/v1/instances", 11 };
  const auto response = co_await call(std::move(request), kCallTimeout);
  if (!response) {
    co_return response.failure();
  }
  const auto body = parseBody(*response);
  if (!body) {
    co_return body.failure();
  }
  contract::FieldReader reader(*body, "instances");
  std::vector<ListedInstance> all;
  for (contract::FieldReader& item : reader.objects("items")) {
    all.push_back({ .name = item.text("name", ""),
                    .leaving = item.boolean("leaving", false) });
  }
  co_return all;
}

asio::awaitable<WriteOutcome>
ObjectClient::write(contract::Object aObject, std::uint64_t aExpectedVersion)
{
  const auto target = objectTarget(aObject.kind, aObject.name).text();
  if (!target) {
    co_return OutcomeUnknown{ invalidName(aObject.kind, aObject.name) };
  }
  http::Request request{ bhttp::verb::put, *target, 11 };
  if (aObject.deleted) {
    request.method(bhttp::verb::delete_);
  }
  if (aExpectedVersion == 0) {
    request.set(bhttp::field::if_none_match, "*");
  } else {
    request.set(bhttp::field::if_match, std::to_string(aExpectedVersion));
  }
  request.body() = std::move(aObject.value);
  const auto response = co_await call(std::move(request), kCallTimeout);
  if (!response) {
    co_return OutcomeUnknown{ response.failure() };
  }
  const auto body = parseBody(*response);
  if (!body) {
    co_return OutcomeUnknown{ body.failure() };
  }
  if (response->result() == bhttp::status::precondition_failed) {
    if (body->as_object().empty()) {
      co_return WriteConflict{};
    }
    auto present = parseObject(*body);
    if (!present) {
      co_return OutcomeUnknown{ present.failure() };
    }
    co_return WriteConflict{ std::move(*present) };
  }
  auto written = parseObject(*body);
  if (!written || response->result() != bhttp::status::ok) {
    co_return OutcomeUnknown{ unavailable(
      "status " + std::to_string(response->result_int()) + ": " +
      response->body()) };
  }
  co_return Written{ written->version };
}

asio::awaitable<WriteOutcome>
ObjectClient::remove(std::string_view aKind,
                     std::string_view aName,
                     std::uint64_t aExpectedVersion)
{
  contract::Object object{ .kind = std::string(aKind),
                           .name = std::string(aName) };
  object.deleted = true;
  co_return co_await write(std::move(object), aExpectedVersion);
}

} // namespace laburnum::coordination
