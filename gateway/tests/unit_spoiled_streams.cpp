// Streams of which a server changes, loses or adds one byte.

#include "resumable_streams.hpp"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::gateway;

namespace {

/// What a byte is changed to, or which one is added: those that have a meaning
/// in the format, in framing or as an ID, and one that has none.
constexpr std::string_view kBytes = "\n\r: x01id";

/// All texts that differ from one by a byte, with a description.
std::vector<std::pair<std::string, std::string>>
spoiledTexts(const std::string& aText)
{
  std::vector<std::pair<std::string, std::string>> texts;
  for (std::size_t at = 0; at <= aText.size(); ++at) {
    const std::string place = " at " + std::to_string(at);
    if (at < aText.size()) {
      texts.emplace_back("lost" + place,
                         aText.substr(0, at) + aText.substr(at + 1));
    }
    for (const char byte : kBytes) {
      const std::string code = std::to_string(static_cast<int>(byte));
      if (at < aText.size()) {
        texts.emplace_back("changed to " + code + place, aText);
        texts.back().second[at] = byte;
      }
      texts.emplace_back("added " + code + place, aText);
      texts.back().second.insert(at, 1, byte);
    }
  }
  return texts;
}

/// How many pieces are not those of the stream at their places; those that lack
/// at the end of a cut stream do not count.
std::size_t
oddPieces(const std::vector<std::string>& aReceived,
          const ResumableStream& aStream)
{
  std::vector<std::string> sound = aStream.pieces();
  sound.resize(std::min(sound.size(), aReceived.size()));
  std::size_t odd = aReceived.size() - sound.size();
  for (std::size_t i = 0; i < sound.size(); ++i) {
    odd += sound[i] == aReceived[i] ? 0 : 1;
  }
  return odd;
}

/// A gateway before two servers, of which the one that gets a request first
/// sends given bytes.
struct SpoiledStreamFixture : GatewayFixture
{
  explicit SpoiledStreamFixture(ResumableStream aStream)
    : GatewayFixture({ { "" }, { "" } })
    , stream(std::move(aStream))
  {
    for (const auto& server : servers) {
      server->answer = [this](const http::Request& aRequest) {
        const std::string spoiled = std::exchange(mSpoiledText, "");
        return spoiled.empty() ? stream.answer(aRequest) : spoiled;
      };
    }
  }

  /// Checks the answer to a request to which a server sends `aText` first.
  void check(const std::string& aText)
  {
    auto& context = gateway.context();
    context.retryBudget("s").recordRequest(loop.now());
    context.retryBudget("s").recordRequest(loop.now());
    context.firstEventIds.clear();
    mSpoiledText = aText;
    const std::string received = request("POST", "/events/x", "", "prompt");
    CHECK(mSpoiledText.empty());
    const auto pieces = receivedPieces(received);
    // The byte may belong to the text of a piece.
    CHECK(oddPieces(pieces, stream) <= 1);
    if (isComplete(received)) {
      CHECK(pieces.size() == ResumableStream::kPieces);
      ++complete;
    }
  }

  ResumableStream stream;
  std::size_t complete = 0;

private:
  std::string mSpoiledText;
};

} // namespace

// Guards against ORDER: two events that run into one, an event that clients do
// not take for one, or an event that ends in another place than clients see.
TEST_CASE("gateway_oneByteOfAnEventIsSpoiled_noPieceIsMissingOrTwice")
{
  const int firstId = GENERATE(0, 1);
  const std::string lineEnd = GENERATE("\n", "\r\n", "\r");
  SpoiledStreamFixture fixture({ .firstId = firstId, .lineEnd = lineEnd });
  std::string events;
  for (int i = 0; i < ResumableStream::kPieces; ++i) {
    events += fixture.stream.event(i);
  }
  const auto texts = spoiledTexts(events);
  for (const auto& [what, text] : texts) {
    CAPTURE(firstId, lineEnd, what);
    fixture.check(kEventStreamHead + chunk(text) + "0\r\n\r\n");
  }
  // Most of them are resumed, or are sound all the same.
  CHECK(fixture.complete * 2 > texts.size());
}

// Guards against ORDER: a byte of the framing that ends a response early.
TEST_CASE("gateway_oneByteOfTheFramingIsSpoiled_noPieceIsMissingOrTwice")
{
  const std::string lineEnd = GENERATE("\n", "\r\n");
  // Chunks of 16 bytes have a size that differs from that of the last chunk by
  // one byte.
  const std::string padding = GENERATE("", "x", "xx");
  SpoiledStreamFixture fixture(
    { .lineEnd = lineEnd, .space = "", .text = padding });
  const std::string body = fixture.stream.chunks(0) + "0\r\n\r\n";
  for (const auto& [what, text] : spoiledTexts(body)) {
    CAPTURE(lineEnd, padding, what);
    fixture.check(kEventStreamHead + text);
  }
}
