#include "laburnum/contract/contract.hpp"
#include "laburnum/contract/object_store.hpp"
#include "laburnum/contract/reply_parser.hpp"
#include "laburnum/contract/settings.hpp"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::contract;

namespace {

const std::string kKey = "sha256:" + std::string(64, 'a');

Object
contractObject(std::uint64_t aVersion, double aShare)
{
  return { .kind = "contract",
           .name = "garden",
           .version = aVersion,
           .value = R"({"account":"garden","share":)" + std::to_string(aShare) +
                    R"(,"keys":[")" + kKey + R"("]})" };
}

} // namespace

// A daemon that reads a time as an integer does not start where the platform
// states a fraction.
TEST_CASE("ParseSettings, times as whole numbers or fractions, are exact")
{
  struct Row
  {
    const char* figure;
    std::int64_t thousandths;
  };
  const Row rows[]{
    { "8", 8000 },   { "8.0", 8000 },   { "80e-1", 8000 },     { "7.5", 7500 },
    { "0.25", 250 }, { "2.001", 2001 }, { "7200", 7'200'000 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.figure);
    const std::string figure(row.figure);
    const std::string place =
      R"("failure_domain":"a","platform":["1.2.3.4:5"],"limits":{"read_timeout_ms":)" +
      figure + R"(,"default_deadline_ms":)" + figure +
      R"(,"forget_instance_ms":)" + figure + R"(,"drain_grace_ms":)" + figure +
      "},";
    const microseconds inMilliseconds(row.thousandths);
    for (const std::string role : { "entry", "agent", "gateway", "steward" }) {
      const bool hasServer = role == "agent" || role == "steward";
      const bool isGateway = role == "gateway";
      const auto settings = parseSettings(
        "{" + place +
        (hasServer
           ? R"("server":{"address":"1.2.3.4:6","offers":["m"],"slots":8.0},)"
           : "") +
        (isGateway
           ? R"("gateway":{"retry_window_s":)" + figure +
               R"(,"stop_grace_s":)" + figure + R"(,"steward_port":7340.0},)"
           : "") +
        R"("control":{"host":"1.2.3.4","port":7340.0},"instance":"i","role":")" +
        role + "\"}");
      REQUIRE(settings);
      CHECK(settings->control.text() == "1.2.3.4:7340");
      CHECK(settings->limits.readTimeout == inMilliseconds);
      CHECK(settings->limits.defaultDeadline == inMilliseconds);
      CHECK(settings->limits.forgetInstance == inMilliseconds);
      CHECK(settings->limits.drainGrace == inMilliseconds);
      if (isGateway) {
        CHECK(settings->gateway.retryWindow == milliseconds(row.thousandths));
        CHECK(settings->gateway.stopGrace == milliseconds(row.thousandths));
        CHECK(settings->gateway.stewardPort == 7340);
      }
    }
  }
}

TEST_CASE("ParsePolicyRule, times as fractions, are exact")
{
  const auto parse = [](const std::string& aText) {
    return parsePolicyRule(*parseDocument(aText), "policy");
  };
  const auto rule =
    parse(R"({"quarantine_s":7.5,"map_plan_s":0.25,"parallel_loads":2.0})");
  REQUIRE(rule);
  CHECK(rule->quarantine == milliseconds(7500));
  CHECK(rule->mapPlanInterval == milliseconds(250));
  CHECK(rule->parallelLoads == 2);
  CHECK_FALSE(parse(R"({"quarantine_s":-7.5})"));
  CHECK_FALSE(parse(R"({"map_plan_s":0})"));
  CHECK_FALSE(parse(R"({"parallel_loads":1.5})"));
}

TEST_CASE("ParseSettings, faulty files, name place and remedy")
{
  struct Row
  {
    const char* text;
    const char* expected;
  };
  const Row rows[]{
    { "{\n\"instance\": \"e\",\n oops }", "line 3" },
    { R"({"instance":"e","failure_domain":"a","platform":["1.2.3.4:5"],"instanse":"x"})",
      "instanse: unknown field, nearest known is \"instance\"" },
    { R"({"failure_domain":"a","platform":["1.2.3.4:5"]})",
      "instance: missing" },
    { R"({"instance":"e","failure_domain":"a","role":"king","platform":["1.2.3.4:5"]})",
      "expected one of: entry, agent" },
    { R"({"instance":"e","failure_domain":"a","platform":["host:5"]})",
      "by number" },
    { R"({"instance":"e","failure_domain":"a","platform":["1.2.3.4:99999"]})",
      "65535" },
    { R"({"instance":"e","failure_domain":"a","platform":["1.2.3.4:5"],"limits":{"attempts":0}})",
      "limits.attempts: found 0" },
    { R"({"instance":"e","failure_domain":"a"})", "platform: missing" },
    { R"({"instance":"a","failure_domain":"a","role":"agent","platform":["1.2.3.4:5"]})",
      "server.address: missing" },
    { R"([])", "document: found array" },
    { R"({"instance":7,"failure_domain":"a","platform":["1.2.3.4:5"]})",
      "instance: found int64, expected string" },
    { R"({"instance":"a","failure_domain":"a","platform":["1.2.3.4:5"],"control":{"host":"h","port":5}})",
      "control.host: found \"h\", expected an IP address" },
    { R"({"instance":"a","failure_domain":"a","platform":["1.2.3.4:5"],"control":{"host":"1.2.3.4"}})",
      "control.port: missing" },
    { R"({"instance":"a","failure_domain":"a","platform":["1.2.3.4:5"],"limits":{"read_timeout_ms":-0.5}})",
      "limits.read_timeout_ms: found -5E-1, expected a number from" },
    { R"({"instance":"a","failure_domain":"a","platform":["1.2.3.4:5"],"limits":{"queue":2.5}})",
      "limits.queue: found 2.5E0, expected an integer from" },
    { R"({"instance":"a","role":"gateway","failure_domain":"a","platform":["1.2.3.4:5"],"gateway":{"retry_window_s":0}})",
      "gateway.retry_window_s: found 0, expected a number from" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    const auto settings = parseSettings(row.text);
    REQUIRE_FALSE(settings);
    CHECK_THAT(settings.failure().detail, Catch::Contains(row.expected));
  }
}

TEST_CASE("ParseSettings, comments and trailing commas, are allowed")
{
  const auto settings = parseSettings(R"({
    // a comment
    "instance": "entry-1", "failure_domain": "a",
    "platform": ["127.0.0.1:80",], /* another */
    "limits": { "body_bytes": 1000, },
  })");
  REQUIRE(settings);
  CHECK(settings->limits.bodyBytes == 1000);
}

TEST_CASE("ParseContract, faulty contracts, name each field")
{
  struct Row
  {
    const char* text;
    const char* expected;
  };
  const Row rows[]{
    { R"({"account":"other"})", "account: found \"other\"" },
    { R"({"account":"garden","share":-1})", "share: found -1" },
    { R"({"account":"garden","shar":1})", "nearest known is \"share\"" },
    { R"({"account":"garden","keys":["secret"]})", "keys[0]" },
    { R"({"account":"garden","models":[{"name":1}]})", "models[0].name" },
    { R"({"account":"garden","models":["m"]})", "models[0]: found string" },
    { R"({"account":"garden","priority":{"default":8,"max":3}})",
      "priority.max" },
    { R"({"account":"garden","rate":"fast"})", "rate: found \"fast\"" },
    { "7", "found int64" },
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    const auto contract = parseContract(*parseDocument(row.text), "garden");
    REQUIRE_FALSE(contract);
    CHECK_THAT(contract.failure().detail, Catch::Contains(row.expected));
  }
}

TEST_CASE("ObjectStore, versions in any order, never goes back")
{
  ObjectStore store;
  CHECK(store.merge(contractObject(5, 2)) == MergeOutcome::Adopted);
  CHECK(store.merge(contractObject(4, 9)) == MergeOutcome::Stale);
  CHECK(store.contractOf("garden")->share == 2);

  SECTION("a tombstone holds against an older write")
  {
    Object gone = contractObject(7, 1);
    gone.deleted = true;
    CHECK(store.merge(gone) == MergeOutcome::Adopted);
    CHECK(store.merge(contractObject(6, 3)) == MergeOutcome::Stale);
    CHECK(store.contractOf("garden") == nullptr);
    CHECK(store.contractOfKey(kKey) == nullptr);
  }

  SECTION("an invalid version leaves the last valid one in force")
  {
    Object broken = contractObject(8, 1);
    broken.value = R"({"account":"garden","share":"much"})";
    CHECK(store.merge(broken) == MergeOutcome::Invalid);
    CHECK(store.contractOfKey(kKey)->share == 2);
    CHECK(store.invalid().contains("contract/garden"));
    CHECK(store.merge(contractObject(9, 4)) == MergeOutcome::Adopted);
    CHECK(store.contractOfKey(kKey)->share == 4);
    CHECK(store.invalid().empty());
  }

  SECTION("equal stores have equal digests whatever the order")
  {
    ObjectStore other;
    Object service{
      .kind = "service", .name = "b", .version = 6, .value = R"({"name":"b"})"
    };
    store.merge(service);
    other.merge(service);
    CHECK(other.digest() != store.digest());
    other.merge(contractObject(5, 2));
    CHECK(other.digest() == store.digest());
    CHECK(store.newerThan(5).size() == 1);
  }
}

TEST_CASE("Contract, rights, follow the lists alone")
{
  const auto contract = parseContract(
    *parseDocument(
      R"({"account":"g","models":[{"name":"m","versions":["2"]},{"name":"n"}],"services":["s"]})"),
    "g");
  REQUIRE(contract);
  CHECK(contract->allowsModel("m", "2"));
  CHECK(contract->allowsModel("m", ""));
  CHECK_FALSE(contract->allowsModel("m", "1"));
  CHECK(contract->allowsModel("n", "9"));
  CHECK_FALSE(contract->allowsModel("x", ""));
  CHECK(contract->allowsService("s"));
  CHECK_FALSE(contract->allowsService("t"));
}

// Found by the fuzz target: the parser's count of a faulty comment was used
// beyond the text's end.
TEST_CASE("parseDocument, faults at the end of a text, are told by line")
{
  struct Row
  {
    std::string text;
    const char* line;
  };
  const Row rows[] = {
    { std::string("\n/\x02{\x08", 5), "line 2" },
    { "/", "line 1" },
    { "\n\n/*", "line 3" },
    { "{\n\"a\": 1", "line 2" },
    { "{}\nx", "line 2" },
    { "", "line 1" },
  };
  for (const Row& row : rows) {
    // On the heap, so that the sanitizer build sees a read beyond it.
    const std::vector<char> bytes(row.text.begin(), row.text.end());
    const auto document =
      parseDocument(std::string_view(bytes.data(), bytes.size()));
    INFO(row.text);
    REQUIRE_FALSE(document);
    CHECK(document.failure().detail.starts_with(row.line));
  }
}

TEST_CASE("parseReply, element that cannot be read, keeps its name")
{
  const auto repeated = [](std::string_view aText, std::size_t aTimes) {
    std::string text;
    for (std::size_t i = 0; i < aTimes; ++i) {
      text += (i == 0 ? "" : ",") + std::string(aText);
    }
    return text;
  };
  const auto nested = [](std::size_t aDepth) {
    return std::string(aDepth, '[') + std::string(aDepth, ']');
  };
  struct Row
  {
    std::string value; ///< Of a member of the element.
    bool isRead;
  };
  const Row rows[]{
    { "1", true },
    { nested(28), true },
    { nested(32), true },
    { nested(33), false },
    { nested(5000), false },
    { "1e99999999999", false },
    { "\"\xff ]},{ \\\" \"", false },
    { "\"\\ud800\"", false },
    { "nul", false },
    { "\"" + std::string(kMaxReplyValues * 2, ',') + "\"", true },
    { "\"" + std::string(kMaxReplyValues * 2, '[') + "\"", true },
    { "[" + repeated("0", kMaxReplyValues * 2) + "]", false },
    { "[" + repeated("{}", kMaxReplyValues) + "]", false },
    { "{" + repeated(R"("a":[])", kMaxReplyValues) + "}", false },
    { "[" + repeated("0", kMaxReplyValues / 2 - 1000) + "]", true },
  };
  const std::vector<std::string_view> naming{ "object", "metadata" };
  for (const Row& row : rows) {
    CAPTURE(row.value.substr(0, 40), row.value.size());
    const std::string odd = R"({"spec":)" + row.value + R"(,"metadata":{"x":)" +
                            row.value + R"(,"name":"odd"}})";
    for (const std::string& element :
         { odd, R"({"object":)" + odd + R"(,"deleted":true})" }) {
      const bool isEvent = element != odd;
      const auto reply = parseReply(R"({"list":[{"n":1},)" + element +
                                      R"( ,null,{"n":2}],"at":[9]})",
                                    naming);
      REQUIRE(reply);
      CHECK(reply->at("at").as_array().at(0) == 9);
      const auto& list = reply->at("list").as_array();
      REQUIRE(list.size() == 4);
      CHECK(list[0].at("n") == 1);
      CHECK(list[2].is_null());
      CHECK(list[3].at("n") == 2);
      const json::value& object = isEvent ? list[1].at("object") : list[1];
      CHECK(object.at("metadata").at("name") == "odd");
      CHECK((!isEvent || list[1].at("deleted") == true));
      CHECK(!object.at("spec").is_null() == row.isRead);
    }
  }
}

TEST_CASE("parseReply, elements of too many values together, keeps the smaller")
{
  std::string large = "[0";
  for (std::size_t i = 0; i < kMaxReplyValues / 20; ++i) {
    large += ",0";
  }
  std::string list;
  for (int i = 0; i < 60; ++i) {
    list += R"({"name":1,"value":)" + large + "]},";
  }
  const auto reply = parseReply(R"({"list":[)" + list + R"({"value":[1,2]}]})");
  REQUIRE(reply);
  const auto& elements = reply->at("list").as_array();
  REQUIRE(elements.size() == 61);
  CHECK(elements[60].at("value").as_array().size() == 2);
  CHECK(elements[0].at("name") == 1);
  CHECK(elements[0].at("value").is_null());
}

TEST_CASE("parseReply, text that is no object, cannot be read")
{
  for (const char* text : { "",
                            " ",
                            "{",
                            "[]",
                            "[{}]",
                            "{}}",
                            "{\"a\":1",
                            "1",
                            R"({"a":[{"b":[}},{"c":1}]})",
                            R"({"a":["b]})",
                            R"({"a":[1e99999999999],"b":1e99999999999})",
                            "{]" }) {
    CAPTURE(text);
    CHECK_FALSE(parseReply(text));
  }
  CHECK(parseReply(" {} "));
  CHECK(parseReply(R"({"a":[]})"));
}

TEST_CASE("parseAddress, host with other bytes, is refused")
{
  for (const std::string& host : { std::string("127.0.0.1\0\r\nX-B: c", 18),
                                   std::string("127.0.0.1\0", 10),
                                   std::string("::1%\r\nX-B: c"),
                                   std::string("[::1%1 ]"),
                                   std::string("127.0.0.1\n") }) {
    CAPTURE(host);
    CHECK_FALSE(parseAddress(host + ":80"));
  }
  for (const char* host :
       { "127.0.0.1", "[::1]", "fe80::1%lo", "[2001:DB8::]" }) {
    CAPTURE(host);
    CHECK(parseAddress(std::string(host) + ":80"));
  }
}
