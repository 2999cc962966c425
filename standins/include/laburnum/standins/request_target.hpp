#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum::standins {

/// The target of a request as a server of HTTP reads it: split at its
/// separators first, then decoded.
struct RequestTarget
{
  std::vector<std::string> segments; ///< Of the path.
  std::map<std::string, std::string> parameters;

  /// A parameter of the query; empty if there is none.
  std::string parameter(const std::string& aName) const;
};

/// Reads a target. A dot segment is resolved (RFC 3986, section 5.2.4), a plus
/// sign in the query stands for a blank, and a fragment is left out.
/// Thread safety: any thread.
RequestTarget
parseTarget(std::string_view aTarget);

} // namespace laburnum::standins
