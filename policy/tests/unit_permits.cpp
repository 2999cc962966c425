#include "laburnum/kernel/random.hpp"
#include "laburnum/policy/permit_issuer.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace laburnum;
using namespace laburnum::policy;

namespace {

Instant
at(Duration aTime)
{
  return Instant{} + seconds(100) + aTime;
}

/// Requests permits at random times and returns when they became valid.
std::vector<Instant>
replay(double aRate, double aDemandPerSecond, Duration aMaxWait)
{
  PermitIssuer issuer;
  Random random(7);
  std::vector<Instant> permits;
  for (Instant now = at(Duration(0)); now < at(seconds(60));
       now += fromSeconds(random.exponential(1 / aDemandPerSecond))) {
    const auto reply = issuer.request("i", 1, aRate, aMaxWait, now);
    if (reply.isGranted) {
      permits.push_back(now + reply.wait);
    }
  }
  return permits;
}

std::size_t
mostWithin(const std::vector<Instant>& aTimes, Duration aLength)
{
  std::size_t most = 0;
  for (auto first = aTimes.begin(); first != aTimes.end(); ++first) {
    const auto last = std::upper_bound(first, aTimes.end(), *first + aLength);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

} // namespace

TEST_CASE("permit_issuer_demandAboveTheRate_rateIsUsedUpAndNotExceeded")
{
  for (const double rate : { 0.5, 2.0, 9.0, 200.0 }) {
    const auto permits = replay(rate, rate * 4, milliseconds(40));
    CHECK(permits.size() >= static_cast<std::size_t>(rate * 60 * 0.97) - 2);
    CHECK(static_cast<double>(mostWithin(permits, seconds(4))) <=
          rate * 4.6 + 1);
  }
}

TEST_CASE("permit_issuer_demandBelowTheRate_isGrantedWithinTheWait")
{
  const auto permits = replay(20, 5, milliseconds(100));
  CHECK(permits.size() > 270);
}

TEST_CASE("permit_issuer_newServerProcess_getsNoBurst")
{
  PermitIssuer issuer;
  for (std::int64_t process = 1; process <= 20; ++process) {
    CHECK_FALSE(
      issuer.request("i", process, 2, milliseconds(100), at(Duration(0)))
        .isGranted);
  }
}

TEST_CASE("permit_issuer_deniedRequest_isGrantedAfterTheStatedWait")
{
  PermitIssuer issuer;
  const Instant start = at(Duration(0));
  const auto denied = issuer.request("i", 1, 2, Duration(0), start);
  REQUIRE_FALSE(denied.isGranted);
  CHECK(issuer.request("i", 1, 2, Duration(0), start + denied.wait).isGranted);
}

TEST_CASE("permit_issuer_rateRaised_appliesAtOnce")
{
  PermitIssuer issuer;
  issuer.request("i", 1, 0.1, Duration(0), at(Duration(0)));
  issuer.request("i", 1, 100, Duration(0), at(seconds(1)));
  CHECK(
    issuer.request("i", 1, 100, Duration(0), at(milliseconds(1011))).isGranted);
}

TEST_CASE("permit_issuer_unusedServers_areForgotten")
{
  PermitIssuer issuer;
  for (int i = 0; i < 100; ++i) {
    issuer.request(std::to_string(i), 1, 2, Duration(0), at(Duration(0)));
  }
  issuer.request("i", 1, 2, Duration(0), at(seconds(180)));
  CHECK(issuer.size() == 1);
}
