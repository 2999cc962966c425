#include "gateway_fixture.hpp"

#include "laburnum/http/sse.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace {

std::string
event(int aId)
{
  const std::string id = std::to_string(aId);
  return "id: " + id + "\ndata: piece " + id + "\n\n";
}

/// The head of a stream and bytes of its body, framed in one of three ways.
std::string
framedStream(std::string_view aFraming, std::string_view aBytes)
{
  const std::string head = "HTTP/1.1 200 OK\r\nLaburnum-Attempt: $ID\r\n" +
                           kSignatureField +
                           "Content-Type: text/event-stream\r\n";
  if (aFraming == "chunked") {
    return kEventStreamHead + chunk(aBytes) + "0\r\n\r\n";
  }
  if (aFraming == "length") {
    return head + "Content-Length: " + std::to_string(aBytes.size()) +
           "\r\n\r\n" + std::string(aBytes);
  }
  return head + "\r\n" + std::string(aBytes);
}

/// The events in a response, without the chunks that carried them.
std::string
eventsOf(const std::string& aReceived)
{
  std::string events;
  std::size_t at = aReceived.find("\r\n\r\n");
  at = at == std::string::npos ? aReceived.size() : at + 4;
  while (at < aReceived.size()) {
    const std::size_t size = std::strtoul(&aReceived[at], nullptr, 16);
    const std::size_t begin = aReceived.find("\r\n", at);
    if (size == 0 || begin == std::string::npos) {
      break;
    }
    events += aReceived.substr(begin + 2, size);
    at = begin + 2 + size + 2;
  }
  return events;
}

bool
isComplete(const std::string& aReceived)
{
  return aReceived.ends_with("0\r\n\r\n");
}

} // namespace

// Guards against ORDER: valid events that came in one read with an invalid one
// counted as delivered, and the stream was resumed after them.
TEST_CASE("gateway_invalidEventAfterValidOnes_validOnesAreDelivered")
{
  struct Row
  {
    const char* name;
    std::string bytes; ///< After events 0 and 1.
  };
  const std::vector<Row> rows = {
    { "spoiled ID", "id: 92\ndata: piece 2\n\n" },
    { "repeated event", event(1) },
    { "skipped event", event(3) },
    { "valid event after the spoiled one",
      "id: 92\ndata: piece 2\n\n" + event(2) },
    { "cut off", "id: 2\ndata: pie" },
    { "event too long",
      "data: " + std::string(http::EventCutter::kMaxEventBytes, 'x') },
  };
  const std::string framing = GENERATE("chunked", "length", "neither");
  for (const Row& row : rows) {
    CAPTURE(row.name, framing);
    const std::string spoiled =
      framedStream(framing, event(0) + event(1) + row.bytes);
    const std::string rest = framedStream("chunked", event(2) + event(3));
    GatewayFixture two({ { spoiled }, { rest } });
    const std::string received = two.request("POST", "/events/x", "", "prompt");
    CHECK(eventsOf(received) == event(0) + event(1) + event(2) + event(3));
    CHECK(isComplete(received));
    REQUIRE(two.servers[1]->requests.size() == 1);
    CHECK(two.servers[1]->requests[0]["Last-Event-Id"] == "1");

    GatewayFixture one({ { spoiled } }, 1);
    const std::string brokenOff =
      one.request("POST", "/events/x", "", "prompt");
    CHECK(eventsOf(brokenOff) == event(0) + event(1));
    CHECK_FALSE(isComplete(brokenOff));
  }
}

// The other side: a sound stream is passed on whole, in however many reads it
// comes and whatever lies between its events.
TEST_CASE("gateway_soundEventsInOneRead_areDeliveredByOneServer")
{
  const std::string framing = GENERATE("chunked", "length", "neither");
  std::string events = ": comment\n\n";
  for (int id = 0; id < 2000; ++id) {
    events += event(id);
  }
  events += "data: [DONE]\n\n";
  CAPTURE(framing);
  GatewayFixture fixture(
    { { framedStream(framing, events) }, { framedStream(framing, events) } });
  const std::string received =
    fixture.request("POST", "/events/x", "", "prompt");
  CHECK(eventsOf(received) == events);
  CHECK(isComplete(received));
  CHECK(fixture.requestCount() == 1);
}

// Guards against LOST: a sound server that has nothing left to send was taken
// for a faulty one.
TEST_CASE("gateway_streamBreaksAfterItsLastEvent_endsAsComplete")
{
  const std::string framing = GENERATE("chunked", "length", "neither");
  CAPTURE(framing);
  std::string nothing = framedStream(framing, "");
  if (framing == "chunked") {
    nothing = kEventStreamHead + "0\r\n\r\n";
  }
  const std::string broken =
    kEventStreamHead + chunk(event(0) + event(1)) + "$RESET";
  GatewayFixture two({ { broken }, { nothing } });
  const std::string received = two.request("POST", "/events/x", "", "prompt");
  CHECK(eventsOf(received) == event(0) + event(1));
  CHECK(isComplete(received));
  REQUIRE(two.servers[1]->requests.size() == 1);
  CHECK(two.servers[1]->requests[0]["Last-Event-Id"] == "1");

  // A client resumes the stream by itself.
  GatewayFixture one({ { nothing } }, 1);
  const std::string rest =
    one.request("POST", "/events/x", "Last-Event-Id: 1\r\n", "prompt");
  CHECK(statusOf(rest) == 200);
  CHECK(eventsOf(rest).empty());
}

// The other side: an end without events completes no stream of which more is
// known to come, or of which it is not known what the client has got.
TEST_CASE("gateway_emptyAnswerWhereMoreIsToCome_completesNoStream")
{
  const std::string comment = GENERATE("", ": still here\n\n", "\n");
  CAPTURE(comment);
  const std::string nothing =
    kEventStreamHead + (comment.empty() ? "" : chunk(comment)) + "0\r\n\r\n";
  const std::vector<std::string> begins = {
    event(0) + event(1) + "id: 2\ndata: pie",
    event(0) + event(1) + "id: 92\ndata: piece 2\n\n",
    event(0) + event(1) + event(3),
    // The ID of the first event is spoiled.
    "id: 90\ndata: piece 0\n\n",
    "id: 90\ndata: piece 0\n\n" + event(1),
    // The ID of the last event is spoiled.
    event(0) + "ix: 1\ndata: piece 1\n\n",
  };
  for (const std::string& begin : begins) {
    CAPTURE(begin);
    GatewayFixture fixture(
      { { kEventStreamHead + chunk(begin) + "$RESET" }, { nothing } });
    const std::string received =
      fixture.request("POST", "/events/x", "", "prompt");
    CHECK(eventsOf(received).starts_with(begin.substr(0, 5)));
    CHECK_FALSE(isComplete(received));
  }
  GatewayFixture unasked({ { nothing } }, 1);
  const std::string received =
    unasked.request("POST", "/events/x", "", "prompt");
  CHECK_FALSE(isComplete(received));
  CHECK(statusOf(received) == (comment.empty() ? 502 : 200));
}

// Guards against ORDER: a stream was resumed after an ID that is not that of
// the last event delivered.
TEST_CASE("gateway_lastEventIsNotKnown_streamIsNotResumed")
{
  const std::string begin =
    GENERATE(std::string("id: 5\ndata: piece 0\n\n") + "id: 1\ndata: x\n\n",
             event(0) + "ix: 1\ndata: piece 1\n\n" + event(2));
  CAPTURE(begin);
  const std::string rest =
    framedStream("chunked", event(1) + event(2) + event(3));
  GatewayFixture fixture(
    { { kEventStreamHead + chunk(begin) + "$RESET" }, { rest } });
  const std::string received =
    fixture.request("POST", "/events/x", "", "prompt");
  CHECK_FALSE(isComplete(received));
  CHECK(fixture.servers[1]->requests.empty());
}

// Guards against MIXED: a stream whose head names an encoding was passed on as
// a success.
TEST_CASE("gateway_streamIsEncoded_isNotPassedOn")
{
  const std::string encoding = GENERATE("gzip", "identity", "");
  CAPTURE(encoding);
  const std::string events = chunk(event(0) + event(1)) + "0\r\n\r\n";
  const std::string encoded = "HTTP/1.1 200 OK\r\nLaburnum-Attempt: $ID\r\n" +
                              kSignatureField +
                              "Content-Encoding: " + encoding +
                              "\r\nContent-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n" +
                              events;
  const std::string sound = kEventStreamHead + events;
  GatewayFixture alone({ { encoded } }, 1);
  CHECK(statusOf(alone.request("POST", "/events/x", "", "prompt")) == 502);

  GatewayFixture two({ { encoded }, { sound } });
  const std::string received = two.request("POST", "/events/x", "", "prompt");
  CHECK(eventsOf(received) == event(0) + event(1));
  CHECK(isComplete(received));
  CHECK(received.find("Content-Encoding") == std::string::npos);

  // The rest of a stream that another server has begun.
  GatewayFixture begun(
    { { kEventStreamHead + chunk(event(0)) + "$RESET" }, { encoded } });
  const std::string cut = begun.request("POST", "/events/x", "", "prompt");
  CHECK(eventsOf(cut) == event(0));
  CHECK_FALSE(isComplete(cut));
}
