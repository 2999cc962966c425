#include "resumable_streams.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace {

/// A gateway before a server whose answers are given and a sound one.
struct ResumedStreamFixture : GatewayFixture
{
  explicit ResumedStreamFixture(ResumableStream aStream)
    : GatewayFixture({ { "" }, { "" } })
    , stream(aStream)
  {
    for (const auto& server : servers) {
      server->answer = [this](const http::Request& aRequest) {
        return stream.answer(aRequest);
      };
    }
  }

  /// Lets the gateway see a sound stream.
  void serveSoundStream()
  {
    REQUIRE(receivedPieces(request("POST", "/events/x", "", "sound")) ==
            stream.pieces());
  }

  /// Sends a request that the first server answers with these bytes.
  std::string requestAnsweredBy(const std::string& aText)
  {
    servers[0]->answer = [aText](const http::Request&) { return aText; };
    return request("POST", "/events/x", "", "prompt");
  }

  ResumableStream stream;
};

} // namespace

// Guards against ORDER: a stream was resumed after a first ID that the next
// event had contradicted, and lacked an event.
TEST_CASE("gateway_firstIdIsSpoiled_streamIsNotResumedAfterIt")
{
  const int firstId = GENERATE(0, 1);
  const int spoiledId = GENERATE(0, 1, 2, 10);
  const bool isServedBefore = GENERATE(false, true);
  const int end = GENERATE(1, 2, 5); // Events until the connection is reset.
  CAPTURE(firstId, spoiledId, isServedBefore, end);
  ResumedStreamFixture fixture({ .firstId = firstId });
  if (spoiledId == firstId || (!isServedBefore && end == 1)) {
    return; // Cut after one event that may well be the first one.
  }
  if (isServedBefore) {
    fixture.serveSoundStream();
  }
  const std::string received = fixture.requestAnsweredBy(
    kEventStreamHead + chunk(fixture.stream.event(0, spoiledId)) +
    fixture.stream.chunks(1, end) + "$RESET");
  CHECK_FALSE(isComplete(received));
  CHECK(receivedPieces(received) == std::vector<std::string>{ "piece 0" });
  CHECK(fixture.servers[1]->requests.empty());
}

// The other side: the second ID is spoiled. The stream is resumed unless the
// first one may be what is spoiled.
TEST_CASE("gateway_secondIdIsSpoiled_streamIsResumedIfFirstIdIsCertain")
{
  const int firstId = GENERATE(0, 1);
  const int spoiledId = GENERATE(0, 1, 2, 3, 11);
  const bool isServedBefore = GENERATE(false, true);
  CAPTURE(firstId, spoiledId, isServedBefore);
  if (spoiledId == firstId + 1) {
    return;
  }
  ResumedStreamFixture fixture({ .firstId = firstId });
  if (isServedBefore) {
    fixture.serveSoundStream();
  }
  const std::string received =
    fixture.requestAnsweredBy(kEventStreamHead + fixture.stream.chunks(0, 1) +
                              chunk(fixture.stream.event(1, spoiledId)) +
                              fixture.stream.chunks(2) + "0\r\n\r\n");
  const bool isSecondAfterOtherFirstId = spoiledId == 2 - firstId;
  const bool isResumed = isServedBefore || !isSecondAfterOtherFirstId;
  CHECK(isComplete(received) == isResumed);
  CHECK(receivedPieces(received) ==
        (isResumed ? fixture.stream.pieces()
                   : std::vector<std::string>{ "piece 0" }));
}

// The other side: a sound stream is resumed wherever its server cuts it.
TEST_CASE("gateway_soundStreamIsCutAfterAnyEvent_isResumed")
{
  const int firstId = GENERATE(0, 1);
  const int end = GENERATE(range(0, ResumableStream::kPieces + 1));
  const bool isServedBefore = GENERATE(false, true);
  const std::string torn = GENERATE("", "id: ", "id: 3\nda");
  CAPTURE(firstId, end, isServedBefore, torn);
  ResumedStreamFixture fixture({ .firstId = firstId });
  if (isServedBefore) {
    fixture.serveSoundStream();
  }
  const std::string received =
    fixture.requestAnsweredBy(kEventStreamHead + fixture.stream.chunks(0, end) +
                              (torn.empty() ? "" : chunk(torn)) + "$RESET");
  if (end == ResumableStream::kPieces && !torn.empty()) {
    return; // More was to come than the sound server has.
  }
  CHECK(isComplete(received));
  CHECK(receivedPieces(received) == fixture.stream.pieces());
  REQUIRE(fixture.servers[1]->requests.size() == 1);
  CHECK(fixture.servers[1]->requests[0]["Last-Event-Id"] ==
        (end == 0 ? "" : std::to_string(firstId + end - 1)));
}

// Streams of a service that begin with 0 and with 1 are both sound.
TEST_CASE("gateway_streamsBeginWithZeroAndOne_bothAreResumed")
{
  ResumedStreamFixture fixture({ .firstId = 0 });
  fixture.serveSoundStream();
  fixture.stream.firstId = 1;
  fixture.serveSoundStream();
  const std::string received = fixture.requestAnsweredBy(
    kEventStreamHead + fixture.stream.chunks(0, 1) + "$RESET");
  CHECK(receivedPieces(received) == fixture.stream.pieces());
  // Which of them a stream is cannot be told once its second ID is spoiled.
  const std::string spoiled =
    fixture.requestAnsweredBy(kEventStreamHead + fixture.stream.chunks(0, 1) +
                              chunk(fixture.stream.event(1, 1)));
  CHECK_FALSE(isComplete(spoiled));
}

// An event that another server sends behind a first ID confirms nothing.
TEST_CASE("event_sequence_secondIdOfAnotherServer_confirmsNoFirstId")
{
  FirstEventIds known;
  known.record(0);
  EventSequence sequence;
  sequence.startAttempt();
  CHECK(sequence.accept({ .id = 0 }));
  CHECK(sequence.canResume(known));
  sequence.startAttempt();
  CHECK(sequence.accept({ .id = 1 }));
  CHECK_FALSE(sequence.confirmedFirstId());
  EventSequence other;
  CHECK(other.accept({ .id = 1 }));
  CHECK_FALSE(other.canResume(known));
  CHECK(other.accept({ .id = 2 }));
  CHECK(other.canResume(known));
  CHECK(other.confirmedFirstId() == 1);
}
