#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/http/server.hpp"
#include "laburnum/kernel/loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace laburnum::gateway {

/// What a connection attempt says of a server.
enum class ProbeResult : std::uint8_t
{
  Reachable,
  Refused, ///< Nothing listens at the address: the process has ended.
  Unknown  ///< No answer in time.
};

/// Distinguishes a crashed server from a lost connection by opening another
/// connection, which takes a round trip. The server list shows a crash only
/// seconds later.
///
/// Thread safety: loop thread only.
class ServerProbe
{
public:
  using Handler = std::function<void(ProbeResult)>;

  explicit ServerProbe(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  /// Connects to a server and reports the result within 300 ms, not before
  /// this call returns. Calls during a probe of the same server share it.
  /// @pre This object outlives the call of the handler.
  void check(const contract::Address& aServer, Handler aHandler);

private:
  struct Attempt;
  void finish(const contract::Address& aServer, ProbeResult aResult);

  Loop& mLoop;
  std::map<contract::Address, std::vector<Handler>> mWaiting; ///< By server.
};

} // namespace laburnum::gateway
