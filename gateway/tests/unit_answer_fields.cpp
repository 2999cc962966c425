#include "../../http/tests/field_lines.hpp"
#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace {

const std::string kBegin =
  "HTTP/1.1 200 OK\r\nLaburnum-Attempt: $ID\r\nLaburnum-Signature: s\r\n";
const std::string kEventType = "Content-Type: text/event-stream\r\n";
const std::string kEvent = "id: 1\ndata: a\n\n";
const std::string kNextEvent = "id: 2\ndata: b\n\n";

/// Where a line stands in an answer.
enum class Place
{
  First,
  Last,
  Interim,
  Trailer
};

/// An answer with a line at a place, complete but for that.
std::string
answerWith(const std::string& aLine,
           Place aPlace,
           const std::string& aBody,
           const std::string& aFields = "")
{
  const std::string line = aLine + "\r\n";
  const std::string chunked =
    "Transfer-Encoding: chunked\r\n\r\n" + chunk(aBody) + "0\r\n";
  switch (aPlace) {
    case Place::First: {
      std::string text = kBegin;
      text.insert(text.find('\n') + 1, line);
      return text + aFields + chunked + "\r\n";
    }
    case Place::Last: {
      // The connection ends the body unless the line frames it.
      const bool isChunked = aLine.find("chunked") != std::string::npos;
      return kBegin + aFields + line + "\r\n" +
             (isChunked ? chunk(aBody) + "0\r\n\r\n" : aBody);
    }
    case Place::Interim:
      return "HTTP/1.1 103 X\r\n" + line + "\r\n" + kBegin + aFields + chunked +
             "\r\n";
    case Place::Trailer:
      return kBegin + aFields + chunked + line + "\r\n";
  }
  return {};
}

const auto kPlaces = { Place::First,
                       Place::Last,
                       Place::Interim,
                       Place::Trailer };

} // namespace

// Guards against MIXED: an answer with a line that is no header field was
// passed on, or with a body that was not the server's.
TEST_CASE("gateway_answerWithMalformedField_isNoAnswer")
{
  const std::string good = response(200, kSignatureField, "body");
  for (const std::string& line : http::malformedFieldLines()) {
    for (const Place place : kPlaces) {
      CAPTURE(line, place);
      const std::string spoiled = answerWith(line, place, "spoiled");
      GatewayFixture safe({ { spoiled }, { good } });
      const std::string received = safe.request("GET", "/safe/x");
      CHECK(statusOf(received) == 200);
      CHECK(received.ends_with("\r\n\r\nbody"));
      CHECK(safe.servers[0]->requests.size() == 1);

      GatewayFixture once({ { spoiled }, { good } });
      const std::string failed = once.request("POST", "/once/x", "", "work");
      CHECK(statusOf(failed) == 502);
      CHECK(failed.find("\"may_have_run\"") != std::string::npos);
      CHECK(failed.find("spoiled") == std::string::npos);
      CHECK(once.requestCount() == 1);
    }
  }
}

TEST_CASE("gateway_streamWithMalformedField_isNotComplete")
{
  const std::string broken = kEventStreamHead + chunk(kEvent + "id: 2\nda");
  const std::string rest = kEventStreamHead + chunk(kNextEvent) + "0\r\n\r\n";
  for (const std::string& line : http::malformedFieldLines()) {
    for (const Place place : kPlaces) {
      CAPTURE(line, place);
      // Events before a trailer are delivered; the stream is resumed after
      // them.
      const bool isDelivered = place == Place::Trailer;
      GatewayFixture begun(
        { { answerWith(line, place, kEvent, kEventType) }, { rest } });
      const std::string received =
        begun.request("POST", "/events/x", "Last-Event-Id: 0\r\n", "prompt");
      const auto& rerun = begun.servers[1]->requests;
      CHECK(rerun.size() == 1);
      CHECK((rerun.empty() ||
             rerun[0]["Last-Event-Id"] == (isDelivered ? "1" : "0")));
      CHECK((received.find(kEvent) != std::string::npos) == isDelivered);

      GatewayFixture resumed(
        { { broken }, { answerWith(line, place, kNextEvent, kEventType) } });
      const std::string brokenOff =
        resumed.request("POST", "/events/x", "", "prompt");
      CHECK(resumed.servers[1]->requests.size() == 1);
      CHECK(brokenOff.find(kEvent) != std::string::npos);
      CHECK((brokenOff.find(kNextEvent) != std::string::npos) == isDelivered);
      CHECK_FALSE(brokenOff.ends_with("0\r\n\r\n"));
    }
  }
}

// The other side: header fields of any form that HTTP has are passed on, and
// bodies may have lines that look like folded ones.
TEST_CASE("gateway_answerWithWellFormedField_isPassedOn")
{
  const std::string body =
    GENERATE("body", "a: b\r\n c\r\n\td\r\n\r\n e", "\r\n 0\r\n\r\n x", " ");
  for (const http::FieldLine& field : http::wellFormedFieldLines()) {
    for (const Place place : kPlaces) {
      CAPTURE(body, field.line, place);
      GatewayFixture fixture({ { answerWith(field.line, place, body) } });
      const std::string received =
        fixture.request("POST", "/once/x", "", "work");
      CHECK(statusOf(received) == 200);
      CHECK(received.ends_with("\r\n\r\n" + body));
      const bool isInHead = place == Place::First || place == Place::Last;
      CHECK((received.find("\r\n" + field.normalized + "\r\n") !=
             std::string::npos) == isInHead);
    }
  }
}

TEST_CASE("gateway_streamWithWellFormedField_isPassedOn")
{
  const std::string event = "id: 1\r\ndata: a\r\n b\r\n\r\n";
  for (const http::FieldLine& field : http::wellFormedFieldLines()) {
    for (const Place place : kPlaces) {
      CAPTURE(field.line, place);
      GatewayFixture fixture(
        { { answerWith(field.line, place, event, kEventType) } });
      const std::string received =
        fixture.request("POST", "/events/x", "", "prompt");
      CHECK(received.find(event) != std::string::npos);
      CHECK(received.ends_with("0\r\n\r\n"));
    }
  }
}
