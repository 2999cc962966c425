#pragma once

#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnum::gateway {

/// Tells a request whose server crashed from one whose connection was lost.
/// A server that answers what was sent to it later, or goes on after a reset,
/// has not crashed. Answers the load in which links reset connections while
/// many callers ask for the same: without it the popular request would be
/// refused as one that crashes servers. Free of I/O. Thread safety: loop
/// thread.
class CrashWatch
{
public:
  /// A connection ended before the request's answer began. Pre: times never
  /// go back, here and below.
  void lost(const std::string& aServer,
            std::uint64_t aFingerprint,
            Instant aNow);

  /// The server answered a request sent at aSentAt: what was lost before is
  /// no crash. Pre: as above.
  void answered(const std::string& aServer, Instant aSentAt);

  /// The server can't be reached, or is gone: the requests that were in
  /// progress when it was last heard of. They are told once. Pre: as above.
  std::vector<std::uint64_t> gone(const std::string& aServer, Instant aNow);

private:
  struct Loss
  {
    std::uint64_t fingerprint = 0;
    Instant at{};
  };
  std::map<std::string, std::vector<Loss>> mLosses; ///< By server.
};

} // namespace laburnum::gateway
