#include "laburnum/coordination/object_client.hpp"
#include "laburnum/http/server.hpp"

#include <catch2/catch.hpp>
#include <optional>

using namespace laburnum;
using namespace laburnum::coordination;

namespace {

namespace bhttp = boost::beast::http;

/// A platform that gives one canned reply to every call; status 0 closes the
/// connection without one.
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

  /// Runs one call to its end.
  template<class Outcome>
  Outcome finish(asio::awaitable<Outcome> aCall)
  {
    std::optional<Outcome> outcome;
    loop.spawn([](Loop& aLoop,
                  asio::awaitable<Outcome> aOne,
                  std::optional<Outcome>& aOutcome) -> asio::awaitable<void> {
      aOutcome.emplace(co_await std::move(aOne));
      aLoop.stop();
    }(loop, std::move(aCall), outcome));
    loop.context().restart();
    loop.run();
    return std::move(*outcome);
  }
};

constexpr char kGood[] =
  R"({"kind":"contract","name":"a","version":7,"deleted":false,"value":{"x":1}})";

} // namespace

TEST_CASE_METHOD(PlatformFixture,
                 "ObjectClient, faulty replies to a read, tell nothing")
{
  struct Row
  {
    unsigned status;
    const char* body;
    Error error;
  };
  const Row rows[] = {
    { 200, kGood, Error::None },
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
    { 429, kGood, Error::PlatformUnavailable },
    { 500, kGood, Error::PlatformUnavailable },
    { 503, "", Error::PlatformUnavailable },
    { 0, "", Error::PlatformUnavailable },
  };
  for (const Row& row : rows) {
    INFO(row.status << " " << row.body);
    status = row.status;
    body = row.body;
    const auto object = finish(client.read("contract", "a"));
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
                 "ObjectClient, faulty replies to a write, count as lost")
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
    { 200, kGood, Outcome::Written },
    { 412, kGood, Outcome::Conflict },
    { 412, "{}", Outcome::Absent },
    // A present object that can't be read is not the same as none.
    { 412, R"({"kind":"c"})", Outcome::Lost },
    { 412, "", Outcome::Lost },
    { 200, "", Outcome::Lost },
    { 200, "{}", Outcome::Lost },
    { 201, kGood, Outcome::Lost },
    { 404, "{}", Outcome::Lost },
    { 429, kGood, Outcome::Lost },
    { 503, kGood, Outcome::Lost },
    { 0, "", Outcome::Lost },
  };
  for (const Row& row : rows) {
    INFO(row.status << " " << row.body);
    status = row.status;
    body = row.body;
    contract::Object object{ .kind = "contract", .name = "a" };
    object.value = "{}";
    const WriteOutcome outcome = finish(client.write(std::move(object), 3));
    const auto* conflict = std::get_if<ConflictWith>(&outcome);
    CHECK(std::holds_alternative<Written>(outcome) ==
          (row.outcome == Outcome::Written));
    CHECK(std::holds_alternative<ReplyLost>(outcome) ==
          (row.outcome == Outcome::Lost));
    CHECK((conflict != nullptr && conflict->present.has_value()) ==
          (row.outcome == Outcome::Conflict));
  }
}

TEST_CASE_METHOD(PlatformFixture,
                 "ObjectClient, a faulty object in a list, keeps no other back")
{
  struct Row
  {
    const char* body;
    int objects; ///< Below 0: the list is not taken in.
  };
  const std::string mixed =
    std::string(R"({"version":9,"items":[)") + kGood + R"(,{"kind":7},5]})";
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
    const auto list = finish(client.watch(1, Duration(0)));
    REQUIRE(static_cast<bool>(list) == (row.objects >= 0));
    if (list) {
      CHECK(static_cast<int>(list->objects.size()) == row.objects);
    }
  }
}
