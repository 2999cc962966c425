#include "laburnum/kernel/random.hpp"
#include "laburnum/wire/frame_reader.hpp"
#include "laburnum/wire/link.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::wire;

namespace {

PartT
samplePart()
{
  PartT part;
  part.attempt = std::make_unique<Attempt>(1, 2);
  part.sequence = 7;
  part.payload = { 'a', 'b' };
  return part;
}

void
feed(FrameReader& aReader, std::string_view aBytes)
{
  const auto space = aReader.space(aBytes.size());
  std::copy(aBytes.begin(), aBytes.end(), space.begin());
  aReader.filled(aBytes.size());
}

/// Two ends of a loopback connection on one loop.
struct LinkFixture
{
  Loop loop;
  Identity left{ .instance = "left", .incarnation = 1 };
  Identity right{ .instance = "right", .incarnation = 2 };
  std::vector<std::string> seen;

  LinkEvents events(const std::string& aSide)
  {
    return {
      .ready =
        [this, aSide](const auto& aLink) {
          seen.push_back(aSide + " ready " + aLink->peer().instance);
        },
      .message = [](const auto&, AnyMessage&&) {},
      .closed =
        [this, aSide](const auto&, const Failure& aFailure) {
          seen.push_back(aSide + " closed " +
                         std::string(info(aFailure.error).id));
          loop.stop();
        },
    };
  }

  bool saw(const std::string& aLine) const
  {
    return std::find(seen.begin(), seen.end(), aLine) != seen.end();
  }
};

} // namespace

TEST_CASE("FrameReader, a message in single bytes, comes out whole")
{
  std::string bytes;
  encode(samplePart(), bytes);
  FrameReader reader;
  for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
    feed(reader, bytes.substr(i, 1));
    const auto message = reader.next();
    REQUIRE(message);
    REQUIRE_FALSE(message->has_value());
  }
  feed(reader, bytes.substr(bytes.size() - 1));
  auto message = reader.next();
  REQUIRE(message);
  REQUIRE(message->has_value());
  const auto& part = std::get<PartT>(**message);
  CHECK(part.sequence == 7);
  CHECK(part.attempt->number() == 2);
}

TEST_CASE("FrameReader, damaged input, fails with DamagedFrame")
{
  PartT noAttempt = samplePart();
  noAttempt.attempt = nullptr;
  std::string incomplete;
  encode(noAttempt, incomplete);
  const std::string rows[]{
    std::string(4, '\0'),            // length zero
    std::string("\xff\xff\xff\x7f"), // length beyond the limit
    std::string("\x08\0\0\0garbage!", 12),
    incomplete,
  };
  for (const std::string& row : rows) {
    FrameReader reader;
    feed(reader, row);
    const auto message = reader.next();
    REQUIRE_FALSE(message);
    CHECK(message.failure().error == Error::DamagedFrame);
  }
}

TEST_CASE("FrameReader, random damage to a frame, never passes the bounds")
{
  Random random(1);
  std::string good;
  encode(samplePart(), good);
  for (int round = 0; round < 2000; ++round) {
    std::string bytes = good;
    bytes[4 + random.below(bytes.size() - 4)] ^=
      static_cast<char>(1 + random.below(255));
    FrameReader reader;
    feed(reader, bytes);
    const auto message = reader.next();
    CHECK((message || message.failure().error == Error::DamagedFrame));
  }
}

TEST_CASE_METHOD(LinkFixture,
                 "Link, equal control keys, become ready on both sides")
{
  left.controlKey = right.controlKey = "key";
  LinkListener listener(loop, {}, right, events("right"));
  connectLink(loop, listener.address(), left, {}, events("left"));
  while (seen.size() < 2) {
    loop.context().run_one();
  }
  CHECK(saw("left ready right"));
  CHECK(saw("right ready left"));
}

TEST_CASE_METHOD(LinkFixture, "Link, different control keys, is refused")
{
  left.controlKey = "key";
  right.controlKey = "other";
  LinkListener listener(loop, {}, right, events("right"));
  connectLink(loop, listener.address(), left, {}, events("left"));
  loop.run();
  CHECK_FALSE(saw("left ready right"));
  CHECK((saw("left closed LB-NOT-AUTHENTICATED") ||
         saw("right closed LB-NOT-AUTHENTICATED")));
}

TEST_CASE("FrameReader, frame above the limit, fails before its bytes arrive")
{
  // Before the greeting anybody may announce a long frame and send it slowly.
  FrameReader reader;
  reader.limitFrames(kMaxGreetingBytes);
  feed(reader, std::string("\x01\x40\x00\x00", 4));
  const auto message = reader.next();
  REQUIRE_FALSE(message);
  CHECK(message.failure().error == Error::DamagedFrame);
}
