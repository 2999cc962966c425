// How many requests servers accept: limits that they state, and cold servers.

#include "laburnum/gateway/server_list.hpp"

namespace laburnum::gateway {

bool
ServerList::setRateLimit(const std::string& aServerId,
                         std::int64_t aStartedMs,
                         std::optional<double> aRate)
{
  const auto found = mNotices.find(aServerId);
  if (!aRate && found == mNotices.end()) {
    return false;
  }
  Notice* notice = noticeOf(aServerId, aStartedMs);
  if (notice == nullptr || notice->rateLimit == aRate) {
    return false;
  }
  notice->rateLimit = aRate;
  return true;
}

std::optional<ServerRate>
ServerList::rateLimit(const ServerRecord& aServer, Instant aNow) const
{
  ServerRate rate{ .coldUntil = coldEnd(aServer, aNow) };
  if (rate.coldUntil) {
    rate.perSecond = mColdLimits.at(aServer.service).rate;
  }
  const Notice* notice = currentNotice(aServer);
  if (notice != nullptr && notice->rateLimit &&
      (!rate.coldUntil || *notice->rateLimit < rate.perSecond)) {
    rate.perSecond = *notice->rateLimit;
  }
  return rate.perSecond > 0 ? std::optional(rate) : std::nullopt;
}

std::optional<Instant>
ServerList::coldEnd(const ServerRecord& aServer, Instant aNow) const
{
  const auto limit = mColdLimits.find(aServer.service);
  const auto entry = mRecords.find(aServer.id);
  if (limit == mColdLimits.end() || limit->second.rate <= 0 ||
      entry == mRecords.end()) {
    return std::nullopt;
  }
  const Notice* notice = currentNotice(aServer);
  const Instant end =
    std::max(entry->second.coldUntil,
             notice == nullptr ? Instant{} : notice->restartingUntil);
  return end > aNow ? std::optional(end) : std::nullopt;
}

bool
ServerList::isCold(const ServerRecord& aServer, Instant aNow) const
{
  return coldEnd(aServer, aNow).has_value();
}

void
ServerList::markRestarting(const std::string& aServerId,
                           std::int64_t aStartedMs,
                           Instant aNow)
{
  const ServerRecord* server = find(aServerId);
  if (server == nullptr || !mColdLimits.contains(server->service)) {
    return;
  }
  if (Notice* notice = noticeOf(aServerId, aStartedMs)) {
    notice->restartingUntil = aNow + mOptions.restartTime;
  }
}

} // namespace laburnum::gateway
