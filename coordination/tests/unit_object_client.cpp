#include "laburnum/coordination/object_client.hpp"
#include "laburnum/http/server.hpp"
#include "laburnum/standins/servers.hpp"

#include <catch2/catch.hpp>
#include <optional>

using namespace laburnum;
using namespace laburnum::coordination;

namespace {

namespace bhttp = boost::beast::http;

/// Runs the event loop until the call has completed.
template<class Outcome>
Outcome
runOn(Loop& aLoop, asio::awaitable<Outcome> aCall)
{
  std::optional<Outcome> outcome;
  aLoop.spawn([](Loop& aLoop,
                 asio::awaitable<Outcome> aOne,
                 std::optional<Outcome>& aOutcome) -> asio::awaitable<void> {
    aOutcome.emplace(co_await std::move(aOne));
    aLoop.stop();
  }(aLoop, std::move(aCall), outcome));
  aLoop.context().restart();
  aLoop.run();
  return std::move(*outcome);
}

/// A platform that sends the same reply to every call; with status 0 it closes
/// the connection instead.
struct PlatformFixture
{
  Loop loop;
  contract::Limits limits;
  unsigned status = 200;
  std::string body;
  http::Server server{ loop,
                       {},
                       limits,
                       nullptr,
                       [this](http::Session& aSession, http::Request aRequest) {
                         return answer(aSession, std::move(aRequest));
                       } };
  ObjectClient client{ loop, { server.address() } };

  asio::awaitable<void> answer(http::Session& aSession, http::Request)
  {
    if (status == 0) {
      aSession.abort();
      co_return;
    }
    http::Response response;
    response.result(status);
    response.body() = body;
    co_await aSession.write(std::move(response));
  }

  template<class Outcome>
  Outcome runToCompletion(asio::awaitable<Outcome> aCall)
  {
    return runOn(loop, std::move(aCall));
  }
};

constexpr char kValidObject[] =
  R"({"kind":"contract","name":"a","version":7,"deleted":false,"value":{"x":1}})";

} // namespace

TEST_CASE_METHOD(PlatformFixture,
                 "ObjectClient, invalid reply to a read, is an error")
{
  struct Row
  {
    unsigned status;
    const char* body;
    Error error;
  };
  const Row rows[] = {
    { 200, kValidObject, Error::None },
    { 200,
      R"({"kind":"c","name":"a","version":7,"since":"new"})",
      Error::None },
    { 404, "", Error::ObjectNotFound },
    { 200, "", Error::PlatformUnavailable },
    { 200, "[]", Error::PlatformUnavailable },
    { 200, R"({"kind":"c")", Error::PlatformUnavailable },
    { 200, R"({"kind":"c","version":7})", Error::PlatformUnavailable },
    { 200, R"({"kind":7,"name":"a"})", Error::PlatformUnavailable },
    { 200,
      R"({"kind":"c","name":"a","version":-1})",
      Error::PlatformUnavailable },
    { 429, kValidObject, Error::PlatformUnavailable },
    { 500, kValidObject, Error::PlatformUnavailable },
    { 503, "", Error::PlatformUnavailable },
    { 0, "", Error::PlatformUnavailable },
  };
  for (const Row& row : rows) {
    INFO(row.status << " " << row.body);
    status = row.status;
    body = row.body;
    const auto object = runToCompletion(client.read("contract", "a"));
    if (row.error == Error::None) {
      REQUIRE(object);
      CHECK(object->version == 7);
    } else {
      REQUIRE_FALSE(object);
      CHECK(object.failure().error == row.error);
    }
  }
}

TEST_CASE_METHOD(PlatformFixture,
                 "ObjectClient, invalid reply to a write, outcome is unknown")
{
  enum class Outcome
  {
    Written,
    Conflict,
    Absent,
    Lost
  };
  struct Row
  {
    unsigned status;
    const char* body;
    Outcome outcome;
  };
  const Row rows[] = {
    { 200, kValidObject, Outcome::Written },
    { 412, kValidObject, Outcome::Conflict },
    { 412, "{}", Outcome::Absent },
    // A malformed present object is not the same as a missing one.
    { 412, R"({"kind":"c"})", Outcome::Lost },
    { 412, "", Outcome::Lost },
    { 200, "", Outcome::Lost },
    { 200, "{}", Outcome::Lost },
    { 201, kValidObject, Outcome::Lost },
    { 404, "{}", Outcome::Lost },
    { 429, kValidObject, Outcome::Lost },
    { 503, kValidObject, Outcome::Lost },
    { 0, "", Outcome::Lost },
  };
  for (const Row& row : rows) {
    INFO(row.status << " " << row.body);
    status = row.status;
    body = row.body;
    contract::Object object{ .kind = "contract", .name = "a" };
    object.value = "{}";
    const WriteOutcome outcome =
      runToCompletion(client.write(std::move(object), 3));
    const auto* conflict = std::get_if<WriteConflict>(&outcome);
    CHECK(std::holds_alternative<Written>(outcome) ==
          (row.outcome == Outcome::Written));
    CHECK(std::holds_alternative<OutcomeUnknown>(outcome) ==
          (row.outcome == Outcome::Lost));
    CHECK((conflict != nullptr && conflict->present.has_value()) ==
          (row.outcome == Outcome::Conflict));
  }
}

TEST_CASE_METHOD(PlatformFixture,
                 "ObjectClient, malformed object in a list, is skipped")
{
  struct Row
  {
    const char* body;
    int objects; ///< Below 0: the whole list is rejected.
  };
  const std::string mixed = std::string(R"({"version":9,"items":[)") +
                            kValidObject + R"(,{"kind":7},5]})";
  const Row rows[] = {
    { mixed.c_str(), 1 },
    { R"({"version":9,"items":[],"more":true})", 0 },
    { R"({"version":9})", -1 },
    { R"({"items":[]})", -1 },
    { R"({"version":"9","items":[]})", -1 },
    { R"({"version":-9,"items":[]})", -1 },
    { R"({"version":9,"items":{}})", -1 },
    { "null", -1 },
  };
  for (const Row& row : rows) {
    INFO(row.body);
    body = row.body;
    const auto list = runToCompletion(client.watch(1, Duration(0)));
    REQUIRE(static_cast<bool>(list) == (row.objects >= 0));
    if (list) {
      CHECK(static_cast<int>(list->objects.size()) == row.objects);
    }
  }
}

TEST_CASE_METHOD(PlatformFixture,
                 "object_client_oneOddObject_doesNotHideTheOthers")
{
  body = R"({"items":[)" + std::string(kValidObject) + "," +
         std::string(50, '[') + std::string(50, ']') +
         R"(,{"version":1e99999999999},)" + kValidObject + R"(],"version":9})";
  const auto list = runToCompletion(client.list("contract"));
  REQUIRE(list);
  CHECK(list->objects.size() == 2);
}

TEST_CASE(
  "ObjectClient, object with an odd name, is the only one that is named")
{
  const std::vector<std::string> names{
    "a/b",      "a?b",    "a#b",
    "a%41",     "a b",    "a+b",
    "a&b=c",    "a\r\nb", ".",
    "..",       "",       "a HTTP/1.1\r\n\r\nDELETE /v1/objects/k/a",
    "\xC3\xA9", "../k/a", std::string(9000, 'a')
  };
  for (const std::string& name : names) {
    CAPTURE(name.substr(0, 100));
    Loop loop;
    standins::PlatformServer platform(loop, {});
    ObjectClient client(loop, { platform.address() });
    const contract::Object sound{ .kind = "k", .name = "a", .value = "{}" };
    const auto first = runOn(loop, client.write(sound, 0));
    REQUIRE(std::holds_alternative<Written>(first));
    const bool canBeNamed =
      !name.empty() && name != "." && name != ".." && name != "../k/a";
    const contract::Object odd{ .kind = "k", .name = name, .value = "{}" };
    const auto outcome = runOn(loop, client.write(odd, 0));
    const auto* written = std::get_if<Written>(&outcome);
    CHECK((written != nullptr) == canBeNamed);
    const auto read = runOn(loop, client.read("k", name));
    CHECK((read && read->name == name) == canBeNamed);
    if (written != nullptr) {
      runOn(loop, client.remove("k", name, written->version));
    } else {
      runOn(loop, client.remove("k", name, 1));
    }
    CHECK(platform.core().read("k", name) == nullptr);
    CHECK(platform.core().read("k", "a") != nullptr);
    CHECK(platform.core().ofKind("k").size() == 1);
  }
}
