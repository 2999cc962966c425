#pragma once

#include "laburnum/contract/settings.hpp"
#include "laburnum/gateway/context.hpp"
#include "laburnum/gateway/store_freshness.hpp"
#include "laburnum/wire/link.hpp"

#include <functional>
#include <map>
#include <memory>

namespace laburnum::gateway {

/// Keeps a link to one steward of each group and passes on what it tells of the
/// group. The steward is one of the own failure domain if there is any, so that
/// each failure domain receives the state of a group once. Another one is tried
/// if a steward is silent. Through the stewards, gateways also exchange
/// which requests crash servers.
///
/// Thread safety: loop thread only.
class GroupFollower
{
public:
  /// Receives the status of the group of a service.
  using StatusHandler =
    std::function<void(const std::string& aService, const GroupStatus&)>;

  /// aFreshness receives what other gateways have seen of the store.
  /// @pre The references outlive this object.
  GroupFollower(const contract::Settings& aSettings,
                Context& aContext,
                StoreFreshness& aFreshness,
                StatusHandler aHandler);

  /// Opens links that are missing, closes those that are silent, and tells
  /// what this gateway has seen of the store if that has changed. To be called
  /// a few times a second.
  void maintain();

  /// Sends changes of the quarantine to the stewards, which pass them on to all
  /// gateways.
  void shareSuspicions(const std::vector<policy::SuspicionRecord>& aChanges);

private:
  using LinkPtr = std::shared_ptr<wire::Link>;
  /// The link to a steward of one service's group.
  struct Follow
  {
    LinkPtr link; ///< Null while there is none.
    bool isConnecting = false;
    std::size_t candidate = 0; ///< Index of the steward among the candidates.
    Instant heardAt{};         ///< Last status, or when the link was opened.
    std::vector<contract::Address> servers; ///< Of each rank.
    StoreNews toldNews;
  };

  std::vector<contract::Address> candidates(const std::string& aService) const;
  void maintainLink(const std::string& aService, Follow& aFollow);
  void connect(const std::string& aService, Follow& aFollow);
  void processStatus(const std::string& aService,
                     const wire::GroupStatusT& aStatus);
  void tellNews(Follow& aFollow);
  void processSuspicions(const LinkPtr& aFrom, const wire::SuspectsT& aMessage);

  const contract::Settings& mSettings;
  Context& mContext;
  StoreFreshness& mFreshness;
  StatusHandler mHandler;
  wire::Identity mIdentity;
  std::map<std::string, Follow> mFollows; ///< By service.
};

} // namespace laburnum::gateway
