#include "laburnum/gateway/configuration.hpp"

namespace laburnum::gateway {

const Route*
Configuration::match(std::string_view aHost, std::string_view aPath) const
{
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host == aHost && aPath.starts_with(route.pathPrefix) &&
        (best == nullptr ||
         route.pathPrefix.size() > best->pathPrefix.size())) {
      best = &route;
    }
  }
  return best;
}

const Service*
Configuration::service(std::string_view aName) const
{
  const auto found = services.find(aName);
  return found == services.end() ? nullptr : &found->second;
}

} // namespace laburnum::gateway
