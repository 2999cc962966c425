#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace laburnum::experts {

enum class GateDecision : std::uint8_t
{
  Admit,
  Stale,  ///< An order with a higher fencing token was seen.
  Unknown ///< The current token must be read from the platform first.
};

/// Rejects orders from former holders of a duty, for engines that do not check
/// fencing tokens themselves. An order is admitted only if no higher token was
/// seen for its duty. After a restart nothing is admitted before the current
/// token was read, since the highest token seen is not stored. Does no I/O. Not
/// thread-safe: all calls come from the loop thread.
class OrderGate
{
public:
  /// Decides whether an order of a duty may reach the engine.
  GateDecision admit(const std::string& aDuty, std::uint64_t aFencingToken);

  /// Records the current fencing token of a duty as read from the platform.
  void observe(const std::string& aDuty, std::uint64_t aFencingToken);

private:
  std::map<std::string, std::uint64_t> mHighest; ///< Fencing tokens by duty.
};

} // namespace laburnum::experts
