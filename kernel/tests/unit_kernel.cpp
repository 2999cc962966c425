#include "laburnum/kernel/bounded_writer.hpp"
#include "laburnum/kernel/error.hpp"
#include "laburnum/kernel/hash.hpp"
#include "laburnum/kernel/loop.hpp"
#include "laburnum/kernel/metrics.hpp"
#include "laburnum/kernel/registry.hpp"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <new>
#include <set>
#include <stdexcept>
#include <unistd.h>

using namespace laburnum;

TEST_CASE("ErrorTable, any number, matches its position and is unique")
{
  std::set<std::string_view> ids;
  for (std::size_t i = 0; i < errorTable().size(); ++i) {
    const ErrorInfo& facts = errorTable()[i];
    CHECK(static_cast<std::size_t>(facts.error) == i);
    CHECK(ids.insert(facts.id).second);
    CHECK_FALSE(facts.remedy.empty());
  }
  CHECK(std::error_code(Error::Conflict).message().find("LB-CONFLICT") == 0);
}

TEST_CASE("Hashes, published vectors, give the published values")
{
  CHECK(sha256Label("abc") == "sha256:ba7816bf8f01cfea414140de5dae2223"
                              "b00361a396177a9cb410ff61f20015ad");
  CHECK(hmacSha256("Jefe", "what do ya want for nothing?") ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
  CHECK(hash64("") == 0xef46db3751d8e999ULL);
}

TEST_CASE("Rendezvous, one candidate lost, moves only its own keys")
{
  const std::vector<std::uint64_t> all{ 11, 22, 33, 44, 55 };
  const std::vector<std::uint64_t> fewer{ 11, 22, 44, 55 };
  for (std::uint64_t key = 0; key < 500; ++key) {
    const std::uint64_t before = all[rendezvous(key, all, 1)[0]];
    const std::uint64_t after = fewer[rendezvous(key, fewer, 1)[0]];
    CHECK((before == 33 || before == after));
  }
}

TEST_CASE("Registry, a registered factory, is found by name")
{
  using Factory = int (*)();
  const Registry<Factory>::Registrar registrar("seven", [] { return 7; });
  REQUIRE(Registry<Factory>::find("seven") != nullptr);
  CHECK((*Registry<Factory>::find("seven"))() == 7);
  CHECK(Registry<Factory>::find("eight") == nullptr);
}

TEST_CASE("Metrics, counters and summaries, print as text")
{
  Metrics metrics;
  metrics.counter("requests_total") += 2;
  for (int i = 1; i <= 100; ++i) {
    metrics.summary("latency_seconds").add(milliseconds(i));
  }
  const std::string text = metrics.print();
  CHECK(text.find("requests_total 2\n") != std::string::npos);
  CHECK(text.find("latency_seconds_count 100\n") != std::string::npos);
}

TEST_CASE("BoundedWriter, nobody reads the pipe, leaves lines out and goes on")
{
  int ends[2];
  REQUIRE(::pipe(ends) == 0);
  BoundedWriter writer(ends[1], { .linesPerSecond = 1e9, .burst = 1e9 });
  const std::string line(1000, 'x');
  for (int i = 0; i < 500; ++i) {
    writer.write(line, Instant{});
  }
  CHECK(writer.leftOut() > 400);
  std::string read(64 * 1024, 0);
  REQUIRE(::read(ends[0], read.data(), read.size()) > 0);
  const auto before = writer.leftOut();
  CHECK(writer.write("{}", Instant{}));
  CHECK(writer.leftOut() == before);
  const auto got = ::read(ends[0], read.data(), read.size());
  REQUIRE(got > 0);
  CHECK(read.substr(0, static_cast<std::size_t>(got)).find("lines_left_out") !=
        std::string::npos);
  ::close(ends[0]);
  ::close(ends[1]);
}

TEST_CASE("BoundedWriter, more lines than the rate, keeps to it")
{
  int ends[2];
  REQUIRE(::pipe(ends) == 0);
  BoundedWriter writer(ends[1], { .linesPerSecond = 10, .burst = 5 });
  int written = 0;
  for (int i = 0; i < 100; ++i) {
    written += writer.write("{}", Instant{ seconds(1) });
  }
  CHECK(written == 5);
  CHECK(writer.write("{}", Instant{ seconds(2) }));
  ::close(ends[0]);
  ::close(ends[1]);
}

TEST_CASE("Loop, a handler that throws, does not end the others")
{
  Loop loop;
  int calls = 0;
  asio::post(loop.context(), [] { throw std::bad_alloc(); });
  asio::post(loop.context(), [&calls] { ++calls; });
  asio::post(loop.context(), [&loop, &calls] {
    ++calls;
    loop.stop();
  });
  loop.run();
  CHECK(calls == 2);
}

TEST_CASE("Loop, a needed task that throws, is started anew")
{
  Loop loop;
  int starts = 0;
  loop.keepRunning("test", [&]() -> asio::awaitable<void> {
    if (++starts < 3) {
      throw std::runtime_error("malformed message");
    }
    loop.stop();
    return loop.sleep(milliseconds(0));
  });
  loop.run();
  CHECK(starts == 3);
}
